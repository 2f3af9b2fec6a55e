// Enforces team limits that change while work runs: stops a team's tasks beyond its limit.
#pragma once
#include <string>
#include <vector>

#include "core/scheduler/task_lifecycle.hpp"

namespace martenwall {

class QuotaEnforcer {
 public:
  QuotaEnforcer(ClusterState& state, const SchedulerOptions& options, TaskLifecycle& tasks)
      : state_(state), options_(options), tasks_(tasks) {}

  // Stops tasks beyond the limits. Tasks that do not run yet are stopped first, then those of lower priority. Does
  // nothing unless limits may have changed.
  void enforce(Time now);
  // Returns a text for users if no task of the job can start because of its team's limit, or because the team is not
  // configured; otherwise an empty string.
  [[nodiscard]] std::string pending_reason(const Job& job) const;

 private:
  void enforce(const std::string& team, Time now);

  ClusterState& state_;
  const SchedulerOptions& options_;
  TaskLifecycle& tasks_;
};

}  // namespace martenwall
