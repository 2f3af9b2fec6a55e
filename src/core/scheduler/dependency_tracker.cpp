#include "core/scheduler/dependency_tracker.hpp"

#include <algorithm>
#include <deque>
#include <utility>

namespace martenwall {

namespace {
constexpr double dependent_start_latency_s = 2;  // two rounds of heartbeats, store writes and scheduling cycles
}  // namespace

std::optional<JobId> DependencyTracker::add(Job& job, Time now) {
  if (job.spec.dependencies.empty() || is_final(job.phase)) return std::nullopt;
  std::optional<JobId> cancelled;
  for (const auto& dependency : job.spec.dependencies) {
    const Job* known = std::as_const(state_).find_job(dependency);
    // The outcome of a residual job is unknown: task rows of done jobs can remain too, not only those of cancelled
    // jobs.
    const bool stored = known != nullptr && known->end_is_stored && !known->residual;
    if (stored && known->phase == JobPhase::done) continue;
    // The end of a cascade's root is stored, so that the jobs that it cancelled end as cancelled under any leader.
    if (stored || is_cancelled_by_cascade(dependency)) cancelled = dependency;
    job.open_dependencies.insert(dependency);
    dependents_[dependency].insert(job.spec.id);
    const bool unknown = known == nullptr || known->residual;
    if (unknown && !lookups_issued_.contains(dependency)) lookups_due_.insert(dependency);
  }
  if (job.open_dependencies.empty()) {
    job.ready_at = now;
    return std::nullopt;
  }
  job.transition_to(JobPhase::blocked);
  propagate_urgency(job);
  log_.job_blocked(job);
  return cancelled;
}

// Removes an ended job as a dependent of its open dependencies.
void DependencyTracker::remove(const Job& job) {
  for (const auto& dependency : job.open_dependencies) {
    const auto it = dependents_.find(dependency);
    if (it == dependents_.end() || it->second.erase(job.spec.id) == 0 || !it->second.empty()) continue;
    dependents_.erase(it);
    lookups_due_.erase(dependency);
    lookups_issued_.erase(dependency);
  }
}

// ---- lookups ----

std::vector<JobId> DependencyTracker::take_lookups() {
  std::vector<JobId> out{lookups_due_.begin(), lookups_due_.end()};
  lookups_issued_.merge(lookups_due_);
  lookups_due_.clear();
  return out;
}

void DependencyTracker::retry_lookup(const JobId& id) {
  if (lookups_issued_.erase(id) == 0 || !dependents_.contains(id)) return;
  // If the job has become known in the meantime, its end is reported without a lookup.
  const Job* known = std::as_const(state_).find_job(id);
  if (known == nullptr || known->residual) lookups_due_.insert(id);
}

// ---- ends of jobs ----

std::set<JobId> DependencyTracker::take_dependents(const JobId& id) {
  lookups_due_.erase(id);
  lookups_issued_.erase(id);
  const auto it = dependents_.find(id);
  if (it == dependents_.end()) return {};
  auto dependents = std::move(it->second);
  dependents_.erase(it);
  return dependents;
}

void DependencyTracker::unblock(const JobId& id, const std::set<JobId>& dependents, Time now) {
  for (const auto& dependent : dependents) {
    Job* job = state_.find_job(dependent);
    if (job == nullptr || job->phase != JobPhase::blocked) continue;
    job->open_dependencies.erase(id);
    if (!job->open_dependencies.empty()) continue;
    job->transition_to(JobPhase::pending);
    job->ready_at = job->waiting_since = now;
    state_.needs_cycle = true;
    log_.job_unblocked(*job, now);
  }
}

void DependencyTracker::add_cascade(const JobId& root, std::set<JobId> cancelled) {
  log_.dependents_cancelled(root, cancelled);
  open_cascades_[root].merge(cancelled);
}

void DependencyTracker::on_end_stored(const Job& job) {
  remove(job);
  const auto& id = job.spec.id;
  const auto root = cascade_root_of_.find(id);
  if (root == cascade_root_of_.end()) return;
  const auto unstored = open_cascades_.find(root->second);
  if (unstored != open_cascades_.end() && unstored->second.erase(id) > 0 && unstored->second.empty())
    open_cascades_.erase(unstored);
  cascade_root_of_.erase(root);
}

// ---- urgency: only the last job of a pipeline has the deadline and priority that the user set for the result ----

// Returns the time from the job's start until its dependents can start, in seconds, without any delays.
double DependencyTracker::time_to_completion_s(const Job& job) const {
  return estimator_.estimate_s(job) + state_.fetch_time_s(job.spec) + dependent_start_latency_s;
}

// Returns whether the job became more urgent.
bool DependencyTracker::inherit_urgency(Job& job, const Job& dependent) const {
  const auto priority = std::max(job.priority, dependent.priority);
  auto deadline = job.effective_deadline;
  if (dependent.effective_deadline) {
    const Time latest = *dependent.effective_deadline - seconds(time_to_completion_s(dependent));
    deadline = deadline ? std::min(*deadline, latest) : latest;
  }
  if (priority == job.priority && deadline == job.effective_deadline) return false;
  job.priority = priority;
  job.effective_deadline = deadline;
  return true;
}

void DependencyTracker::propagate_urgency(const Job& job) {
  std::deque<const Job*> queue{&job};
  for (; !queue.empty(); queue.pop_front()) {
    for (const auto& id : queue.front()->open_dependencies) {
      Job* dependency = state_.find_job(id);
      if (dependency == nullptr || is_final(dependency->phase)) continue;
      if (!inherit_urgency(*dependency, *queue.front())) continue;
      state_.needs_cycle = true;
      queue.push_back(dependency);
    }
  }
}

void DependencyTracker::recompute_urgency(const Job& cancelled) {
  std::deque<const Job*> queue{&cancelled};
  for (; !queue.empty(); queue.pop_front()) {
    for (const auto& id : queue.front()->open_dependencies) {
      Job* job = state_.find_job(id);
      if (job == nullptr || is_final(job->phase)) continue;
      const auto previous = std::pair{job->priority, job->effective_deadline};
      job->reset_urgency();
      if (const auto dependents = dependents_.find(id); dependents != dependents_.end()) {
        for (const auto& dependent : dependents->second) {
          const Job* other = std::as_const(state_).find_job(dependent);
          if (other != nullptr && !is_final(other->phase)) inherit_urgency(*job, *other);
        }
      }
      if (previous != std::pair{job->priority, job->effective_deadline}) queue.push_back(job);
    }
  }
}

}  // namespace martenwall
