#include "service/reachability_service.hpp"

#include <array>
#include <charconv>

namespace martenwall::service {

namespace {
constexpr Duration check_interval = seconds(0.5);
constexpr std::array<double, 3> logged_fractions{0.5, 0.9, 0.99};  // not 1: some machines are dead at any time
constexpr Duration failover_observation_time = seconds(90);        // later heartbeats are unrelated to the failover
constexpr Duration notify_timeout = seconds(0.5);
constexpr Duration inbox_write_timeout = seconds(1);
constexpr Duration inbox_write_interval = seconds(2);  // each entry is a write to the store
}  // namespace

ReachabilityService::ReachabilityService(Context& ctx, StoreClient& store, LeaderService& leader_service,
                                         PeerService& peers)
    : ctx_(ctx), store_(store), leader_service_(leader_service), peers_(peers) {}

rt::Task<void> ReachabilityService::run() {
  for (;;) {
    co_await ctx_.loop.sleep(check_interval);
    if (ctx_.scheduler != nullptr) {
      evaluate();
      continue;
    }
    const std::size_t stranded = ctx_.has_other_leader() ? ctx_.redirected_workers.stranded(ctx_.now()) : 0;
    if (stranded == 0) {
      stranded_logged_ = false;
      continue;
    }
    if (!std::exchange(stranded_logged_, true)) {
      ctx_.log->info("workers redirected to leader workers={} leader={}", stranded, ctx_.leader);
    }
    co_await notify_leader_of_stranded(stranded);
  }
}

// Reports over the peer link, or by an inbox entry in the store if the leader cannot be reached.
rt::Task<void> ReachabilityService::notify_leader_of_stranded(std::size_t stranded) {
  wire::PeerRequest request{wire::PeerVerb::stranded, ctx_.settings.node, std::to_string(stranded), {}};
  const auto reply = co_await peers_.call_leader(std::move(request), notify_timeout);
  if (reply || ctx_.now() < next_inbox_write_) co_return;
  next_inbox_write_ = ctx_.now() + inbox_write_interval;
  std::vector<wire::StoreOp> operations;
  operations.push_back(
      {wire::stranded_workers_key(ctx_.settings.node), wire::encode_stranded_workers(stranded), std::nullopt});
  co_await store_.txn({}, std::move(operations), inbox_write_timeout);
}

wire::PeerReply ReachabilityService::on_stranded_report(const wire::PeerRequest& request) {
  if (ctx_.scheduler == nullptr) return {421, "{}", {}};
  std::size_t stranded = 0;
  const auto& text = request.body;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), stranded);
  if (error != std::errc{} || end != text.data() + text.size()) return {400, "{}", {}};
  ctx_.reachability.on_stranded_report(request.job, stranded, ctx_.now());
  return {200, "{}", {}};
}

void ReachabilityService::log_failover_progress(std::size_t reporting) {
  if (failover_.term != ctx_.term) {
    failover_ = {ctx_.term, ctx_.now(), 0, 0};
    for (const auto& [id, machine] : ctx_.scheduler->machines()) {
      if (machine.phase() == MachinePhase::up) ++failover_.machines;
    }
  }
  if (ctx_.now() - failover_.began > failover_observation_time) return;
  while (failover_.machines > 0 && failover_.next_fraction < logged_fractions.size() &&
         static_cast<double>(reporting) >=
             logged_fractions.at(failover_.next_fraction) * static_cast<double>(failover_.machines)) {
    ctx_.log->info("failover progress reported={} machines={} after_s={:.1f}", reporting, failover_.machines,
                   to_seconds(ctx_.now() - failover_.began));
    ++failover_.next_fraction;
  }
}

void ReachabilityService::evaluate() {
  const auto reporting = ctx_.scheduler->count_machines_reporting_since(ctx_.now() - ctx_.reachability.window());
  log_failover_progress(reporting);
  const auto before = ctx_.reachability.state();
  const bool step_down = ctx_.reachability.should_step_down(reporting, ctx_.now());
  if (ctx_.reachability.state() != before) {
    ctx_.log->info("leader reachability reporting={} stranded={} state={}", reporting,
                   ctx_.reachability.reported_stranded(ctx_.now()), name_of(ctx_.reachability.state()));
  }
  if (step_down) leader_service_.step_down(StepDownReason::workers_unreachable);
}

}  // namespace martenwall::service
