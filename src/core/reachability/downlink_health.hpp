// Whether a machine receives what its controllers send. Its heartbeats may arrive while responses and commands do not
// reach it: its worker's lease then expires although it was answered, and what is placed on it never starts.
#pragma once
#include <cstdint>
#include <string_view>

#include "core/types.hpp"

namespace martenwall {

// What is believed of the way from the controllers to a machine.
enum class DownlinkState : std::uint8_t {
  reachable,
  suspected,    // a command had no effect, or an incarnation ended that was answered: nothing new is placed there
  unreachable,  // so again: what was not started there goes elsewhere
};
std::string_view name_of(DownlinkState s);

// One machine's downlink, judged by what its heartbeats show.
class DownlinkHealth {
 public:
  // A heartbeat of this incarnation came, the newest so far. `lease`: after so long in one incarnation its worker must
  // have received a response.
  void on_heartbeat(Incarnation incarnation, Duration lease, Time now);
  // It carries something that only a command or a response can have brought about.
  void on_delivery_confirmed(Time now);
  // It lacks what the response to an earlier heartbeat told the worker to do, or tells of a new incarnation although
  // the last one's heartbeats were answered. Once a heartbeat at most.
  void on_delivery_missed(Time now);

  [[nodiscard]] DownlinkState state() const { return state_; }
  [[nodiscard]] bool is_reachable() const { return state_ == DownlinkState::reachable; }
  [[nodiscard]] bool is_unreachable() const { return state_ == DownlinkState::unreachable; }
  // When the state was entered.
  [[nodiscard]] Time since() const { return since_; }
  // While it is in doubt an empty command batch is tried now and then: a reply shows that the machine is reachable.
  [[nodiscard]] bool claim_probe(Time now);

 private:
  void transition_to(DownlinkState next, Time now);
  DownlinkState state_ = DownlinkState::reachable;
  Time since_{};
  Incarnation incarnation_{};
  Time proof_window_start_{};  // an incarnation that outlasts a lease from here on shows that something arrived
  Time last_probe_{Duration::min() / 2};
  int misses_ = 0;
};

}  // namespace martenwall
