// Failed tasks: is the job at fault, or the machine? Told apart by what else failed on the machine and where else the
// job failed. A job at fault is retried seldom, a machine at fault is quarantined.
#pragma once
#include <vector>

#include "core/scheduler/cluster_state.hpp"

namespace martenwall {

class FailureTracker {
 public:
  FailureTracker(ClusterState& state, const SchedulerOptions& options, const LeaderLog& log)
      : state_(state), options_(options), log_(log) {}

  // A task of the job failed by an error of its own on the machine.
  void on_task_error(Machine& machine, Job& job, Time now);
  // Suspects a job that failed on several machines while nothing of it is done.
  void review_suspicion(Job& job, Time now);
  void clear_suspicion(Job& job, ClearReason reason);
  // Whether a suspect job may be tried now: an array with one task at a time. May clear the suspicion.
  [[nodiscard]] bool may_probe(Job& job, Time now);
  // The job's failures do not speak against machines any more; those that were quarantined for them return.
  void forget_failures_of(const Job& job, Time now);
  // Quarantines the machines on which too many jobs failed for no reason of their own. The caller has to drain them.
  std::vector<Machine*> quarantine_failing(Time now);

 private:
  [[nodiscard]] int unexplained_failures(const Machine& machine) const;
  void quarantine(Machine& machine);
  void release_from_quarantine(Machine& machine, const JobId& job, Time now);

  ClusterState& state_;
  const SchedulerOptions& options_;
  const LeaderLog& log_;
};

}  // namespace martenwall
