// The leader's in-memory view of jobs, machines and teams, shared by the modules of core/scheduler. It owns the data
// and keeps the sums over it; decisions are made by the modules.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/model.hpp"
#include "core/model/quota_usage.hpp"
#include "core/scheduler/leader_log.hpp"
#include "core/scheduler/scheduler_options.hpp"

namespace martenwall {

class ClusterState {
 public:
  // `options` must outlive the state; its teams are the first ones.
  explicit ClusterState(const SchedulerOptions& options);
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;
  ClusterState(ClusterState&&) = delete;
  ClusterState& operator=(ClusterState&&) = delete;
  ~ClusterState() = default;

  // Looked up by name; nullptr where there is none.
  [[nodiscard]] Job* find_job(const JobId& id);
  [[nodiscard]] const Job* find_job(const JobId& id) const;
  [[nodiscard]] const MachineType* find_type(const std::string& name) const;
  [[nodiscard]] const Team* find_team(const std::string& name) const;

  // The machine of a stored row: one that is new here counts as up, and as answered for as long as an earlier leader
  // may have renewed its worker's lease.
  Machine& find_or_add_machine(const MachineId& id, Time now);
  // The number that this process gives to an image's name.
  ImageId image_id(const std::string& name);

  Placement& add_placement(Machine& machine, Placement placement);
  // Brings the sums over machines, teams and running tasks in line with a placement that changed: the one place where
  // they are counted. To be called after each change of a placement's state.
  void update_accounting(Machine& machine, Placement& placement);
  // Forgets the placements that are marked as removed. Pointers to placements of the machine are invalid afterwards.
  void erase_removed(Machine& machine);

  // Whether new tasks may be placed on the machine: it is up, healthy, reachable and not silent.
  [[nodiscard]] bool accepts_new_tasks(const Machine& machine, Time now) const;
  // Work of the lowest priority whose team is guaranteed nothing: it takes what others leave.
  [[nodiscard]] bool is_best_effort(const Job& job) const;
  // Seconds that the job's image takes to be fetched, by the last machine type that the job may use.
  [[nodiscard]] double fetch_time_s(const JobSpec& spec) const;
  // Seconds that tasks of the job have run under this leader, those that run now included.
  [[nodiscard]] double task_run_time_s(const Job& job, Time now) const;

  std::map<std::string, Team> teams;
  std::vector<MachineType> types;  // empty until the cloud has told them
  std::map<JobId, Job> jobs;
  std::map<MachineId, Machine> machines;
  std::map<MachineId, Time> released_machines;  // when; late heartbeats of these must not bring them back
  std::map<JobId, Time> finished_jobs;          // when, under this leader; late reads must not bring them back
  QuotaUsage quota_usage;
  std::vector<std::string> image_names;     // by ImageId
  std::set<MachineId> machines_to_command;  // commands may be due to these
  TaskCounts task_counts;                   // since the last summary in the log
  Time last_submission{};
  double mean_submission_interval_s = 10;  // moving average of the time between two submissions
  bool needs_cycle = true;                 // something happened that may change the outcome of a scheduling cycle

 private:
  const SchedulerOptions& options_;
  std::map<std::string, ImageId> image_ids_;
};

}  // namespace martenwall
