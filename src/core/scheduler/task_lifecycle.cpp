#include "core/scheduler/task_lifecycle.hpp"

#include <algorithm>
#include <deque>
#include <utility>

namespace martenwall {

namespace {
// Delays the write of a task's end, so that ends of an array's tasks are written together. Users wait only for the last
// one.
constexpr Duration end_write_delay = seconds(1.2);
constexpr Duration refused_start_backoff = seconds(2);  // delay before the machine or the job is tried again
constexpr double unlimited_cache_gb = 1e9;              // cache size assumed for a machine of unknown type
}  // namespace

double checkpoint_grace_s(const Job* job) {
  return job != nullptr && job->spec.checkpoint_interval_s > 0 ? job->spec.checkpoint_duration_s : 0;
}

// ---- reported by workers ----

void TaskLifecycle::on_progress(Machine& machine, Placement& placement, const TaskStatus& status, Time now) {
  const auto previous = placement.state();
  placement.transition_to(status.state, now);
  if (previous == placement.state()) return;
  state_.update_accounting(machine, placement);
  Job* job = state_.find_job(placement.task.job);
  if (job == nullptr) return;
  if (status.state >= TaskState::waiting && !job->residual && !job->unreadable) {
    const auto* type = state_.find_type(machine.type);
    const bool fetched = !machine.has_image(job->image);
    machine.touch_image(job->image, job->spec.image_gb, type != nullptr ? type->cache_gb : unlimited_cache_gb);
    if (fetched) rows_.mark_dirty(machine, now);
  }
  if (status.state != TaskState::running) return;
  if (job->phase == JobPhase::pending) job->transition_to(JobPhase::running);
  ++state_.task_counts.started;
  log_.task_running(placement, machine, now);
  log_if_all_running(*job, now);
}

void TaskLifecycle::log_if_all_running(Job& job, Time now) {
  const bool all_running = job.running + job.done.count() >= job.spec.tasks;
  if (!all_running || job.residual || std::exchange(job.all_run_logged, true)) return;
  log_.job_running(job, now);
}

void TaskLifecycle::on_exit(Machine& machine, Placement& placement, const TaskStatus& status, Time now) {
  add_run_time(placement, now);
  placement.transition_to(TaskState::ended, now);
  placement.cause = status.cause;
  placement.generation = Generation{0};
  state_.update_accounting(machine, placement);
  const bool completed = status.cause == ExitCause::done;
  ++state_.task_counts.ended;
  if (completed) ++state_.task_counts.completed;
  log_.task_ended(placement, machine, status.saved);
  if (machine.empty()) machine.idle_since = now;
  Job* job = state_.find_job(placement.task.job);
  if (job == nullptr) return;
  drop_unneeded_fetch(machine, *job);
  if (completed) {
    on_completed(machine, placement, *job, now);
    return;
  }
  return_to_pending(machine, placement, now);
  if (is_final(job->phase)) return;
  on_failed(machine, *job, status.cause, now);
  if (job->spec.kind == JobKind::gang) stop_broken_gang(*job, now);
}

void TaskLifecycle::on_completed(Machine& machine, Placement& placement, Job& job, Time now) {
  const auto index = placement.task.index;
  machine.failing_jobs.clear();
  if (!is_final(job.phase)) estimator_.learn(job, placement, now);
  if (job.orphans.erase({index, machine.id}) == 0) job.placed.erase(index);
  // The worker may forget the task only after its result is stored; other ends need no such wait.
  placement.generation = rows_.mark_dirty(job, index, end_write_delay, now);
  if (job.spec.kind == JobKind::service && !is_final(job.phase)) job.requeued.insert(index);
  completion_.on_task_done(job, index, now);
}

void TaskLifecycle::on_failed(Machine& machine, Job& job, ExitCause cause, Time now) {
  switch (cause) {
    case ExitCause::error:
      failures_.on_task_error(machine, job, now);
      break;
    case ExitCause::no_capacity:
    case ExitCause::busy:
      machine.no_starts_before = now + refused_start_backoff;
      break;
    case ExitCause::unknown:
      job.not_before = now + refused_start_backoff;
      break;
    default:
      break;
  }
}

void TaskLifecycle::on_orphan(Machine& machine, const TaskStatus& status, Time now) {
  Placement placement{status.task, status.attempt, Generation{0}, now};
  placement.orphan = true;
  Job* job = state_.find_job(status.task.job);
  if (job != nullptr) {
    placement.team = job->spec.team;
    placement.need = job->spec.need;
    placement.priority = job->priority;
  }
  placement.transition_to(status.state, now);
  const bool is_known_task = job != nullptr && status.task.index < job->spec.tasks;
  if (status.state == TaskState::ended) {
    placement.cause = status.cause;
    // A result counts regardless of which leader started the task: an earlier leader may have recorded the end of the
    // placement but not the end of the task.
    if (status.cause == ExitCause::done && is_known_task) {
      placement.generation = rows_.mark_dirty(*job, status.task.index, end_write_delay, now);
      completion_.on_task_done(*job, status.task.index, now);
    }
  } else {
    log_.task_orphaned(status.task, machine);
    placement.stop_requested = true;
    placement.stop_requested_at = now;
    if (is_known_task) {
      // The task must not start elsewhere while it is on this machine.
      job->record_placement(status.task.index, machine.id);
      rows_.mark_dirty(*job, status.task.index, Duration{0}, now);
    }
  }
  state_.add_placement(machine, std::move(placement));
}

void TaskLifecycle::on_preemption_notice(Machine& machine, double notice_s, Time now) {
  if (machine.reclaimed_at) return;
  machine.reclaimed_at = now + seconds(notice_s);
  drain(machine, DrainReason::reclaimed, now);
}

void TaskLifecycle::add_run_time(const Placement& placement, Time now) {
  Job* job = state_.find_job(placement.task.job);
  if (job != nullptr && placement.running_since != Time{})
    job->total_run_s += to_seconds(now - placement.running_since);
}

// ---- release of placements ----

void TaskLifecycle::release_placement(Machine& machine, Placement& placement, ReleaseReason reason, Time now) {
  log_.task_released(placement.task, machine, reason);
  add_run_time(placement, now);
  placement.removed = true;
  state_.update_accounting(machine, placement);
  if (machine.empty()) machine.idle_since = now;
  return_to_pending(machine, placement, now);
  Job* job = state_.find_job(placement.task.job);
  if (job == nullptr) return;
  drop_unneeded_fetch(machine, *job);
  if (job->spec.kind == JobKind::gang && !placement.orphan) stop_broken_gang(*job, now);
}

void TaskLifecycle::return_to_pending(Machine& machine, const Placement& placement, Time now) {
  Job* job = state_.find_job(placement.task.job);
  if (job == nullptr) return;
  const auto index = placement.task.index;
  rows_.mark_dirty(*job, index, end_write_delay, now);
  // A late heartbeat can report an earlier attempt beside the current one on the same machine. The current attempt then
  // keeps the task reserved; releasing the task with the earlier attempt started it on a second machine (`ran_twice` in
  // the simulation, after two changes of leader in succession).
  const bool another_attempt = std::ranges::any_of(machine.placements, [&](const Placement& other) {
    return &other != &placement && other.occupies() && other.task == placement.task;
  });
  if (another_attempt) return;
  if (job->orphans.erase({index, machine.id}) > 0) return;
  const auto holder = job->placed.find(index);
  if (holder == job->placed.end() || holder->second != machine.id) return;
  // Two machines can hold the same task, if one of them has it as an orphan from an earlier leader. The task is free
  // only when both placements are over.
  const auto other = job->orphans.lower_bound({index, MachineId{}});
  if (other != job->orphans.end() && other->first == index) {
    holder->second = other->second;
    job->orphans.erase(other);
    return;
  }
  job->return_to_pending(index);
  if (!is_final(job->phase)) job->waiting_since = now;
}

// Removes the image's fetch if no other placement on the machine needs the image: a worker aborts a fetch that no task
// waits for.
void TaskLifecycle::drop_unneeded_fetch(Machine& machine, const Job& job) {
  const bool still_needed = std::ranges::any_of(machine.placements, [&](const Placement& placement) {
    const Job* other = std::as_const(state_).find_job(placement.task.job);
    return placement.occupies() && other != nullptr && other->image == job.image;
  });
  if (!still_needed) machine.drop_fetch(job.image);
}

// ---- stops ----

void TaskLifecycle::request_stop(Machine& machine, Placement& placement, double grace_s, StopCause cause, Time now) {
  if (!placement.occupies()) return;
  if (placement.stop_requested) {
    if (grace_s >= placement.stop_grace_s) return;
    placement.stop_grace_s = grace_s;
    placement.stop_sent = false;
    state_.machines_to_command.insert(machine.id);
    return;
  }
  placement.stop_requested = true;
  placement.stop_grace_s = grace_s;
  placement.stop_requested_at = now;
  state_.machines_to_command.insert(machine.id);
  log_.task_stopping(placement.task, machine, cause);
  // The start has not been sent and cannot take effect later.
  if (!placement.is_reported() && !placement.start_in_flight() && !placement.unconfirmed) {
    release_placement(machine, placement, ReleaseReason::not_started, now);
  }
}

void TaskLifecycle::stop_all_tasks(Job& job, double grace_s, StopCause cause, Time now) {
  // Iterates over a copy, because tasks that were not started return to pending immediately.
  for (const auto& [index, id] : std::map{job.placed}) {
    const auto it = state_.machines.find(id);
    if (it == state_.machines.end()) continue;
    for (auto& placement : it->second.placements) {
      if (placement.occupies() && placement.task.index == index && placement.task.job == job.spec.id) {
        request_stop(it->second, placement, grace_s, cause, now);
      }
    }
  }
}

void TaskLifecycle::stop_gracefully(Job& job, StopCause cause, Time now) {
  stop_all_tasks(job, checkpoint_grace_s(&job), cause, now);
}

void TaskLifecycle::stop_broken_gang(Job& job, Time now) {
  if (!is_final(job.phase)) stop_all_tasks(job, 0, {StopReason::gang_broken}, now);
}

void TaskLifecycle::drain(Machine& machine, DrainReason reason, Time now) {
  if (machine.phase() != MachinePhase::up && machine.phase() != MachinePhase::booting) return;
  log_.machine_draining(machine, reason);
  machine.transition_to(MachinePhase::draining, now);
  const StopCause cause{reason == DrainReason::reclaimed ? StopReason::machine_reclaimed
                                                         : StopReason::machine_quarantined};
  for (auto& placement : machine.placements) {
    if (!placement.occupies()) continue;
    Job* job = state_.find_job(placement.task.job);
    if (job != nullptr && job->spec.kind == JobKind::gang) {
      stop_gracefully(*job, cause, now);
    } else {
      request_stop(machine, placement, checkpoint_grace_s(job), cause, now);
    }
  }
}

// ---- ends of jobs ----

void TaskLifecycle::cancel(Job& job, Time now) {
  completion_.finish(job, JobPhase::cancelled, now);
  const std::map placed = job.placed;
  stop_all_tasks(job, 0, {StopReason::cancelled}, now);
  for (const auto& [index, machine] : placed) state_.erase_removed(state_.machines.at(machine));
}

void TaskLifecycle::on_job_ended(const JobId& id, JobPhase phase, Time now) {
  const auto dependents = dependencies_.take_dependents(id);
  if (phase == JobPhase::cancelled) {
    cancel_dependents(id, dependents, now);
  } else {
    dependencies_.unblock(id, dependents, now);
  }
}

// The root's end is already stored, so the ends of the dependents may be stored in any order: a new leader that finds
// some of them missing derives them again from the dependencies.
void TaskLifecycle::cancel_dependents(const JobId& root, const std::set<JobId>& dependents, Time now) {
  std::set<JobId> cancelled;
  std::deque<JobId> queue{dependents.begin(), dependents.end()};
  for (; !queue.empty(); queue.pop_front()) {
    Job* job = state_.find_job(queue.front());
    if (job == nullptr || job->end_is_stored || dependencies_.is_cancelled_by_cascade(job->spec.id)) continue;
    dependencies_.take_dependents_into(job->spec.id, queue);
    if (!is_final(job->phase)) {
      completion_.finish(*job, JobPhase::cancelled, now);
      stop_all_tasks(*job, 0, {StopReason::dependency_cancelled}, now);
    }
    dependencies_.add_to_cascade(root, job->spec.id);
    cancelled.insert(job->spec.id);
  }
  if (!cancelled.empty()) dependencies_.add_cascade(root, std::move(cancelled));
}

}  // namespace martenwall
