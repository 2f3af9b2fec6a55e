// The leader's log events: a stable message and `key=value` fields, one function for each event. docs/operating.md
// lists what each means and what on-call does about it; tools/served.py reads some of them.
#pragma once
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "core/capacity/scale_out_planner.hpp"
#include "core/messages.hpp"
#include "core/model/model.hpp"
#include "core/persistence/write_queue.hpp"

namespace martenwall {

// Why a placement was given up: its task may start elsewhere.
enum class ReleaseReason : std::uint8_t {
  new_incarnation,       // the worker restarted: everything of its earlier incarnations was killed
  not_reported,          // it was reported before and is missing from a later heartbeat
  never_arrived,         // an earlier leader's start, which can no longer take effect
  withdrawn,             // it was to be stopped before it started, and its start can no longer take effect
  not_started,           // it was to be stopped before its start was sent
  downlink_unreachable,  // the machine does not receive commands
  placement_lease_over,  // the lease under which an earlier leader placed it has expired
  lease_expired,         // the machine's lease has expired
  machine_failed,        // the cloud lists the machine as failed
  machine_removed,       // the machine was released or vanished from the cloud's list
};
std::string_view name_of(ReleaseReason reason);

// Why a task is to be stopped.
enum class StopReason : std::uint8_t {
  cancelled,             // its job was cancelled
  dependency_cancelled,  // a job that its job depends on was cancelled
  gang_broken,           // another task of its gang was lost
  over_quota,            // its team is beyond its limit
  preempted,             // for a job of higher priority, or within its team's guarantee
  machine_reclaimed,     // the cloud takes its spot machine back
  machine_quarantined,   // its machine fails the tasks that it starts
};
std::string_view name_of(StopReason reason);

// A stop and, where it is a preemption, the job that gets the room. The id must outlive the call that it is passed to.
struct StopCause {
  StopReason reason = StopReason::cancelled;
  const JobId* beneficiary = nullptr;
};

// Why a machine is drained.
enum class DrainReason : std::uint8_t { reclaimed, quarantined };
std::string_view name_of(DrainReason reason);

// Why a machine is no longer part of the fleet.
enum class RemovalReason : std::uint8_t { vanished, released };
std::string_view name_of(RemovalReason reason);

// Why a job is no longer suspected of failing by its own fault.
enum class ClearReason : std::uint8_t { task_completed, replica_keeps_running };
std::string_view name_of(ClearReason reason);

// What happened to tasks since the last summary.
struct TaskCounts {
  std::size_t placed = 0, started = 0, ended = 0, completed = 0;
};

// A sample of the fleet and of the work without a place.
struct FleetSample {
  std::size_t busy = 0, busy_spot = 0, idle = 0, idle_spot = 0, booting = 0;
  std::size_t pending_tasks = 0, pending_jobs = 0, deferred_jobs = 0;
};

// Used by the modules of the scheduler only; other parts of the service log by themselves.
class LeaderLog {
 public:
  using Sink = std::function<void(const std::string&)>;
  // `log_each_task`: also each task's placement, beginning and ordinary end, which a large fleet has hundreds of a
  // second.
  LeaderLog(Sink sink, bool log_each_task) : sink_(std::move(sink)), log_each_task_(log_each_task) {}

  void job_accepted(const Job& job) const;
  void job_running(const Job& job, Time now) const;  // all of its tasks have begun
  void job_done(const Job& job, double task_run_time_s, Time now) const;
  void job_cancelled(const Job& job, double task_run_time_s, Time now) const;
  void job_blocked(const Job& job) const;
  void job_unblocked(const Job& job, Time now) const;
  void dependents_cancelled(const JobId& root, const std::set<JobId>& dependents) const;
  void job_suspected(const Job& job) const;
  void job_cleared(const Job& job, ClearReason reason) const;
  void job_at_quota_limit(const JobSpec& spec) const;

  void task_placed(const Placement& placement, const Machine& machine, bool image_cached, double waited_s) const;
  void task_running(const Placement& placement, const Machine& machine, Time now) const;
  void task_ended(const Placement& placement, const Machine& machine, bool checkpointed) const;
  void task_orphaned(const TaskId& task, const Machine& machine) const;
  void task_released(const TaskId& task, const Machine& machine, ReleaseReason reason) const;
  void task_stopping(const TaskId& task, const Machine& machine, StopCause cause) const;

  void machine_reported(const Machine& machine) const;
  void machine_downlink(const Machine& machine) const;
  void machine_lost(const Machine& machine) const;
  void machine_discovered(const MachineId& machine) const;
  void machine_removed(const MachineId& machine, RemovalReason reason) const;
  void machine_draining(const Machine& machine, DrainReason reason) const;
  void machine_restored(const Machine& machine, const JobId& failed_job) const;
  void machine_releasing(const Machine& machine, std::string_view reason) const;
  void scale_out_requested(const ScaleOutRequest& request) const;

  void store_backlog(const WriteQueue& writes, Time now) const;
  void task_summary(const TaskCounts& counts) const;
  void fleet_summary(const FleetSample& sample) const;

 private:
  Sink sink_;
  bool log_each_task_;
};

}  // namespace martenwall
