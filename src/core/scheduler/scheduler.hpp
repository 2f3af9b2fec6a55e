// The leader's scheduler: a front for the modules of core/scheduler, which share one ClusterState. No I/O and no clock:
// time and events come in; commands, rows to be stored and requests to the cloud go out.
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

  // ---- Recovery: a new leader loads what is stored, in this order. ----
  // A task row without a job is what a finished one left behind. Of each job the rows of format 2 come first, those
  // that begin last before the others; then those of format 1.
  void load_job(Job job, Time now);
  void load_machine(const MachineRecord& record, Time now);
  void load_tasks(const TaskRow& row, Time now);
  void finish_load(Time now);

  // ---- Configuration. ----
  void set_types(std::vector<MachineType> types) { state_.types = std::move(types); }
  [[nodiscard]] bool knows_types() const { return !state_.types.empty(); }
  // The operators changed the configuration: from now on these hold.
  void configure(const std::vector<Team>& teams, const Policy& policy);

  // ---- Users. ----
  void add_job(Job job, Time now);
  // Became final under this leadership: an older read of its row must not bring it back.
  [[nodiscard]] bool was_finished(const JobId& id) const { return state_.finished_jobs.contains(id); }
  [[nodiscard]] const Job* find_job(const JobId& id) const { return state_.find_job(id); }
  // What users may be told now; nothing where only the store knows.
  [[nodiscard]] std::optional<JobStatus> status(const JobId& id) const;
  // Marks the job cancelled; the answer may go out once `status` tells it. False: not known here.
  bool cancel(const JobId& id, Time now);

  // ---- Dependencies whose state is not known here (DependencyTracker). ----
  std::vector<JobId> take_lookups() { return dependencies_.take_lookups(); }
  void on_dependency_end_found(const JobId& id, JobPhase phase, Time now) { tasks_.on_job_ended(id, phase, now); }
  void retry_lookup(const JobId& id) { dependencies_.retry_lookup(id); }
  [[nodiscard]] bool is_cascade_stored(const JobId& id) const { return dependencies_.is_cascade_stored(id); }

  // ---- Workers (HeartbeatReconciler, WorkerCommandDispatcher). ----
  // Returns the commands for the response. `lease_valid`: this leader's lease is, so that starts may go out.
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
  void run_cycle(Time now);
  void expire_leases(Time now) { reconciler_.expire_leases(now); }
  // Something happened since the last cycle that may change its outcome.
  [[nodiscard]] bool needs_cycle() const { return state_.needs_cycle; }
  // What the last cycle had to look at; its cost follows these.
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

  // Each is constructed from those above it.
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
