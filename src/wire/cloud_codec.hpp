// The cloud's protocol: machine types, scaling out and in, the list of machines.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/capacity/scale_out_planner.hpp"
#include "core/messages.hpp"

namespace martenwall::wire {

// The machine types; nothing where any of them cannot be read, or where there is none.
std::optional<std::vector<MachineType>> parse_types(const std::string& body);
// The same form, for the store.
std::string encode_types(const std::vector<MachineType>& types);

// The body of a scale-out request.
std::string encode_scale_out(const ScaleOutRequest& request);
// The machines granted; nothing where the body has no list of them.
std::optional<std::vector<MachineId>> parse_scale_out_response(const std::string& body);
// The body of a scale-in request, of at most 100 machines.
std::string encode_release(const std::vector<MachineId>& ids);

// A page of the list of machines.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // further machines follow the last of these
};
// Nothing where any machine of the page cannot be read.
std::optional<MachinePage> parse_machines(const std::string& body);

}  // namespace martenwall::wire
