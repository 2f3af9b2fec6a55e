// Which nodes the workers reach. A leader that they cannot reach must give way before their leases end; one
// that is only left by lost machines, or cut off together with all others, must not.
#pragma once
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/model/policy.hpp"
#include "core/types.hpp"

namespace martenwall {

// A follower's view: workers that it sent to the leader lately. Those that the leader keeps do not come again.
class RedirectedWorkers {
 public:
  // The worker was sent to the leader.
  void record(const MachineId& worker, Time now);
  // Workers that came here lately although they were sent to the leader.
  [[nodiscard]] std::size_t stranded(Time now);
  void clear() { visits_.clear(); }  // another leader: what they met before says nothing of it

 private:
  std::unordered_map<MachineId, Time> visits_;
};

enum class LeaderReachabilityState {
  reachable,    // no other node is reached by more workers
  suspected,    // others are, since a moment ago
  unreachable,  // gave its leadership up for that; does not campaign at once
};
std::string_view name_of(LeaderReachabilityState s);

// One node's view of itself.
class LeaderReachability {
 public:
  explicit LeaderReachability(const WorkerTimings& timings);
  // Leadership began: workers need a moment to find the new leader, and are not missed before.
  void on_leadership_began(Time now);
  // Another node says how many workers it could not get rid of to this leader.
  void on_stranded_report(const std::string& node, std::size_t stranded, Time now);
  // `heard`: workers that reported here within `window`. Returns true once leadership should be given up.
  bool should_step_down(std::size_t reporting, Time now);
  void on_heartbeat(Time now);  // a worker reached this node, whatever it was answered
  // Within this time each worker that is well has reported once.
  [[nodiscard]] Duration window() const { return window_; }
  // How long this node lets the others go first once no one leads.
  [[nodiscard]] Duration campaign_delay(Time now) const;
  [[nodiscard]] LeaderReachabilityState state() const { return state_; }
  // The highest number of stranded workers that another node reported lately.
  [[nodiscard]] std::size_t reported_stranded(Time now) const;

 private:
  void transition_to(LeaderReachabilityState next, Time now);
  [[nodiscard]] std::size_t stranded_since(Time since) const;
  struct StrandedReport {
    std::size_t stranded = 0;
    Time at{};
  };
  Duration window_;
  LeaderReachabilityState state_ = LeaderReachabilityState::reachable;
  Time since_{};
  Time settled_at_{};
  Time last_heartbeat_{};
  std::map<std::string, StrandedReport> reports_;
};

}  // namespace martenwall
