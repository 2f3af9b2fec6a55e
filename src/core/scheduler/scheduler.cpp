#include "core/scheduler/scheduler.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace martenwall {

namespace {

// Weight of a new sample in the moving average of the submission interval.
constexpr double submission_interval_smoothing = 0.05;
constexpr double max_submission_interval_s = 60;  // longer intervals are clamped to this

RowFormat row_format_of(const SchedulerOptions& options) {
  return {options.range_rows, options.v1_row_size, options.range_size, options.group_size};
}

}  // namespace

Scheduler::Scheduler(Options options, Log log)
    : options_(std::move(options)),
      log_(std::move(log), options_.log_tasks),
      state_(options_),
      targets_(options_.objectives),
      dependencies_(state_, estimator_, log_),
      rows_(state_, dependencies_, row_format_of(options_)),
      failures_(state_, options_, log_),
      completion_(state_, rows_, dependencies_, failures_, targets_, record_, log_),
      tasks_(state_, rows_, dependencies_, failures_, completion_, estimator_, log_),
      reconciler_(state_, options_, rows_, tasks_, log_),
      dispatcher_(state_, options_, rows_, tasks_),
      inventory_(state_, options_, rows_, tasks_, log_),
      quotas_(state_, options_, tasks_),
      placement_(state_, options_, rows_, failures_, estimator_, targets_, record_, log_),
      preemptor_(state_, options_, targets_, tasks_),
      capacity_(state_, options_, preemptor_, log_) {}

// ---- recovery ----

void Scheduler::load_job(Job job, Time now) {
  job.waiting_since = std::min(now, job.submitted);
  // The store does not record when the last dependency was done, so the job's times count from now.
  job.ready_at = job.spec.dependencies.empty() ? job.submitted : now;
  job.reset_urgency();
  job.image = state_.image_id(job.spec.image);
  state_.last_submission = std::max(state_.last_submission, job.waiting_since);
  auto id = job.spec.id;
  state_.jobs.insert_or_assign(std::move(id), std::move(job));
}

void Scheduler::load_unreadable_job(const JobId& id, bool dependent) {
  Job& job = state_.jobs[id];
  job.spec.id = id;
  job.spec.tasks = std::numeric_limits<std::uint32_t>::max();  // the number of its tasks is unknown
  job.unreadable = true;
  job.dependent = dependent;
  job.transition_to(JobPhase::blocked);
}

void Scheduler::load_machine(const MachineRecord& record, Time now) {
  Machine& machine = state_.find_or_add_machine(record.id, now);
  machine.addr = record.addr;
  machine.type = record.type;
  machine.zone = record.zone;
  machine.spot = record.spot;
  machine.incarnation = record.incarnation;
  rows_.load_machine_group(machine, record.group);
  for (const auto& [name, gb] : record.images) machine.images.push_back({state_.image_id(name), gb, true});
}

void Scheduler::load_tasks(const TaskRow& row, Time now) {
  auto [it, residual] = state_.jobs.try_emplace(row.job);
  Job& job = it->second;
  if (residual || job.unreadable) {
    job.spec.id = row.job;
    job.spec.team = row.team;
    job.spec.need = row.need;
    job.priority = job.spec.priority = row.priority;
  }
  if (residual) {
    // The job has ended: an earlier leader stored its cancellation but did not finish stopping its tasks.
    job.transition_to(JobPhase::cancelled);
    job.residual = job.end_is_stored = true;
  }
  // Recorded attempt numbers may have been used and must not be reused.
  job.next_attempt = std::max(job.next_attempt, row.next_attempt);
  job.failed_before = std::max(job.failed_before, row.failed_machines);
  const auto end = row.first + row.size;
  std::set<std::uint32_t> covered_by_later_rows;  // indices covered by a row with a higher first index
  for (auto i = row.first; i < end; ++i) {
    if (is_covered(job, i)) covered_by_later_rows.insert(i);
  }
  rows_.load_row_state(job, row);
  for (const auto& [from, to] : row.done) {
    for (auto i = from; i <= to && i < end; ++i) {
      if (!covered_by_later_rows.contains(i)) job.done.insert(i);
    }
  }
  for (const auto& placed : row.placed) {
    if (!covered_by_later_rows.contains(placed.index)) load_placed_task(job, row, placed, now);
  }
}

