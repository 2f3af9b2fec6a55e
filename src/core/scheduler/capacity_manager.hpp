// The size of the fleet: scale-out requests for work that found no room, and scale-in of machines that are idle, never
// came up or are lost.
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

  // Part of each scheduling cycle, acts twice a second: plans scale-out for the jobs that are left without a place, and
  // scale-in. `used`: the teams' usage once all that was placed counts.
  void plan(PlacementProblem& problem, QuotaUsage& used, Time now);
  // Records how many machines are busy, and every ten seconds logs a summary; to be called when `is_sample_due`.
  [[nodiscard]] bool is_sample_due(Time now) const { return now >= next_sample_; }
  void record_fleet_demand(const PlacementProblem& problem, const WriteQueue& writes, Time now);

  // The requests to be sent to the cloud, each once.
  std::vector<ScaleOutRequest> take_scale_out_requests();
  void on_scale_out_granted(const ScaleOutRequest& request, const std::vector<MachineId>& ids, Time now);
  void on_scale_out_refused(const ScaleOutRequest& request, Time now);
  // No answer came; should the request have been executed, its machines turn up in the cloud's list.
  void on_scale_out_abandoned(const ScaleOutRequest& request);
  // Machines to be released, repeated until the cloud has confirmed them.
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
  std::map<std::string, ScaleOutRequest> pending_;  // by name: sent, not answered yet
  std::uint64_t last_serial_ = 0;                   // of a request's name
  Time next_plan_{};
  Time next_sample_{}, next_summary_{};
  std::array<LoadHistory, 2> load_history_;  // ordinary machines, spot machines
};

}  // namespace martenwall
