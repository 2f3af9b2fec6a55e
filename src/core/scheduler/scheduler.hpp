// The leader's scheduler: a facade over the modules of core/scheduler, which share one ClusterState. It does no I/O and
// reads no clock: its inputs are times and events, its outputs are worker commands, rows to store and cloud requests.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/messages.hpp"
#include "core/persistence/row_tracker.hpp"
#include "core/scheduler/capacity_manager.hpp"
#include "core/scheduler/cluster_state.hpp"
#include "core/scheduler/dependency_tracker.hpp"
#include "core/scheduler/failure_tracker.hpp"
#include "core/scheduler/heartbeat_reconciler.hpp"
#include "core/scheduler/job_completion.hpp"
#include "core/scheduler/leader_log.hpp"
#include "core/scheduler/machine_inventory.hpp"
#include "core/scheduler/placement_stage.hpp"
#include "core/scheduler/preemptor.hpp"
#include "core/scheduler/quota_enforcer.hpp"
#include "core/scheduler/run_time_estimator.hpp"
#include "core/scheduler/scheduler_options.hpp"
#include "core/scheduler/service_targets.hpp"
#include "core/scheduler/task_lifecycle.hpp"
#include "core/scheduler/worker_command_dispatcher.hpp"
#include "load/service_record.hpp"

namespace martenwall {

class Scheduler {
 public:
  using Options = SchedulerOptions;
  using Log = LeaderLog::Sink;
  Scheduler(Options options, Log log);

  // ---- Recovery: a new leader loads the stored rows in this order. ----
  // A task row without a job row belongs to a finished job. For each job the rows of format 2 are loaded first, in
  // descending order of their first index, and then those of format 1.
  void load_job(Job job, Time now);
  // Loads a job whose row exists but cannot be decoded. It has not ended, so its stored tasks are counted and left
  // alone.
  void load_unreadable_job(const JobId& id, bool dependent);
  void load_machine(const MachineRecord& record, Time now);
  void load_tasks(const TaskRow& row, Time now);
  // Completes the load: requeues unfinished tasks that are on no machine, registers dependencies, finishes jobs whose
  // last result was stored without their end, and stops incomplete gangs.
  void finish_load(Time now);

  // ---- Configuration. ----
  // Sets the machine types that the cloud offers.
  void set_types(std::vector<MachineType> types) { state_.types = std::move(types); }
  [[nodiscard]] bool knows_types() const { return !state_.types.empty(); }
  // Applies a configuration change by the operators.
  void configure(const std::vector<Team>& teams, const Policy& policy);

  // ---- Users. ----
  // Adds a submitted job. A job that is already known, or that became final under this leadership, is ignored.
  void add_job(Job job, Time now);
  // Returns whether the job reached a final phase under this leadership. An older read of its row must not restore it.
  [[nodiscard]] bool was_finished(const JobId& id) const { return state_.finished_jobs.contains(id); }
  [[nodiscard]] const Job* find_job(const JobId& id) const { return state_.find_job(id); }
  // Returns the status to report to users, or nothing if it must be read from the store.
  [[nodiscard]] std::optional<JobStatus> status(const JobId& id) const;
  // Cancels the job. The response may be sent once `status` reports the cancellation. Returns false if the job is not
  // known to this leader, or if its row cannot be decoded.
  bool cancel(const JobId& id, Time now);

  // ---- Dependencies with unknown state (DependencyTracker). ----
  std::vector<JobId> take_lookups() { return dependencies_.take_lookups(); }
  void on_dependency_end_found(const JobId& id, JobPhase phase, Time now) { tasks_.on_job_ended(id, phase, now); }
  void retry_lookup(const JobId& id) { dependencies_.retry_lookup(id); }
  [[nodiscard]] bool is_cascade_stored(const JobId& id) const { return dependencies_.is_cascade_stored(id); }

  // ---- Workers (HeartbeatReconciler, WorkerCommandDispatcher). ----
  // Applies the heartbeat and returns the commands for the response. `lease_valid`: the leader's lease is valid, so
  // that starts may be sent.
  std::vector<Command> on_heartbeat(const Heartbeat& heartbeat, StatusSource source, Time now, bool lease_valid);
  [[nodiscard]] bool is_released(const MachineId& id) const { return state_.released_machines.contains(id); }
  [[nodiscard]] std::size_t count_machines_reporting_since(Time since) const {
    return reconciler_.count_machines_reporting_since(since);
  }
  void on_heartbeat_answered(const MachineId& id, Time now) { reconciler_.on_heartbeat_answered(id, now); }
  [[nodiscard]] bool must_withhold_response(const MachineId& id) const {
    return reconciler_.must_withhold_response(id);
  }
  std::vector<CommandBatch> take_command_batches(Time now) { return dispatcher_.take_batches(now); }
  void on_command_outcome(const CommandBatch& batch, CommandOutcome outcome, Time now) {
    dispatcher_.on_outcome(batch, outcome, now);
  }
  [[nodiscard]] std::vector<CommandBatch> announcements() const { return dispatcher_.announcements(); }

