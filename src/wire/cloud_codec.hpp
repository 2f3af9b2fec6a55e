// The cloud's protocol: machine types, rental, release, list.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/capacity/scale_out_planner.hpp"
#include "core/messages.hpp"

namespace martenwall::wire {

std::optional<std::vector<MachineType>> parse_types(const std::string& body);
std::string encode_types(const std::vector<MachineType>& types);
std::string encode_scale_out(const ScaleOutRequest& request);
std::optional<std::vector<MachineId>> parse_scale_out_response(const std::string& body);
std::string encode_release(const std::vector<MachineId>& ids);
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
std::optional<MachinePage> parse_machines(const std::string& body);

}  // namespace martenwall::wire
