// Selects running work to preempt for a pending job at the lowest cost.
#pragma once
#include <optional>
#include <vector>

#include "core/model/quota_usage.hpp"
#include "core/placement/heuristics.hpp"
#include "core/placement/matcher.hpp"

namespace martenwall {

// Tasks to stop, and the machines that are reserved for the job.
struct PreemptionPlan {
  std::vector<Machine*> machines;  // machines to reserve for the job
  std::vector<std::pair<MachineId, TaskId>> victims;
  double cost = 0;  // GPU-seconds: lost work plus the image fetches that follow
};

// A placement that may be preempted. Built once per cycle because many pending jobs use it.
struct Victim {
  const Placement* placement = nullptr;
  const Job* job = nullptr;          // nullptr if the job has been removed from memory
  bool within_guarantee = false;     // its job is within its team's guarantee
  bool team_over_guarantee = false;  // its team uses more than its guarantee
  double lost_gpu_s = 0;             // GPU-seconds of work lost by stopping it
};

// A machine and the placements there that may be preempted.
struct VictimMachine {
  Machine* machine = nullptr;
  const MachineType* type = nullptr;
  Resources free;               // free, or being freed already
  std::vector<Victim> victims;  // cheapest first
};
using VictimTable = std::vector<VictimMachine>;

// PROTOCOL, "Preemption": a job may preempt work of lower priority. A job within its team's guarantee may also preempt
// work of another team that exceeds that team's guarantee. Priority is compared first; the guarantee decides only
// between equal priorities. If either condition were sufficient alone, a job of higher priority without guarantee and
// one of lower priority within it would preempt each other forever.
bool may_preempt(const PendingJob& pending, const Victim& victim);
// Returns the seconds that a task is given to save when it is preempted: 0 if it has no checkpoints or, for a task
// outside a gang and if the policy allows unsaved stops, if the expected work since its last checkpoint is less than
// the saving takes. Its capacity is then free at once.
double grace_s(const Policy& policy, const JobSpec& spec);
// Returns the work lost by stopping the victim, in GPU-seconds. `spec` is its job's, or nullptr if the job has ended.
double lost_work_s(const Policy& policy, const JobSpec* spec, const MachineType& type, const Placement& victim,
                   Time now);
// Returns the cheapest plan that frees capacity for `wanted` tasks, or for fewer of an array. `zone_counts`: the job's
// other tasks by zone, if they restrict the zone.
std::optional<PreemptionPlan> plan_preemption(const VictimTable& table, const PendingJob& pending, std::uint32_t wanted,
                                              const ZoneCounts& zone_counts);

}  // namespace martenwall
