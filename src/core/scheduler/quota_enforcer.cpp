#include "core/scheduler/quota_enforcer.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace martenwall {

namespace {

constexpr double rounding_tolerance = 1e-6;  // tolerance for sums of floating-point amounts

// A limit of 0 means no limit. A team that is not configured may use nothing.
bool exceeds_limit(const Team* team, const Resources& used) {
  if (team == nullptr) return used.cpus > rounding_tolerance || used.gpus > rounding_tolerance;
  const auto exceeds = [](double limit, double amount) { return limit > 0 && amount > limit + rounding_tolerance; };
  return exceeds(team->limit.cpus, used.cpus) || exceeds(team->limit.gpus, used.gpus);
}

// Orders the tasks to be stopped: first those that do not run yet, then those of lower priority, then those placed
// last.
bool is_stopped_before(const Placement& a, const Placement& b) {
  const bool a_runs = a.running_since != Time{};
  const bool b_runs = b.running_since != Time{};
  if (a_runs != b_runs) return b_runs;
  if (a.priority != b.priority) return a.priority < b.priority;
  if (a.placed_at != b.placed_at) return a.placed_at > b.placed_at;
  return a.task < b.task;
}

}  // namespace

void QuotaEnforcer::enforce(Time now) {
  if (!options_.quota_limits_changed) return;
  std::vector<std::string> teams;
  for (const auto& [name, used] : state_.quota_usage.all()) {
    if (exceeds_limit(state_.find_team(name), used)) teams.push_back(name);
  }
  for (const auto& name : teams) enforce(name, now);
}

void QuotaEnforcer::enforce(const std::string& team, Time now) {
  constexpr StopCause cause{StopReason::over_quota};
  Resources used = state_.quota_usage.used(team);  // usage after all requested stops are complete
  std::vector<std::pair<Machine*, Placement*>> candidates;
  for (auto& [id, machine] : state_.machines) {
    for (auto& placement : machine.placements) {
      if (!placement.occupies() || placement.team != team) continue;
      if (placement.stop_requested) {
        used.add(placement.need, -1);
      } else {
        candidates.emplace_back(&machine, &placement);
      }
    }
  }
  std::ranges::sort(candidates, [](const auto& a, const auto& b) { return is_stopped_before(*a.second, *b.second); });
  std::set<MachineId> changed;
  for (const auto& [machine, placement] : candidates) {
    if (!exceeds_limit(state_.find_team(team), used)) break;
    if (placement->stop_requested) continue;  // already stopped with its gang
    Job* job = state_.find_job(placement->task.job);
    const bool gang = job != nullptr && job->spec.kind == JobKind::gang;
    used.add(placement->need, gang ? -static_cast<double>(job->placed.size()) : -1);
    if (gang) {
      for (const auto& [index, id] : job->placed) changed.insert(id);
      tasks_.stop_gracefully(*job, cause, now);
    } else {
      tasks_.request_stop(*machine, *placement, checkpoint_grace_s(job), cause, now);
      changed.insert(machine->id);
    }
  }
  for (const auto& id : changed) state_.erase_removed(state_.machines.at(id));
}

std::string QuotaEnforcer::pending_reason(const Job& job) const {
  if (is_final(job.phase)) return {};
  const Team* team = state_.find_team(job.spec.team);
  if (team == nullptr) return "team " + job.spec.team + " is not configured";
  const auto need = job.spec.need.times(job.spec.kind == JobKind::array ? 1 : job.spec.tasks);
  if (exceeds_limit(team, need)) return "needs more than the limit of team " + job.spec.team;
  return {};
}

}  // namespace martenwall
