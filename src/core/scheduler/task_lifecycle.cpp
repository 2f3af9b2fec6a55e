// What becomes of tasks on machines: their progress, ends and failures as workers report them, and stops.
#include <algorithm>
#include <utility>

#include "core/scheduler/scheduler.hpp"

namespace martenwall {

namespace {
// Ends of an array's tasks wait a moment for each other: only the last one is awaited by a user.
constexpr Duration end_delay = seconds(1.2);
}  // namespace

void Scheduler::on_progress(Machine& m, Placement& p, const TaskStatus& t, Time now) {
  const auto before = p.state();
  p.enter(t.state, now);
  if (before == p.state()) return;
  update_accounting(m, p);
  const auto it = jobs_.find(p.task.job);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  if (t.state >= TaskState::waiting && !job.residual) {
    const auto* type = type_of(m.type);
    const bool fresh = !m.has_image(job.image);
    m.touch_image(job.image, job.spec.image_gb, type != nullptr ? type->cache_gb : 1e9);
    if (fresh) mark_dirty(m, now);
  }
  if (t.state == TaskState::running) {
    if (job.phase == JobPhase::pending) job.enter(JobPhase::running);
    ++task_counts_.began;
    if (options_.log_tasks) {
      log_("task " + to_string(p.task) + " runs on " + m.id.value() + ", " +
           std::to_string(to_seconds(now - p.placed_at)) + " s after its placement");
    }
    log_when_all_run(job, now);
  }
}

void Scheduler::log_when_all_run(Job& job, Time now) {
  const bool all_run = job.running + job.done.count() >= job.spec.tasks;
  if (!all_run || job.residual || std::exchange(job.all_run_logged, true)) return;
  log_("job " + job.spec.id.value() + " runs: all " + std::to_string(job.spec.tasks) + " tasks began within " +
       std::to_string(to_seconds(now - job.submitted)) + " s");
}

void Scheduler::on_orphan(Machine& m, const TaskStatus& t, Time now) {
  Placement p{t.task, t.attempt, Generation{0}, now};
  p.orphan = true;
  const auto it = jobs_.find(t.task.job);
  Job* job = it == jobs_.end() ? nullptr : &it->second;
  if (job != nullptr) {
    p.team = job->spec.team;
    p.need = job->spec.need;
    p.priority = job->priority;
  }
  p.enter(t.state, now);
  if (t.state == TaskState::ended) {
    p.cause = t.cause;
    // A result is a result, whoever started it: an earlier leader may have recorded the end of
    // the placement without the end of the task.
    if (t.cause == ExitCause::done && job != nullptr && t.task.index < job->spec.tasks) {
      p.generation = mark_dirty(*job, t.task.index, end_delay, now);
      on_task_done(*job, t.task.index, now);
    }
  } else {
    log_("task " + to_string(t.task) + " is on " + m.id.value() + " without a record: stopped");
    p.stop_requested = true;
    p.stop_requested_at = now;
    if (job != nullptr && t.task.index < job->spec.tasks) {
      // While it is there, it may start nowhere else.
      job->hold(t.task.index, m.id);
      mark_dirty(*job, t.task.index, Duration{0}, now);
    }
  }
  add(m, std::move(p));
}

void Scheduler::return_to_pending(Machine& m, const Placement& p, Time now) {
  const auto it = jobs_.find(p.task.job);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  mark_dirty(job, p.task.index, end_delay, now);
  // An old report shows an earlier attempt beside the one that is there: that one goes on holding the task. It was
  // freed with the other, and started on a second machine (`ran_twice` in the simulation, two changes of leader in a
  // row).
  const bool another_attempt = std::ranges::any_of(
      m.placements, [&](const Placement& o) { return &o != &p && o.occupies() && o.task == p.task; });
  if (another_attempt) return;
  if (job.orphans.erase({p.task.index, m.id}) > 0) return;
  const auto holder = job.placed.find(p.task.index);
  if (holder == job.placed.end() || holder->second != m.id) return;
  // Two machines can hold one task (a stray of an earlier leader): it is free only when both are over.
  const auto other = job.orphans.lower_bound({p.task.index, MachineId{}});
  if (other != job.orphans.end() && other->first == p.task.index) {
    holder->second = other->second;
    job.orphans.erase(other);
    return;
  }
  job.return_to_pending(p.task.index);
  if (!is_final(job.phase)) job.waiting_since = now;
}

void Scheduler::release_placement(Machine& m, Placement& p, Time now, const char* why) {
  log_("task " + to_string(p.task) + " is off " + m.id.value() + ": " + why);
  add_run_time(p, now);
  p.removed = true;
  update_accounting(m, p);
  if (m.empty()) m.idle_since = now;
  return_to_pending(m, p, now);
  const auto it = jobs_.find(p.task.job);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  drop_unneeded_fetch(m, job);
  if (job.spec.kind == JobKind::gang && !p.orphan) stop_broken_gang(job, now);
}

void Scheduler::erase_removed(Machine& m) {
  for (auto& p : m.placements) {
    if (p.removed) update_accounting(m, p);
  }
  std::erase_if(m.placements, [](const Placement& p) { return p.removed; });
}

void Scheduler::stop_broken_gang(Job& job, Time now) {
  if (!is_final(job.phase)) stop_all_tasks(job, 0, now, "its gang is broken");
}

// All tasks of the job that may be on a machine; a stray among them is being stopped already.
void Scheduler::stop_all_tasks(Job& job, double grace_s, Time now, const char* why) {
  // A copy: what was not started yet is given back at once.
  for (const auto& [index, id] : std::map{job.placed}) {
    const auto it = machines_.find(id);
    if (it == machines_.end()) continue;
    for (auto& p : it->second.placements) {
      if (p.occupies() && p.task.index == index && p.task.job == job.spec.id)
        request_stop(it->second, p, grace_s, now, why);
    }
  }
}

void Scheduler::request_stop(Machine& m, Placement& p, double grace_s, Time now, const char* why) {
  if (!p.occupies()) return;
  if (p.stop_requested) {
    if (grace_s < p.stop_grace_s) {
      p.stop_grace_s = grace_s;
      p.stop_sent = false;
      machines_to_command_.insert(m.id);
    }
    return;
  }
  p.stop_requested = true;
  p.stop_grace_s = grace_s;
  p.stop_requested_at = now;
  machines_to_command_.insert(m.id);
  log_("task " + to_string(p.task) + " on " + m.id.value() + " to be stopped: " + why);
  // Nothing was sent yet, so nothing can arrive.
  if (!p.is_reported() && !p.start_in_flight() && !p.unconfirmed) release_placement(m, p, now, "not started");
}

void Scheduler::on_task_done(Job& job, std::uint32_t index, Time now) {
  if (is_final(job.phase) || index >= job.spec.tasks) return;
  clear_suspicion(job, "a task of it completed");
  if (job.spec.kind == JobKind::service) return;
  if (job.spec.kind == JobKind::gang) {
    // The tasks of a gang complete together: if one is done, all are.
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) job.done.insert(i);
  } else {
    job.done.insert(index);
    job.requeued.erase(index);
    if (job.next_unstarted <= index) {
      for (; job.next_unstarted < index; ++job.next_unstarted) {
        if (!job.done.contains(job.next_unstarted) && !job.placed.contains(job.next_unstarted))
          job.requeued.insert(job.next_unstarted);
      }
      job.next_unstarted = index + 1;
    }
  }
  if (job.done.count() >= job.spec.tasks) finish_job(job, JobPhase::done, now);
}

