// Capacity shortages: determines which pending jobs can still meet their targets (load/overload_admission), given the
// machines, priorities and team limits. The other jobs are marked as deferred, which leaves the capacity to the jobs
// that can.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "core/placement/heuristics.hpp"
#include "core/scheduler/cluster_state.hpp"
#include "core/scheduler/service_targets.hpp"
#include "load/overload_admission.hpp"

namespace martenwall {

class ShortagePrioritizer {
 public:
  ShortagePrioritizer(const ClusterState& state, const SchedulerOptions& options, const ServiceTargets& targets)
      : state_(state), options_(options), targets_(targets) {}

  // Sets `expected_missed_targets` for jobs that are expected to miss targets which other jobs of the same priority can
  // meet, and `shortage_order` for the jobs that are served first.
  void prioritize(PlacementProblem& problem, Time now) const;

 private:
  // Input of the admission planning: one request per job, and the capacity pools that the requests share.
  struct AdmissionInput {
    std::vector<load::Pool> pools;
    std::vector<load::WorkRequest> requests;
    std::vector<PendingJob*> jobs;  // jobs of the requests, in the same order
    std::map<std::string, std::size_t> team_pools;
    std::map<std::string, std::size_t> classes;
  };
  class CapacityByKind;
  void add_requests(AdmissionInput& input, PlacementProblem& problem, Priority priority, CapacityByKind& capacity,
                    QuotaUsage& limits, Time now) const;
  [[nodiscard]] load::WorkRequest request_for(AdmissionInput& input, const PendingJob& pending, Time now) const;
  void apply(const AdmissionInput& input, const std::vector<load::AdmissionResult>& results, Time now) const;

  const ClusterState& state_;
  const SchedulerOptions& options_;
  const ServiceTargets& targets_;
};

}  // namespace martenwall