  // ---- Cloud (MachineInventory, CapacityManager). ----
  void on_machine_list(const std::vector<ListedMachine>& list, Time requested_at, Duration max_staleness, Time now) {
    inventory_.on_list(list, requested_at, max_staleness, now);
  }
  void on_machines_released(const std::vector<MachineId>& ids, Time now) { inventory_.on_released(ids, now); }
  std::vector<ScaleOutRequest> take_scale_out_requests() { return capacity_.take_scale_out_requests(); }
  void on_scale_out_granted(const ScaleOutRequest& request, const std::vector<MachineId>& machines, Time now) {
    capacity_.on_scale_out_granted(request, machines, now);
  }
  void on_scale_out_refused(const ScaleOutRequest& request, Time now) { capacity_.on_scale_out_refused(request, now); }
  void on_scale_out_abandoned(const ScaleOutRequest& request) { capacity_.on_scale_out_abandoned(request); }
  [[nodiscard]] std::vector<MachineId> scale_in_candidates(Time /*now*/) const {
    return capacity_.scale_in_candidates();
  }

  // ---- The scheduling cycle: lease expiry, quarantine, quotas, placement, preemption, capacity. ----
  // Runs one scheduling cycle. Places nothing until the machine types are known.
  void run_cycle(Time now);
  void expire_leases(Time now) { reconciler_.expire_leases(now); }
  // Returns whether an event since the last cycle may change the outcome of the next one.
  [[nodiscard]] bool needs_cycle() const { return state_.needs_cycle; }
  // Input size of the last cycle, which determines its cost.
  struct CycleSize {
    std::size_t jobs = 0, machines = 0, preemption_candidates = 0;
  };
  [[nodiscard]] const CycleSize& last_cycle_size() const { return cycle_size_; }

  // ---- The store (RowTracker). ----
  std::vector<RowWrite> take_writes(std::size_t max_rows, bool deferrable, Time now) {
    return rows_.take_writes(max_rows, deferrable, now);
  }
  void use_range_rows(Time now) { rows_.use_range_rows(now); }
  [[nodiscard]] bool uses_range_rows() const { return rows_.uses_range_rows(); }
  void set_row_sizes(std::uint32_t range_size, std::size_t group_size) { rows_.set_row_sizes(range_size, group_size); }
  bool split_row(const RowWrite& write, Time now) { return rows_.split_row(write, now); }
  void requeue_writes(const std::vector<RowWrite>& writes, Duration delay, Time now) {
    rows_.requeue(writes, delay, now);
  }
  [[nodiscard]] std::size_t v1_row_count() const { return rows_.v1_row_count(); }
  // Handles rows that the store has confirmed.
  void on_rows_stored(const std::vector<RowWrite>& writes, Time now);
  [[nodiscard]] bool has_writes(bool deferrable, Time now) const { return rows_.has_writes(deferrable, now); }
  [[nodiscard]] WriteQueue::Backlog backlog(WritePriority priority, Time now) const {
    return rows_.queue().backlog(priority, now);
  }

  // ---- For metrics and tests. ----
  [[nodiscard]] const std::map<MachineId, Machine>& machines() const { return state_.machines; }
  [[nodiscard]] const std::map<JobId, Job>& jobs() const { return state_.jobs; }
  [[nodiscard]] const QuotaUsage& quota_usage() const { return state_.quota_usage; }
  [[nodiscard]] const MachineType* type_of(const std::string& name) const { return state_.find_type(name); }
  [[nodiscard]] load::ServiceRecord& service_record() { return record_; }

 private:
  void load_placed_task(Job& job, const TaskRow& row, const TaskRow::PlacedTask& placed, Time now);
  void finish_load(Job& job, Time now);
  void register_dependencies(Job& job, Time now);

  // Construction order matters: each module holds references to those declared above it.
  Options options_;
  LeaderLog log_;
  ClusterState state_;
  load::ServiceRecord record_;
  RunTimeEstimator estimator_;
  ServiceTargets targets_;
  DependencyTracker dependencies_;
  RowTracker rows_;
  FailureTracker failures_;
  JobCompletion completion_;
  TaskLifecycle tasks_;
  HeartbeatReconciler reconciler_;
  WorkerCommandDispatcher dispatcher_;
  MachineInventory inventory_;
  QuotaEnforcer quotas_;
  PlacementStage placement_;
  Preemptor preemptor_;
  CapacityManager capacity_;
  CycleSize cycle_size_;
};

}  // namespace martenwall
