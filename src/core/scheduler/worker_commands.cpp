// What a worker is told to do: orders in answers to its reports, and commands sent straight to it.
#include <algorithm>
#include <utility>

#include "core/scheduler/scheduler.hpp"

namespace martenwall {

namespace {
constexpr Duration start_takes = seconds(6);  // from an answer with a start: its way, and the start itself
constexpr std::size_t max_probes = 8;         // at once, of machines that may be deaf
constexpr std::size_t max_commands = 300;     // in one answer: a line of it may have 64 KiB
}  // namespace

std::vector<Command> Scheduler::commands_for(Machine& m, HeartbeatSequence sequence, Time now, bool lease_valid) {
  std::vector<Command> out;
  for (auto& p : m.placements) {
    // An answer must stay short; what is beyond comes with the next one.
    if (out.size() >= max_commands) break;
    if (!p.removed) append_command(m, p, sequence, now, lease_valid, out);
  }
  return out;
}

void Scheduler::append_command(Machine& m, Placement& p, HeartbeatSequence sequence, Time now, bool lease_valid,
                               std::vector<Command>& out) {
  if (p.state() == TaskState::ended) {
    // While a direct start of it may still execute, the worker must go on knowing the attempt:
    // after a reap, a late start would run it again.
    if (is_placement_stored(p) && lease_valid && !p.direct_start_unanswered) {
      out.push_back({Command::Verb::forget, p.task, p.attempt, 0});
    }
    return;
  }
  if (p.stop_requested) {
    // Up to when it is surely carried out before a cancelled job's tasks have to be gone.
    const bool early = now - p.stop_requested_at < seconds(options_.terms.cancel_s) - start_takes;
    if (!p.is_reported() && p.direct_start_unanswered && early && m.phase() != MachinePhase::releasing) {
      // Make the worker know the attempt, so that the late start has no effect; then end it. In grace too: an answer
      // that keeps the session alive and does not do this would leave the way open to a start that the network holds
      // for longer than cancel_s. What it starts is stored as being there, whoever leads.
      out.push_back({Command::Verb::start, p.task, p.attempt, 0});
      p.start_sequence = std::max(p.start_sequence.value_or(sequence), sequence);
    }
    const bool overdue = now - p.stop_requested_at > seconds(p.stop_grace_s + options_.terms.gang_peer_s + 4);
    const double grace = overdue ? 0 : p.stop_grace_s;
    if (p.state() != TaskState::saving || grace <= 0) {
      out.push_back({Command::Verb::stop, p.task, p.attempt, grace});
    }
    p.stop_sent = true;
    return;
  }
  if (!p.is_reported() && !p.unconfirmed && lease_valid && m.takes_starts() && jobs_.contains(p.task.job) &&
      is_placement_stored(p)) {
    p.enter(TaskState::sent, now);
    p.start_sequence = std::max(p.start_sequence.value_or(sequence), sequence);
    out.push_back({Command::Verb::start, p.task, p.attempt, 0});
  }
}

std::vector<CommandBatch> Scheduler::take_command_batches(Time now) {
  std::vector<CommandBatch> out;
  if (!options_.policy.direct_starts) return out;
  std::size_t probes = 0;
  for (const auto& id : std::exchange(machines_to_command_, {})) {
    const auto it = machines_.find(id);
    if (it == machines_.end()) continue;
    Machine& m = it->second;
    if (!m.has_reported || m.phase() == MachinePhase::lost || m.phase() == MachinePhase::releasing) continue;
    // Only to machines that answer: a command to a silent one could be held and execute late.
    if (now - m.last_report_at > seconds(options_.terms.heartbeat_interval_s * 1.5)) continue;
    CommandBatch batch{id, m.addr, m.incarnation, {}};
    for (auto& p : m.placements) {
      if (p.removed || !p.occupies()) continue;
      if (p.stop_requested) {
        if (!p.stop_sent && p.is_reported()) {
          batch.commands.push_back({Command::Verb::stop, p.task, p.attempt, p.stop_grace_s});
          p.stop_sent = true;
        }
      } else if (p.state() == TaskState::planned && m.takes_starts() && jobs_.contains(p.task.job) &&
                 is_placement_stored(p)) {
        p.enter(TaskState::sent, now);
        p.direct_start_unanswered = true;
        batch.commands.push_back({Command::Verb::start, p.task, p.attempt, 0});
      }
    }
    const bool probe = probes < max_probes && m.downlink.takes_probe(now);
    if (probe) ++probes;
    if (probe || !batch.commands.empty()) out.push_back(std::move(batch));
  }
  return out;
}

void Scheduler::on_command_outcome(const CommandBatch& batch, CommandOutcome outcome, Time now) {
  const auto it = machines_.find(batch.machine);
  if (it == machines_.end() || outcome == CommandOutcome::unknown) return;
  Machine& m = it->second;
  for (const auto& o : batch.commands) {
    auto* p = m.find(o.task, o.attempt);
    if (p == nullptr || p->removed) continue;
    if (o.verb == Command::Verb::start) p->direct_start_unanswered = false;
    if (o.verb == Command::Verb::start && p->stop_requested && !p->is_reported() && !p->start_in_flight() &&
        outcome != CommandOutcome::executed) {
      release_placement(m, *p, now, "withdrawn");
    }
  }
  erase_removed(m);
}

std::vector<CommandBatch> Scheduler::announcements() const {
  std::vector<CommandBatch> out;
  for (const bool busy : {true, false}) {
    for (const auto& [id, m] : machines_) {
      if (m.empty() != busy && !m.has_reported && !m.addr.empty() && m.phase() == MachinePhase::up) {
        out.push_back({id, m.addr, m.incarnation, {}});
      }
    }
  }
  return out;
}

bool Scheduler::is_placement_stored(const Placement& p) const {
  const auto* job = find_job(p.task.job);
  if (job == nullptr || job->end_is_stored) return true;
  if (p.generation == Generation{0}) return true;
  const auto told = [&](const Job::RowStates& parts) -> std::optional<bool> {
    const auto next = parts.upper_bound(p.task.index);
    if (next == parts.begin()) return std::nullopt;
    const auto& [first, part] = *std::prev(next);
    if (p.task.index >= first + part.size) return std::nullopt;
    return p.generation <= part.stored;
  };
  if (const auto in_range = told(job->task_ranges)) return *in_range;
  return told(job->v1_rows).value_or(false);
}

}  // namespace martenwall
