#include "core/scheduler/machine_inventory.hpp"

#include <algorithm>
#include <set>

namespace martenwall {

Machine& MachineInventory::upsert_machine(const ListedMachine& listed, Time now) {
  auto [it, added] = state_.machines.try_emplace(listed.id, listed.id);
  Machine& machine = it->second;
  if (added) {
    // The machine was requested by an earlier leader, or by a request that was executed late. It is used like any
    // other.
    machine.first_known = now - seconds(listed.age_s);
    machine.last_report_at = machine.idle_since = now;
    machine.lease_renewed_at = std::max(now, options_.previous_leader_valid_until);
    log_.machine_discovered(listed.id);
  }
  if (machine.addr.empty()) {
    machine.addr = listed.addr;
    machine.type = listed.type;
    machine.zone = listed.zone;
    machine.spot = listed.spot;
  }
  return machine;
}

void MachineInventory::on_list(const std::vector<ListedMachine>& list, Time requested_at, Duration max_staleness,
                               Time now) {
  std::set<MachineId> present;
  for (const auto& listed : list) {
    present.insert(listed.id);
    if (state_.released_machines.contains(listed.id)) continue;
    Machine& machine = upsert_machine(listed, now);
    if (!machine.listed_at) machine.listed_at = requested_at;
    const bool failed = listed.phase == ListedMachine::Phase::failed;
    if (failed && machine.phase() != MachinePhase::releasing) on_failed(machine, now);
  }
  std::vector<MachineId> vanished;
  for (const auto& [id, machine] : state_.machines) {
    // A machine stays listed until it is gone, but a list can be older than the one before it.
    const bool was_listed = machine.listed_at && requested_at - *machine.listed_at > 2 * max_staleness + seconds(2);
    if (was_listed && !present.contains(id)) vanished.push_back(id);
  }
  for (const auto& id : vanished) remove(id, RemovalReason::vanished, now);
}

void MachineInventory::on_failed(Machine& machine, Time now) {
  for (auto& placement : machine.placements) {
    if (placement.occupies()) tasks_.release_placement(machine, placement, ReleaseReason::machine_failed, now);
    placement.removed = true;
  }
  state_.erase_removed(machine);
  machine.transition_to(MachinePhase::releasing, now);
}

void MachineInventory::on_released(const std::vector<MachineId>& ids, Time now) {
  for (const auto& id : ids) remove(id, RemovalReason::released, now);
}

void MachineInventory::remove(const MachineId& id, RemovalReason reason, Time now) {
  const auto it = state_.machines.find(id);
  if (it == state_.machines.end()) return;
  Machine& machine = it->second;
  log_.machine_removed(id, reason);
  for (auto& placement : machine.placements) {
    if (placement.occupies()) tasks_.release_placement(machine, placement, ReleaseReason::machine_removed, now);
    placement.removed = true;
  }
  state_.erase_removed(machine);
  rows_.remove_machine(machine, now);
  state_.machines.erase(it);
  state_.released_machines[id] = now;
  state_.needs_cycle = true;
}

}  // namespace martenwall