void Scheduler::learn_run_time(const Job& job, const Placement& p, Time now) {
  if (job.spec.estimate_s <= 0 || p.running_since == Time{} || job.failures > 0) return;
  const double ratio = to_seconds(now - p.running_since) / job.spec.estimate_s;
  auto [it, fresh] = run_time_ratio_.try_emplace(job.spec.job_class, 1.0);
  it->second += 0.1 * (std::clamp(ratio, 0.2, 5.0) - it->second);
}

// A machine gives a fetch up when no task waits for it any more.
void Scheduler::drop_unneeded_fetch(Machine& m, const Job& job) {
  const bool wanted = std::ranges::any_of(m.placements, [&](const Placement& p) {
    const auto* other = find_job(p.task.job);
    return p.occupies() && other != nullptr && other->image == job.image;
  });
  if (!wanted) m.drop_fetch(job.image);
}

void Scheduler::add_run_time(const Placement& p, Time now) {
  const auto it = jobs_.find(p.task.job);
  if (it != jobs_.end() && p.running_since != Time{}) it->second.ran_s += to_seconds(now - p.running_since);
}

void Scheduler::on_exit(Machine& m, Placement& p, const TaskStatus& t, Time now) {
  add_run_time(p, now);
  p.enter(TaskState::ended, now);
  p.cause = t.cause;
  p.generation = Generation{0};
  update_accounting(m, p);
  const bool completed = t.cause == ExitCause::done;
  ++task_counts_.ended;
  if (completed) ++task_counts_.completed;
  if (options_.log_tasks || !completed) {
    log_("task " + to_string(p.task) + " ended on " + m.id.value() + ": " + std::string{name_of(t.cause)} +
         (t.saved ? ", saved" : ""));
  }
  if (m.empty()) m.idle_since = now;
  const auto it = jobs_.find(p.task.job);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  drop_unneeded_fetch(m, job);
  if (completed) {
    m.failing_jobs.clear();
    if (!is_final(job.phase)) learn_run_time(job, p, now);
    if (job.orphans.erase({p.task.index, m.id}) == 0) job.placed.erase(p.task.index);
    // Only a result must be stored before the worker may forget it.
    p.generation = mark_dirty(job, p.task.index, end_delay, now);
    if (job.spec.kind == JobKind::service && !is_final(job.phase)) job.requeued.insert(p.task.index);
    on_task_done(job, p.task.index, now);
  } else {
    return_to_pending(m, p, now);
    if (!is_final(job.phase)) {
      on_task_failed(m, job, t.cause, now);
      if (job.spec.kind == JobKind::gang) stop_broken_gang(job, now);
    }
  }
}

