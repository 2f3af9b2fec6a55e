#include "core/scheduler/worker_command_dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace martenwall {

namespace {
constexpr Duration start_latency = seconds(6);          // time from a response with a start until the start is complete
constexpr std::size_t max_concurrent_probes = 8;        // machines with a doubtful downlink that are probed per call
constexpr std::size_t max_commands_per_response = 300;  // limit per response: a line of a response may have 64 KiB
// Ended attempts of a machine at which further starts are sent in responses only, so that its reports stay small.
constexpr std::size_t max_kept_attempts = 60;
constexpr double stop_overdue_s = 4;  // time beyond the grace period after which a stop is repeated without grace
// Maximum age of a machine's last report for a direct command, in heartbeat intervals. A command to a machine that has
// been silent for longer could be delayed in the network and execute late.
constexpr double max_report_age_intervals = 1.5;
}  // namespace

std::vector<Command> WorkerCommandDispatcher::commands_for(Machine& machine, HeartbeatSequence sequence, Time now,
                                                           bool lease_valid) {
  std::vector<Command> out;
  for (auto& placement : machine.placements) {
    // The size of a response is limited; the remaining commands are sent in the next one.
    if (out.size() >= max_commands_per_response) break;
    if (!placement.removed) append_command(machine, placement, sequence, now, lease_valid, out);
  }
  return out;
}

void WorkerCommandDispatcher::append_command(Machine& machine, Placement& placement, HeartbeatSequence sequence,
                                             Time now, bool lease_valid, std::vector<Command>& out) {
  if (placement.state() == TaskState::ended) {
    // While a direct start of the attempt or a copy of it may still execute, the worker must keep its record of the
    // attempt. Without the record, a late start would run the task again.
    const bool may_start_again = placement.direct_start_unanswered || placement.is_kept_for_late_copies(now);
    if (rows_.is_stored(placement) && lease_valid && !may_start_again) {
      out.push_back({Command::Verb::forget, placement.task, placement.attempt, 0});
    }
    return;
  }
  if (placement.stop_requested) {
    append_stop(machine, placement, sequence, now, out);
    return;
  }
  const bool may_start = !placement.is_reported() && !placement.unconfirmed && lease_valid && machine.accepts_starts();
  if (may_start && state_.jobs.contains(placement.task.job) && rows_.is_stored(placement)) {
    placement.transition_to(TaskState::sent, now);
    placement.start_sequence = std::max(placement.start_sequence.value_or(sequence), sequence);
    out.push_back({Command::Verb::start, placement.task, placement.attempt, 0});
  }
}

void WorkerCommandDispatcher::append_stop(const Machine& machine, Placement& placement, HeartbeatSequence sequence,
                                          Time now, std::vector<Command>& out) {
  const Duration elapsed = now - placement.stop_requested_at;
  // A start sent before this time takes effect before a cancelled job's tasks must be gone.
  const bool before_cancel_deadline = elapsed < seconds(options_.timings.cancel_s) - start_latency;
  const bool may_start_late = !placement.is_reported() && placement.direct_start_unanswered;
  if (may_start_late && before_cancel_deadline && machine.phase() != MachinePhase::releasing) {
    // The start makes the worker record the attempt, so that the late start has no effect; the stop then ends it. This
    // is done in a graceful stop as well: a response that keeps the incarnation alive without it would allow a start
    // that the network delays for longer than `cancel_s`. A task started this way is stored as present on the machine,
    // whichever node leads.
    out.push_back({Command::Verb::start, placement.task, placement.attempt, 0});
    placement.start_sequence = std::max(placement.start_sequence.value_or(sequence), sequence);
  }
  const bool overdue = elapsed > seconds(placement.stop_grace_s + options_.timings.gang_peer_s + stop_overdue_s);
  const double grace_s = overdue ? 0 : placement.stop_grace_s;
  if (placement.state() != TaskState::saving || grace_s <= 0) {
    out.push_back({Command::Verb::stop, placement.task, placement.attempt, grace_s});
  }
  placement.stop_sent = true;
}

std::vector<CommandBatch> WorkerCommandDispatcher::take_batches(Time now) {
  std::vector<CommandBatch> out;
  if (!options_.policy.direct_starts) return out;
  std::size_t probes = 0;
  for (const auto& id : std::exchange(state_.machines_to_command, {})) {
    const auto it = state_.machines.find(id);
    if (it == state_.machines.end()) continue;
    Machine& machine = it->second;
    if (!machine.has_reported) continue;
    if (machine.phase() == MachinePhase::lost || machine.phase() == MachinePhase::releasing) continue;
    if (now - machine.last_report_at > seconds(options_.timings.heartbeat_interval_s * max_report_age_intervals))
      continue;
    CommandBatch batch{id, machine.addr, machine.incarnation, {}};
    const bool may_start = machine.accepts_starts() && machine.kept_attempts(now) < max_kept_attempts;
    for (auto& placement : machine.placements) append_direct_command(placement, may_start, now, batch);
    const bool probe = probes < max_concurrent_probes && machine.downlink.claim_probe(now);
    if (probe) ++probes;
    if (probe || !batch.commands.empty()) out.push_back(std::move(batch));
  }
  return out;
}

void WorkerCommandDispatcher::append_direct_command(Placement& placement, bool may_start, Time now,
                                                    CommandBatch& batch) {
  if (placement.removed || !placement.occupies()) return;
  if (placement.stop_requested) {
    if (placement.stop_sent || !placement.is_reported()) return;
    batch.commands.push_back({Command::Verb::stop, placement.task, placement.attempt, placement.stop_grace_s});
    placement.stop_sent = true;
    return;
  }
  if (!may_start || placement.state() != TaskState::planned || !state_.jobs.contains(placement.task.job) ||
      !rows_.is_stored(placement))
    return;
  placement.transition_to(TaskState::sent, now);
  placement.direct_start_unanswered = true;
  placement.direct_start_sent_at = now;
  batch.commands.push_back({Command::Verb::start, placement.task, placement.attempt, 0});
}

void WorkerCommandDispatcher::on_outcome(const CommandBatch& batch, CommandOutcome outcome, Time now) {
  const auto it = state_.machines.find(batch.machine);
  if (it == state_.machines.end() || outcome == CommandOutcome::unknown) return;
  Machine& machine = it->second;
  for (const auto& command : batch.commands) {
    if (command.verb != Command::Verb::start) continue;
    auto* placement = machine.find(command.task, command.attempt);
    if (placement == nullptr || placement->removed) continue;
    placement->direct_start_unanswered = false;
    const bool never_started = outcome != CommandOutcome::executed && !placement->is_reported();
    if (never_started && placement->stop_requested && !placement->start_in_flight()) {
      tasks_.release_placement(machine, *placement, ReleaseReason::withdrawn, now);
    }
  }
  state_.erase_removed(machine);
}

std::vector<CommandBatch> WorkerCommandDispatcher::announcements() const {
  std::vector<CommandBatch> out;
  for (const bool busy : {true, false}) {
    for (const auto& [id, machine] : state_.machines) {
      const bool is_addressable = !machine.addr.empty() && machine.phase() == MachinePhase::up;
      if (machine.empty() != busy && !machine.has_reported && is_addressable) {
        out.push_back({id, machine.addr, machine.incarnation, {}});
      }
    }
  }
  return out;
}

}  // namespace martenwall
