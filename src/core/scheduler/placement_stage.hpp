// Placement stage of a scheduling cycle: builds the Job-Machine matrix of pending jobs and machines with free capacity,
// and places tasks by greedy highest-first matching (Capannini et al., section 4).
#pragma once
#include <set>
#include <vector>

#include "core/persistence/row_tracker.hpp"
#include "core/placement/heuristics.hpp"
#include "core/scheduler/failure_tracker.hpp"
#include "core/scheduler/run_time_estimator.hpp"
#include "core/scheduler/shortage_prioritizer.hpp"
#include "load/service_record.hpp"

namespace martenwall {

class PlacementStage {
 public:
  PlacementStage(ClusterState& state, const SchedulerOptions& options, RowTracker& rows, FailureTracker& failures,
                 const RunTimeEstimator& estimator, const ServiceTargets& targets, load::ServiceRecord& record,
                 const LeaderLog& log)
      : state_(state),
        options_(options),
        rows_(rows),
        failures_(failures),
        estimator_(estimator),
        shortage_(state, options, targets),
        record_(record),
        log_(log) {}

  // Returns the pending jobs in order of preference and the machines with free capacity. Resets
  // `ClusterState::needs_cycle`, unless there are more jobs than one cycle can handle.
  PlacementProblem build_problem(Time now);
  // Places the tasks that fit. Returns the teams' usage including the new placements.
  QuotaUsage match_and_place(PlacementProblem& problem, Time now);

 private:
  void add_pending_jobs(PlacementProblem& problem, Time now);
  void add_machines(PlacementProblem& problem, Time now);
  [[nodiscard]] std::uint32_t placeable_tasks(Job& job, Time now);
  [[nodiscard]] std::set<JobId> jobs_within_guarantee() const;
  [[nodiscard]] bool needs_uniform_image(const Job& job, Time now) const;
  [[nodiscard]] bool is_restricted_to_spot(const Job& job, bool any_spot, Time now) const;
  void place(const PlacementProblem& problem, const PendingJob& pending, const std::vector<std::size_t>& columns,
             Time now);

  ClusterState& state_;
  const SchedulerOptions& options_;
  RowTracker& rows_;
  FailureTracker& failures_;
  const RunTimeEstimator& estimator_;
  ShortagePrioritizer shortage_;
  load::ServiceRecord& record_;
  const LeaderLog& log_;
};

}  // namespace martenwall
