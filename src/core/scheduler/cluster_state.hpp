// The leader's in-memory view of jobs, machines and teams, shared by the modules of core/scheduler. It owns the data
// and maintains the totals; the modules make the decisions.
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
  // `options` must outlive the state. Its teams are the initial teams.
  explicit ClusterState(const SchedulerOptions& options);
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;
  ClusterState(ClusterState&&) = delete;
  ClusterState& operator=(ClusterState&&) = delete;
  ~ClusterState() = default;

  // Return the entry with this name, or nullptr if there is none.
  [[nodiscard]] Job* find_job(const JobId& id);
  [[nodiscard]] const Job* find_job(const JobId& id) const;
  [[nodiscard]] const MachineType* find_type(const std::string& name) const;
  [[nodiscard]] const Team* find_team(const std::string& name) const;

  // Returns the machine of a stored row. A new entry starts in phase `up`, with its lease counted as renewed at the
  // latest time at which an earlier leader may have answered its worker.
  Machine& find_or_add_machine(const MachineId& id, Time now);
  // Returns the number that this process assigns to an image name.
  ImageId image_id(const std::string& name);

  // Adds the placement to the machine and to the totals. The reference is valid until placements are added or erased.
  Placement& add_placement(Machine& machine, Placement placement);
  // Updates the totals of machines, teams and running tasks after a change of the placement. No other function changes
  // these totals, so it must be called after each change of a placement's state.
  void update_accounting(Machine& machine, Placement& placement);
  // Erases the placements that are marked as removed. Invalidates pointers to placements of the machine.
  void erase_removed(Machine& machine);

  // Returns whether new tasks may be placed on the machine: it is up, healthy, reachable and has reported recently.
  [[nodiscard]] bool accepts_new_tasks(const Machine& machine, Time now) const;
  // Returns whether the job has the lowest priority and a team without a guarantee, so that it uses only capacity that
  // other work leaves free.
  [[nodiscard]] bool is_best_effort(const Job& job) const;
  // Returns the time to fetch the job's image, in seconds, on the last listed machine type that the job may use; 0 if
  // there is none.
  [[nodiscard]] double fetch_time_s(const JobSpec& spec) const;
  // Returns the total run time of the job's tasks under this leader, in seconds, including the tasks that run now.
  [[nodiscard]] double task_run_time_s(const Job& job, Time now) const;

  std::map<std::string, Team> teams;
  std::vector<MachineType> types;  // empty until the cloud has reported them
  std::map<JobId, Job> jobs;
  std::map<MachineId, Machine> machines;
  std::map<MachineId, Time> released_machines;  // time of release; late heartbeats must not restore these machines
  std::map<JobId, Time> finished_jobs;          // end times under this leader; late reads must not restore these jobs
  QuotaUsage quota_usage;
  std::vector<std::string> image_names;     // indexed by ImageId
  std::set<MachineId> machines_to_command;  // machines that may have commands due
  TaskCounts task_counts;                   // counts since the last summary in the log
  Time last_submission{};
  double mean_submission_interval_s = 10;  // moving average of the time between submissions
  bool needs_cycle = true;                 // an event may change the outcome of a scheduling cycle

 private:
  const SchedulerOptions& options_;
  std::map<std::string, ImageId> image_ids_;
};

}  // namespace martenwall
