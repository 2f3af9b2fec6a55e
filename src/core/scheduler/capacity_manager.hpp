// Fleet size: scale-out requests for jobs without capacity, and scale-in of machines that are idle, failed to boot or
// are lost.
#pragma once
#include <array>
#include <map>
#include <string>
#include <vector>

#include "core/capacity/scale_out_planner.hpp"
#include "core/placement/heuristics.hpp"
#include "core/scheduler/cluster_state.hpp"
#include "core/scheduler/preemptor.hpp"

namespace martenwall {

class CapacityManager {
 public:
  CapacityManager(ClusterState& state, const SchedulerOptions& options, const Preemptor& preemptor,
                  const LeaderLog& log)
      : state_(state), options_(options), preemptor_(preemptor), log_(log) {}

  // Plans scale-out for the jobs that were not placed, and scale-in. Called in each scheduling cycle; acts at most
  // twice a second. `used`: the teams' usage including the placements of this cycle; the demand that is planned for is
  // added to it.
  void plan(PlacementProblem& problem, QuotaUsage& used, Time now);
  // Returns whether the next sample is due (once per second).
  [[nodiscard]] bool is_sample_due(Time now) const { return now >= next_sample_; }
  // Records a sample of the number of busy machines, and logs a summary every ten seconds. Must be called only if
  // `is_sample_due`.
  void record_fleet_demand(const PlacementProblem& problem, const WriteQueue& writes, Time now);

  // Returns the requests to be sent to the cloud, each one once.
  std::vector<ScaleOutRequest> take_scale_out_requests();
  // Adds the machines that the cloud granted. If the cloud granted fewer than requested, the missing machines count as
  // refused.
  void on_scale_out_granted(const ScaleOutRequest& request, const std::vector<MachineId>& ids, Time now);
  // Excludes the type, zone and pricing from requests for the policy's retry interval, and plans again at once.
  void on_scale_out_refused(const ScaleOutRequest& request, Time now);
  // Drops a request that got no answer. If it was executed, its machines appear in the cloud's list.
  void on_scale_out_abandoned(const ScaleOutRequest& request);
  // Returns the machines to be released. They are returned again until the cloud has confirmed their release.
  [[nodiscard]] std::vector<MachineId> scale_in_candidates() const;

 private:
  [[nodiscard]] std::vector<Demand> unmet_demand(const PlacementProblem& problem, QuotaUsage& used);
  [[nodiscard]] std::vector<CapacityForecast> forecast(const PlacementProblem& problem, Time now) const;
  void add_booting(std::vector<CapacityForecast>& out, Time now) const;
  void plan_scale_out(const PlacementProblem& problem, QuotaUsage& used, Time now);
  void plan_scale_in(Time now);
  [[nodiscard]] bool few_machines_unreachable() const;
  [[nodiscard]] bool should_release(const Machine& machine, Time now) const;
  void release_idle(std::vector<Machine*> idle, Time now);
  [[nodiscard]] bool is_quiet(Time now) const;

  ClusterState& state_;
  const SchedulerOptions& options_;
  const Preemptor& preemptor_;
  const LeaderLog& log_;
  CapacityRefusals refusals_;
  std::vector<ScaleOutRequest> requests_;
  std::map<std::string, ScaleOutRequest> pending_;  // requests by name, sent but not answered yet
  std::uint64_t last_serial_ = 0;                   // serial number in the name of the last request
  Time next_plan_{};
  Time next_sample_{}, next_summary_{};
  std::array<LoadHistory, 2> load_history_;  // indexed by `pricing_index`: ordinary machines, spot machines
};

}  // namespace martenwall
