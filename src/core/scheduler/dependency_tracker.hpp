// The dependency graph of jobs (a DAG): dependents of each job, dependencies whose end is not known to this leader, and
// the deadlines and priorities that a job inherits from its dependents. A job starts when the ends of all its
// dependencies are stored as done, and is cancelled if any of them is cancelled.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/scheduler/cluster_state.hpp"
#include "core/scheduler/run_time_estimator.hpp"

namespace martenwall {

class DependencyTracker {
 public:
  DependencyTracker(ClusterState& state, const RunTimeEstimator& estimator, const LeaderLog& log)
      : state_(state), estimator_(estimator), log_(log) {}

  // Adds a job, which is blocked while it has open dependencies. Returns a dependency that is known to be cancelled, if
  // any; the caller must then cancel this job too.
  std::optional<JobId> add(Job& job, Time now);
  // After the cancellation of a job, recomputes the urgency that its direct and indirect dependencies inherited from
  // it.
  void recompute_urgency(const Job& cancelled);

  // Removes and returns the dependents of a job whose end is known to be stored.
  std::set<JobId> take_dependents(const JobId& id);
  // Unblocks the dependents of `id`, which is done. Those without other open dependencies may start.
  void unblock(const JobId& id, const std::set<JobId>& dependents, Time now);
  // Removes the job's dependents and appends them to `queue`; used to propagate a cancellation down the graph.
  template <class Queue>
  void take_dependents_into(const JobId& id, Queue& queue) {
    const auto it = dependents_.find(id);
    if (it == dependents_.end()) return;
    queue.insert(queue.end(), it->second.begin(), it->second.end());
    dependents_.erase(it);
  }
  // Records that these jobs were cancelled because `root` was. The responses to its cancellation wait until all of
  // these ends are stored.
  void add_cascade(const JobId& root, std::set<JobId> cancelled);
  void add_to_cascade(const JobId& root, const JobId& cancelled) { cascade_root_of_[cancelled] = root; }
  // Returns whether a cascade cancelled the job and the job's own end is not stored yet.
  [[nodiscard]] bool is_cancelled_by_cascade(const JobId& id) const { return cascade_root_of_.contains(id); }
  // Handles the stored end of a job. A cancelled job remains a dependent of its open dependencies until then, so that
  // their cancellation reaches the jobs that depend on it.
  void on_end_stored(const Job& job);
  // Returns whether the ends of all jobs that this job's cancellation cancelled are stored.
  [[nodiscard]] bool is_cascade_stored(const JobId& id) const { return !open_cascades_.contains(id); }

  // Returns the dependencies that are unknown to this leader and must be looked up in the store. Each one is returned
  // once, and again only after `retry_lookup`.
  std::vector<JobId> take_lookups();
  // Schedules the lookup again after it got no answer.
  void retry_lookup(const JobId& id);
  // Returns whether a lookup is due or was issued and is unresolved.
  [[nodiscard]] bool has_pending_lookups() const { return !(lookups_due_.empty() && lookups_issued_.empty()); }
  [[nodiscard]] bool has_dependents(const JobId& id) const { return dependents_.contains(id); }

 private:
  void remove(const Job& job);
  [[nodiscard]] double time_to_completion_s(const Job& job) const;
  bool inherit_urgency(Job& job, const Job& dependent) const;
  void propagate_urgency(const Job& job);

  ClusterState& state_;
  const RunTimeEstimator& estimator_;
  const LeaderLog& log_;
  std::map<JobId, std::set<JobId>> dependents_;  // dependents by job, for jobs whose end is not known
  std::set<JobId> lookups_due_, lookups_issued_;
  std::map<JobId, std::set<JobId>> open_cascades_;  // ends that are not stored yet, by root
  std::map<JobId, JobId> cascade_root_of_;
};

}  // namespace martenwall