void Scheduler::load_placed_task(Job& job, const TaskRow& row, const TaskRow::PlacedTask& placed, Time now) {
  Machine& machine = state_.find_or_add_machine(placed.machine, now);
  if (machine.zone.empty()) machine.zone = placed.zone;
  const TaskId task{row.job, placed.index};
  if (machine.find(task, placed.attempt) != nullptr) return;  // earlier versions recorded a placement twice
  Placement placement{task, placed.attempt, Generation{0}, now};
  placement.team = row.team;
  placement.need = row.need;
  placement.priority = row.priority;
  placement.unconfirmed = true;
  placement.transition_to(TaskState::sent, now);
  if (job.residual) {
    job.spec.tasks = std::max(job.spec.tasks, placed.index + 1);
    job.next_unstarted = job.spec.tasks;
  }
  if (job.residual || job.placed.contains(placed.index)) {
    placement.stop_requested = true;
    placement.stop_requested_at = now;
  }
  placement.orphan = job.placed.contains(placed.index);
  job.record_placement(placed.index, machine.id);
  state_.add_placement(machine, std::move(placement));
}

void Scheduler::finish_load(Time now) {
  std::vector<JobId> finished;
  for (auto& [id, job] : state_.jobs) {
    rows_.finish_load(job, now);
    if (job.residual || job.unreadable) continue;
    finish_load(job, now);
    // If all tasks are done, an earlier leader stored the last result but not the end of the job.
    if (job.done.count() >= job.spec.tasks) finished.push_back(id);
    const bool partial = !job.placed.empty() && job.placed.size() != job.spec.tasks;
    if (job.spec.kind == JobKind::gang && partial) tasks_.stop_broken_gang(job, now);
  }
  for (const auto& id : finished) completion_.finish(state_.jobs.at(id), JobPhase::done, now);
}

void Scheduler::finish_load(Job& job, Time now) {
  record_.submitted(job.spec.job_class, job.spec.team);
  job.next_unstarted = std::max(job.next_unstarted, job.done.upper());
  for (std::uint32_t i = job.done.lowest_unfinished(); i < job.next_unstarted; ++i) {
    if (!job.done.contains(i) && !job.placed.contains(i)) job.requeued.insert(i);
  }
  job.start_counted = job.pending_tasks() == 0;  // already counted by an earlier leader
  if (!job.placed.empty() || job.done.count() > 0) job.transition_to(JobPhase::running);
  // If task rows of the job are stored, an earlier leader has already found all its dependencies done.
  if (job.task_ranges.empty() && job.v1_rows.empty()) register_dependencies(job, now);
  failures_.review_suspicion(job, now);
}

// ---- configuration ----

void Scheduler::configure(const std::vector<Team>& teams, const Policy& policy) {
  state_.teams.clear();
  for (const auto& team : teams) state_.teams[team.name] = team;
  options_.policy = policy;
  options_.quota_limits_changed = true;
  for (auto& [id, job] : state_.jobs) job.limit_logged = false;
  state_.needs_cycle = true;
}

// ---- users ----

void Scheduler::add_job(Job job, Time now) {
  if (state_.jobs.contains(job.spec.id) || state_.finished_jobs.contains(job.spec.id)) return;
  job.waiting_since = now;
  job.ready_at = job.spec.dependencies.empty() ? job.submitted : now;
  job.reset_urgency();
  job.image = state_.image_id(job.spec.image);
  state_.needs_cycle = true;
  if (state_.last_submission != Time{} && now > state_.last_submission) {
    const double interval_s = std::min(to_seconds(now - state_.last_submission), max_submission_interval_s);
    state_.mean_submission_interval_s +=
        submission_interval_smoothing * (interval_s - state_.mean_submission_interval_s);
  }
  state_.last_submission = std::max(state_.last_submission, now);
  log_.job_accepted(job);
  auto id = job.spec.id;
  Job& added = state_.jobs.emplace(std::move(id), std::move(job)).first->second;
  record_.submitted(added.spec.job_class, added.spec.team);
  register_dependencies(added, now);
}

void Scheduler::register_dependencies(Job& job, Time now) {
  const auto cancelled = dependencies_.add(job, now);
  if (cancelled) tasks_.on_job_ended(*cancelled, JobPhase::cancelled, now);
}

