// Dispatches commands to workers: in the responses to their heartbeats, and in batches sent directly.
#pragma once
#include <vector>

#include "core/scheduler/task_lifecycle.hpp"

namespace martenwall {

class WorkerCommandDispatcher {
 public:
  WorkerCommandDispatcher(ClusterState& state, const SchedulerOptions& options, const RowTracker& rows,
                          TaskLifecycle& tasks)
      : state_(state), options_(options), rows_(rows), tasks_(tasks) {}

  // Returns the commands for the response to the machine's heartbeat `sequence`. `lease_valid`: the leader's lease is
  // valid, so that starts may be sent. Commands are repeated in each response until a heartbeat shows their effect.
  std::vector<Command> commands_for(Machine& machine, HeartbeatSequence sequence, Time now, bool lease_valid);
  // Returns the commands to be sent at once, without waiting for the next heartbeat. Each one is returned once.
  std::vector<CommandBatch> take_batches(Time now);
  // Handles the outcome of a batch that was sent directly.
  void on_outcome(const CommandBatch& batch, CommandOutcome outcome, Time now);
  // Returns an empty batch for each machine that has not reported to this leader. The batch announces the leader to the
  // machine. Busy machines come first.
  [[nodiscard]] std::vector<CommandBatch> announcements() const;

 private:
  void append_command(Machine& machine, Placement& placement, HeartbeatSequence sequence, Time now, bool lease_valid,
                      std::vector<Command>& out);
  void append_stop(const Machine& machine, Placement& placement, HeartbeatSequence sequence, Time now,
                   std::vector<Command>& out);
  void append_direct_command(Placement& placement, bool may_start, Time now, CommandBatch& batch);

  ClusterState& state_;
  const SchedulerOptions& options_;
  const RowTracker& rows_;
  TaskLifecycle& tasks_;
};

}  // namespace martenwall
