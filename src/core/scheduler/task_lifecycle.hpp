// What becomes of tasks on machines: their progress, ends and failures as workers report them, their placements' end,
// and stops; and the end of a job that takes its tasks and dependents with it.
#pragma once
#include "core/persistence/row_tracker.hpp"
#include "core/scheduler/failure_tracker.hpp"
#include "core/scheduler/job_completion.hpp"
#include "core/scheduler/run_time_estimator.hpp"

namespace martenwall {

// Seconds that a task of the job is given to write a checkpoint when it is stopped; 0 where it writes none. `job` may
// be nullptr: not known any more.
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

  // As reported by the machine's worker.
  void on_progress(Machine& machine, Placement& placement, const TaskStatus& status, Time now);
  void on_exit(Machine& machine, Placement& placement, const TaskStatus& status, Time now);
  // A task that this leader has no record of: it is stopped, and holds its task meanwhile.
  void on_orphan(Machine& machine, const TaskStatus& status, Time now);
  // The cloud takes the machine back after `notice_s` seconds.
  void on_preemption_notice(Machine& machine, double notice_s, Time now);

  // The task is surely not on the machine (any more): it may start elsewhere. The placement is only marked as removed,
  // so that loops over the machine's placements stay valid (ClusterState::erase_removed).
  void release_placement(Machine& machine, Placement& placement, ReleaseReason reason, Time now);
  // Stops one task. A repeated call can only shorten the grace.
  void request_stop(Machine& machine, Placement& placement, double grace_s, StopCause cause, Time now);
  // Stops all tasks of the job that may be on a machine; an orphan among them is being stopped already.
  void stop_all_tasks(Job& job, double grace_s, StopCause cause, Time now);
  // The same, with time for checkpoints. A gang is stopped in order on all its machines, or its progress is lost.
  void stop_gracefully(Job& job, StopCause cause, Time now);
  // Stops what is left of a gang that lost a task.
  void stop_broken_gang(Job& job, Time now);
  // Takes no new tasks to the machine and stops those that are there.
  void drain(Machine& machine, DrainReason reason, Time now);

  // The job's user cancelled it.
  void cancel(Job& job, Time now);
  // The end of a job is known to be stored: its dependents are unblocked, or cancelled with it.
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
