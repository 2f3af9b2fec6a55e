// The leader's log events: a stable message with `key=value` fields, one function per event. docs/operating.md lists
// the meaning of each event and the on-call action; tools/served.py parses some of them.
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

// Reason for the release of a placement, after which its task may start elsewhere.
enum class ReleaseReason : std::uint8_t {
  new_incarnation,       // the worker restarted and killed all tasks of earlier incarnations
  not_reported,          // reported before, and missing from a later heartbeat
  never_arrived,         // a start by an earlier leader that can no longer take effect
  withdrawn,             // stop requested before the task started; its start can no longer take effect
  not_started,           // stop requested before its start was sent
  downlink_unreachable,  // the machine does not receive commands
  placement_lease_over,  // the lease under which an earlier leader placed the task has expired
  lease_expired,         // the machine's lease has expired
  machine_failed,        // the cloud lists the machine as failed
  machine_removed,       // the machine was released or vanished from the cloud's list
};
std::string_view name_of(ReleaseReason reason);

// Reason for the stop of a task.
enum class StopReason : std::uint8_t {
  cancelled,             // the job was cancelled
  dependency_cancelled,  // a dependency of the job was cancelled
  gang_broken,           // another task of the gang was lost
  over_quota,            // the team exceeds its limit
  preempted,             // preempted for a job of higher priority or within its team's guarantee
  machine_reclaimed,     // the cloud reclaims the spot machine
  machine_quarantined,   // tasks fail on the machine
};
std::string_view name_of(StopReason reason);

// Cause of a stop. `beneficiary` is the job that gets the capacity in a preemption, otherwise nullptr. The id must
// outlive the call that the cause is passed to.
struct StopCause {
  StopReason reason = StopReason::cancelled;
  const JobId* beneficiary = nullptr;
};

// Reason for draining a machine.
enum class DrainReason : std::uint8_t { reclaimed, quarantined };
std::string_view name_of(DrainReason reason);

// Reason for the removal of a machine from the fleet.
enum class RemovalReason : std::uint8_t { vanished, released };
std::string_view name_of(RemovalReason reason);

// Reason why a job is no longer suspected of causing its own failures.
enum class ClearReason : std::uint8_t { task_completed, replica_keeps_running };
std::string_view name_of(ClearReason reason);

// Task events since the last summary.
struct TaskCounts {
  std::size_t placed = 0, started = 0, ended = 0, completed = 0;
};

// A sample of the fleet and of the pending work.
struct FleetSample {
  std::size_t busy = 0, busy_spot = 0, idle = 0, idle_spot = 0, booting = 0;
  std::size_t pending_tasks = 0, pending_jobs = 0, deferred_jobs = 0;
};

// Log of the scheduler's modules. Other parts of the service have their own log.
class LeaderLog {
 public:
  using Sink = std::function<void(const std::string&)>;
  // `log_each_task`: also logs each task's placement, start and ordinary end, of which a large fleet has hundreds per
  // second.
  LeaderLog(Sink sink, bool log_each_task) : sink_(std::move(sink)), log_each_task_(log_each_task) {}

  void job_accepted(const Job& job) const;
  void job_running(const Job& job, Time now) const;  // all tasks have started
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
