// Jobs that await others: they start when all of those are done in the store, and are cancelled with any of them.
#include <algorithm>
#include <deque>

#include "core/scheduler.hpp"

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

void Scheduler::await_others(Job& job, Time now) {
  if (job.spec.awaits.empty() || is_final(job.phase)) return;
  const auto& id = job.spec.id;
  std::optional<JobId> cancelled;
  for (const auto& other : job.spec.awaits) {
    const auto* known = find_job(other);
    // What a ghost's end was is not known: its rows outlive done jobs too.
    const bool stored = known != nullptr && known->final_stored && !known->ghost;
    if (stored && known->phase == JobPhase::done) continue;
    if (stored) cancelled = other;
    job.open.insert(other);
    awaited_[other].insert(id);
    if ((known == nullptr || known->ghost) && !asked_.contains(other)) lookups_.insert(other);
  }
  if (job.open.empty()) {
    job.released = now;
    return;
  }
  job.enter(JobPhase::waiting);
  pass_urgency_up(job);
  log_("job " + id.value() + " waits for " + named(job.open));
  if (cancelled) on_end(*cancelled, JobPhase::cancelled, now);
}

std::vector<JobId> Scheduler::take_lookups() {
  std::vector<JobId> out{lookups_.begin(), lookups_.end()};
  asked_.merge(lookups_);
  lookups_.clear();
  return out;
}

void Scheduler::ask_again(const JobId& id) {
  if (asked_.erase(id) == 0 || !awaited_.contains(id)) return;
  // Meanwhile it may have been taken here: its end will tell.
  const auto* known = find_job(id);
  if (known == nullptr || known->ghost) lookups_.insert(id);
}

void Scheduler::on_end_found(const JobId& id, JobPhase phase, Time now) { on_end(id, phase, now); }

// The end of a job is in the store: the one place where those that await it learn of it.
void Scheduler::on_end(const JobId& id, JobPhase phase, Time now) {
  lookups_.erase(id);
  asked_.erase(id);
  const auto it = awaited_.find(id);
  if (it == awaited_.end()) return;
  const auto by = std::move(it->second);
  awaited_.erase(it);
  if (phase == JobPhase::cancelled) return cascade(id, by, now);
  for (const auto& waiter : by) {
    const auto job = jobs_.find(waiter);
    if (job == jobs_.end() || job->second.phase != JobPhase::waiting) continue;
    job->second.open.erase(id);
    if (job->second.open.empty()) release(job->second, now);
  }
}

void Scheduler::release(Job& job, Time now) {
  job.enter(JobPhase::pending);
  job.released = job.waiting_since = now;
  stale_ = true;
  log_("job " + job.spec.id.value() + " may start: all that it awaited is done, " +
       std::to_string(to_seconds(now - job.submitted)) + " s after its submission");
}

// The root's end is stored, so that each of these may be stored in any order: a new leader that finds some of them
// missing comes to the same conclusion from what they await.
void Scheduler::cascade(const JobId& root, const std::set<JobId>& by, Time now) {
  std::set<JobId> taken;
  std::deque<JobId> next{by.begin(), by.end()};
  for (; !next.empty(); next.pop_front()) {
    const auto it = jobs_.find(next.front());
    if (it == jobs_.end() || is_final(it->second.phase)) continue;
    Job& job = it->second;
    if (const auto further = awaited_.find(job.spec.id); further != awaited_.end()) {
      next.insert(next.end(), further->second.begin(), further->second.end());
      awaited_.erase(further);
    }
    finish_job(job, JobPhase::cancelled, now);
    stop_placed(job, 0, now, "one that it awaits is cancelled");
    cascade_of_[job.spec.id] = root;
    taken.insert(job.spec.id);
  }
  if (taken.empty()) return;
  log_("job " + root.value() + " is cancelled and takes " + std::to_string(taken.size()) + " with it: " + named(taken));
  cascades_[root].merge(taken);
}

void Scheduler::cascaded_end_stored(const JobId& id) {
  const auto root = cascade_of_.find(id);
  if (root == cascade_of_.end()) return;
  const auto rest = cascades_.find(root->second);
  if (rest != cascades_.end() && rest->second.erase(id) > 0 && rest->second.empty()) cascades_.erase(rest);
  cascade_of_.erase(root);
}

void Scheduler::forget_awaited(const Job& job) {
  for (const auto& other : job.open) {
    const auto it = awaited_.find(other);
    if (it == awaited_.end() || it->second.erase(job.spec.id) == 0 || !it->second.empty()) continue;
    awaited_.erase(it);
    lookups_.erase(other);
    asked_.erase(other);
  }
}

// ---- only the last job of a pipeline has the deadline and the rank that its user cares about ----

// From its start to the moment when those that await it can start, if nothing stands in its way.
double Scheduler::path_s(const Job& job) const {
  constexpr double handover_s = 2;  // reports, the store and a round, twice
  double fetch_s = 0;
  for (const auto& type : types_) {
    if (type_allows(job.spec, type) && type.fetch_gb_per_s > 0) fetch_s = job.spec.image_gb / type.fetch_gb_per_s;
  }
  return estimate_of(job) + fetch_s + handover_s;
}

// True where that made the job more urgent.
bool Scheduler::take_urgency(Job& job, const Job& by) const {
  const auto rank = std::max(job.rank, by.rank);
  auto due = job.due;
  if (by.due) {
    const Time latest = *by.due - seconds(path_s(by));
    due = due ? std::min(*due, latest) : latest;
  }
  if (rank == job.rank && due == job.due) return false;
  job.rank = rank;
  job.due = due;
  return true;
}

void Scheduler::pass_urgency_up(const Job& job) {
  std::deque<const Job*> next{&job};
  for (; !next.empty(); next.pop_front()) {
    for (const auto& id : next.front()->open) {
      const auto it = jobs_.find(id);
      if (it == jobs_.end() || is_final(it->second.phase) || !take_urgency(it->second, *next.front())) continue;
      stale_ = true;
      next.push_back(&it->second);
    }
  }
}

// A job that needed these is cancelled: what they had of its urgency goes, and so on up the chain.
void Scheduler::review_urgency(const Job& gone) {
  std::deque<const Job*> next{&gone};
  for (; !next.empty(); next.pop_front()) {
    for (const auto& id : next.front()->open) {
      const auto it = jobs_.find(id);
      if (it == jobs_.end() || is_final(it->second.phase)) continue;
      Job& job = it->second;
      const auto before = std::pair{job.rank, job.due};
      job.set_own_urgency();
      if (const auto by = awaited_.find(id); by != awaited_.end()) {
        for (const auto& waiter : by->second) {
          if (const auto* other = find_job(waiter)) take_urgency(job, *other);
        }
      }
      if (before != std::pair{job.rank, job.due}) next.push_back(&job);
    }
  }
}

}  // namespace martenwall
