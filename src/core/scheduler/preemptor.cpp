#include "core/scheduler/preemptor.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "core/placement/matcher.hpp"

namespace martenwall {

namespace {
// Limits on the work of one cycle. Jobs beyond them are handled in later cycles.
constexpr std::size_t max_preemptions = 24;
constexpr std::size_t max_attempts = 48;
constexpr std::size_t min_attempts = 4;
constexpr std::size_t max_machine_evaluations = 150'000;  // over all attempts of a cycle together
constexpr Duration retry_delay = seconds(0.2);            // delay after an attempt that found no victims for the job
constexpr double min_preemption_time_s = 4;               // minimum time for checkpoint, stop and start
constexpr double start_allowance_s = 8;  // time after the checkpoints for which the freed capacity stays reserved
}  // namespace

// Returns the time at which the job could start without preemption, or nothing if no capacity is expected.
std::optional<Time> Preemptor::earliest_start_without_preemption(const Job& job, Time now) const {
  if (!job.capacity_expected_at) return std::nullopt;
  return std::max(now, *job.capacity_expected_at) + seconds(state_.fetch_time_s(job.spec));
}

// Returns whether the job should wait instead of preempting. Preemption is worth its cost if it meets a target that
// waiting would miss, or if no capacity is expected.
bool Preemptor::should_wait_for_capacity(const PendingJob& pending, Time now) const {
  const auto& job = *pending.job;
  const auto expected = earliest_start_without_preemption(job, now);
  if (!expected) return false;
  if (!targets_.has_start_targets(job) && !pending.within_guarantee) return false;
  const Time earliest_start = now + seconds(min_preemption_time_s);
  return std::ranges::none_of(targets_.start_targets(job, pending.within_guarantee), [&](double within_s) {
    const Time due = job.ready_at + seconds(within_s);
    return earliest_start <= due && *expected > due;
  });
}

// Adds the possible victims on one machine, those with the least lost work first. Tasks that are already being stopped
// count as free capacity.
void Preemptor::add_victims(VictimMachine& entry, VictimLookup& lookup, Time now) const {
  for (const auto& placement : entry.machine->placements) {
    if (!placement.occupies()) continue;
    if (placement.stop_requested) {
      entry.free.add(placement.need);
      continue;
    }
    const auto [known, added] = lookup.jobs.try_emplace(placement.task.job);
    if (added) {
      const Job* job = std::as_const(state_).find_job(placement.task.job);
      known->second = {job, lookup.problem.guaranteed.contains(placement.task.job)};
    }
    const auto& [job, guaranteed] = known->second;
    if (job != nullptr && job->unreadable) continue;  // it could not start again
    const JobSpec* spec = job != nullptr && !job->residual ? &job->spec : nullptr;
    entry.victims.push_back({&placement, job, guaranteed, lookup.teams_over_guarantee.contains(placement.team),
                             lost_work_s(options_.policy, spec, *entry.type, placement, now)});
  }
  std::ranges::stable_sort(entry.victims, {}, &Victim::lost_gpu_s);
}

VictimTable Preemptor::victims(const PlacementProblem& problem, Time now) {
  VictimLookup lookup{problem, {}, {}};
  for (const auto& [name, team] : state_.teams) {
    if (state_.quota_usage.over_guarantee(name)) lookup.teams_over_guarantee.insert(name);
  }
  VictimTable table;
  for (auto& [id, machine] : state_.machines) {
    const auto* type = state_.find_type(machine.type);
    if (type == nullptr || !state_.accepts_new_tasks(machine, now)) continue;
    VictimMachine entry{&machine, type, type->capacity, {}};
    entry.free.add(machine.used, -1);
    add_victims(entry, lookup, now);
    table.push_back(std::move(entry));
  }
  return table;
}

bool Preemptor::may_preempt_for(const PendingJob& pending, Time now) const {
  const Job& job = *pending.job;
  // No work has a lower priority than best effort, so best-effort jobs preempt only within their team's guarantee.
  if (pending.count == 0 || (job.priority == Priority::best_effort && !pending.within_guarantee)) return false;
  if (job.suspect) return false;  // suspect jobs use only free capacity
  return now >= job.preempt_after && !is_preempting_for(job.spec.id) && !should_wait_for_capacity(pending, now);
}

std::size_t Preemptor::run(PlacementProblem& problem, Time now) {
  std::erase_if(reserved_until_, [&](const auto& entry) { return entry.second <= now; });
  std::optional<VictimTable> table;
  std::size_t candidate_count = 0;
  std::size_t preemptions_left = max_preemptions;
  std::size_t attempts_left = max_attempts;
  for (auto& pending : problem.jobs) {
    if (preemptions_left == 0 || attempts_left == 0) break;
    if (!may_preempt_for(pending, now)) continue;
    const auto& spec = pending.job->spec;
    const auto headroom = state_.quota_usage.max_additional_tasks(spec.team, spec.need);
    const std::uint32_t needed = spec.kind == JobKind::gang ? spec.tasks : std::min(pending.count, headroom);
    if (needed == 0 || headroom < needed) continue;
    if (!table) {
      table = victims(problem, now);
      for (const auto& entry : *table) candidate_count += entry.victims.size();
      const auto affordable = max_machine_evaluations / std::max<std::size_t>(1, table->size());
      attempts_left = std::min(attempts_left, std::max(min_attempts, affordable));
    }
    --attempts_left;
    const auto zones = spec.one_zone || spec.spread ? count_tasks_by_zone(*pending.job, state_.machines) : ZoneCounts{};
    const auto plan = plan_preemption(*table, pending, needed, zones);
    if (!plan) {
      pending.job->preempt_after = now + retry_delay;
      continue;
    }
    --preemptions_left;
    apply(*plan, pending, now);
  }
  return candidate_count;
}

void Preemptor::apply(const PreemptionPlan& plan, const PendingJob& pending, Time now) {
  const auto& beneficiary = pending.job->spec.id;
  const StopCause cause{StopReason::preempted, &beneficiary};
  double max_grace_s = 0;
  for (const auto& [machine_id, task] : plan.victims) {
    Job* victim = state_.find_job(task.job);
    if (victim == nullptr) continue;
    const double victim_grace_s = grace_s(options_.policy, victim->spec);
    max_grace_s = std::max(max_grace_s, victim_grace_s);
    // A gang is stopped as a whole with checkpoints; of an array, only the selected task is stopped.
    if (victim->spec.kind == JobKind::gang) {
      tasks_.stop_gracefully(*victim, cause, now);
      continue;
    }
    auto& machine = state_.machines.at(machine_id);
    for (auto& placement : machine.placements) {
      if (placement.occupies() && placement.task == task) {
        tasks_.request_stop(machine, placement, victim_grace_s, cause, now);
      }
    }
  }
  const Time until = now + seconds(max_grace_s + start_allowance_s);
  // Removed placements are not erased here, because the victim table points to them until the end of the cycle.
  for (auto* machine : plan.machines) {
    machine->reserved_for = beneficiary;
    machine->reserved_until = until;
  }
  reserved_until_[beneficiary] = until;
}

}  // namespace martenwall
