// A failed task: is its job to blame, or its machine? Told apart by what else ran there and where else it failed.
#include <algorithm>
#include <cmath>

#include "core/scheduler/scheduler.hpp"

namespace martenwall {

namespace {
constexpr double first_pause_s = 0.5;  // of a job that failed, doubled with each further wave of failures
constexpr double longest_pause_s = 30;
constexpr double first_probe_s = 8;  // the same for a suspect job
constexpr double longest_probe_s = 60;
constexpr Duration machine_pause = seconds(5);
constexpr Duration machine_doubt = seconds(4);
constexpr Duration replica_trusted_after = seconds(30);

double pause_s(double first, double longest, int times) {
  return std::min(longest, first * std::pow(2.0, std::clamp(times, 0, 10)));
}
}  // namespace

void Scheduler::on_task_error(Machine& m, Job& job, Time now) {
  ++job.failures;
  needs_cycle_ = true;
  // The tasks that fail together were started together: they count as one try.
  if (now >= job.not_before) ++job.failed_waves;
  if (job.done.count() == 0) job.failed_on.insert(m.id);
  if (!job.suspect) m.failing_jobs.insert(job.spec.id);
  review_suspicion(job, now);
  const double pause = job.suspect ? pause_s(first_probe_s, longest_probe_s, job.failed_waves - 1)
                                   : pause_s(first_pause_s, longest_pause_s, job.failed_waves);
  job.not_before = std::max(job.not_before, now + seconds(pause));
  if (job.suspect) return;
  m.no_starts_before = now + machine_pause;
  // Judged later: within the pause most jobs have been tried elsewhere, which tells whose fault it was.
  m.evaluate_at = now + machine_doubt;
}

// Failures here that are not explained by a job that fails elsewhere too.
int Scheduler::unexplained_failures(const Machine& m) const {
  return static_cast<int>(std::ranges::count_if(m.failing_jobs, [&](const JobId& id) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) return true;  // it completed elsewhere; a cancelled one is taken out
    const auto& job = it->second;
    return !job.suspect && (job.done.count() > 0 || job.failed_machines() <= 1);
  }));
}

void Scheduler::evaluate_machines(Time now) {
  for (auto& [id, m] : machines_) {
    if (m.quarantined || m.failing_jobs.empty() || now < m.evaluate_at) continue;
    if (unexplained_failures(m) >= options_.policy.error_limit) quarantine(m, now);
  }
}

// Fails on several machines, with nothing done: the job is to blame, and no machine on its account.
void Scheduler::review_suspicion(Job& job, Time now) {
  if (job.suspect || job.done.count() > 0 || is_final(job.phase)) return;
  if (static_cast<int>(job.failed_machines()) < options_.policy.suspect_machines) return;
  job.suspect = true;
  job.failed_waves = 1;
  log_("job " + job.spec.id.value() + " is suspect: it failed on " + std::to_string(job.failed_machines()) +
       " machines and nothing of it is done; it is tried seldom until a task of it completes");
  forget_failures_of(job, now);
}

void Scheduler::clear_suspicion(Job& job, const char* why) {
  job.failed_on.clear();
  job.failed_before = 0;
  job.failed_waves = 0;
  job.not_before = {};
  if (!job.suspect) return;
  job.suspect = false;
  needs_cycle_ = true;
  log_("job " + job.spec.id.value() + " is not suspect any more: " + why);
}

// Fails tasks of different jobs that are not suspect: what failed here does not speak against the jobs.
void Scheduler::quarantine(Machine& m, Time now) {
  m.quarantined = true;
  for (const auto& id : m.failing_jobs) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) it->second.failed_on.erase(m.id);
  }
  drain(m, now, "fails the tasks it starts");
}

// What the job failed on does not speak against the machines any more.
void Scheduler::forget_failures_of(const Job& job, Time now) {
  for (auto& [id, m] : machines_) {
    if (m.failing_jobs.contains(job.spec.id)) release_from_quarantine(m, job.spec.id, now);
  }
}

void Scheduler::release_from_quarantine(Machine& m, const JobId& job, Time now) {
  m.failing_jobs.erase(job);
  if (m.failing_jobs.empty()) m.no_starts_before = std::min(m.no_starts_before, now);
  if (!m.quarantined || m.phase() != MachinePhase::draining || m.reclaimed_at) return;
  if (unexplained_failures(m) >= options_.policy.error_limit) return;
  m.quarantined = false;
  m.enter(MachinePhase::up, now);
  needs_cycle_ = true;
  log_("machine " + m.id.value() + " is let back: the fault was with job " + job.value());
}

// A suspect array is tried with one task at a time. A replica that keeps running shows that its job is well.
bool Scheduler::may_probe(Job& job, Time now) {
  if (job.spec.kind == JobKind::service && job.running > 0 && now - job.not_before > replica_trusted_after) {
    clear_suspicion(job, "a replica of it keeps running");
    return true;
  }
  return job.placed.empty();
}

}  // namespace martenwall
