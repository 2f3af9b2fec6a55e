// The dependency graph of jobs (a DAG): who waits for whom, which ends are still unknown here, and the deadlines and
// priorities that a job inherits from its dependents. A job starts when all jobs that it depends on are done in the
// store, and is cancelled with any of them.
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

  // A job that is new here: it is blocked while dependencies of it are open. Returns one that is known to be cancelled;
  // the caller then has to cancel this job too.
  std::optional<JobId> add(Job& job, Time now);
  // The job ended: it waits for nothing any more.
  void remove(const Job& job);
  // A dependent of these jobs was cancelled: the urgency that they inherited from it goes, and so on up the graph.
  void recompute_urgency(const Job& cancelled);

  // The end of a job is known to be stored. Returns its dependents, which wait for it no longer.
  std::set<JobId> take_dependents(const JobId& id);
  // `id` is done: those of its dependents that wait for nothing else may start.
  void unblock(const JobId& id, const std::set<JobId>& dependents, Time now);
  // Appends the job's own dependents to `queue`; used while a cancellation goes down the graph.
  template <class Queue>
  void take_dependents_into(const JobId& id, Queue& queue) {
    const auto it = dependents_.find(id);
    if (it == dependents_.end()) return;
    queue.insert(queue.end(), it->second.begin(), it->second.end());
    dependents_.erase(it);
  }
  // These jobs were cancelled because `root` was; their users' answers wait until all of these ends are stored.
  void add_cascade(const JobId& root, std::set<JobId> cancelled);
  void add_to_cascade(const JobId& root, const JobId& cancelled) { cascade_root_of_[cancelled] = root; }
  void on_end_stored(const JobId& id);
  // Whether all ends that this job's cancellation brought about are stored.
  [[nodiscard]] bool is_cascade_stored(const JobId& id) const { return !open_cascades_.contains(id); }

  // Dependencies of which neither an end nor a beginning is known here: to be looked up in the store. Each is returned
  // once, until `retry_lookup` says that nothing was found out.
  std::vector<JobId> take_lookups();
  void retry_lookup(const JobId& id);
  [[nodiscard]] bool has_pending_lookups() const { return !(lookups_due_.empty() && lookups_issued_.empty()); }
  [[nodiscard]] bool has_dependents(const JobId& id) const { return dependents_.contains(id); }

 private:
  [[nodiscard]] double time_to_completion_s(const Job& job) const;
  bool inherit_urgency(Job& job, const Job& dependent) const;
  void propagate_urgency(const Job& job);

  ClusterState& state_;
  const RunTimeEstimator& estimator_;
  const LeaderLog& log_;
  std::map<JobId, std::set<JobId>> dependents_;  // of the jobs whose end is not known
  std::set<JobId> lookups_due_, lookups_issued_;
  std::map<JobId, std::set<JobId>> open_cascades_;  // by root: ends that are not stored yet
  std::map<JobId, JobId> cascade_root_of_;
};

}  // namespace martenwall
