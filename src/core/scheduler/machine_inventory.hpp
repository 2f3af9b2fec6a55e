// Maintains the set of machines in the fleet from the cloud's machine list.
#pragma once
#include <vector>

#include "core/scheduler/task_lifecycle.hpp"

namespace martenwall {

class MachineInventory {
 public:
  MachineInventory(ClusterState& state, const SchedulerOptions& options, RowTracker& rows, TaskLifecycle& tasks,
                   const LeaderLog& log)
      : state_(state), options_(options), rows_(rows), tasks_(tasks), log_(log) {}

  // Applies the cloud's list, which was requested at `requested_at` and may be outdated by up to `max_staleness` at
  // that time.
  void on_list(const std::vector<ListedMachine>& list, Time requested_at, Duration max_staleness, Time now);
  // Removes machines whose release the cloud has confirmed.
  void on_released(const std::vector<MachineId>& ids, Time now);

 private:
  Machine& upsert_machine(const ListedMachine& listed, Time now);
  void on_failed(Machine& machine, Time now);
  void remove(const MachineId& id, RemovalReason reason, Time now);

  ClusterState& state_;
  const SchedulerOptions& options_;
  RowTracker& rows_;
  TaskLifecycle& tasks_;
  const LeaderLog& log_;
};

}  // namespace martenwall