void Scheduler::on_task_failed(Machine& m, Job& job, ExitCause cause, Time now) {
  switch (cause) {
    case ExitCause::error:
      on_task_error(m, job, now);
      break;
    case ExitCause::no_room:
    case ExitCause::busy:
      m.no_starts_before = now + seconds(2);
      break;
    case ExitCause::unknown:
      job.not_before = now + seconds(2);
      break;
    default:
      break;
  }
}

void Scheduler::on_preemption_notice(Machine& m, double preemption_notice_s, Time now) {
  if (m.reclaimed_at) return;
  m.reclaimed_at = now + seconds(preemption_notice_s);
  drain(m, now, "taken back by the cloud");
}

void Scheduler::drain(Machine& m, Time now, const char* why) {
  if (m.phase() != MachinePhase::up && m.phase() != MachinePhase::booting) return;
  log_("machine " + m.id.value() + " draining: " + why);
  m.enter(MachinePhase::draining, now);
  for (auto& p : m.placements) {
    if (!p.occupies()) continue;
    const auto it = jobs_.find(p.task.job);
    const double grace =
        it != jobs_.end() && it->second.spec.checkpoint_interval_s > 0 ? it->second.spec.checkpoint_duration_s : 0;
    if (it != jobs_.end() && it->second.spec.kind == JobKind::gang) {
      stop_gracefully(it->second, now, why);
    } else {
      request_stop(m, p, grace, now, why);
    }
  }
}

// A gang is stopped in order on all its machines, or its progress is lost.
void Scheduler::stop_gracefully(Job& job, Time now, const char* why) {
  stop_all_tasks(job, job.spec.checkpoint_interval_s > 0 ? job.spec.checkpoint_duration_s : 0, now, why);
}

}  // namespace martenwall
