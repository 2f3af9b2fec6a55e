#include "core/scheduler/cluster_state.hpp"

#include <algorithm>

#include "core/placement/heuristics.hpp"

namespace martenwall {

namespace {
// Maximum age of a machine's last report, in heartbeat intervals. An older report means that the machine may be dead.
constexpr double max_report_age_intervals = 2.2;
}  // namespace

ClusterState::ClusterState(const SchedulerOptions& options) : quota_usage(teams), options_(options) {
  for (const auto& team : options.teams) teams[team.name] = team;
}

Job* ClusterState::find_job(const JobId& id) {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : &it->second;
}

const Job* ClusterState::find_job(const JobId& id) const {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : &it->second;
}

const MachineType* ClusterState::find_type(const std::string& name) const {
  const auto it = std::ranges::find(types, name, &MachineType::name);
  return it == types.end() ? nullptr : &*it;
}

const Team* ClusterState::find_team(const std::string& name) const {
  const auto it = teams.find(name);
  return it == teams.end() ? nullptr : &it->second;
}

Machine& ClusterState::find_or_add_machine(const MachineId& id, Time now) {
  auto [it, added] = machines.try_emplace(id, id);
  Machine& machine = it->second;
  if (added) {
    machine.first_known = machine.last_report_at = machine.idle_since = now;
    machine.lease_renewed_at = options_.previous_leader_valid_until;
    machine.transition_to(MachinePhase::up, now);
  }
  return machine;
}

ImageId ClusterState::image_id(const std::string& name) {
  const auto [it, added] = image_ids_.try_emplace(name, ImageId{static_cast<std::uint32_t>(image_names.size())});
  if (added) image_names.push_back(name);
  return it->second;
}

Placement& ClusterState::add_placement(Machine& machine, Placement placement) {
  machine.placements.push_back(std::move(placement));
  update_accounting(machine, machine.placements.back());
  return machine.placements.back();
}

void ClusterState::update_accounting(Machine& machine, Placement& placement) {
  const bool occupies = placement.occupies();
  if (occupies != placement.accounted) {
    const double sign = occupies ? 1 : -1;
    machine.used.add(placement.need, sign);
    machine.task_count = occupies ? machine.task_count + 1 : machine.task_count - 1;
    if (machine.task_count == 0) machine.used = {};  // clears accumulated rounding errors
    quota_usage.add(placement.team, placement.need, sign);
    placement.accounted = occupies;
    needs_cycle = true;
  }
  const bool runs = occupies && placement.state() == TaskState::running;
  if (runs == placement.accounted_running) return;
  placement.accounted_running = runs;
  Job* job = find_job(placement.task.job);
  if (job == nullptr) return;
  job->running = runs ? job->running + 1 : job->running - std::min(1U, job->running);
}

void ClusterState::erase_removed(Machine& machine) {
  for (auto& placement : machine.placements) {
    if (placement.removed) update_accounting(machine, placement);
  }
  std::erase_if(machine.placements, [](const Placement& placement) { return placement.removed; });
}

bool ClusterState::accepts_new_tasks(const Machine& machine, Time now) const {
  if (!machine.accepts_starts() || !machine.downlink.is_reachable()) return false;
  if (machine.quarantined || machine.reclaimed_at || now < machine.no_starts_before) return false;
  return now - machine.last_report_at <= seconds(options_.timings.heartbeat_interval_s * max_report_age_intervals);
}

bool ClusterState::is_best_effort(const Job& job) const {
  if (job.priority != Priority::best_effort) return false;
  const Team* team = find_team(job.spec.team);
  return team == nullptr || (team->guarantee.cpus <= 0 && team->guarantee.gpus <= 0);
}

double ClusterState::fetch_time_s(const JobSpec& spec) const {
  double fetch_s = 0;
  for (const auto& type : types) {
    if (type_allows(spec, type) && type.fetch_gb_per_s > 0) fetch_s = spec.image_gb / type.fetch_gb_per_s;
  }
  return fetch_s;
}

double ClusterState::task_run_time_s(const Job& job, Time now) const {
  double total_s = job.total_run_s;
  for (const auto& [index, machine] : job.placed) {
    for (const auto& placement : machines.at(machine).placements) {
      const bool runs =
          placement.task.job == job.spec.id && placement.task.index == index && placement.state() == TaskState::running;
      if (runs) total_s += to_seconds(now - placement.running_since);
    }
  }
  return total_s;
}

}  // namespace martenwall
