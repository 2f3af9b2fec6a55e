// Reconciles worker reports with the leader's records: detects running, missing and orphaned tasks, tracks whether the
// machine receives commands, and expires leases.
#pragma once
#include "core/scheduler/task_lifecycle.hpp"

namespace martenwall {

class HeartbeatReconciler {
 public:
  HeartbeatReconciler(ClusterState& state, const SchedulerOptions& options, RowTracker& rows, TaskLifecycle& tasks,
                      const LeaderLog& log)
      : state_(state), options_(options), rows_(rows), tasks_(tasks), log_(log) {}

  enum class Outcome {
    ignored,   // outdated, or from a machine that was released
    repeated,  // duplicate of the newest heartbeat; the response is the same as before
    applied,
  };
  struct Result {
    Outcome outcome = Outcome::ignored;
    Machine* machine = nullptr;  // nullptr if the heartbeat was ignored
  };
  // Applies a worker's report. `source`: whether it came as a heartbeat or in the reply to a command.
  Result on_heartbeat(const Heartbeat& heartbeat, StatusSource source, Time now);
  // Records that a 200 response, which renews the worker's lease, is about to be sent to the machine.
  void on_heartbeat_answered(const MachineId& id, Time now);
  // Returns whether the machine must get no response, so that its worker's lease expires.
  [[nodiscard]] bool must_withhold_response(const MachineId& id) const;
  // Returns the number of machines that sent a heartbeat at or after `since`; replies to commands do not count.
  [[nodiscard]] std::size_t count_machines_reporting_since(Time since) const;
  // Releases the placements on machines whose worker's lease has certainly expired.
  void expire_leases(Time now);

 private:
  Machine& upsert_machine(const Heartbeat& heartbeat, Time now);
  void on_first_report(Machine& machine, Time now);
  void on_new_incarnation(Machine& machine, Time now);
  bool apply_task_statuses(Machine& machine, const Heartbeat& heartbeat, Time now);
  bool detect_missing_tasks(Machine& machine, const Heartbeat& heartbeat, StatusSource source, Time now);
  bool apply_absence(Machine& machine, Placement& placement, const Heartbeat& heartbeat, StatusSource source, Time now);
  void update_downlink(Machine& machine, const Heartbeat& heartbeat, bool delivery_confirmed, bool start_missed,
                       Time now);
  void release_unconfirmed(Machine& machine, Time now);
  void on_lease_expired(Machine& machine, Time now);
  [[nodiscard]] Duration max_lease_duration() const;

  ClusterState& state_;
  const SchedulerOptions& options_;
  RowTracker& rows_;
  TaskLifecycle& tasks_;
  const LeaderLog& log_;
};

}  // namespace martenwall
