#include "service/relay_service.hpp"

#include "wire/worker_codec.hpp"

namespace martenwall::service {

namespace {
constexpr Duration gather = seconds(0.01);       // how long reports wait for others to go with them
constexpr Duration hold_limit = seconds(2.8);    // a worker waits 4 s: it is told where else to go before it gives up
constexpr Duration answer_limit = seconds(1.2);  // of the leader, for a batch
constexpr Duration probe_limit = seconds(0.5);
constexpr Duration look_every = seconds(0.1);
constexpr Duration tell_every = seconds(1);
constexpr std::size_t most_under_way = 4;  // batches
}  // namespace

RelayService::RelayService(Context& ctx, PeerService& peers, WorkerService& workers)
    : ctx_(ctx),
      peers_(peers),
      workers_(workers),
      link_(ctx.policy.lease_ttl),
      share_(ctx.settings.node, ctx.policy.relay_leader_weight),
      usable_(ctx.loop) {}

wire::NodeRoom RelayService::own_room() const {
  const auto load = load_ ? load_() : relay::NodeLoad{};
  return {ctx_.settings.node, load.workers, load.room};
}

std::vector<wire::NodeRoom> RelayService::rooms() const {
  const auto load = load_ ? load_() : relay::NodeLoad{};
  std::vector<wire::NodeRoom> out;
  for (const auto& [node, l] : share_.known(load, ctx_.now())) out.push_back({node, l.workers, l.room});
  return out;
}

void RelayService::hear(const wire::NodeRoom& node) {
  if (node.node.empty()) return;
  share_.heard(node.node, {static_cast<std::size_t>(node.workers), static_cast<std::size_t>(node.room)}, ctx_.now());
}

// ---- a worker's report ----

rt::Task<rt::HttpResponse> RelayService::report(std::string body) {
  auto report = wire::parse_report(body);
  if (!report) co_return rt::HttpResponse{400, "{}", {}, false};
  const Time came = ctx_.loop.refresh();
  ctx_.hearing.beat(came);
  bool close = false;
  if (ctx_.policy.relay_reports && load_) {
    const auto placing = share_.place(report->machine, load_(), ctx_.now());
    if (placing.kind == relay::Placing::Kind::move) {
      ctx_.metrics.count_report(metrics::ReportWay::sent_on);
      // Nothing of the report is used: the worker sends it again to the other node, at once.
      co_return rt::HttpResponse{421, wire::encode_misdirected(placing.to), {}, true};
    }
    close = placing.kind == relay::Placing::Kind::keep_and_close;
  }
  rt::HttpResponse response = co_await answered_somewhere(std::move(*report));
  response.close = response.close || close;
  ctx_.metrics.reports.observe(ctx_.now() - came);
  co_return response;
}

rt::Task<rt::HttpResponse> RelayService::answered_somewhere(WorkerReport report) {
  const Time until = ctx_.now() + hold_limit;
  for (;;) {
    co_await workers_.settled();
    if (ctx_.scheduler != nullptr) {
      const auto answer = workers_.answer(report);
      if (answer.kind != ReportAnswer::Kind::misdirected) co_return answered_here(answer);
    }
    if (!ctx_.policy.relay_reports) co_return refused(report);
    hear_leader();
    const auto advice = link_.advice();
    if (advice == relay::Advice::pass_on) {
      auto response = co_await pass_on(report, until);
      if (response) {
        ctx_.metrics.count_report(metrics::ReportWay::relayed);
        co_return std::move(*response);
      }
    }
    if (link_.advice() == relay::Advice::redirect || ctx_.now() >= until) co_return refused(report);
    if (link_.advice() == relay::Advice::hold) co_await usable_.wait(until);
  }
}

rt::HttpResponse RelayService::answered_here(const ReportAnswer& answer) {
  const bool served = answer.kind == ReportAnswer::Kind::orders;
  ctx_.metrics.count_report(served ? metrics::ReportWay::here : metrics::ReportWay::refused);
  rt::HttpResponse response = workers_.response_to(answer, ctx_.leadership.token());
  ctx_.kick();
  return response;
}

rt::HttpResponse RelayService::refused(const WorkerReport& report) {
  if (ctx_.has_other_leader()) ctx_.turned_away.note(report.machine, ctx_.now());
  ctx_.metrics.count_report(metrics::ReportWay::refused);
  return workers_.misdirected();
}

rt::Task<std::optional<rt::HttpResponse>> RelayService::pass_on(const WorkerReport& report, Time until) {
  auto waiting = std::make_shared<Waiting>(ctx_.loop, report);
  queue_.push_back(waiting);
  if (!std::exchange(gathering_, true)) rt::spawn(send_soon());
  while (!waiting->finished && ctx_.now() < until) co_await waiting->over.wait(until);
  waiting->abandoned = true;
  if (!waiting->answer || waiting->answer->kind == ReportAnswer::Kind::later) co_return std::nullopt;
  co_return workers_.response_to(*waiting->answer, waiting->token);
}

// ---- batches ----

rt::Task<void> RelayService::send_soon() {
  co_await ctx_.loop.sleep(gather);
  gathering_ = false;
  while (!queue_.empty() && under_way_ < most_under_way) {
    Batch batch = take_batch();
    if (batch.empty()) continue;
    ++under_way_;
    rt::spawn(send(std::move(batch)));
  }
}

// In the order in which they came: the one that waited longest is nearest to the end of its lease.
RelayService::Batch RelayService::take_batch() {
  Batch batch;
  std::size_t bytes = 0;
  while (!queue_.empty() && batch.size() < wire::max_batch_reports) {
    auto& next = queue_.front();
    if (next->abandoned) {
      queue_.pop_front();
      continue;
    }
    bytes += wire::encoded_size(next->report);
    if (!batch.empty() && bytes > wire::max_batch_bytes) break;
    batch.push_back(std::move(next));
    queue_.pop_front();
  }
  return batch;
}

rt::Task<void> RelayService::send(Batch batch) {
  wire::ReportBatch message{own_room(), {}};
  message.reports.reserve(batch.size());
  for (const auto& w : batch) message.reports.push_back(w->report);
  wire::PeerRequest request{wire::PeerVerb::reports, ctx_.settings.node, wire::encode_batch(message), {}};
  std::string leader = link_.leader();
  told_ = ctx_.now();
  const auto reply = co_await peers_.ask_node(leader, std::move(request), answer_limit);
  --under_way_;
  const bool answered = take_answers(batch, reply);
  // Of a leader that is none any more, its silence says nothing.
  if (leader == link_.leader()) {
    link_.passed(answered, ctx_.now());
    if (answered) ctx_.leader_ok = ctx_.now();
    log_link();
  }
  for (const auto& w : batch) {
    w->finished = true;
    w->over.notify();
  }
  if (!queue_.empty() && !std::exchange(gathering_, true)) rt::spawn(send_soon());
}

bool RelayService::take_answers(const Batch& batch, const std::optional<wire::PeerReply>& reply) {
  if (!reply || reply->status != 200) return false;
  auto answers = wire::decode_answers(reply->body);
  if (!answers || answers->answers.size() != batch.size()) return false;
  for (std::size_t i = 0; i < batch.size(); ++i) {
    // Between looking and sending it lost its leadership: no answer at all.
    if (answers->answers[i].kind == ReportAnswer::Kind::misdirected) continue;
    batch[i]->answer = std::move(answers->answers[i]);
    batch[i]->token = answers->token;
  }
  for (const auto& node : answers->nodes) hear(node);
  return true;
}

// ---- the leader's side ----

rt::Task<wire::PeerReply> RelayService::on_reports(wire::PeerRequest request) {
  const auto batch = wire::decode_batch(request.body);
  if (!batch) co_return wire::PeerReply{400, "", {}};
  co_await workers_.settled();
  if (ctx_.scheduler == nullptr) co_return wire::PeerReply{421, "", {}};
  hear(batch->sender);
  wire::ReportAnswers out;
  std::size_t bytes = 0;
  for (const auto& report : batch->reports) {
    ReportAnswer answer{ReportAnswer::Kind::later, {}};
    if (bytes < wire::max_answer_bytes) answer = workers_.answer(report);
    bytes += wire::encoded_size(answer);
    out.answers.push_back(std::move(answer));
  }
  ctx_.metrics.count_report(metrics::ReportWay::by_others, batch->reports.size());
  out.token = ctx_.leadership.token();
  out.nodes = rooms();
  wire::PeerReply reply{200, wire::encode_answers(out), {}};
  ctx_.kick();
  co_return reply;
}

// ---- the way to the leader ----

void RelayService::hear_leader() {
  link_.leader_is(ctx_.has_other_leader() ? ctx_.leader : "", ctx_.now());
  share_.leader_is(ctx_.leader);
  log_link();
}

void RelayService::log_link() {
  if (link_.state() == logged_) return;
  logged_ = link_.state();
  if (link_.advice() != relay::Advice::hold) usable_.notify();
  ctx_.log->info("reports to {}: {}", link_.leader().empty() ? "no other node" : link_.leader(),
                 relay::name_of(link_.state()));
}

rt::Task<void> RelayService::probe() {
  probing_ = true;
  std::string leader = link_.leader();
  link_.probe_sent(ctx_.now());
  wire::PeerRequest request{wire::PeerVerb::ping, "", "", {}};
  const auto reply = co_await peers_.ask_node(leader, std::move(request), probe_limit);
  probing_ = false;
  if (leader != link_.leader()) co_return;
  auto answer = relay::ProbeAnswer::nothing;
  if (reply) {
    answer = reply->body == wire::takes_reports    ? relay::ProbeAnswer::leads
             : reply->body == wire::passes_reports ? relay::ProbeAnswer::follows
                                                   : relay::ProbeAnswer::old;
  }
  link_.probed(answer, ctx_.now());
  log_link();
}

// Where no reports come, an empty batch tells the leader that this node has room for them.
rt::Task<void> RelayService::tell_load() {
  Batch none;
  co_await send(std::move(none));
}

rt::Task<void> RelayService::run() {
  if (!ctx_.policy.relay_reports) co_return;
  for (;;) {
    co_await ctx_.loop.sleep(look_every);
    hear_leader();
    if (ctx_.scheduler != nullptr) usable_.notify();  // held until this node itself took over
    if (!probing_ && link_.probe_due(ctx_.now())) rt::spawn(probe());
    const bool silent = ctx_.now() - told_ >= tell_every;
    if (link_.state() == relay::LinkState::open && silent) {
      ++under_way_;
      rt::spawn(tell_load());
    }
  }
}

}  // namespace martenwall::service
