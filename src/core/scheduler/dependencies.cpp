// Jobs that await others: they start when all of those are done in the store, and are cancelled with any of them.
#include <algorithm>
#include <deque>

#include "core/scheduler/scheduler.hpp"

namespace martenwall {

namespace {
// Names for a log line; of many only the first.
std::string named(const std::set<JobId>& ids) {
  constexpr std::size_t most = 5;
  std::string out;
  std::size_t n = 0;
  for (const auto& id : ids) {
    if (n++ == most) return out + " and " + std::to_string(ids.size() - most) + " more";
    out += (out.empty() ? "" : ", ") + id.value();
  }
  return out;
}
}  // namespace

void Scheduler::register_dependencies(Job& job, Time now) {
  if (job.spec.dependencies.empty() || is_final(job.phase)) return;
  const auto& id = job.spec.id;
  std::optional<JobId> cancelled;
  for (const auto& other : job.spec.dependencies) {
    const auto* known = find_job(other);
    // What a ghost's end was is not known: its rows outlive done jobs too.
    const bool stored = known != nullptr && known->end_is_stored && !known->residual;
    if (stored && known->phase == JobPhase::done) continue;
    if (stored) cancelled = other;
    job.open_dependencies.insert(other);
    dependents_[other].insert(id);
    if ((known == nullptr || known->residual) && !lookups_issued_.contains(other)) lookups_due_.insert(other);
  }
  if (job.open_dependencies.empty()) {
    job.ready_at = now;
    return;
  }
  job.enter(JobPhase::waiting);
  propagate_urgency(job);
  log_("job " + id.value() + " waits for " + named(job.open_dependencies));
  if (cancelled) on_job_ended(*cancelled, JobPhase::cancelled, now);
}

std::vector<JobId> Scheduler::take_lookups() {
  std::vector<JobId> out{lookups_due_.begin(), lookups_due_.end()};
  lookups_issued_.merge(lookups_due_);
  lookups_due_.clear();
  return out;
}

void Scheduler::retry_lookup(const JobId& id) {
  if (lookups_issued_.erase(id) == 0 || !dependents_.contains(id)) return;
  // Meanwhile it may have been taken here: its end will tell.
  const auto* known = find_job(id);
  if (known == nullptr || known->residual) lookups_due_.insert(id);
}

void Scheduler::on_end_looked_up(const JobId& id, JobPhase phase, Time now) { on_job_ended(id, phase, now); }

// The end of a job is in the store: the one place where those that await it learn of it.
void Scheduler::on_job_ended(const JobId& id, JobPhase phase, Time now) {
  lookups_due_.erase(id);
  lookups_issued_.erase(id);
  const auto it = dependents_.find(id);
  if (it == dependents_.end()) return;
  const auto by = std::move(it->second);
  dependents_.erase(it);
  if (phase == JobPhase::cancelled) return cancel_dependents(id, by, now);
  for (const auto& waiter : by) {
    const auto job = jobs_.find(waiter);
    if (job == jobs_.end() || job->second.phase != JobPhase::waiting) continue;
    job->second.open_dependencies.erase(id);
    if (job->second.open_dependencies.empty()) unblock(job->second, now);
  }
}

void Scheduler::unblock(Job& job, Time now) {
  job.enter(JobPhase::pending);
  job.ready_at = job.waiting_since = now;
  needs_cycle_ = true;
  log_("job " + job.spec.id.value() + " may start: all that it awaited is done, " +
       std::to_string(to_seconds(now - job.submitted)) + " s after its submission");
}

// The root's end is stored, so that each of these may be stored in any order: a new leader that finds some of them
// missing comes to the same conclusion from what they await.
void Scheduler::cancel_dependents(const JobId& root, const std::set<JobId>& by, Time now) {
  std::set<JobId> taken;
  std::deque<JobId> next{by.begin(), by.end()};
  for (; !next.empty(); next.pop_front()) {
    const auto it = jobs_.find(next.front());
    if (it == jobs_.end() || is_final(it->second.phase)) continue;
    Job& job = it->second;
    if (const auto further = dependents_.find(job.spec.id); further != dependents_.end()) {
      next.insert(next.end(), further->second.begin(), further->second.end());
      dependents_.erase(further);
    }
    finish_job(job, JobPhase::cancelled, now);
    stop_all_tasks(job, 0, now, "one that it awaits is cancelled");
    cascade_root_of_[job.spec.id] = root;
    taken.insert(job.spec.id);
  }
  if (taken.empty()) return;
  log_("job " + root.value() + " is cancelled and takes " + std::to_string(taken.size()) + " with it: " + named(taken));
  open_cascades_[root].merge(taken);
}

void Scheduler::on_cascaded_end_stored(const JobId& id) {
  const auto root = cascade_root_of_.find(id);
  if (root == cascade_root_of_.end()) return;
  const auto rest = open_cascades_.find(root->second);
  if (rest != open_cascades_.end() && rest->second.erase(id) > 0 && rest->second.empty()) open_cascades_.erase(rest);
  cascade_root_of_.erase(root);
}

void Scheduler::forget_dependencies(const Job& job) {
  for (const auto& other : job.open_dependencies) {
    const auto it = dependents_.find(other);
    if (it == dependents_.end() || it->second.erase(job.spec.id) == 0 || !it->second.empty()) continue;
    dependents_.erase(it);
    lookups_due_.erase(other);
    lookups_issued_.erase(other);
  }
}

// ---- only the last job of a pipeline has the deadline and the rank that its user cares about ----

// From its start to the moment when those that await it can start, if nothing stands in its way.
double Scheduler::path_to_completion_s(const Job& job) const {
  constexpr double handover_s = 2;  // reports, the store and a round, twice
  double fetch_s = 0;
  for (const auto& type : types_) {
    if (type_allows(job.spec, type) && type.fetch_gb_per_s > 0) fetch_s = job.spec.image_gb / type.fetch_gb_per_s;
  }
  return estimated_run_time_s(job) + fetch_s + handover_s;
}

// True where that made the job more urgent.
bool Scheduler::inherit_urgency(Job& job, const Job& by) const {
  const auto priority = std::max(job.priority, by.priority);
  auto due = job.effective_deadline;
  if (by.effective_deadline) {
    const Time latest = *by.effective_deadline - seconds(path_to_completion_s(by));
    due = due ? std::min(*due, latest) : latest;
  }
  if (priority == job.priority && due == job.effective_deadline) return false;
  job.priority = priority;
  job.effective_deadline = due;
  return true;
}

void Scheduler::propagate_urgency(const Job& job) {
  std::deque<const Job*> next{&job};
  for (; !next.empty(); next.pop_front()) {
    for (const auto& id : next.front()->open_dependencies) {
      const auto it = jobs_.find(id);
      if (it == jobs_.end() || is_final(it->second.phase) || !inherit_urgency(it->second, *next.front())) continue;
      needs_cycle_ = true;
      next.push_back(&it->second);
    }
  }
}

// A job that needed these is cancelled: what they had of its urgency goes, and so on up the chain.
void Scheduler::recompute_urgency(const Job& gone) {
  std::deque<const Job*> next{&gone};
  for (; !next.empty(); next.pop_front()) {
    for (const auto& id : next.front()->open_dependencies) {
      const auto it = jobs_.find(id);
      if (it == jobs_.end() || is_final(it->second.phase)) continue;
      Job& job = it->second;
      const auto before = std::pair{job.priority, job.effective_deadline};
      job.reset_urgency();
      if (const auto by = dependents_.find(id); by != dependents_.end()) {
        for (const auto& waiter : by->second) {
          if (const auto* other = find_job(waiter)) inherit_urgency(job, *other);
        }
      }
      if (before != std::pair{job.priority, job.effective_deadline}) next.push_back(&job);
    }
  }
}

}  // namespace martenwall
