#include "service/heartbeat_relay.hpp"

#include "wire/worker_codec.hpp"

namespace martenwall::service {

namespace {
constexpr Duration gather = seconds(0.01);       // how long reports wait for others to go with them
constexpr Duration hold_limit = seconds(2.8);    // a worker waits 4 s: it is told where else to go before it gives up
constexpr Duration answer_limit = seconds(1.2);  // of the leader, for a batch
constexpr Duration probe_limit = seconds(0.5);
constexpr Duration look_every = seconds(0.1);
constexpr Duration load_interval = seconds(1);
constexpr std::size_t max_in_flight_batches = 4;  // batches
}  // namespace

HeartbeatRelay::HeartbeatRelay(Context& ctx, PeerService& peers, WorkerService& workers)
    : ctx_(ctx),
      peers_(peers),
      workers_(workers),
      link_(ctx.policy.lease_ttl),
      share_(ctx.settings.node, ctx.policy.relay_leader_weight),
      link_changed_(ctx.loop) {}

wire::NodeRoom HeartbeatRelay::own_room() const {
  const auto load = load_ ? load_() : relay::NodeLoad{};
  return {ctx_.settings.node, load.workers, load.room};
}

std::vector<wire::NodeRoom> HeartbeatRelay::rooms() const {
  const auto load = load_ ? load_() : relay::NodeLoad{};
  std::vector<wire::NodeRoom> out;
  for (const auto& [node, l] : share_.known(load, ctx_.now())) out.push_back({node, l.workers, l.room});
  return out;
}

void HeartbeatRelay::on_node_load(const wire::NodeRoom& node) {
  if (node.node.empty()) return;
  share_.on_node_load(node.node, {static_cast<std::size_t>(node.workers), static_cast<std::size_t>(node.room)},
                      ctx_.now());
}

// ---- a worker's report ----

rt::Task<rt::HttpResponse> HeartbeatRelay::on_heartbeat(std::string body) {
  auto heartbeat = wire::parse_heartbeat(body);
  if (!heartbeat) co_return rt::HttpResponse{400, "{}", {}, false};
  const Time came = ctx_.loop.refresh();
  ctx_.reachability.on_heartbeat(came);
  bool close = false;
  if (ctx_.policy.relay_heartbeats && load_) {
    const auto assignment = share_.place(heartbeat->machine, load_(), ctx_.now());
    if (assignment.kind == relay::Assignment::Kind::move) {
      ctx_.metrics.count_heartbeat(metrics::HeartbeatPath::redirected);
      // Nothing of the report is used: the worker sends it again to the other node, at once.
      co_return rt::HttpResponse{421, wire::encode_misdirected(assignment.to), {}, true};
    }
    close = assignment.kind == relay::Assignment::Kind::keep_and_close;
  }
  rt::HttpResponse response = co_await answered_somewhere(std::move(*heartbeat));
  response.close = response.close || close;
  ctx_.metrics.heartbeats.observe(ctx_.now() - came);
  co_return response;
}

rt::Task<rt::HttpResponse> HeartbeatRelay::answered_somewhere(Heartbeat heartbeat) {
  const Time until = ctx_.now() + hold_limit;
  for (;;) {
    co_await workers_.settled();
    if (ctx_.scheduler != nullptr) {
      const auto answer = workers_.answer(heartbeat);
      if (answer.kind != HeartbeatResponse::Kind::misdirected) co_return answered_here(answer);
    }
    if (!ctx_.policy.relay_heartbeats) co_return refused(heartbeat);
    refresh_leader();
    const auto advice = link_.advice();
    if (advice == relay::RoutingAdvice::forward) {
      auto response = co_await forward(heartbeat, until);
      if (response) {
        ctx_.metrics.count_heartbeat(metrics::HeartbeatPath::relayed);
        co_return std::move(*response);
      }
    }
    if (link_.advice() == relay::RoutingAdvice::redirect || ctx_.now() >= until) co_return refused(heartbeat);
    if (link_.advice() == relay::RoutingAdvice::hold) co_await link_changed_.wait(until);
  }
}

rt::HttpResponse HeartbeatRelay::answered_here(const HeartbeatResponse& answer) {
  const bool served = answer.kind == HeartbeatResponse::Kind::commands;
  ctx_.metrics.count_heartbeat(served ? metrics::HeartbeatPath::local : metrics::HeartbeatPath::refused);
  rt::HttpResponse response = workers_.response_to(answer, ctx_.leadership.token());
  ctx_.notify_pending_work();
  return response;
}

rt::HttpResponse HeartbeatRelay::refused(const Heartbeat& heartbeat) {
  if (ctx_.has_other_leader()) ctx_.redirected_workers.record(heartbeat.machine, ctx_.now());
  ctx_.metrics.count_heartbeat(metrics::HeartbeatPath::refused);
  return workers_.misdirected();
}

rt::Task<std::optional<rt::HttpResponse>> HeartbeatRelay::forward(const Heartbeat& heartbeat, Time until) {
  auto waiting = std::make_shared<Waiting>(ctx_.loop, heartbeat);
  queue_.push_back(waiting);
  if (!std::exchange(gathering_, true)) rt::spawn(send_soon());
  while (!waiting->finished && ctx_.now() < until) co_await waiting->over.wait(until);
  waiting->abandoned = true;
  if (!waiting->answer || waiting->answer->kind == HeartbeatResponse::Kind::deferred) co_return std::nullopt;
  co_return workers_.response_to(*waiting->answer, waiting->token);
}

// ---- batches ----

rt::Task<void> HeartbeatRelay::send_soon() {
  co_await ctx_.loop.sleep(gather);
  gathering_ = false;
  while (!queue_.empty() && in_flight_ < max_in_flight_batches) {
    Batch batch = take_batch();
    if (batch.empty()) continue;
    ++in_flight_;
    rt::spawn(send(std::move(batch)));
  }
}

// In the order in which they came: the one that waited longest is nearest to the end of its lease.
HeartbeatRelay::Batch HeartbeatRelay::take_batch() {
  Batch batch;
  std::size_t bytes = 0;
  while (!queue_.empty() && batch.size() < wire::max_batch_heartbeats) {
    auto& next = queue_.front();
    if (next->abandoned) {
      queue_.pop_front();
      continue;
    }
    bytes += wire::encoded_size(next->heartbeat);
    if (!batch.empty() && bytes > wire::max_batch_bytes) break;
    batch.push_back(std::move(next));
    queue_.pop_front();
  }
  return batch;
}

rt::Task<void> HeartbeatRelay::send(Batch batch) {
  wire::HeartbeatBatch message{own_room(), {}};
  message.heartbeats.reserve(batch.size());
  for (const auto& w : batch) message.heartbeats.push_back(w->heartbeat);
  wire::PeerRequest request{wire::PeerVerb::heartbeats, ctx_.settings.node, wire::encode_batch(message), {}};
  std::string leader = link_.leader();
  load_sent_at_ = ctx_.now();
  const auto reply = co_await peers_.call_node(leader, std::move(request), answer_limit);
  --in_flight_;
  const bool answered = take_answers(batch, reply);
  // Of a leader that is none any more, its silence says nothing.
  if (leader == link_.leader()) {
    link_.on_batch_result(answered, ctx_.now());
    if (answered) ctx_.leader_answered_at = ctx_.now();
    log_link();
  }
  for (const auto& w : batch) {
    w->finished = true;
    w->over.notify();
  }
  if (!queue_.empty() && !std::exchange(gathering_, true)) rt::spawn(send_soon());
}

bool HeartbeatRelay::take_answers(const Batch& batch, const std::optional<wire::PeerReply>& reply) {
  if (!reply || reply->status != 200) return false;
  auto responses = wire::decode_responses(reply->body);
  if (!responses || responses->responses.size() != batch.size()) return false;
  for (std::size_t i = 0; i < batch.size(); ++i) {
    // Between looking and sending it lost its leadership: no answer at all.
    if (responses->responses[i].kind == HeartbeatResponse::Kind::misdirected) continue;
    batch[i]->answer = std::move(responses->responses[i]);
    batch[i]->token = responses->token;
  }
  for (const auto& node : responses->nodes) on_node_load(node);
  return true;
}

// ---- the leader's side ----

rt::Task<wire::PeerReply> HeartbeatRelay::on_heartbeats(wire::PeerRequest request) {
  const auto batch = wire::decode_batch(request.body);
  if (!batch) co_return wire::PeerReply{400, "", {}};
  co_await workers_.settled();
  if (ctx_.scheduler == nullptr) co_return wire::PeerReply{421, "", {}};
  on_node_load(batch->sender);
  wire::HeartbeatResponses out;
  std::size_t bytes = 0;
  for (const auto& heartbeat : batch->heartbeats) {
    HeartbeatResponse answer{HeartbeatResponse::Kind::deferred, {}};
    if (bytes < wire::max_answer_bytes) answer = workers_.answer(heartbeat);
    bytes += wire::encoded_size(answer);
    out.responses.push_back(std::move(answer));
  }
  ctx_.metrics.count_heartbeat(metrics::HeartbeatPath::from_peers, batch->heartbeats.size());
  out.token = ctx_.leadership.token();
  out.nodes = rooms();
  wire::PeerReply reply{200, wire::encode_responses(out), {}};
  ctx_.notify_pending_work();
  co_return reply;
}

// ---- the way to the leader ----

void HeartbeatRelay::refresh_leader() {
  link_.set_leader(ctx_.has_other_leader() ? ctx_.leader : "", ctx_.now());
  share_.set_leader(ctx_.leader);
  log_link();
}

void HeartbeatRelay::log_link() {
  if (link_.state() == logged_) return;
  logged_ = link_.state();
  if (link_.advice() != relay::RoutingAdvice::hold) link_changed_.notify();
  ctx_.log->info("reports to {}: {}", link_.leader().empty() ? "no other node" : link_.leader(),
                 relay::name_of(link_.state()));
}

rt::Task<void> HeartbeatRelay::probe() {
  probing_ = true;
  std::string leader = link_.leader();
  link_.probe_sent(ctx_.now());
  wire::PeerRequest request{wire::PeerVerb::ping, "", "", {}};
  const auto reply = co_await peers_.call_node(leader, std::move(request), probe_limit);
  probing_ = false;
  if (leader != link_.leader()) co_return;
  auto answer = relay::ProbeResult::none;
  if (reply) {
    answer = reply->body == wire::accepts_heartbeats    ? relay::ProbeResult::leader
             : reply->body == wire::forwards_heartbeats ? relay::ProbeResult::follower
                                                        : relay::ProbeResult::unsupported;
  }
  link_.on_probe_result(answer, ctx_.now());
  log_link();
}

// Where no reports come, an empty batch tells the leader that this node has room for them.
rt::Task<void> HeartbeatRelay::send_load() {
  Batch none;
  co_await send(std::move(none));
}

rt::Task<void> HeartbeatRelay::run() {
  if (!ctx_.policy.relay_heartbeats) co_return;
  for (;;) {
    co_await ctx_.loop.sleep(look_every);
    refresh_leader();
    if (ctx_.scheduler != nullptr) link_changed_.notify();  // held until this node itself took over
    if (!probing_ && link_.probe_due(ctx_.now())) rt::spawn(probe());
    const bool silent = ctx_.now() - load_sent_at_ >= load_interval;
    if (link_.state() == relay::LinkState::open && silent) {
      ++in_flight_;
      rt::spawn(send_load());
    }
  }
}

}  // namespace martenwall::service
