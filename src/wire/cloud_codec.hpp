// Protocol of the cloud: machine types, scaling out and in, and the list of machines.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/capacity/scale_out_planner.hpp"
#include "core/messages.hpp"

namespace martenwall::wire {

// Parses the machine types. Returns no value if any of them is malformed, or if there are none.
std::optional<std::vector<MachineType>> parse_types(const std::string& body);
// Encodes machine types in the form that `parse_types` reads, for the store.
std::string encode_types(const std::vector<MachineType>& types);

// Returns the body of a scale-out request.
std::string encode_scale_out(const ScaleOutRequest& request);
// Parses the ids of the granted machines. Returns no value if the body has no list of machines.
std::optional<std::vector<MachineId>> parse_scale_out_response(const std::string& body);
// Returns the body of a scale-in request for at most 100 machines.
std::string encode_release(const std::vector<MachineId>& ids);

// Page of the list of machines.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // the list continues after the last machine of this page
};
// Parses a page of the list of machines. Returns no value if the body has no list of machines; skips entries without an
// id or a phase.
std::optional<MachinePage> parse_machines(const std::string& body);

}  // namespace martenwall::wire
