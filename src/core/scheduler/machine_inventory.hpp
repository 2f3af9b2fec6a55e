// Which machines the fleet has, by the cloud's list.
#pragma once
#include <vector>

#include "core/scheduler/task_lifecycle.hpp"

namespace martenwall {

class MachineInventory {
 public:
  MachineInventory(ClusterState& state, const SchedulerOptions& options, RowTracker& rows, TaskLifecycle& tasks,
                   const LeaderLog& log)
      : state_(state), options_(options), rows_(rows), tasks_(tasks), log_(log) {}

  // The cloud's list, asked for at `asked`; it may be older than that by `lag`.
  void on_list(const std::vector<ListedMachine>& list, Time requested_at, Duration max_staleness, Time now);
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
