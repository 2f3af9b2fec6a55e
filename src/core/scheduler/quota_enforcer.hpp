// Team limits that change while work runs: what a team has on machines beyond its limit is stopped.
#pragma once
#include <string>
#include <vector>

#include "core/scheduler/task_lifecycle.hpp"

namespace martenwall {

class QuotaEnforcer {
 public:
  QuotaEnforcer(ClusterState& state, const SchedulerOptions& options, TaskLifecycle& tasks)
      : state_(state), options_(options), tasks_(tasks) {}

  // Stops what runs beyond the limits, lowest priority first; only once limits may have changed.
  void enforce(Time now);
  // Why nothing of a job can start, where that lies with its team's limit; otherwise empty. Users read this text.
  [[nodiscard]] std::string pending_reason(const Job& job) const;

 private:
  void enforce(const std::string& team, Time now);

  ClusterState& state_;
  const SchedulerOptions& options_;
  TaskLifecycle& tasks_;
};

}  // namespace martenwall
