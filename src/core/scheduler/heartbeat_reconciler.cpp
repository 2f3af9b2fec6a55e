#include "core/scheduler/heartbeat_reconciler.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace martenwall {

namespace {
constexpr double max_clock_drift_factor = 1.001;        // of a worker's clock against this one
constexpr Duration tombstone_retention = seconds(600);  // of released machines and finished jobs
}  // namespace

// After so long without an answer a worker's lease has surely expired.
Duration HeartbeatReconciler::max_lease_duration() const {
  return seconds(options_.timings.lease_s * max_clock_drift_factor) + options_.policy.lease_margin;
}

Machine& HeartbeatReconciler::upsert_machine(const Heartbeat& heartbeat, Time now) {
  auto [it, added] = state_.machines.try_emplace(heartbeat.machine, heartbeat.machine);
  Machine& machine = it->second;
  if (added) {
    machine.first_known = machine.idle_since = now;
    machine.lease_renewed_at = std::max(now, options_.previous_leader_valid_until);
  }
  machine.addr = heartbeat.addr;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  return machine;
}

HeartbeatReconciler::Result HeartbeatReconciler::on_heartbeat(const Heartbeat& heartbeat, StatusSource source,
                                                              Time now) {
  const bool is_heartbeat = source == StatusSource::heartbeat;
  if (state_.released_machines.contains(heartbeat.machine)) return {};
  Machine& machine = upsert_machine(heartbeat, now);
  // Held in the network, a heartbeat of an incarnation that has surely ended must not revive its tasks.
  if (heartbeat.incarnation <= machine.ended_incarnation) return {};
  const bool same_incarnation = heartbeat.incarnation == machine.incarnation;
  const bool newer =
      heartbeat.incarnation > machine.incarnation || (same_incarnation && heartbeat.sequence > machine.sequence);
  // Heartbeats can be held in the network: an older one says nothing about now. The newest one may come twice, where a
  // node that forwards it did not get the answer: what it is to be answered stands as it did.
  if (machine.has_reported && same_incarnation && heartbeat.sequence == machine.sequence && is_heartbeat) {
    return {Outcome::repeated, &machine};
  }
  if (machine.has_reported ? !newer : heartbeat.incarnation < machine.incarnation) return {};
  machine.last_report_at = now;
  if (is_heartbeat) machine.last_heartbeat_at = now;
  // The incarnation can only have ended if no answer reached the worker, or if it was restarted.
  const bool was_answered =
      machine.has_reported && now - machine.lease_renewed_at < seconds(options_.timings.lease_s / 2);
  const bool lease_lapsed = was_answered && heartbeat.incarnation > machine.incarnation;
  // One heartbeat is in flight at a time: this one was sent after the answer to the last came, or was given up.
  const bool unacknowledged = is_heartbeat && machine.answered_by_this_leader && heartbeat.token < options_.token;
  // What the store says of a machine's incarnation may be older than what it says of its tasks, or missing: until the
  // machine has reported to this leader, another incarnation proves nothing (the simulation found tasks started twice).
  if (machine.has_reported && !same_incarnation) on_new_incarnation(machine, now);
  if (!machine.has_reported || !same_incarnation) machine.incarnation_known_since = now;
  machine.incarnation = heartbeat.incarnation;
  machine.sequence = heartbeat.sequence;
  on_first_report(machine, now);
  if (heartbeat.preemption_notice_s) tasks_.on_preemption_notice(machine, *heartbeat.preemption_notice_s, now);
  const bool start_confirmed = apply_task_statuses(machine, heartbeat, now);
  const bool start_missed = detect_missing_tasks(machine, heartbeat, source, now);
  update_downlink(machine, heartbeat, start_confirmed || !is_heartbeat, lease_lapsed || unacknowledged || start_missed,
                  now);
  state_.erase_removed(machine);
  return {Outcome::applied, &machine};
}

// The first report to this leader, or after a spell in which the machine was booting or lost.
void HeartbeatReconciler::on_first_report(Machine& machine, Time now) {
  if (!machine.has_reported) {
    machine.has_reported = true;
    machine.idle_since = now;
    state_.needs_cycle = true;
    rows_.mark_dirty(machine, now);
    log_.machine_reported(machine);
  }
  if (machine.phase() == MachinePhase::booting || machine.phase() == MachinePhase::lost) {
    machine.transition_to(MachinePhase::up, now);
    machine.idle_since = now;
    state_.needs_cycle = true;
  }
}

