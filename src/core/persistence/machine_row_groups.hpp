// Assigns machines to the groups that share a row of machine records in the store.
#pragma once
#include <cstdint>
#include <map>
#include <set>

#include "core/model/model.hpp"

namespace martenwall {

// The members of each group, by group number.
class MachineRowGroups {
 public:
  // Returns the machine's group; assigns the first group with space if it has none.
  std::uint32_t assign(Machine& machine, std::size_t group_size) {
    if (!machine.group) {
      std::uint32_t group = 0;
      while (members_[group].size() >= group_size) ++group;
      add(machine, group);
    }
    return *machine.group;
  }
  void add(Machine& machine, std::uint32_t group) {
    machine.group = group;
    members_[group].insert(machine.id);
  }
  void remove(const Machine& machine) {
    if (machine.group) members_[*machine.group].erase(machine.id);
  }
  [[nodiscard]] const std::set<MachineId>& members(std::uint32_t group) { return members_[group]; }

 private:
  std::map<std::uint32_t, std::set<MachineId>> members_;
};

}  // namespace martenwall
