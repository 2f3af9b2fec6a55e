// A worker's report as the core's tests want it: without tasks, from zone a, of a machine of type g.
#pragma once
#include <string>

#include "core/messages.hpp"

namespace martenwall {

inline WorkerReport report_of(const std::string& machine, Tick tick, Session session = Session{1},
                              Token token = Token{50}) {
  WorkerReport r;
  r.machine = MachineId{machine};
  r.addr = std::string{"10.0.0.9:1"};
  r.type = std::string{"g"};
  r.zone = std::string{"a"};
  r.session = session;
  r.tick = tick;
  r.token = token;
  return r;
}

}  // namespace martenwall
