#include "core/scheduler/leader_log.hpp"

#include <fmt/format.h>

#include <array>
#include <iterator>

namespace martenwall {

namespace {

constexpr std::size_t max_ids = 5;  // ids written out of a list of jobs; its length is logged as well

// Returns the first `max_ids` ids, separated by commas.
std::string join_ids(const std::set<JobId>& ids) {
  std::string out;
  std::size_t written = 0;
  for (const auto& id : ids) {
    if (written++ == max_ids) break;
    out += (out.empty() ? "" : ",") + id.value();
  }
  return out;
}

std::string_view spot_field(bool spot) { return spot ? " spot=true" : ""; }

}  // namespace

std::string_view name_of(ReleaseReason reason) {
  static constexpr std::array<std::string_view, 10> names{
      "new_incarnation",      "not_reported",         "never_arrived", "withdrawn",      "not_started",
      "downlink_unreachable", "placement_lease_over", "lease_expired", "machine_failed", "machine_removed"};
  return names.at(static_cast<std::size_t>(reason));
}

std::string_view name_of(StopReason reason) {
  static constexpr std::array<std::string_view, 7> names{
      "cancelled", "dependency_cancelled", "gang_broken",        "over_quota",
      "preempted", "machine_reclaimed",    "machine_quarantined"};
  return names.at(static_cast<std::size_t>(reason));
}

std::string_view name_of(DrainReason reason) {
  static constexpr std::array<std::string_view, 2> names{"reclaimed", "quarantined"};
  return names.at(static_cast<std::size_t>(reason));
}

std::string_view name_of(RemovalReason reason) {
  static constexpr std::array<std::string_view, 2> names{"vanished", "released"};
  return names.at(static_cast<std::size_t>(reason));
}

std::string_view name_of(ClearReason reason) {
  static constexpr std::array<std::string_view, 2> names{"task_completed", "replica_keeps_running"};
  return names.at(static_cast<std::size_t>(reason));
}

void LeaderLog::job_accepted(const Job& job) const {
  auto line =
      fmt::format("job accepted job={} tasks={} class={} team={} gpus={:g} estimate_s={:g}", job.spec.id.value(),
                  job.spec.tasks, job.spec.job_class, job.spec.team, job.spec.need.gpus, job.spec.estimate_s);
  if (job.effective_deadline) {
    fmt::format_to(std::back_inserter(line), " deadline_s={:g}", to_seconds(*job.effective_deadline - job.submitted));
  }
  sink_(line);
}

void LeaderLog::job_running(const Job& job, Time now) const {
  sink_(fmt::format("job running job={} tasks={} after_s={:.3f}", job.spec.id.value(), job.spec.tasks,
                    to_seconds(now - job.submitted)));
}

void LeaderLog::job_done(const Job& job, double task_run_time_s, Time now) const {
  sink_(fmt::format("job done job={} after_s={:.3f} task_run_s={:.3f}", job.spec.id.value(),
                    to_seconds(now - job.submitted), task_run_time_s));
}

void LeaderLog::job_cancelled(const Job& job, double task_run_time_s, Time now) const {
  sink_(fmt::format("job cancelled job={} after_s={:.3f} task_run_s={:.3f}", job.spec.id.value(),
                    to_seconds(now - job.submitted), task_run_time_s));
}

void LeaderLog::job_blocked(const Job& job) const {
  sink_(fmt::format("job blocked job={} dependencies={} on={}", job.spec.id.value(), job.open_dependencies.size(),
                    join_ids(job.open_dependencies)));
}

void LeaderLog::job_unblocked(const Job& job, Time now) const {
  sink_(fmt::format("job unblocked job={} after_s={:.3f}", job.spec.id.value(), to_seconds(now - job.submitted)));
}

void LeaderLog::dependents_cancelled(const JobId& root, const std::set<JobId>& dependents) const {
  sink_(fmt::format("dependents cancelled job={} count={} jobs={}", root.value(), dependents.size(),
                    join_ids(dependents)));
}

void LeaderLog::job_suspected(const Job& job) const {
  sink_(fmt::format("job suspected job={} failed_machines={}", job.spec.id.value(), job.failed_machines()));
}

void LeaderLog::job_cleared(const Job& job, ClearReason reason) const {
  sink_(fmt::format("job cleared job={} reason={}", job.spec.id.value(), name_of(reason)));
}

void LeaderLog::job_at_quota_limit(const JobSpec& spec) const {
  sink_(fmt::format("job waits job={} reason=quota_limit team={}", spec.id.value(), spec.team));
}

void LeaderLog::task_placed(const Placement& placement, const Machine& machine, bool image_cached,
                            double waited_s) const {
  if (!log_each_task_) return;
  sink_(fmt::format("task placed task={} attempt={} machine={} image={} waited_s={:.3f}", to_string(placement.task),
                    placement.attempt.value(), machine.id.value(), image_cached ? "cached" : "absent", waited_s));
}

void LeaderLog::task_running(const Placement& placement, const Machine& machine, Time now) const {
  if (!log_each_task_) return;
  sink_(fmt::format("task running task={} machine={} after_s={:.3f}", to_string(placement.task), machine.id.value(),
                    to_seconds(now - placement.placed_at)));
}

void LeaderLog::task_ended(const Placement& placement, const Machine& machine, bool checkpointed) const {
  if (!log_each_task_ && placement.cause == ExitCause::done) return;
  sink_(fmt::format("task ended task={} machine={} cause={}{}", to_string(placement.task), machine.id.value(),
                    name_of(placement.cause), checkpointed ? " checkpointed=true" : ""));
}

void LeaderLog::task_orphaned(const TaskId& task, const Machine& machine) const {
  sink_(fmt::format("task orphaned task={} machine={}", to_string(task), machine.id.value()));
}

void LeaderLog::task_released(const TaskId& task, const Machine& machine, ReleaseReason reason) const {
  sink_(
      fmt::format("task released task={} machine={} reason={}", to_string(task), machine.id.value(), name_of(reason)));
}

void LeaderLog::task_stopping(const TaskId& task, const Machine& machine, StopCause cause) const {
  auto line = fmt::format("task stopping task={} machine={} reason={}", to_string(task), machine.id.value(),
                          name_of(cause.reason));
  if (cause.beneficiary != nullptr) {
    fmt::format_to(std::back_inserter(line), " for_job={}", cause.beneficiary->value());
  }
  sink_(line);
}

void LeaderLog::machine_reported(const Machine& machine) const {
  sink_(
      fmt::format("machine reported machine={} zone={}{}", machine.id.value(), machine.zone, spot_field(machine.spot)));
}

void LeaderLog::machine_downlink(const Machine& machine) const {
  sink_(fmt::format("machine downlink machine={} state={}", machine.id.value(), name_of(machine.downlink.state())));
}

void LeaderLog::machine_lost(const Machine& machine) const {
  sink_(fmt::format("machine lost machine={} reason=lease_expired", machine.id.value()));
}

void LeaderLog::machine_discovered(const MachineId& machine) const {
  sink_(fmt::format("machine discovered machine={}", machine.value()));
}

void LeaderLog::machine_removed(const MachineId& machine, RemovalReason reason) const {
  sink_(fmt::format("machine removed machine={} reason={}", machine.value(), name_of(reason)));
}

void LeaderLog::machine_draining(const Machine& machine, DrainReason reason) const {
  sink_(fmt::format("machine draining machine={} reason={}", machine.id.value(), name_of(reason)));
}

void LeaderLog::machine_restored(const Machine& machine, const JobId& failed_job) const {
  sink_(fmt::format("machine restored machine={} failed_job={}", machine.id.value(), failed_job.value()));
}

void LeaderLog::machine_releasing(const Machine& machine, std::string_view reason) const {
  sink_(fmt::format("machine releasing machine={} reason={}", machine.id.value(), reason));
}

void LeaderLog::scale_out_requested(const ScaleOutRequest& request) const {
  sink_(fmt::format("scale-out requested request={} count={} type={} zone={}{}", request.name, request.count,
                    request.type, request.zone, spot_field(request.spot)));
}

void LeaderLog::store_backlog(const WriteQueue& writes, Time now) const {
  const auto foreground = writes.backlog(WritePriority::foreground, now);
  const auto best_effort = writes.backlog(WritePriority::best_effort, now);
  const auto deferrable = writes.backlog(WritePriority::deferrable, now);
  sink_(
      fmt::format("store backlog rows={} oldest_s={:.1f} best_effort_rows={} best_effort_oldest_s={:.1f} "
                  "deferrable_rows={} deferrable_oldest_s={:.1f}",
                  foreground.rows, to_seconds(foreground.oldest), best_effort.rows, to_seconds(best_effort.oldest),
                  deferrable.rows, to_seconds(deferrable.oldest)));
}

void LeaderLog::task_summary(const TaskCounts& counts) const {
  sink_(fmt::format("tasks placed={} began={} ended={} completed={}", counts.placed, counts.started, counts.ended,
                    counts.completed));
}

void LeaderLog::fleet_summary(const FleetSample& sample) const {
  sink_(
      fmt::format("fleet busy={} busy_spot={} idle={} idle_spot={} booting={} pending_tasks={} pending_jobs={} "
                  "deferred_jobs={}",
                  sample.busy, sample.busy_spot, sample.idle, sample.idle_spot, sample.booting, sample.pending_tasks,
                  sample.pending_jobs, sample.deferred_jobs));
}

}  // namespace martenwall
