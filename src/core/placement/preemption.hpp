// Which running work may be stopped for a pending job, and which of it costs least.
#pragma once
#include <optional>
#include <vector>

#include "core/model/quota_usage.hpp"
#include "core/placement/heuristics.hpp"
#include "core/placement/matcher.hpp"

namespace martenwall {

// Which tasks to stop on which machines.
struct PreemptionPlan {
  std::vector<Machine*> machines;  // to be kept for the job
  std::vector<std::pair<MachineId, TaskId>> victims;
  double cost = 0;  // GPU-seconds: work lost, and the cold fetches to come
};

// Something on a machine that might be stopped. Looked up once a cycle, since many pending jobs ask.
struct Victim {
  const Placement* placement = nullptr;
  const Job* job = nullptr;          // nothing where it is not known any more
  bool within_guarantee = false;     // of a job within its team's guarantee
  bool team_over_guarantee = false;  // its team uses more than its guarantee
  double lost_gpu_s = 0;             // GPU-seconds of work lost with it
};

// A machine and what might be stopped there.
struct VictimMachine {
  Machine* machine = nullptr;
  const MachineType* type = nullptr;
  Resources free;               // free now, or being freed already
  std::vector<Victim> victims;  // cheapest first
};
using VictimTable = std::vector<VictimMachine>;

// PROTOCOL, "Preemption": lower priority, or another team's work beyond its guarantee for a job within
// its own. Of the two, priority is looked at first and the guarantee decides among equals: were each
// enough by itself, a higher priority without guarantee and a lower one within it would stop each other
// in turn for ever.
bool may_preempt(const PendingJob& pending, const Victim& victim);
// Seconds that a lone task is given to save when it is stopped for others: none where what it did since its last
// checkpoint is on the mean less than the saving takes. Its place is then free at once.
double grace_s(const Policy& policy, const JobSpec& spec);
// GPU-seconds. `spec` is the victim's job's, or nothing where the job is over.
double lost_work_s(const Policy& policy, const JobSpec* spec, const MachineType& type, const Placement& victim,
                   Time now);
// Room for `wanted` tasks; of an array also for fewer. `there`: the job's other tasks by zone, where they bind it.
std::optional<PreemptionPlan> plan_preemption(const VictimTable& table, const PendingJob& pending, std::uint32_t wanted,
                                              const ZoneCounts& zone_counts);

}  // namespace martenwall
