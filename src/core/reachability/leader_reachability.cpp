#include "core/reachability/leader_reachability.hpp"

#include <algorithm>
#include <array>

namespace martenwall {

namespace {
// Time for which a worker's visit counts. A visit counts at once, without waiting to see whether the worker reached the
// leader: a worker that encounters two unresponsive nodes needs ten seconds to return, half its lease. The leader
// compares the count with the number of workers that report to it.
constexpr Duration visit_validity = seconds(6);
constexpr Duration report_validity = seconds(3);
constexpr Duration suspicion_period = seconds(1.5);
constexpr Duration settling_period = seconds(7);  // workers need 5 s to leave an unresponsive leader
constexpr double step_down_ratio = 1.25;  // hysteresis: with a smaller ratio, two nodes could alternate as leader
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
  std::erase_if(visits_, [&](const auto& visit) { return now - visit.second > visit_validity; });
  return visits_.size();
}

// Each healthy worker has reported once within `window_`.
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
  for (const auto& [node, report] : reports_) {
    if (report.at >= since) max_stranded = std::max(max_stranded, report.stranded);
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
  // A single report may be outdated if the store applied its write late, so a second report after it is required.
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
