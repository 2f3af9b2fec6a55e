// Does a machine hear its controllers? Its reports may arrive while answers and commands do not reach it. Its worker's
// lease then runs out although it was "answered", and what is placed on it never starts.
#pragma once
#include <cstdint>
#include <string_view>

#include "core/types.hpp"

namespace martenwall {

enum class DownlinkState : std::uint8_t {
  reachable,
  suspected,    // an order was not taken up, or a session ended that was answered: nothing new is placed there
  unreachable,  // so again: what was not started there goes elsewhere
};
std::string_view name_of(DownlinkState s);

class DownlinkHealth {
 public:
  // A report of this session came, the newest so far. `lease`: after so long in one session its worker must have heard
  // an answer.
  void on_heartbeat(Incarnation incarnation, Duration lease, Time now);
  // It carries something that only an order or an answer can have brought about.
  void on_delivery_confirmed(Time now);
  // It lacks what the answer to an earlier report told it to do, or tells of a new session although the last one's
  // reports were answered. Once a report at most.
  void on_delivery_missed(Time now);

  [[nodiscard]] DownlinkState state() const { return state_; }
  [[nodiscard]] bool is_reachable() const { return state_ == DownlinkState::reachable; }
  [[nodiscard]] bool is_unreachable() const { return state_ == DownlinkState::unreachable; }
  [[nodiscard]] Time since() const { return since_; }
  // While it is in doubt a command without orders is tried now and then: its answer shows that it hears.
  [[nodiscard]] bool takes_probe(Time now);

 private:
  void enter(DownlinkState next, Time now);
  DownlinkState state_ = DownlinkState::reachable;
  Time since_{};
  Incarnation incarnation_{};
  Time proof_from_{};  // what is left of its session from here on shows that it heard something since
  Time last_probe_{Duration::min() / 2};
  int misses_ = 0;
};

}  // namespace martenwall
