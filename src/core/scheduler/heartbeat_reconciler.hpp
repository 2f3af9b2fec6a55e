// Reconciles what workers report with what the leader recorded: which tasks run, which are missing, which nobody knows
// of, whether the machine receives commands, and whose lease has expired.
#pragma once
#include "core/scheduler/task_lifecycle.hpp"

namespace martenwall {

class HeartbeatReconciler {
 public:
  HeartbeatReconciler(ClusterState& state, const SchedulerOptions& options, RowTracker& rows, TaskLifecycle& tasks,
                      const LeaderLog& log)
      : state_(state), options_(options), rows_(rows), tasks_(tasks), log_(log) {}

  enum class Outcome {
    ignored,   // late, or of a machine that was released
    repeated,  // the newest heartbeat once more: it is answered as before
    applied,
  };
  struct Result {
    Outcome outcome = Outcome::ignored;
    Machine* machine = nullptr;  // unless it was ignored
  };
  // `source`: a heartbeat, or the same content in a reply to a command.
  Result on_heartbeat(const Heartbeat& heartbeat, StatusSource source, Time now);
  // A 200, which renews the worker's lease, is about to be sent to the machine.
  void on_heartbeat_answered(const MachineId& id, Time now);
  // Whether the machine must not be answered, so that its worker's lease expires.
  [[nodiscard]] bool must_withhold_response(const MachineId& id) const;
  // Machines that sent a heartbeat by themselves since then.
  [[nodiscard]] std::size_t count_machines_reporting_since(Time since) const;
  // Gives up what was placed on machines whose worker's lease has surely expired.
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
