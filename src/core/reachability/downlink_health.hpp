// Detects whether a machine receives what its controllers send. Its heartbeats may arrive while responses and commands
// do not reach it: its worker's lease then expires although the heartbeats were answered, and tasks placed on it never
// start.
#pragma once
#include <cstdint>
#include <string_view>

#include "core/types.hpp"

namespace martenwall {

// Estimated state of the path from the controllers to a machine.
enum class DownlinkState : std::uint8_t {
  reachable,
  suspected,    // no new tasks: a command had no effect, or an answered incarnation ended
  unreachable,  // repeated evidence: tasks that have not started are placed elsewhere
};
// Returns the name for log lines.
std::string_view name_of(DownlinkState s);

// State of one machine's downlink, derived from its heartbeats.
class DownlinkHealth {
 public:
  // Records a heartbeat of this incarnation, the newest so far. `lease`: after this time in one incarnation, the worker
  // must have received a response.
  void on_heartbeat(Incarnation incarnation, Duration lease, Time now);
  // Records that the heartbeat shows the effect of a command or response.
  void on_delivery_confirmed(Time now);
  // Records that the heartbeat lacks what the response to an earlier one instructed, or reports a new incarnation
  // although the heartbeats of the last one were answered. Called at most once per heartbeat.
  void on_delivery_missed(Time now);

  [[nodiscard]] DownlinkState state() const { return state_; }
  [[nodiscard]] bool is_reachable() const { return state_ == DownlinkState::reachable; }
  [[nodiscard]] bool is_unreachable() const { return state_ == DownlinkState::unreachable; }
  // Returns the time at which the state was entered.
  [[nodiscard]] Time since() const { return since_; }
  // Returns whether to send an empty command batch as a probe, and records the probe. While the machine is not
  // reachable, one is sent at intervals: a reply shows that the machine is reachable.
  [[nodiscard]] bool claim_probe(Time now);

 private:
  void transition_to(DownlinkState next, Time now);
  DownlinkState state_ = DownlinkState::reachable;
  Time since_{};
  Incarnation incarnation_{};
  Time proof_window_start_{};  // an incarnation that lasts a lease longer than this has received a response
  Time last_probe_{Duration::min() / 2};
  int misses_ = 0;
};

}  // namespace martenwall
