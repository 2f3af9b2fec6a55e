#include "core/scheduler/failure_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace martenwall {

namespace {
// Back-off of a job with failed tasks. It doubles with each wave of failures.
constexpr double initial_backoff_s = 0.5;
constexpr double max_backoff_s = 30;
// Back-off of a suspect job between probes. It doubles likewise.
constexpr double initial_probe_backoff_s = 8;
constexpr double max_probe_backoff_s = 60;
constexpr Duration machine_cooldown = seconds(5);  // delay after a failure before the machine gets further tasks
// During the cooldown most of the failed jobs are tried elsewhere, which shows whether the job or the machine is at
// fault.
constexpr Duration evaluation_delay = seconds(4);
constexpr Duration replica_healthy_after = seconds(30);  // run time after which a replica counts as healthy

double backoff_s(double initial_s, double max_s, int doublings) {
  return std::min(max_s, initial_s * std::pow(2.0, std::clamp(doublings, 0, 10)));
}
}  // namespace

void FailureTracker::on_task_error(Machine& machine, Job& job, Time now) {
  ++job.failures;
  state_.needs_cycle = true;
  // Tasks that fail together were started together and count as one attempt.
  if (now >= job.not_before) ++job.failed_waves;
  if (job.done.count() == 0) job.failed_on.insert(machine.id);
  if (!job.suspect) machine.failing_jobs.insert(job.spec.id);
  review_suspicion(job, now);
  const double delay_s = job.suspect ? backoff_s(initial_probe_backoff_s, max_probe_backoff_s, job.failed_waves - 1)
                                     : backoff_s(initial_backoff_s, max_backoff_s, job.failed_waves);
  job.not_before = std::max(job.not_before, now + seconds(delay_s));
  if (job.suspect) return;
  machine.no_starts_before = now + machine_cooldown;
  machine.evaluate_at = now + evaluation_delay;
}

// Returns the number of jobs that failed on the machine and are not known to fail elsewhere too.
int FailureTracker::unexplained_failures(const Machine& machine) const {
  return static_cast<int>(std::ranges::count_if(machine.failing_jobs, [&](const JobId& id) {
    const Job* job = std::as_const(state_).find_job(id);
    if (job == nullptr) return true;  // completed elsewhere; cancelled jobs are removed from the set
    return !job->suspect && (job->done.count() > 0 || job->failed_machines() <= 1);
  }));
}

std::vector<Machine*> FailureTracker::quarantine_failing(Time now) {
  std::vector<Machine*> quarantined;
  for (auto& [id, machine] : state_.machines) {
    if (machine.quarantined || machine.failing_jobs.empty() || now < machine.evaluate_at) continue;
    if (unexplained_failures(machine) < options_.policy.error_limit) continue;
    quarantine(machine);
    quarantined.push_back(&machine);
  }
  return quarantined;
}

// Failures on a quarantined machine do not count against the jobs.
void FailureTracker::quarantine(Machine& machine) {
  machine.quarantined = true;
  for (const auto& id : machine.failing_jobs) {
    if (Job* job = state_.find_job(id)) job->failed_on.erase(machine.id);
  }
}

void FailureTracker::review_suspicion(Job& job, Time now) {
  if (job.suspect || job.done.count() > 0 || is_final(job.phase)) return;
  if (static_cast<int>(job.failed_machines()) < options_.policy.suspect_machines) return;
  job.suspect = true;
  job.failed_waves = 1;
  log_.job_suspected(job);
  forget_failures_of(job, now);
}

void FailureTracker::clear_suspicion(Job& job, ClearReason reason) {
  job.failed_on.clear();
  job.failed_before = 0;
  job.failed_waves = 0;
  job.not_before = {};
  if (!job.suspect) return;
  job.suspect = false;
  state_.needs_cycle = true;
  log_.job_cleared(job, reason);
}

void FailureTracker::forget_failures_of(const Job& job, Time now) {
  for (auto& [id, machine] : state_.machines) {
    if (machine.failing_jobs.contains(job.spec.id)) release_from_quarantine(machine, job.spec.id, now);
  }
}

void FailureTracker::release_from_quarantine(Machine& machine, const JobId& job, Time now) {
  machine.failing_jobs.erase(job);
  if (machine.failing_jobs.empty()) machine.no_starts_before = std::min(machine.no_starts_before, now);
  if (!machine.quarantined || machine.phase() != MachinePhase::draining || machine.reclaimed_at) return;
  if (unexplained_failures(machine) >= options_.policy.error_limit) return;
  machine.quarantined = false;
  machine.transition_to(MachinePhase::up, now);
  state_.needs_cycle = true;
  log_.machine_restored(machine, job);
}

bool FailureTracker::may_probe(Job& job, Time now) {
  // A replica that keeps running shows that the service is healthy.
  if (job.spec.kind == JobKind::service && job.running > 0 && now - job.not_before > replica_healthy_after) {
    clear_suspicion(job, ClearReason::replica_keeps_running);
    return true;
  }
  return job.placed.empty();
}

}  // namespace martenwall