// PROTOCOL: a new incarnation means that everything of the earlier ones was killed, and that commands for them are
// refused.
void HeartbeatReconciler::on_new_incarnation(Machine& machine, Time now) {
  for (auto& placement : machine.placements) {
    if (placement.state() == TaskState::planned && placement.occupies()) continue;
    // Of an earlier leader and not confirmed to this one: it may have been placed in the very incarnation that begins
    // here, where the first heartbeat that came was an older one. What the worker says once it has seen this fencing
    // token decides.
    if (placement.unconfirmed && placement.occupies()) continue;
    if (placement.occupies()) {
      tasks_.release_placement(machine, placement, ReleaseReason::new_incarnation, now);
    }
    placement.removed = true;
  }
  machine.images.clear();
  state_.erase_removed(machine);
}

// Returns whether a task is there that was not, which shows that the machine received its start.
bool HeartbeatReconciler::apply_task_statuses(Machine& machine, const Heartbeat& heartbeat, Time now) {
  bool start_confirmed = false;
  for (const auto& status : heartbeat.tasks) {
    auto* placement = machine.find(status.task, status.attempt);
    if (placement == nullptr || placement->removed) {
      tasks_.on_orphan(machine, status, now);
      continue;
    }
    if (placement->state() == TaskState::ended) continue;
    start_confirmed = start_confirmed || !placement->is_reported();
    placement->unconfirmed = false;
    placement->start_sequence.reset();
    if (status.state == TaskState::ended) {
      tasks_.on_exit(machine, *placement, status, now);
    } else {
      tasks_.on_progress(machine, *placement, status, now);
    }
  }
  return start_confirmed;
}

// Returns whether something is missing that the answer to an earlier heartbeat told the worker to start.
bool HeartbeatReconciler::detect_missing_tasks(Machine& machine, const Heartbeat& heartbeat, StatusSource source,
                                               Time now) {
  std::set<std::pair<TaskId, Attempt>> present;
  for (const auto& status : heartbeat.tasks) present.emplace(status.task, status.attempt);
  bool start_missed = false;
  for (auto& placement : machine.placements) {
    if (placement.removed || present.contains({placement.task, placement.attempt})) continue;
    start_missed = apply_absence(machine, placement, heartbeat, source, now) || start_missed;
    const bool waits_for_start = !placement.removed && !placement.is_reported() && !placement.unconfirmed;
    if (waits_for_start && placement.stop_requested && !placement.start_in_flight()) {
      tasks_.release_placement(machine, placement, ReleaseReason::withdrawn, now);
    }
  }
  return start_missed;
}

// What follows from a heartbeat that does not name this placement. Returns whether it refutes a start that was sent.
bool HeartbeatReconciler::apply_absence(Machine& machine, Placement& placement, const Heartbeat& heartbeat,
                                        StatusSource source, Time now) {
  if (placement.state() == TaskState::ended) {
    placement.removed = true;  // the worker has forgotten it
  } else if (placement.is_reported()) {
    tasks_.release_placement(machine, placement, ReleaseReason::not_reported, now);
  } else if (placement.unconfirmed) {
    // An earlier leader's start can still execute until the worker has seen this fencing token.
    if (heartbeat.token >= options_.token) {
      tasks_.release_placement(machine, placement, ReleaseReason::never_arrived, now);
    }
  } else if (placement.start_sequence && source == StatusSource::heartbeat &&
             heartbeat.sequence > *placement.start_sequence) {
    // One heartbeat is in flight at a time: a later one without the task shows that the response that carried its start
    // was not executed, and it will not be.
    placement.start_sequence.reset();
    return true;
  }
  return false;
}

