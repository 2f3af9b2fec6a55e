// Job completion: a job is done when its last task completes, or is cancelled. No other module moves a job to a final
// phase.
#pragma once
#include "core/persistence/row_tracker.hpp"
#include "core/scheduler/dependency_tracker.hpp"
#include "core/scheduler/failure_tracker.hpp"
#include "core/scheduler/service_targets.hpp"
#include "load/service_record.hpp"

namespace martenwall {

class JobCompletion {
 public:
  JobCompletion(ClusterState& state, RowTracker& rows, DependencyTracker& dependencies, FailureTracker& failures,
                const ServiceTargets& targets, load::ServiceRecord& record, const LeaderLog& log)
      : state_(state),
        rows_(rows),
        dependencies_(dependencies),
        failures_(failures),
        targets_(targets),
        record_(record),
        log_(log) {}

  // Finishes the job. `phase` must be a final phase. The job's tasks that are still on machines are not changed.
  void finish(Job& job, JobPhase phase, Time now);
  // Handles a completed task; the last one finishes the job.
  void on_task_done(Job& job, std::uint32_t index, Time now);

 private:
  void record_end(const Job& job, Time now);

  ClusterState& state_;
  RowTracker& rows_;
  DependencyTracker& dependencies_;
  FailureTracker& failures_;
  const ServiceTargets& targets_;
  load::ServiceRecord& record_;
  const LeaderLog& log_;
};

}  // namespace martenwall
