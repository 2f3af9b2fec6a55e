#include "core/scheduler/job_completion.hpp"

namespace martenwall {

void JobCompletion::finish(Job& job, JobPhase phase, Time now) {
  const bool cancelled = phase == JobPhase::cancelled;
  if (cancelled && job.failures > 0) failures_.forget_failures_of(job, now);
  job.transition_to(phase);
  if (cancelled) dependencies_.recompute_urgency(job);
  state_.finished_jobs[job.spec.id] = now;
  record_end(job, now);
  job.requeued.clear();
  job.next_unstarted = job.spec.tasks;
  rows_.queue_end(job, now);
  state_.needs_cycle = true;
  const double run_time_s = state_.task_run_time_s(job, now);
  if (cancelled) {
    log_.job_cancelled(job, run_time_s, now);
  } else {
    log_.job_done(job, run_time_s, now);
  }
}

void JobCompletion::record_end(const Job& job, Time now) {
  const auto& spec = job.spec;
  if (job.phase == JobPhase::cancelled) {
    record_.cancelled(spec.job_class, spec.team);
    return;
  }
  const bool missed = targets_.misses_loosest_target(job, now);
  record_.done(spec.job_class, spec.team, !job.late_counted && !missed);
  if (!job.late_counted && missed) record_.missed(spec.job_class, spec.team);
}

void JobCompletion::on_task_done(Job& job, std::uint32_t index, Time now) {
  if (is_final(job.phase) || index >= job.spec.tasks) return;
  failures_.clear_suspicion(job, ClearReason::task_completed);
  if (job.spec.kind == JobKind::service) return;
  if (job.spec.kind == JobKind::gang) {
    // The tasks of a gang complete together, so one completed task completes all of them.
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) job.done.insert(i);
  } else {
    job.complete(index);
  }
  if (job.done.count() >= job.spec.tasks) finish(job, JobPhase::done, now);
}

}  // namespace martenwall
