// Builds heartbeats for tests of the core: no tasks, zone a, machine type g.
#pragma once
#include <string>

#include "core/messages.hpp"

namespace martenwall {

inline Heartbeat report_of(const std::string& machine, HeartbeatSequence sequence,
                           Incarnation incarnation = Incarnation{1}, FencingToken token = FencingToken{50}) {
  Heartbeat r;
  r.machine = MachineId{machine};
  r.addr = std::string{"10.0.0.9:1"};
  r.type = std::string{"g"};
  r.zone = std::string{"a"};
  r.incarnation = incarnation;
  r.sequence = sequence;
  r.token = token;
  return r;
}

}  // namespace martenwall
