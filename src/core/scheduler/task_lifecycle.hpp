// Task lifecycle on machines: progress, exits and failures reported by workers, release of placements, and stops; also
// cancellation of a job together with its tasks and dependents.
#pragma once
#include "core/persistence/row_tracker.hpp"
#include "core/scheduler/failure_tracker.hpp"
#include "core/scheduler/job_completion.hpp"
#include "core/scheduler/run_time_estimator.hpp"

namespace martenwall {

// Returns the time that a task of the job is given to write a checkpoint when it is stopped, in seconds; 0 if it writes
// none. `job` is nullptr if the job is no longer known.
[[nodiscard]] double checkpoint_grace_s(const Job* job);

class TaskLifecycle {
 public:
  TaskLifecycle(ClusterState& state, RowTracker& rows, DependencyTracker& dependencies, FailureTracker& failures,
                JobCompletion& completion, RunTimeEstimator& estimator, const LeaderLog& log)
      : state_(state),
        rows_(rows),
        dependencies_(dependencies),
        failures_(failures),
        completion_(completion),
        estimator_(estimator),
        log_(log) {}

  // Handle a task's state as reported by the machine's worker: a task that has not ended, and one that has.
  void on_progress(Machine& machine, Placement& placement, const TaskStatus& status, Time now);
  void on_exit(Machine& machine, Placement& placement, const TaskStatus& status, Time now);
  // Handles a task of which this leader has no record: the task is stopped, and until it ends its index is not placed
  // elsewhere.
  void on_orphan(Machine& machine, const TaskStatus& status, Time now);
  // Drains the machine, which the cloud reclaims after `notice_s` seconds.
  void on_preemption_notice(Machine& machine, double notice_s, Time now);

  // Releases a placement whose task is known to be gone from the machine, so that the task may start elsewhere. The
  // placement is only marked as removed, so that iteration over the machine's placements stays valid
  // (ClusterState::erase_removed).
  void release_placement(Machine& machine, Placement& placement, ReleaseReason reason, Time now);
  // Requests the stop of one task. A repeated call can only shorten the grace period.
  void request_stop(Machine& machine, Placement& placement, double grace_s, StopCause cause, Time now);
  // Requests the stop of all tasks of the job that may be on a machine. Orphans among them are already being stopped.
  void stop_all_tasks(Job& job, double grace_s, StopCause cause, Time now);
  // Requests the stop of all tasks of the job with time for checkpoints. A gang must be stopped this way on all its
  // machines, or its progress is lost.
  void stop_gracefully(Job& job, StopCause cause, Time now);
  // Requests the stop of the remaining tasks of a gang that lost a task, unless the job has ended.
  void stop_broken_gang(Job& job, Time now);
  // Stops placing tasks on the machine and requests the stop of the tasks that occupy it.
  void drain(Machine& machine, DrainReason reason, Time now);

  // Cancels the job at its user's request.
  void cancel(Job& job, Time now);
  // Handles a job end that is known to be stored: unblocks the job's dependents, or cancels them if the job was
  // cancelled.
  void on_job_ended(const JobId& id, JobPhase phase, Time now);

 private:
  void on_completed(Machine& machine, Placement& placement, Job& job, Time now);
  void on_failed(Machine& machine, Job& job, ExitCause cause, Time now);
  void add_run_time(const Placement& placement, Time now);
  void log_if_all_running(Job& job, Time now);
  void return_to_pending(Machine& machine, const Placement& placement, Time now);
  void drop_unneeded_fetch(Machine& machine, const Job& job);
  void cancel_dependents(const JobId& root, const std::set<JobId>& dependents, Time now);

  ClusterState& state_;
  RowTracker& rows_;
  DependencyTracker& dependencies_;
  FailureTracker& failures_;
  JobCompletion& completion_;
  RunTimeEstimator& estimator_;
  const LeaderLog& log_;
};

}  // namespace martenwall
