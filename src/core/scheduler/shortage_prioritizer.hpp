// A shortage: which pending jobs can still be in time (load/overload_admission), judged by the machines, the priorities
// and the teams' limits; the others are marked, so that they leave the room to these.
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

  // Sets `expected_missed_targets` of the jobs that are expected to miss targets which others of their priority can
  // meet, and `shortage_order` of those that are served first.
  void prioritize(PlacementProblem& problem, Time now) const;

 private:
  // What the admission is asked: one request for each job, and the pools of capacity that they draw on.
  struct AdmissionInput {
    std::vector<load::Pool> pools;
    std::vector<load::WorkRequest> requests;
    std::vector<PendingJob*> jobs;  // of the requests, in their order
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
