#include "core/scheduler/heartbeat_reconciler.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace martenwall {

namespace {
constexpr double max_clock_drift_factor = 1.001;        // drift of a worker's clock relative to the leader's clock
constexpr Duration tombstone_retention = seconds(600);  // retention of released machines and finished jobs
}  // namespace

// Returns the time without a response after which a worker's lease has certainly expired.
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
  // A heartbeat delayed in the network must not revive the tasks of an incarnation that has certainly ended.
  if (heartbeat.incarnation <= machine.ended_incarnation) return {};
  const bool same_incarnation = heartbeat.incarnation == machine.incarnation;
  const bool newer =
      heartbeat.incarnation > machine.incarnation || (same_incarnation && heartbeat.sequence > machine.sequence);
  // Heartbeats can be delayed in the network, so older ones are ignored. The newest one may arrive twice, if a node
  // that forwards it did not get the response; its response is unchanged.
  if (machine.has_reported && same_incarnation && heartbeat.sequence == machine.sequence && is_heartbeat) {
    return {Outcome::repeated, &machine};
  }
  if (machine.has_reported ? !newer : heartbeat.incarnation < machine.incarnation) return {};
  machine.last_report_at = now;
  if (is_heartbeat) machine.last_heartbeat_at = now;
  // An incarnation can end only if no response reached the worker, or if the worker was restarted.
  const bool was_answered =
      machine.has_reported && now - machine.lease_renewed_at < seconds(options_.timings.lease_s / 2);
  const bool lease_lapsed = was_answered && heartbeat.incarnation > machine.incarnation;
  // A worker has one heartbeat in flight at a time. It sent this one after it received the response to the previous one
  // or timed out waiting for it.
  const bool unacknowledged = is_heartbeat && machine.answered_by_this_leader && heartbeat.token < options_.token;
  // The stored incarnation of a machine may be older than its stored tasks, or missing. Until the machine has reported
  // to this leader, a different incarnation therefore proves nothing (the simulation found tasks started twice).
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

// Handles the first report to this leader, or the first one after the machine was booting or lost.
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

// PROTOCOL: a new incarnation means that all tasks of earlier incarnations were killed and that commands for those
// incarnations are refused.
void HeartbeatReconciler::on_new_incarnation(Machine& machine, Time now) {
  for (auto& placement : machine.placements) {
    if (placement.state() == TaskState::planned && placement.occupies()) continue;
    // A placement by an earlier leader that is not confirmed to this one may belong to the incarnation that begins
    // here, if the first heartbeat to arrive was from an older incarnation. It is resolved by the worker's first report
    // after it has seen this fencing token.
    if (placement.unconfirmed && placement.occupies()) continue;
    if (placement.occupies()) {
      tasks_.release_placement(machine, placement, ReleaseReason::new_incarnation, now);
    }
    placement.removed = true;
  }
  machine.images.clear();
  state_.erase_removed(machine);
}

// Returns whether the heartbeat reports a task for the first time, which proves that the machine received its start.
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

// Returns whether a task is missing that the response to an earlier heartbeat told the worker to start.
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

// Handles a placement that the heartbeat does not report. Returns whether the absence proves that a start sent earlier
// did not take effect.
bool HeartbeatReconciler::apply_absence(Machine& machine, Placement& placement, const Heartbeat& heartbeat,
                                        StatusSource source, Time now) {
  if (placement.state() == TaskState::ended) {
    placement.removed = true;  // the worker no longer tracks the task
  } else if (placement.is_reported()) {
    tasks_.release_placement(machine, placement, ReleaseReason::not_reported, now);
  } else if (placement.unconfirmed) {
    // A start sent by an earlier leader can still execute until the worker has seen this fencing token.
    if (heartbeat.token >= options_.token) {
      tasks_.release_placement(machine, placement, ReleaseReason::never_arrived, now);
    }
  } else if (placement.start_sequence && source == StatusSource::heartbeat &&
             heartbeat.sequence > *placement.start_sequence) {
    // A worker has one heartbeat in flight at a time. A later heartbeat without the task proves that the response
    // carrying its start was not executed and will not be.
    placement.start_sequence.reset();
    return true;
  }
  return false;
}

// Tasks that were not started on an unreachable machine, and can no longer start there, are released to be placed
// elsewhere. Running tasks are lost only when the machine's incarnation ends, which heartbeats report.
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

// Tasks of an earlier leader on an unreachable machine would count as present for as long as the machine gets
// responses, because it never confirms this fencing token. Without responses its lease expires, and the tasks can start
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

// PROTOCOL: at this point the worker has killed all its tasks.
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
    // A machine that is being released keeps its phase, so it is handled once and not in each cycle until it is gone.
    if (machine.phase() == MachinePhase::releasing && machine.placements.empty()) continue;
    if (now <= machine.lease_renewed_at + max_lease) continue;
    if (now <= machine.incarnation_known_since + max_lease) {
      // An incarnation that gets no response lasts for one lease from its start, which may be recent, so tasks that
      // this leader placed in it may still be running (`ran_twice` in the simulation, on a machine with a lost
      // downlink). Tasks placed by earlier leaders are gone: those leaders did not know incarnations that started
      // later.
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
