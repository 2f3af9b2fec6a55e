#include "core/scheduler/failure_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace martenwall {

namespace {
// Back-off of a job whose tasks failed, doubled with each further wave of failures.
constexpr double initial_backoff_s = 0.5;
constexpr double max_backoff_s = 30;
// The same for a suspect job.
constexpr double initial_probe_backoff_s = 8;
constexpr double max_probe_backoff_s = 60;
constexpr Duration machine_cooldown = seconds(5);  // after a failure, before the machine gets further tasks
// Within the pause most jobs have been tried elsewhere, which tells whose fault it was.
constexpr Duration evaluation_delay = seconds(4);
constexpr Duration replica_healthy_after = seconds(30);  // of running

double backoff_s(double initial_s, double max_s, int doublings) {
  return std::min(max_s, initial_s * std::pow(2.0, std::clamp(doublings, 0, 10)));
}
}  // namespace

void FailureTracker::on_task_error(Machine& machine, Job& job, Time now) {
  ++job.failures;
  state_.needs_cycle = true;
  // The tasks that fail together were started together: they count as one try.
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

// Failures on the machine that are not explained by a job that fails elsewhere too.
int FailureTracker::unexplained_failures(const Machine& machine) const {
  return static_cast<int>(std::ranges::count_if(machine.failing_jobs, [&](const JobId& id) {
    const Job* job = std::as_const(state_).find_job(id);
    if (job == nullptr) return true;  // it completed elsewhere; a cancelled one is taken out
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

// What failed on the machine does not speak against the jobs.
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
  // A replica that keeps running shows that the service is well.
  if (job.spec.kind == JobKind::service && job.running > 0 && now - job.not_before > replica_healthy_after) {
    clear_suspicion(job, ClearReason::replica_keeps_running);
    return true;
  }
  return job.placed.empty();
}

}  // namespace martenwall
