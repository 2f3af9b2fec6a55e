// The end of a job: done when its last task completed, or cancelled. The one place where a job reaches a final phase.
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

  // `phase` is a final one. The job's tasks that are still on machines are not touched.
  void finish(Job& job, JobPhase phase, Time now);
  // A task completed; the last one finishes the job.
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
