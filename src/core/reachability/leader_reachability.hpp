// Detects which nodes the workers can reach. A leader that they cannot reach must step down before their leases end. A
// leader must not step down if only lost machines are missing, or if it is cut off together with all other nodes.
#pragma once
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/model/policy.hpp"
#include "core/types.hpp"

namespace martenwall {

// A follower's view: workers that it recently redirected to the leader. Those that reach the leader do not return.
class RedirectedWorkers {
 public:
  // Records that the worker was redirected to the leader.
  void record(const MachineId& worker, Time now);
  // Returns the number of workers that were recently here although they had been redirected to the leader.
  [[nodiscard]] std::size_t stranded(Time now);
  void clear() { visits_.clear(); }  // called when the leader changes: earlier visits are irrelevant to it

 private:
  std::unordered_map<MachineId, Time> visits_;
};

// Estimated state of the path from the workers to this node.
enum class LeaderReachabilityState {
  reachable,    // no other node is reached by more workers
  suspected,    // more workers reach another node, for a short time so far
  unreachable,  // stepped down for this reason; delays its next campaign
};
// Returns the name for log lines.
std::string_view name_of(LeaderReachabilityState s);

// One node's view of its own reachability.
class LeaderReachability {
 public:
  explicit LeaderReachability(const WorkerTimings& timings);
  // Records that leadership began. Workers need some time to find the new leader and are not counted as missing until
  // then.
  void on_leadership_began(Time now);
  // Records how many workers another node reports that could not reach this leader.
  void on_stranded_report(const std::string& node, std::size_t stranded, Time now);
  // Returns whether this node should step down. `reporting`: number of workers that reported here within `window`.
  bool should_step_down(std::size_t reporting, Time now);
  void on_heartbeat(Time now);  // a worker reached this node, whatever the response was
  // Returns the time within which each healthy worker has reported once.
  [[nodiscard]] Duration window() const { return window_; }
  // Returns the time for which this node lets the others campaign first while no node leads.
  [[nodiscard]] Duration campaign_delay(Time now) const;
  [[nodiscard]] LeaderReachabilityState state() const { return state_; }
  // Returns the highest number of stranded workers that any other node reported recently.
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
