// The users' service-level objectives for one job: by when it should start and be done.
#pragma once
#include <vector>

#include "core/scheduler/cluster_state.hpp"
#include "load/service_record.hpp"

namespace martenwall {

class ServiceTargets {
 public:
  explicit ServiceTargets(const StartObjectives& objectives) : objectives_(objectives) {}

  // Seconds from now by which the job's pending tasks must start, for each target that it has, tightest first; may be
  // negative. `estimate_s`: the expected run time of a task.
  [[nodiscard]] std::vector<double> latest_starts(const Job& job, double estimate_s, Time now) const;
  // Seconds from its readiness within which the job should start; `within_guarantee`: its team's guarantee covers it.
  [[nodiscard]] std::vector<double> start_targets(const Job& job, bool within_guarantee) const;
  // Whether the users ask for a start within some time for the job's class.
  [[nodiscard]] bool has_start_targets(const Job& job) const {
    return objectives_.start_s_by_class.contains(job.spec.job_class);
  }
  // Whether the loosest target of the job's class has passed, to have started or to be done.
  [[nodiscard]] bool misses_loosest_target(const Job& job, Time now) const;
  // Records the unfinished jobs that missed their last target since the last call, each once.
  void record_missed(ClusterState& state, load::ServiceRecord& record, Time now) const;

 private:
  const StartObjectives& objectives_;
};

}  // namespace martenwall
