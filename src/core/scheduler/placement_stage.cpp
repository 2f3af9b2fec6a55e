#include "core/scheduler/placement_stage.hpp"

#include <algorithm>

#include "core/placement/matcher.hpp"

namespace martenwall {

namespace {

// Limit on the size of the Job-Machine matrix. Further jobs wait for the next cycle.
constexpr std::size_t max_matrix_cells = 200'000;
constexpr std::size_t min_jobs = 100;
// Maximum distance in indices from an array's lowest unfinished task to its last started one.
constexpr std::uint32_t max_array_window = 4000;
// Half of the time within which even the largest jobs should start.
constexpr Duration start_overdue_after = seconds(120);
// PROTOCOL: a fetch takes its nominal time, plus or minus a third.
constexpr double max_fetch_time_factor = 1.33;
constexpr double rounding_tolerance = 1e-6;  // tolerance for sums of floating-point amounts

bool is_placed_before(const PendingJob& a, const PendingJob& b) {
  if (a.job->suspect != b.job->suspect) return b.job->suspect;
  if (a.job->priority != b.job->priority) return a.job->priority > b.job->priority;
  if (a.expected_missed_targets != b.expected_missed_targets)
    return a.expected_missed_targets < b.expected_missed_targets;
  if (a.within_guarantee != b.within_guarantee) return a.within_guarantee;
  return a.job->ready_at < b.job->ready_at;
}

// Boosts an array that has waited long without a start, for its first task only, so that other jobs lose almost
// nothing.
void boost_first_task(PendingJob& pending, Time now) {
  const auto& job = *pending.job;
  const bool has_started = job.next_attempt > 1 || job.spec.kind == JobKind::gang || job.suspect || pending.spot_only;
  if (has_started || now - job.ready_at < start_overdue_after) return;
  pending.begin_overdue = true;
  pending.count = 1;
  pending.expected_missed_targets = 0;
}

}  // namespace

// ---- construction of the placement problem ----

// Returns the unfinished jobs that their team's guarantee covers, in the order in which they became ready.
std::set<JobId> PlacementStage::jobs_within_guarantee() const {
  std::map<std::string, std::vector<const Job*>> by_team;
  for (const auto& [id, job] : state_.jobs) {
    if (!is_final(job.phase) && job.phase != JobPhase::blocked) by_team[job.spec.team].push_back(&job);
  }
  std::set<JobId> out;
  for (auto& [name, jobs] : by_team) {
    const Team* team = state_.find_team(name);
    if (team == nullptr) continue;
    const auto& guarantee = team->guarantee;
    if (guarantee.cpus <= 0 && guarantee.gpus <= 0) continue;
    std::ranges::stable_sort(jobs, {}, &Job::ready_at);
    Resources sum;
    for (const auto* job : jobs) {
      sum.add(job->spec.need, job->unfinished());
      const bool beyond_cpus = guarantee.cpus > 0 && sum.cpus > guarantee.cpus + rounding_tolerance;
      const bool beyond_gpus = guarantee.gpus > 0 && sum.gpus > guarantee.gpus + rounding_tolerance;
      if (beyond_cpus || beyond_gpus) break;
      out.insert(job->spec.id);
    }
  }
  return out;
}

// Returns whether the tasks of a gang must either all have the image or all fetch it. A task with the image waits
// `gang_wait_s` for the others and then gives up. If a fetch takes longer than that, a mix of machines with and without
// the image never starts, and the failed start aborts the fetch as well. After a long wait for machines of one kind a
// mix is tried anyway, because fetch times vary.
bool PlacementStage::needs_uniform_image(const Job& job, Time now) const {
  if (job.spec.kind != JobKind::gang || job.spec.tasks < 2) return false;
  double fetch_s = 0;
  for (const auto& type : state_.types) {
    if (type_allows(job.spec, type) && type.fetch_gb_per_s > 0) {
      fetch_s = std::max(fetch_s, job.spec.image_gb / type.fetch_gb_per_s);
    }
  }
  const double wait_s = options_.timings.gang_wait_s;
  return fetch_s * max_fetch_time_factor > wait_s && now - job.waiting_since < seconds(2 * wait_s);
}

// Returns whether the job may use spot machines only. Best-effort work that may run on spot machines leaves ordinary
// machines to jobs that may not. On an ordinary machine it would be preempted for the next gang, and would cost three
// times as much. The restriction is lifted after a waiting period, in case spot machines are not available.
bool PlacementStage::is_restricted_to_spot(const Job& job, bool any_spot, Time now) const {
  if (!job.spec.spot || !state_.is_best_effort(job)) return false;
  const auto& policy = options_.policy;
  return now - job.ready_at < (any_spot ? policy.best_effort_spot_wait : policy.best_effort_spot_wait_without_spot);
}

// Returns how many tasks of the job may be placed in this cycle.
std::uint32_t PlacementStage::placeable_tasks(Job& job, Time now) {
  if (is_final(job.phase) || job.phase == JobPhase::blocked || now < job.not_before) return 0;
  const bool gang = job.spec.kind == JobKind::gang;
  std::uint32_t count = job.pending_tasks();
  if (gang && (!job.placed.empty() || count < job.spec.tasks)) return 0;
  const auto first = job.done.lowest_unfinished();
  if (job.next_unstarted > first + max_array_window) count = static_cast<std::uint32_t>(job.requeued.size());
  if (count == 0) return 0;
  if (!gang) count = std::min(count, max_array_window);
  if (job.suspect) {
    if (!failures_.may_probe(job, now)) return 0;
    if (job.suspect && !gang) count = 1;
  }
  return count;
}

void PlacementStage::add_pending_jobs(PlacementProblem& problem, Time now) {
  problem.guaranteed = jobs_within_guarantee();
  const bool any_spot = std::ranges::any_of(state_.machines, [](const auto& entry) { return entry.second.spot; });
  for (auto& [id, job] : state_.jobs) {
    const auto count = placeable_tasks(job, now);
    if (count == 0) continue;
    problem.jobs.push_back({&job, count, problem.guaranteed.contains(id), estimator_.estimate_s(job),
                            needs_uniform_image(job, now), is_restricted_to_spot(job, any_spot, now)});
  }
  if (options_.policy.shortage_weight > 0) shortage_.prioritize(problem, now);
  if (options_.policy.begin_weight > 0) {
    for (auto& pending : problem.jobs) boost_first_task(pending, now);
  }
  std::ranges::stable_sort(problem.jobs, is_placed_before);
}

void PlacementStage::add_machines(PlacementProblem& problem, Time now) {
  // Machines that cannot hold even the smallest request are skipped, to reduce the size of the matrix.
  Resources min_need{1e18, 1e18, 1e18};
  for (const auto& pending : problem.jobs) min_need = min_need.component_min(pending.job->spec.need);
  for (auto& [id, machine] : state_.machines) {
    const bool reservation_expired =
        machine.reserved_for && (now >= machine.reserved_until || !state_.jobs.contains(*machine.reserved_for));
    if (reservation_expired) machine.reserved_for.reset();
    if (!state_.accepts_new_tasks(machine, now)) continue;
    const auto tasks = machine.placements.size() - machine.kept_attempts(now);
    if (tasks >= options_.max_tasks_per_machine) continue;
    const auto* type = state_.find_type(machine.type);
    if (type == nullptr) continue;
    Resources free = type->capacity;
    free.add(machine.used, -1);
    if (!min_need.fits_in(free)) continue;
    problem.add({&machine, type, free, options_.max_tasks_per_machine - tasks, Priority::best_effort});
  }
}

PlacementProblem PlacementStage::build_problem(Time now) {
  PlacementProblem problem{now, options_.policy, {}, {}};
  problem.idle_granularity_s = options_.timings.heartbeat_interval_s;
  add_pending_jobs(problem, now);
  add_machines(problem, now);
  const auto max_jobs = std::max(min_jobs, max_matrix_cells / std::max<std::size_t>(1, problem.machines.size()));
  // The remaining jobs are handled in the next cycle.
  state_.needs_cycle = problem.jobs.size() > max_jobs;
  if (state_.needs_cycle) problem.jobs.resize(max_jobs);
  return problem;
}

// ---- placement of tasks ----

QuotaUsage PlacementStage::match_and_place(PlacementProblem& problem, Time now) {
  reserve_for_gangs(problem, state_.quota_usage);
  if (options_.policy.reserve_limit_headroom) reserve_limit_headroom(problem, state_.quota_usage, state_.types);
  auto scores = build_scores(problem);
  auto used = state_.quota_usage;
  Matcher matcher{problem, scores, used, state_.machines};
  for (const auto& match : matcher.run()) place(problem, problem.jobs[match.row], match.columns, now);
  return used;
}

void PlacementStage::place(const PlacementProblem& problem, const PendingJob& pending,
                           const std::vector<std::size_t>& columns, Time now) {
  Job& job = *pending.job;
  const bool gang = job.spec.kind == JobKind::gang;
  if (gang) ++job.next_attempt;
  for (const auto column : columns) {
    Machine& machine = *problem.machines[column].machine;
    const auto index = job.next_pending();
    if (!index) return;
    if (!gang) ++job.next_attempt;
    Placement placement{TaskId{job.spec.id, *index}, Attempt{job.next_attempt - 1}, Generation{0}, now};
    placement.team = job.spec.team;
    placement.need = job.spec.need;
    placement.priority = job.priority;
    ++state_.task_counts.placed;
    log_.task_placed(placement, machine, machine.has_image(job.image), to_seconds(now - job.waiting_since));
    placement.generation = rows_.mark_dirty(job, *index, Duration{0}, now);
    state_.add_placement(machine, std::move(placement));
    job.assign(*index, machine.id);
    machine.touch_image(job.image, job.spec.image_gb, problem.machines[column].type->cache_gb, false);
    if (machine.reserved_for == job.spec.id) machine.reserved_for.reset();
  }
  if (!job.start_counted && job.pending_tasks() == 0) {
    job.start_counted = true;
    record_.started(job.spec.job_class, job.spec.team, to_seconds(now - job.ready_at));
  }
}

}  // namespace martenwall