std::optional<JobStatus> Scheduler::status(const JobId& id) const {
  const Job* job = state_.find_job(id);
  if (job == nullptr || job->residual) return std::nullopt;
  // Stored tasks show that an earlier leader had found all dependencies done; without any, they are unknown.
  if (job->unreadable && job->dependent && job->task_ranges.empty()) return std::nullopt;
  // A cascade begins once the end of its root is stored. From there on every leader cancels this job, so that its end
  // is certain before it is stored.
  if (dependencies_.is_cancelled_by_cascade(id)) return JobStatus{id, job->phase, job->done.count(), 0};
  // A dependency may already be cancelled, and its user notified. The job is therefore not reported as active while
  // dependencies are being looked up or while its own end is not stored.
  const bool has_open_dependencies = !job->end_is_stored && !job->open_dependencies.empty();
  if (has_open_dependencies && (dependencies_.has_pending_lookups() || is_final(job->phase))) return std::nullopt;
  // A transaction without an answer may have stored the job's end. Another node could read that end and report it to
  // the user, after which this node would report the job as active again (`went_back` in the simulation of a day with
  // late writes). The status must then be read from the store.
  if (job->end_write_sent && !job->end_is_stored) return std::nullopt;
  JobStatus status{id, job->phase, std::min(job->done.count(), job->spec.tasks), job->running};
  // A final phase is reported only once it is stored. Until then the job is reported in its previous phase.
  if (is_final(status.phase) && job->end_is_stored) return status;
  status.phase = status.running > 0 ? JobPhase::running : JobPhase::pending;
  if (status.running == 0 && !job->unreadable) status.pending_reason = quotas_.pending_reason(*job);
  return status;
}

bool Scheduler::cancel(const JobId& id, Time now) {
  Job* job = state_.find_job(id);
  if (job == nullptr || job->residual || job->unreadable) return false;
  if (!is_final(job->phase)) tasks_.cancel(*job, now);
  return true;
}

// ---- workers ----

std::vector<Command> Scheduler::on_heartbeat(const Heartbeat& heartbeat, StatusSource source, Time now,
                                             bool lease_valid) {
  using Outcome = HeartbeatReconciler::Outcome;
  const auto [outcome, machine] = reconciler_.on_heartbeat(heartbeat, source, now);
  if (outcome == Outcome::ignored || source == StatusSource::command_reply) return {};
  auto commands = dispatcher_.commands_for(*machine, heartbeat.sequence, now, lease_valid);
  if (outcome == Outcome::applied) state_.erase_removed(*machine);
  return commands;
}

// ---- the scheduling cycle ----

void Scheduler::run_cycle(Time now) {
  reconciler_.expire_leases(now);
  for (Machine* machine : failures_.quarantine_failing(now)) tasks_.drain(*machine, DrainReason::quarantined, now);
  quotas_.enforce(now);
  if (state_.types.empty()) return;
  auto problem = placement_.build_problem(now);
  cycle_size_ = {problem.jobs.size(), problem.machines.size(), 0};
  auto used = placement_.match_and_place(problem, now);
  // Preemption runs before capacity planning, because the jobs that it serves need no further machine. To decide
  // whether a preemption is worthwhile, the preemptor uses the capacity forecast of the previous plan.
  cycle_size_.preemption_candidates = preemptor_.run(problem, now);
  capacity_.plan(problem, used, now);
  if (!capacity_.is_sample_due(now)) return;
  targets_.record_missed(state_, record_, now);
  capacity_.record_fleet_demand(problem, rows_.queue(), now);
}

// ---- the store ----

void Scheduler::on_rows_stored(const std::vector<RowWrite>& writes, Time now) {
  for (const auto& write : writes) {
    rows_.on_stored(write, now);
    if (write.key.kind == RowKind::machines) continue;
    const JobId id{write.key.id};
    Job* job = state_.find_job(id);
    if (write.key.kind == RowKind::final_job && job != nullptr) {
      job->end_is_stored = true;
      rows_.queue_removal(*job, now);
      dependencies_.on_end_stored(*job);
      tasks_.on_job_ended(id, job->phase, now);
    }
    rows_.forget_if_finished(id);
  }
}

}  // namespace martenwall
