// Attributes task failures to the job or to the machine, based on the other jobs that failed on the machine and the
// other machines on which the job failed. A faulty job is retried with a long back-off; a faulty machine is
// quarantined.
#pragma once
#include <vector>

#include "core/scheduler/cluster_state.hpp"

namespace martenwall {

class FailureTracker {
 public:
  FailureTracker(ClusterState& state, const SchedulerOptions& options, const LeaderLog& log)
      : state_(state), options_(options), log_(log) {}

  // Handles a task of the job that ended on the machine with `ExitCause::error`.
  void on_task_error(Machine& machine, Job& job, Time now);
  // Marks the job as suspect if it failed on several machines while none of its tasks is done.
  void review_suspicion(Job& job, Time now);
  // Clears the job's failures and, if it is suspect, its suspicion.
  void clear_suspicion(Job& job, ClearReason reason);
  // Returns whether a suspect job may be tried now; an array is tried with one task at a time. May clear the suspicion.
  [[nodiscard]] bool may_probe(Job& job, Time now);
  // Discards the job's failures as evidence against machines. Machines that were quarantined because of them return to
  // service.
  void forget_failures_of(const Job& job, Time now);
  // Quarantines the machines on which too many jobs failed, not counting jobs that are known to fail elsewhere too.
  // The caller must drain the returned machines.
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