// What was not started on an unreachable machine, and cannot start late either, goes elsewhere; what runs there is lost
// only when its incarnation ends, which heartbeats tell.
void HeartbeatReconciler::update_downlink(Machine& machine, const Heartbeat& heartbeat, bool delivery_confirmed,
                                          bool start_missed, Time now) {
  const auto previous = machine.downlink.state();
  machine.downlink.on_heartbeat(heartbeat.incarnation, max_lease_duration(), now);
  if (delivery_confirmed) machine.downlink.on_delivery_confirmed(now);
  if (start_missed && !delivery_confirmed) machine.downlink.on_delivery_missed(now);
  if (machine.downlink.state() != previous) {
    state_.needs_cycle = true;
    if (machine.downlink.is_unreachable() || previous == DownlinkState::unreachable) log_.machine_downlink(machine);
  }
  if (!machine.downlink.is_reachable()) state_.machines_to_command.insert(machine.id);
  if (!machine.downlink.is_unreachable()) return;
  for (auto& placement : machine.placements) {
    const bool may_be_on_machine = placement.is_reported() || placement.start_in_flight() || placement.unconfirmed;
    if (placement.occupies() && !may_be_on_machine) {
      tasks_.release_placement(machine, placement, ReleaseReason::downlink_unreachable, now);
    }
  }
}

std::size_t HeartbeatReconciler::count_machines_reporting_since(Time since) const {
  return static_cast<std::size_t>(std::ranges::count_if(state_.machines, [&](const auto& entry) {
    return entry.second.has_reported && entry.second.last_heartbeat_at >= since;
  }));
}

void HeartbeatReconciler::on_heartbeat_answered(const MachineId& id, Time now) {
  const auto it = state_.machines.find(id);
  if (it == state_.machines.end()) return;
  it->second.lease_renewed_at = std::max(it->second.lease_renewed_at, now);
  it->second.answered_by_this_leader = true;
}

// An earlier leader's tasks on an unreachable machine would count as there for as long as it is "answered": it never
// shows that it knows this fencing token. Left without answers its lease has surely expired soon, and they can start
// elsewhere.
bool HeartbeatReconciler::must_withhold_response(const MachineId& id) const {
  const auto it = state_.machines.find(id);
  if (it == state_.machines.end() || !it->second.downlink.is_unreachable()) return false;
  return std::ranges::any_of(it->second.placements,
                             [](const Placement& placement) { return placement.unconfirmed && placement.occupies(); });
}

// ---- lease expiry ----

void HeartbeatReconciler::release_unconfirmed(Machine& machine, Time now) {
  for (auto& placement : machine.placements) {
    if (placement.unconfirmed && placement.occupies()) {
      tasks_.release_placement(machine, placement, ReleaseReason::placement_lease_over, now);
    }
  }
  state_.erase_removed(machine);
}

// PROTOCOL: the worker has killed everything by now.
void HeartbeatReconciler::on_lease_expired(Machine& machine, Time now) {
  log_.machine_lost(machine);
  machine.transition_to(MachinePhase::lost, now);
  machine.ended_incarnation = machine.incarnation;
  for (auto& placement : machine.placements) {
    if (placement.occupies()) tasks_.release_placement(machine, placement, ReleaseReason::lease_expired, now);
    placement.removed = true;
  }
  state_.erase_removed(machine);
  machine.images.clear();
}

void HeartbeatReconciler::expire_leases(Time now) {
  const Duration max_lease = max_lease_duration();
  for (auto& [id, machine] : state_.machines) {
    if (machine.phase() == MachinePhase::booting || machine.phase() == MachinePhase::lost) continue;
    // One that is being released stays in its phase: it is looked at once, not each cycle until it is gone.
    if (machine.phase() == MachinePhase::releasing && machine.placements.empty()) continue;
    if (now <= machine.lease_renewed_at + max_lease) continue;
    if (now <= machine.incarnation_known_since + max_lease) {
      // Unanswered, an incarnation lasts for a lease from its beginning, which was perhaps a moment ago: what this
      // leader placed in it is there (`ran_twice` in the simulation, on a machine with a lost downlink). Earlier
      // leaders' work is not: of incarnations that began later they knew nothing.
      release_unconfirmed(machine, now);
      continue;
    }
    on_lease_expired(machine, now);
  }
  std::erase_if(state_.released_machines, [&](const auto& entry) { return now - entry.second > tombstone_retention; });
  std::erase_if(state_.finished_jobs, [&](const auto& entry) {
    return now - entry.second > tombstone_retention && !state_.jobs.contains(entry.first);
  });
}

}  // namespace martenwall
