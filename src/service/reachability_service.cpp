#include "service/reachability_service.hpp"

#include <array>
#include <charconv>

namespace martenwall::service {

namespace {
constexpr Duration look_every = seconds(0.5);
constexpr std::array<double, 3> reported_shares{0.5, 0.9, 0.99};  // some of the machines are dead at any time
constexpr Duration reconnection_watch = seconds(90);
constexpr Duration tell_limit = seconds(0.5);
constexpr Duration note_every = seconds(2);  // each is a change of the store
}  // namespace

rt::Task<void> ReachabilityService::run() {
  for (;;) {
    co_await ctx_.loop.sleep(look_every);
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
      ctx_.log->info("{} workers report here and are sent to {}", stranded, ctx_.leader);
    }
    co_await notify_leader_of_stranded(stranded);
  }
}

// Over the peer link, or by a note where the leader cannot be reached.
rt::Task<void> ReachabilityService::notify_leader_of_stranded(std::size_t stranded) {
  wire::PeerRequest request{wire::PeerVerb::stranded, ctx_.settings.node, std::to_string(stranded), {}};
  const auto reply = co_await peers_.call_leader(std::move(request), tell_limit);
  if (reply || ctx_.now() < next_note_) co_return;
  next_note_ = ctx_.now() + note_every;
  std::vector<wire::StoreOp> then;
  then.push_back({wire::reach_key(ctx_.settings.node), wire::encode_reach(stranded), std::nullopt});
  co_await store_.txn({}, std::move(then), seconds(1));
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

void ReachabilityService::log_reconnection(std::size_t reporting) {
  if (reconnection_.term != ctx_.term) {
    reconnection_ = {ctx_.term, ctx_.now(), 0, 0};
    for (const auto& [id, m] : ctx_.scheduler->machines()) {
      if (m.phase() == MachinePhase::up) ++reconnection_.machines;
    }
  }
  if (ctx_.now() - reconnection_.began > reconnection_watch) return;
  while (reconnection_.machines > 0 && reconnection_.next < reported_shares.size() &&
         static_cast<double>(reporting) >=
             reported_shares.at(reconnection_.next) * static_cast<double>(reconnection_.machines)) {
    ctx_.log->info("take-over: {} of {} machines have reported, {:.1f} s after it", reporting, reconnection_.machines,
                   to_seconds(ctx_.now() - reconnection_.began));
    ++reconnection_.next;
  }
}

void ReachabilityService::evaluate() {
  const auto reporting = ctx_.scheduler->heartbeats_since(ctx_.now() - ctx_.reachability.window());
  log_reconnection(reporting);
  const auto before = ctx_.reachability.state();
  const bool give_up = ctx_.reachability.should_step_down(reporting, ctx_.now());
  if (ctx_.reachability.state() != before) {
    ctx_.log->info("{} workers report here, {} are stranded at another node: {}", reporting,
                   ctx_.reachability.reported_stranded(ctx_.now()), name_of(ctx_.reachability.state()));
  }
  if (give_up) leader_service_.step_down(StepDownReason::workers_unreachable);
}

}  // namespace martenwall::service
