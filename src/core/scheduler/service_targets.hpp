// Service-level objectives applied to one job: when it should start and when it should be done.
#pragma once
#include <vector>

#include "core/scheduler/cluster_state.hpp"
#include "load/service_record.hpp"

namespace martenwall {

class ServiceTargets {
 public:
  explicit ServiceTargets(const StartObjectives& objectives) : objectives_(objectives) {}

  // Returns the latest start times of the job's pending tasks, in seconds from `now`, one per target, tightest first;
  // they may be negative. `estimate_s`: the expected run time of a task.
  [[nodiscard]] std::vector<double> latest_starts(const Job& job, double estimate_s, Time now) const;
  // Returns the times within which the job should start, in seconds since it became ready. `within_guarantee`: the job
  // is within its team's guarantee.
  [[nodiscard]] std::vector<double> start_targets(const Job& job, bool within_guarantee) const;
  // Returns whether the job's class has start targets.
  [[nodiscard]] bool has_start_targets(const Job& job) const {
    return objectives_.start_s_by_class.contains(job.spec.job_class);
  }
  // Returns whether the job has missed the loosest target of its class, for its start or for its end.
  [[nodiscard]] bool misses_loosest_target(const Job& job, Time now) const;
  // Records the unfinished jobs that have missed their loosest target, each one once.
  void record_missed(ClusterState& state, load::ServiceRecord& record, Time now) const;

 private:
  const StartObjectives& objectives_;
};

}  // namespace martenwall
