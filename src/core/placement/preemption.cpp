#include "core/placement/preemption.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace martenwall {

bool may_preempt(const PendingJob& pending, const Victim& victim) {
  const auto& spec = pending.job->spec;
  const auto& placement = *victim.placement;
  const auto priority = pending.job->priority;
  if (placement.priority != priority)
    return placement.priority < priority && !placement.orphan && victim.job != pending.job;
  return pending.within_guarantee && victim.team_over_guarantee && !victim.within_guarantee && !placement.orphan &&
         placement.team != spec.team;
}

double grace_s(const Policy& policy, const JobSpec& spec) {
  if (spec.checkpoint_interval_s <= 0) return 0;
  const bool cheaper_unsaved = policy.allow_unsaved_stops && spec.kind != JobKind::gang &&
                               spec.checkpoint_interval_s / 2 < spec.checkpoint_duration_s;
  return cheaper_unsaved ? 0 : spec.checkpoint_duration_s;
}

double lost_work_s(const Policy& policy, const JobSpec* spec, const MachineType& type, const Placement& victim,
                   Time now) {
  if (spec == nullptr) return 0;
  if (victim.state() != TaskState::running) return 1.0;
  const double run_s = std::max(0.0, to_seconds(now - victim.running_since));
  // A task with checkpoints saves when it is given a grace period: only the saving and the restart are lost.
  const double saving_s = grace_s(policy, *spec);
  const double unsaved_s = spec->checkpoint_interval_s > 0 ? std::min(run_s, spec->checkpoint_interval_s / 2) : run_s;
  const double lost_s = (saving_s > 0 ? saving_s : unsaved_s) + 5.0;
  const double gang_size = spec->kind == JobKind::gang ? spec->tasks : 1;
  return lost_s * gang_size * std::max(1.0, dominant_units(type, spec->need));
}

namespace {

constexpr std::size_t max_machines_per_plan = 32;  // machines preempted for one array in one plan

struct Candidate {
  const VictimMachine* machine = nullptr;
  std::size_t victims = 0;  // number of entries of the machine's list that are used
  std::uint32_t tasks = 0;  // tasks that fit after the preemption
  double lost_gpu_s = 0;
  double cost = 0;
  [[nodiscard]] double cost_each() const { return cost / tasks; }
};

// Adds victims of the machine until one more task fits. Returns false if that is impossible.
bool free_one_task(const PendingJob& pending, const VictimMachine& victim_machine, Resources& free,
                   Candidate& candidate) {
  const auto& need = pending.job->spec.need;
  while (!need.fits_in(free)) {
    if (candidate.victims == victim_machine.victims.size()) return false;
    const auto& victim = victim_machine.victims[candidate.victims++];
    if (victim.placement->stop_requested) {  // already chosen in this cycle for another row, with the rest of its gang
      free.add(victim.placement->need);
      continue;
    }
    if (!may_preempt(pending, victim)) continue;
    free.add(victim.placement->need);
    candidate.lost_gpu_s += victim.lost_gpu_s;
  }
  free.add(need, -1);
  ++candidate.tasks;
  return true;
}

// Returns the cheapest set of victims on one machine that frees capacity for `wanted` tasks, or for as many as
// possible.
std::optional<Candidate> free_tasks_on(const PendingJob& pending, const VictimMachine& victim_machine,
                                       std::uint32_t wanted) {
  Candidate out;
  out.machine = &victim_machine;
  Resources free = victim_machine.free;
  while (out.tasks < wanted) {
    Candidate extended = out;
    if (!free_one_task(pending, victim_machine, free, extended)) break;
    out = extended;
  }
  if (out.tasks == 0) return std::nullopt;
  const auto& job = *pending.job;
  const bool needs_fetch =
      job.spec.image_gb > 0 && !victim_machine.machine->has_image(job.image) && victim_machine.type->fetch_gb_per_s > 0;
  const double fetch_s = needs_fetch ? job.spec.image_gb / victim_machine.type->fetch_gb_per_s : 0;
  out.cost = out.lost_gpu_s + fetch_s * std::max(1.0, dominant_units(*victim_machine.type, job.spec.need) * out.tasks);
  return out;
}

// Returns the plan with the lowest cost per task. `zone_counts`: the job's other tasks by zone.
std::optional<PreemptionPlan> cheapest_plan(const PendingJob& pending, std::vector<Candidate> candidates,
                                            std::size_t wanted, bool all_or_none, ZoneCounts zone_counts) {
  std::ranges::stable_sort(candidates, {}, &Candidate::cost_each);
  PreemptionPlan out;
  std::size_t tasks = 0;
  for (const auto& candidate : candidates) {
    if (tasks >= wanted || (!all_or_none && out.machines.size() >= max_machines_per_plan)) break;
    const auto& zone = candidate.machine->machine->zone;
    if (!zone_allows(pending.job->spec, zone_counts, zone)) continue;
    zone_counts[zone] += candidate.tasks;
    tasks += candidate.tasks;
    out.machines.push_back(candidate.machine->machine);
    for (std::size_t v = 0; v < candidate.victims; ++v) {
      const auto& victim = candidate.machine->victims[v];
      if (!victim.placement->stop_requested && may_preempt(pending, victim))
        out.victims.emplace_back(candidate.machine->machine->id, victim.placement->task);
    }
    out.cost += candidate.cost;
  }
  if (tasks == 0 || (all_or_none && tasks < wanted)) return std::nullopt;
  return out;
}

}  // namespace

std::optional<PreemptionPlan> plan_preemption(const VictimTable& table, const PendingJob& pending, std::uint32_t wanted,
                                              const ZoneCounts& zone_counts) {
  const auto& spec = pending.job->spec;
  const bool gang = spec.kind == JobKind::gang;
  std::map<std::string, std::vector<Candidate>> by_zone;
  const MachineType* type = nullptr;
  bool type_fits = false;
  for (const auto& victim_machine : table) {
    if (victim_machine.machine->reserved_for) continue;
    if (std::exchange(type, victim_machine.type) != victim_machine.type)
      type_fits = type_allows(spec, *victim_machine.type);
    if (!type_fits || !location_allows(spec, victim_machine.machine->zone, victim_machine.machine->spot)) continue;
    const auto candidate = free_tasks_on(pending, victim_machine, gang ? 1 : wanted);
    if (!candidate) continue;
    auto group = spec.one_zone ? victim_machine.machine->zone : std::string{};
    if (pending.uniform_image && victim_machine.machine->has_image(pending.job->image)) group += " cached";
    by_zone[std::move(group)].push_back(*candidate);
  }
  std::optional<PreemptionPlan> best;
  for (auto& [zone, candidates] : by_zone) {
    auto plan = cheapest_plan(pending, std::move(candidates), wanted, gang, zone_counts);
    if (plan && (!best || plan->cost < best->cost)) best = std::move(plan);
  }
  return best;
}

}  // namespace martenwall
