// Preemption: stops running tasks for pending jobs of higher priority, or within their team's guarantee, if waiting for
// free capacity would miss a target.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "core/placement/heuristics.hpp"
#include "core/placement/preemption.hpp"
#include "core/scheduler/service_targets.hpp"
#include "core/scheduler/task_lifecycle.hpp"

namespace martenwall {

class Preemptor {
 public:
  Preemptor(ClusterState& state, const SchedulerOptions& options, const ServiceTargets& targets, TaskLifecycle& tasks)
      : state_(state), options_(options), targets_(targets), tasks_(tasks) {}

  // Preempts tasks for jobs that were not placed in this cycle. Returns the number of tasks considered as victims.
  std::size_t run(PlacementProblem& problem, Time now);
  // Returns whether capacity is being freed for the job by preemption.
  [[nodiscard]] bool is_preempting_for(const JobId& id) const { return reserved_until_.contains(id); }

 private:
  [[nodiscard]] VictimTable victims(const PlacementProblem& problem, Time now);
  // Cache for one cycle: many placements belong to few jobs and teams.
  struct VictimLookup {
    struct KnownJob {
      const Job* job = nullptr;  // nullptr if the job is no longer known
      bool guaranteed = false;   // the job is within its team's guarantee
    };
    const PlacementProblem& problem;
    std::set<std::string> teams_over_guarantee;
    std::unordered_map<JobId, KnownJob> jobs;
  };
  void add_victims(VictimMachine& entry, VictimLookup& lookup, Time now) const;
  [[nodiscard]] bool may_preempt_for(const PendingJob& pending, Time now) const;
  [[nodiscard]] bool should_wait_for_capacity(const PendingJob& pending, Time now) const;
  [[nodiscard]] std::optional<Time> earliest_start_without_preemption(const Job& job, Time now) const;
  void apply(const PreemptionPlan& plan, const PendingJob& pending, Time now);

  ClusterState& state_;
  const SchedulerOptions& options_;
  const ServiceTargets& targets_;
  TaskLifecycle& tasks_;
  std::map<JobId, Time> reserved_until_;  // end of the reservation, by the job for which tasks are preempted
};

}  // namespace martenwall
