#include "service/heartbeat_relay.hpp"

#include "wire/worker_codec.hpp"

namespace martenwall::service {

namespace {
constexpr Duration batching_delay = seconds(0.01);  // how long heartbeats wait for others to share their batch
constexpr Duration max_wait = seconds(2.8);         // a worker waits 4 s: it is redirected before it times out
constexpr Duration batch_timeout = seconds(1.2);    // for the leader's reply
constexpr Duration probe_timeout = seconds(0.5);
constexpr Duration check_interval = seconds(0.1);  // of the link and of the leader's name
constexpr Duration load_interval = seconds(1);     // other nodes discard a load after 3 s
constexpr std::size_t max_batches_in_flight = 4;
}  // namespace

HeartbeatRelay::HeartbeatRelay(Context& ctx, PeerService& peers, WorkerService& workers,
                               std::function<relay::NodeLoad()> load)
    : ctx_(ctx),
      peers_(peers),
      workers_(workers),
      link_(ctx.policy.lease_ttl),
      balancer_(ctx.settings.node, ctx.policy.relay_leader_weight),
      load_(std::move(load)),
      link_changed_(ctx.loop) {}

wire::NodeCapacity HeartbeatRelay::own_load() const {
  const auto load = load_ ? load_() : relay::NodeLoad{};
  return {ctx_.settings.node, load.workers, load.capacity};
}

std::vector<wire::NodeCapacity> HeartbeatRelay::known_loads() const {
  const auto load = load_ ? load_() : relay::NodeLoad{};
  std::vector<wire::NodeCapacity> out;
  for (const auto& [node, known] : balancer_.recent_loads(load, ctx_.now())) {
    out.push_back({node, known.workers, known.capacity});
  }
  return out;
}

void HeartbeatRelay::on_node_load(const wire::NodeCapacity& node) {
  if (node.node.empty()) return;
  balancer_.on_node_load(node.node, {static_cast<std::size_t>(node.workers), static_cast<std::size_t>(node.capacity)},
                         ctx_.now());
}

// ---- heartbeats from workers ----

rt::Task<rt::HttpResponse> HeartbeatRelay::on_heartbeat(std::string body) {
  auto heartbeat = wire::parse_heartbeat(body);
  if (!heartbeat) co_return rt::HttpResponse{400, "{}", {}, false};
  const Time received = ctx_.loop.update_time();
  ctx_.reachability.on_heartbeat(received);
  bool close = false;
  if (ctx_.policy.relay_heartbeats && load_) {
    const auto assignment = balancer_.assign(heartbeat->machine, load_(), ctx_.now());
    if (assignment.kind == relay::Assignment::Kind::move) {
      ctx_.metrics.count_heartbeat(metrics::HeartbeatPath::redirected);
      // The heartbeat is discarded: the worker immediately sends it again to the other node.
      co_return rt::HttpResponse{421, wire::encode_redirect(assignment.to), {}, true};
    }
    close = assignment.kind == relay::Assignment::Kind::keep_and_close;
  }
  rt::HttpResponse response = co_await answer_or_forward(std::move(*heartbeat));
  response.close = response.close || close;
  ctx_.metrics.heartbeats.observe(ctx_.now() - received);
  co_return response;
}

rt::Task<rt::HttpResponse> HeartbeatRelay::answer_or_forward(Heartbeat heartbeat) {
  const Time deadline = ctx_.now() + max_wait;
  for (;;) {
    co_await workers_.wait_for_role();
    // No suspension is allowed between the check of the leadership and the answer.
    if (ctx_.scheduler != nullptr) {
      const auto answer = workers_.answer(heartbeat);
      if (answer.kind != HeartbeatResponse::Kind::misdirected) co_return answer_as_leader(answer);
    }
    if (!ctx_.policy.relay_heartbeats) co_return redirect(heartbeat);
    refresh_leader();
    if (link_.advice() == relay::RoutingAdvice::forward) {
      auto response = co_await forward(heartbeat, deadline);
      if (response) {
        ctx_.metrics.count_heartbeat(metrics::HeartbeatPath::relayed);
        co_return std::move(*response);
      }
    }
    if (link_.advice() == relay::RoutingAdvice::redirect || ctx_.now() >= deadline) co_return redirect(heartbeat);
    if (link_.advice() == relay::RoutingAdvice::wait) co_await link_changed_.wait(deadline);
  }
}

rt::HttpResponse HeartbeatRelay::answer_as_leader(const HeartbeatResponse& answer) {
  const bool served = answer.kind == HeartbeatResponse::Kind::commands;
  ctx_.metrics.count_heartbeat(served ? metrics::HeartbeatPath::local : metrics::HeartbeatPath::refused);
  rt::HttpResponse response = workers_.response_to(answer, ctx_.leadership.token());
  ctx_.notify_pending_work();
  return response;
}

rt::HttpResponse HeartbeatRelay::redirect(const Heartbeat& heartbeat) {
  if (ctx_.has_other_leader()) ctx_.redirected_workers.record(heartbeat.machine, ctx_.now());
  ctx_.metrics.count_heartbeat(metrics::HeartbeatPath::refused);
  return workers_.not_leader_response();
}

rt::Task<std::optional<rt::HttpResponse>> HeartbeatRelay::forward(const Heartbeat& heartbeat, Time deadline) {
  auto pending = std::make_shared<PendingHeartbeat>(ctx_.loop, heartbeat);
  queue_.push_back(pending);
  schedule_sending();
  while (!pending->completed && ctx_.now() < deadline) co_await pending->completion.wait(deadline);
  pending->abandoned = true;
  if (!pending->answer || pending->answer->kind == HeartbeatResponse::Kind::deferred) co_return std::nullopt;
  co_return workers_.response_to(*pending->answer, pending->token);
}

// ---- batches ----

void HeartbeatRelay::schedule_sending() {
  if (!std::exchange(sending_scheduled_, true)) rt::spawn(send_queue());  // detached: ends after the batching delay
}

rt::Task<void> HeartbeatRelay::send_queue() {
  co_await ctx_.loop.sleep(batching_delay);
  sending_scheduled_ = false;
  while (!queue_.empty() && batches_in_flight_ < max_batches_in_flight) {
    Batch batch = dequeue_batch();
    if (batch.empty()) continue;
    ++batches_in_flight_;
    rt::spawn(send(std::move(batch)));  // detached: owns its batch, ends at the batch's timeout
  }
}

// Takes heartbeats in order of arrival: the one that waited longest is nearest to the expiry of its worker's lease.
HeartbeatRelay::Batch HeartbeatRelay::dequeue_batch() {
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

// Sends the batch, which the caller has counted in `batches_in_flight_`. An empty batch only reports this node's load.
rt::Task<void> HeartbeatRelay::send(Batch batch) {
  wire::HeartbeatBatch message{own_load(), {}};
  message.heartbeats.reserve(batch.size());
  for (const auto& pending : batch) message.heartbeats.push_back(pending->heartbeat);
  wire::PeerRequest request{wire::PeerVerb::heartbeats, ctx_.settings.node, wire::encode_batch(message), {}};
  std::string leader = link_.leader();
  load_sent_at_ = ctx_.now();
  const auto reply = co_await peers_.call_node(leader, std::move(request), batch_timeout);
  --batches_in_flight_;
  const bool answered = assign_answers(batch, reply);
  // A missing reply from a node that has lost the leadership does not show the state of the link to the new leader.
  if (leader == link_.leader()) {
    link_.on_batch_result(answered, ctx_.now());
    if (answered) ctx_.leader_answered_at = ctx_.now();
    publish_link_state();
  }
  for (const auto& pending : batch) {
    pending->completed = true;
    pending->completion.notify();
  }
  if (!queue_.empty()) schedule_sending();
}

bool HeartbeatRelay::assign_answers(const Batch& batch, const std::optional<wire::PeerReply>& reply) {
  if (!reply || reply->status != 200) return false;
  auto responses = wire::decode_responses(reply->body);
  if (!responses || responses->responses.size() != batch.size()) return false;
  for (std::size_t i = 0; i < batch.size(); ++i) {
    // The node lost its leadership while it processed the batch, so this response does not count as an answer.
    if (responses->responses[i].kind == HeartbeatResponse::Kind::misdirected) continue;
    batch[i]->answer = std::move(responses->responses[i]);
    batch[i]->token = responses->token;
  }
  for (const auto& node : responses->nodes) on_node_load(node);
  return true;
}

// ---- batches from other nodes, at the leader ----

rt::Task<wire::PeerReply> HeartbeatRelay::on_heartbeats(wire::PeerRequest request) {
  const auto batch = wire::decode_batch(request.body);
  if (!batch) co_return wire::PeerReply{400, "", {}};
  co_await workers_.wait_for_role();
  if (ctx_.scheduler == nullptr) co_return wire::PeerReply{421, "", {}};
  on_node_load(batch->sender);
  wire::HeartbeatResponses out;
  std::size_t bytes = 0;
  for (const auto& heartbeat : batch->heartbeats) {
    HeartbeatResponse answer{HeartbeatResponse::Kind::deferred, {}};
    if (bytes < wire::max_batch_response_bytes) answer = workers_.answer(heartbeat);
    bytes += wire::encoded_size(answer);
    out.responses.push_back(std::move(answer));
  }
  ctx_.metrics.count_heartbeat(metrics::HeartbeatPath::from_peers, batch->heartbeats.size());
  out.token = ctx_.leadership.token();
  out.nodes = known_loads();
  wire::PeerReply reply{200, wire::encode_responses(out), {}};
  ctx_.notify_pending_work();
  co_return reply;
}

// ---- the link to the leader ----

void HeartbeatRelay::refresh_leader() {
  link_.set_leader(ctx_.has_other_leader() ? ctx_.leader : "", ctx_.now());
  balancer_.set_leader(ctx_.leader);
  publish_link_state();
}

void HeartbeatRelay::publish_link_state() {
  if (link_.state() == logged_state_) return;
  logged_state_ = link_.state();
  if (link_.advice() != relay::RoutingAdvice::wait) link_changed_.notify();
  ctx_.log->info("leader link node={} state={}", link_.leader().empty() ? "none" : link_.leader(),
                 relay::name_of(link_.state()));
}

rt::Task<void> HeartbeatRelay::probe() {
  probe_in_flight_ = true;
  std::string leader = link_.leader();
  link_.probe_sent(ctx_.now());
  wire::PeerRequest request{wire::PeerVerb::ping, "", "", {}};
  const auto reply = co_await peers_.call_node(leader, std::move(request), probe_timeout);
  probe_in_flight_ = false;
  if (leader != link_.leader()) co_return;
  auto result = relay::ProbeResult::none;
  if (reply) {
    result = reply->body == wire::accepts_heartbeats    ? relay::ProbeResult::leader
             : reply->body == wire::forwards_heartbeats ? relay::ProbeResult::follower
                                                        : relay::ProbeResult::unsupported;
  }
  link_.on_probe_result(result, ctx_.now());
  publish_link_state();
}

rt::Task<void> HeartbeatRelay::run() {
  if (!ctx_.policy.relay_heartbeats) co_return;
  for (;;) {
    co_await ctx_.loop.sleep(check_interval);
    refresh_leader();
    if (ctx_.scheduler != nullptr) link_changed_.notify();  // this node may be the leader that heartbeats wait for
    if (!probe_in_flight_ && link_.probe_due(ctx_.now())) rt::spawn(probe());  // detached: ends at its timeout
    const bool load_due = ctx_.now() - load_sent_at_ >= load_interval;
    if (link_.state() == relay::LinkState::open && load_due) {
      // If no heartbeats arrive, an empty batch reports to the leader that this node has capacity for workers.
      ++batches_in_flight_;
      rt::spawn(send(Batch{}));  // detached: ends at the batch's timeout
    }
  }
}

}  // namespace martenwall::service
