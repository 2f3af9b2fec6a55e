#include "core/reachability/leader_reachability.hpp"

#include <algorithm>
#include <array>

namespace martenwall {

namespace {
// Its visit counts for so long. Whether the leader kept it is not waited for: a worker that meets two silent nodes
// needs ten seconds to come back, half its lease. The leader compares with those that it hears itself.
constexpr Duration visit_validity = seconds(6);
constexpr Duration report_validity = seconds(3);
constexpr Duration suspicion_period = seconds(1.5);
constexpr Duration settling_period =
    seconds(7);                           // of a new leadership: workers with a silent leader need 5 s to leave it
constexpr double step_down_ratio = 1.25;  // others must hear so many times more, or two nodes would change places
constexpr Duration unreachable_campaign_delay = seconds(4);
constexpr Duration unreached_campaign_delay = seconds(0.3);
constexpr Duration heartbeat_validity = seconds(6);
}  // namespace

std::string_view name_of(LeaderReachabilityState s) {
  static constexpr std::array<std::string_view, 3> names{"hearing", "doubted", "deaf"};
  return names.at(static_cast<std::size_t>(s));
}

void RedirectedWorkers::record(const MachineId& worker, Time now) { visits_[worker] = now; }

std::size_t RedirectedWorkers::stranded(Time now) {
  std::erase_if(visits_, [&](const auto& v) { return now - v.second > visit_validity; });
  return visits_.size();
}

// Within this time each worker that is well has reported once.
LeaderReachability::LeaderReachability(const WorkerTimings& timings)
    : window_(seconds(timings.heartbeat_interval_s * 1.25 + 0.5)) {}

void LeaderReachability::transition_to(LeaderReachabilityState next, Time now) {
  state_ = next;
  since_ = now;
}

void LeaderReachability::on_leadership_began(Time now) {
  reports_.clear();
  settled_at_ = now + settling_period;
  transition_to(LeaderReachabilityState::reachable, now);
}

void LeaderReachability::on_stranded_report(const std::string& node, std::size_t stranded, Time now) {
  reports_[node] = {stranded, now};
}

std::size_t LeaderReachability::reported_stranded(Time now) const { return stranded_since(now - report_validity); }

std::size_t LeaderReachability::stranded_since(Time since) const {
  std::size_t max_stranded = 0;
  for (const auto& [node, c] : reports_) {
    if (c.at >= since) max_stranded = std::max(max_stranded, c.stranded);
  }
  return max_stranded;
}

bool LeaderReachability::should_step_down(std::size_t reporting, Time now) {
  const bool outnumbered = now >= settled_at_ && static_cast<double>(reported_stranded(now)) >
                                                     step_down_ratio * static_cast<double>(reporting);
  if (!outnumbered) {
    if (state_ == LeaderReachabilityState::suspected) transition_to(LeaderReachabilityState::reachable, now);
    return false;
  }
  if (state_ == LeaderReachabilityState::reachable) transition_to(LeaderReachabilityState::suspected, now);
  if (now - since_ < suspicion_period) return false;
  // One note may have come late, carried out by the store long after it was written: another must have followed.
  if (static_cast<double>(stranded_since(since_ + Duration{1})) <= step_down_ratio * static_cast<double>(reporting))
    return false;
  transition_to(LeaderReachabilityState::unreachable, now);
  return true;
}

void LeaderReachability::on_heartbeat(Time now) {
  last_heartbeat_ = now;
  if (state_ == LeaderReachabilityState::unreachable) transition_to(LeaderReachabilityState::reachable, now);
}

Duration LeaderReachability::campaign_delay(Time now) const {
  if (state_ == LeaderReachabilityState::unreachable) return unreachable_campaign_delay;
  const bool reached = last_heartbeat_ != Time{} && now - last_heartbeat_ <= heartbeat_validity;
  return reached ? Duration{0} : unreached_campaign_delay;
}

}  // namespace martenwall
