#include "service/worker_service.hpp"

#include <algorithm>

#include "wire/worker_codec.hpp"

namespace martenwall::service {

namespace {
constexpr Duration min_round_gap = seconds(0.1);
constexpr int round_share = 5;  // a round may take one part in so many of the time between rounds
constexpr int announcers = 24;  // announcements at once
}  // namespace

rt::HttpResponse WorkerService::misdirected() const {
  const bool other = ctx_.leader != ctx_.settings.node;
  return {421, wire::encode_misdirected(other ? ctx_.leader : ""), {}, false};
}

rt::Task<void> WorkerService::settled() {
  // A leader that is still reading the store will know in a moment.
  for (int i = 0; i < 30 && ctx_.leadership.state() == LeaderState::loading; ++i) {
    co_await ctx_.loop.sleep(seconds(0.05));
  }
  // One that stood still learns first whether another leads by now: its 200 would keep the worker here, without
  // renewing its lease.
  for (int i = 0; i < 25 && ctx_.scheduler != nullptr && ctx_.resumed_after_stall(); ++i)
    co_await ctx_.loop.sleep(seconds(0.05));
}

HeartbeatResponse WorkerService::answer(const Heartbeat& heartbeat) {
  const Time now = ctx_.loop.refresh();
  if (ctx_.scheduler == nullptr || !ctx_.leadership.serves_workers(now)) return {};
  if (heartbeat.token > ctx_.leadership.token()) {
    leader_service_.step_down(StepDownReason::higher_token_seen);
    return {};
  }
  if (ctx_.scheduler->is_released(heartbeat.machine)) return {HeartbeatResponse::Kind::released, {}};
  HeartbeatResponse out{HeartbeatResponse::Kind::commands, {}};
  out.commands = ctx_.scheduler->on_heartbeat(heartbeat, StatusSource::heartbeat, now, ctx_.may_start());
  if (ctx_.scheduler->must_not_be_answered(heartbeat.machine)) return {HeartbeatResponse::Kind::released, {}};
  // From here its lease may be renewed. It counts from the sending of the report, which lies before this moment,
  // however long the answer takes and whichever node hands it over.
  ctx_.scheduler->on_heartbeat_answered(heartbeat.machine, ctx_.loop.refresh());
  return out;
}

rt::HttpResponse WorkerService::response_to(const HeartbeatResponse& answer, FencingToken token) const {
  switch (answer.kind) {
    case HeartbeatResponse::Kind::commands:
      return {200, wire::encode_heartbeat_response(token, answer.commands), {}, false};
    case HeartbeatResponse::Kind::released:
    case HeartbeatResponse::Kind::deferred:
      return {503, "{}", {}, false};
    case HeartbeatResponse::Kind::misdirected:
      break;
  }
  return misdirected();
}

rt::Task<void> WorkerService::run() {
  for (;;) {
    const bool needs_cycle = ctx_.scheduler != nullptr && ctx_.scheduler->needs_cycle();
    const Time until = ctx_.now() + ctx_.policy.cycle_interval;
    if (!needs_cycle) co_await ctx_.cycle_due.wait(until);
    ctx_.leadership.tick(ctx_.now());
    if (ctx_.scheduler == nullptr) {
      co_await ctx_.loop.sleep(min_round_gap);
      continue;
    }
    const Time before = ctx_.loop.refresh();
    const bool rounds = ctx_.may_start();
    if (rounds) ctx_.scheduler->run_cycle(ctx_.now());
    const Duration spent = ctx_.loop.refresh() - before;
    if (rounds) ctx_.metrics.cycles.observe(spent);
    if (ctx_.scheduler->has_writes(false, ctx_.now())) ctx_.writes_due.notify();
    ctx_.write_committed.notify();  // stops need no commit: let the sender look
    // Where rounds are slow, reports, renewals and users come first.
    co_await ctx_.loop.sleep(std::max(min_round_gap, spent * round_share));
  }
}

rt::Task<void> WorkerService::send_loop() {
  std::uint64_t announced = 0;
  for (;;) {
    const Time until = ctx_.now() + seconds(0.5);
    co_await ctx_.write_committed.wait(until);
    if (!ctx_.may_start()) continue;
    if (announced != ctx_.term) {
      announced = ctx_.term;
      rt::spawn(announce_all(ctx_.term));
    }
    for (auto& batch : ctx_.scheduler->take_command_batches(ctx_.now())) rt::spawn(send(ctx_.term, std::move(batch)));
  }
}

rt::Task<void> WorkerService::send(std::uint64_t term, CommandBatch batch) {
  std::string body = wire::encode_command_batch(ctx_.leadership.token(), batch.incarnation, batch.commands);
  const rt::HttpResult r = co_await http_.request(batch.addr, "POST", "/commands", std::move(body), seconds(2));
  if (!ctx_.leads(term)) co_return;
  auto outcome = CommandOutcome::unknown;
  if (r.outcome == rt::Outcome::not_sent) outcome = CommandOutcome::not_sent;
  std::optional<Heartbeat> heartbeat;
  if (r.outcome == rt::Outcome::answered) {
    heartbeat = wire::parse_heartbeat(r.body);
    if (r.status == 200 && heartbeat) outcome = CommandOutcome::executed;
    if (r.status == 409 || r.status == 400) outcome = CommandOutcome::refused;
  }
  ctx_.scheduler->on_command_outcome(batch, outcome, ctx_.now());
  if (outcome == CommandOutcome::unknown && !batch.commands.empty()) {
    ctx_.log->info("direct command to {} unanswered: it may still be executed", batch.machine.value());
  }
  if (heartbeat && heartbeat->token <= ctx_.leadership.token()) {
    ctx_.scheduler->on_heartbeat(*heartbeat, StatusSource::command_reply, ctx_.now(), ctx_.may_start());
  }
  ctx_.notify_pending_work();
}

// A few at a time, those with work first: reports of all workers arrive in the same moments.
rt::Task<void> WorkerService::announce_all(std::uint64_t term) {
  auto left = std::make_shared<std::vector<CommandBatch>>(ctx_.scheduler->announcements());
  std::ranges::reverse(*left);
  for (int i = 0; i < announcers; ++i) rt::spawn(announce_some(term, left));
  co_return;
}

rt::Task<void> WorkerService::announce_some(std::uint64_t term, std::shared_ptr<std::vector<CommandBatch>> left) {
  while (ctx_.leads(term) && !left->empty()) {
    CommandBatch batch = std::move(left->back());
    left->pop_back();
    const auto m = ctx_.scheduler->machines().find(batch.machine);
    if (m == ctx_.scheduler->machines().end() || m->second.has_reported) continue;
    co_await announce(term, std::move(batch));
  }
}

// Makes a worker know the new token, which fences the old leader's commands, and learns its tasks.
rt::Task<void> WorkerService::announce(std::uint64_t term, CommandBatch batch) {
  for (int attempt = 0; attempt < 3 && ctx_.leads(term); ++attempt) {
    std::string body = wire::encode_command_batch(ctx_.leadership.token(), batch.incarnation, batch.commands);
    const rt::HttpResult r = co_await http_.request(batch.addr, "POST", "/commands", std::move(body), seconds(2));
    if (!ctx_.leads(term)) co_return;
    const auto heartbeat = r.outcome == rt::Outcome::answered ? wire::parse_heartbeat(r.body) : std::nullopt;
    if (!heartbeat) {
      co_await ctx_.loop.sleep(seconds(1));
      continue;
    }
    if (heartbeat->token > ctx_.leadership.token()) {
      leader_service_.step_down(StepDownReason::higher_token_seen);
      co_return;
    }
    ctx_.scheduler->on_heartbeat(*heartbeat, StatusSource::command_reply, ctx_.now(), ctx_.may_start());
    ctx_.notify_pending_work();
    if (r.status == 200) co_return;
    batch.incarnation = heartbeat->incarnation;  // 409: it has begun another session meanwhile
  }
}

}  // namespace martenwall::service
