#include "service/worker_service.hpp"

#include <algorithm>

#include "wire/worker_codec.hpp"

namespace martenwall::service {

namespace {
constexpr Duration min_cycle_gap = seconds(0.1);
constexpr int cycle_gap_factor = 5;             // pause after a slow cycle, in multiples of the cycle's time
constexpr int max_parallel_announcements = 24;  // each uses its own connection
constexpr int max_announcement_attempts = 3;    // after that the worker receives the token with its own heartbeat
constexpr Duration retry_delay = seconds(1);
constexpr Duration command_timeout = seconds(2);
constexpr Duration sender_interval = seconds(0.5);  // pending commands are checked at least this often
constexpr Duration role_check_interval = seconds(0.05);
constexpr int max_loading_checks = 30;  // 1.5 s: a worker waits 4 s, and its batch at another node 1.2 s
constexpr int max_resume_checks = 25;   // 1.25 s, as long as a renewal may take
constexpr std::size_t max_response_bytes = 256 * 1024;  // a worker's heartbeat with all its tasks
}  // namespace

// Command connections are not kept open: commands go to many machines but rarely to each one, and one connection per
// worker, in addition to the workers' own, would exhaust the sockets in a large fleet.
WorkerService::WorkerService(Context& ctx, LeaderService& leader_service)
    : ctx_(ctx),
      leader_service_(leader_service),
      http_(ctx.loop, ctx.settings.max_connections / 10, max_response_bytes, 0) {}

rt::HttpResponse WorkerService::not_leader_response() const {
  const bool other_leads = ctx_.leader != ctx_.settings.node;
  return {421, wire::encode_redirect(other_leads ? ctx_.leader : ""), {}, false};
}

rt::Task<void> WorkerService::wait_for_role() {
  // A leader that is still loading the store determines its role shortly.
  for (int i = 0; i < max_loading_checks && ctx_.leadership.state() == LeaderState::loading; ++i) {
    co_await ctx_.loop.sleep(role_check_interval);
  }
  // After a process stall this node first checks whether another node leads by now: a 200 would keep the worker here
  // without renewing its lease.
  for (int i = 0; i < max_resume_checks && ctx_.scheduler != nullptr && ctx_.resumed_after_stall(); ++i)
    co_await ctx_.loop.sleep(role_check_interval);
}

HeartbeatResponse WorkerService::answer(const Heartbeat& heartbeat) {
  const Time now = ctx_.loop.update_time();
  if (ctx_.scheduler == nullptr || !ctx_.leadership.serves_workers(now)) return {};
  if (heartbeat.token > ctx_.leadership.token()) {
    leader_service_.step_down(StepDownReason::higher_token_seen);
    return {};
  }
  if (ctx_.scheduler->is_released(heartbeat.machine)) return {HeartbeatResponse::Kind::released, {}};
  HeartbeatResponse out{HeartbeatResponse::Kind::commands, {}};
  out.commands = ctx_.scheduler->on_heartbeat(heartbeat, StatusSource::heartbeat, now, ctx_.may_start());
  if (ctx_.scheduler->must_withhold_response(heartbeat.machine)) return {HeartbeatResponse::Kind::released, {}};
  // The worker may renew its lease from here on. The lease counts from the sending of the heartbeat, which precedes
  // this moment, however long the answer takes and whichever node delivers it.
  ctx_.scheduler->on_heartbeat_answered(heartbeat.machine, ctx_.loop.update_time());
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
  return not_leader_response();
}

rt::Task<void> WorkerService::run_cycles() {
  for (;;) {
    const bool needs_cycle = ctx_.scheduler != nullptr && ctx_.scheduler->needs_cycle();
    const Time next_cycle_at = ctx_.now() + ctx_.policy.cycle_interval;
    if (!needs_cycle) co_await ctx_.cycle_due.wait(next_cycle_at);
    ctx_.leadership.tick(ctx_.now());
    if (ctx_.scheduler == nullptr) {
      co_await ctx_.loop.sleep(min_cycle_gap);
      continue;
    }
    const Time began = ctx_.loop.update_time();
    const bool may_start = ctx_.may_start();
    if (may_start) ctx_.scheduler->run_cycle(ctx_.now());
    const Duration cycle_time = ctx_.loop.update_time() - began;
    if (may_start) ctx_.metrics.cycles.observe(cycle_time);
    if (ctx_.scheduler->has_writes(false, ctx_.now())) ctx_.writes_due.notify();
    ctx_.write_committed.notify();  // stop commands need no commit: wakes the command sender
    // If cycles are slow, heartbeats, lease renewals and users take precedence.
    co_await ctx_.loop.sleep(std::max(min_cycle_gap, cycle_time * cycle_gap_factor));
  }
}

rt::Task<void> WorkerService::run_command_sender() {
  std::uint64_t announced_term = 0;
  for (;;) {
    const Time deadline = ctx_.now() + sender_interval;
    co_await ctx_.write_committed.wait(deadline);
    if (!ctx_.may_start()) continue;
    if (announced_term != ctx_.term) {
      announced_term = ctx_.term;
      announce_all(ctx_.term);
    }
    // Detached: each ends at its request timeout.
    for (auto& batch : ctx_.scheduler->take_command_batches(ctx_.now())) rt::spawn(send(ctx_.term, std::move(batch)));
  }
}

rt::Task<void> WorkerService::send(std::uint64_t term, CommandBatch batch) {
  std::string body = wire::encode_command_batch(ctx_.leadership.token(), batch.incarnation, batch.commands);
  const rt::HttpResult result =
      co_await http_.request(batch.addr, "POST", "/commands", std::move(body), command_timeout);
  if (!ctx_.leads(term)) co_return;
  auto outcome = CommandOutcome::unknown;
  if (result.outcome == rt::Outcome::not_sent) outcome = CommandOutcome::not_sent;
  std::optional<Heartbeat> heartbeat;
  if (result.outcome == rt::Outcome::answered) {
    heartbeat = wire::parse_heartbeat(result.body);
    if (result.status == 200 && heartbeat) outcome = CommandOutcome::executed;
    if (result.status == 409 || result.status == 400) outcome = CommandOutcome::refused;
  }
  ctx_.scheduler->on_command_outcome(batch, outcome, ctx_.now());
  if (outcome == CommandOutcome::unknown && !batch.commands.empty()) {
    ctx_.log->info("direct command unanswered, may still be executed machine={}", batch.machine.value());
  }
  if (heartbeat && heartbeat->token <= ctx_.leadership.token()) {
    ctx_.scheduler->on_heartbeat(*heartbeat, StatusSource::command_reply, ctx_.now(), ctx_.may_start());
  }
  ctx_.notify_pending_work();
}

// Sends a few announcements at a time, machines with tasks first, since the heartbeats of all workers arrive at the
// same time.
void WorkerService::announce_all(std::uint64_t term) {
  auto remaining = std::make_shared<std::vector<CommandBatch>>(ctx_.scheduler->announcements());
  std::ranges::reverse(*remaining);
  // Detached: they end when the shared list is empty, or with this leadership.
  for (int i = 0; i < max_parallel_announcements; ++i) rt::spawn(announce_remaining(term, remaining));
}

rt::Task<void> WorkerService::announce_remaining(std::uint64_t term,
                                                 std::shared_ptr<std::vector<CommandBatch>> remaining) {
  while (ctx_.leads(term) && !remaining->empty()) {
    CommandBatch batch = std::move(remaining->back());
    remaining->pop_back();
    const auto machine = ctx_.scheduler->machines().find(batch.machine);
    if (machine == ctx_.scheduler->machines().end() || machine->second.has_reported) continue;
    co_await announce(term, std::move(batch));
  }
}

// Sends a worker the new token, which fences the old leader's commands, and learns the worker's tasks.
rt::Task<void> WorkerService::announce(std::uint64_t term, CommandBatch batch) {
  for (int attempt = 0; attempt < max_announcement_attempts && ctx_.leads(term); ++attempt) {
    std::string body = wire::encode_command_batch(ctx_.leadership.token(), batch.incarnation, batch.commands);
    const rt::HttpResult result =
        co_await http_.request(batch.addr, "POST", "/commands", std::move(body), command_timeout);
    if (!ctx_.leads(term)) co_return;
    const auto heartbeat = result.outcome == rt::Outcome::answered ? wire::parse_heartbeat(result.body) : std::nullopt;
    if (!heartbeat) {
      co_await ctx_.loop.sleep(retry_delay);
      continue;
    }
    if (heartbeat->token > ctx_.leadership.token()) {
      leader_service_.step_down(StepDownReason::higher_token_seen);
      co_return;
    }
    ctx_.scheduler->on_heartbeat(*heartbeat, StatusSource::command_reply, ctx_.now(), ctx_.may_start());
    ctx_.notify_pending_work();
    if (result.status == 200) co_return;
    batch.incarnation = heartbeat->incarnation;  // 409: its agent epoch has changed
  }
}

}  // namespace martenwall::service
