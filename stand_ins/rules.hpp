// Tracks jobs and tasks as workers and users observe them, and checks PROTOCOL's rules. Implemented from PROTOCOL
// alone; only types are shared with the core. Usage sums are incremental, so that the cost of a start does not depend
// on the fleet size.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/model.hpp"
#include "core/model/policy.hpp"

namespace martenwall::stand_ins {

// Orders sent requests and received responses; many events share one instant of virtual time, so times do not.
using Ordinal = std::uint64_t;

// A job from its user's point of view.
struct SubmittedJob {
  JobSpec spec;
  double run_s = 10;                      // run time of the first task
  double stagger_s = 0;                   // added to the run time for each further task index
  std::set<std::uint32_t> completed;      // task indexes
  std::set<std::uint32_t> started_tasks;  // array jobs: tasks that ran at least once
  Time submitted{};
  std::optional<Time> accepted, cancel_requested, reported_done, reported_cancelled;
  Ordinal acceptance_order = 0, end_order = 0;
  Time last_response_at{};                          // last response to any request about this job
  std::optional<Time> waiting_with_capacity_since;  // has been waiting since then although it could start
  std::optional<Time> started;                      // all tasks of the array started once, or the whole gang runs
};

// The machine on which a task starts.
struct Place {
  MachineId machine;
  std::string type, zone;
  bool spot = false;
};

// Checks PROTOCOL's rules against what workers and users observe, and collects violations.
class Rules {
 public:
  Rules(WorkerTimings timings, std::vector<Team> teams) : timings_(timings), limits_{{std::move(teams)}} {}
  // Registers a job that a user is about to submit.
  SubmittedJob& add(JobSpec spec, double run_s, Time now);
  [[nodiscard]] const SubmittedJob& job(const JobId& id) const { return jobs_.at(id); }
  [[nodiscard]] std::map<JobId, SubmittedJob>& jobs() { return jobs_; }
  [[nodiscard]] const std::map<JobId, SubmittedJob>& jobs() const { return jobs_; }
  [[nodiscard]] const SubmittedJob* find(const JobId& id) const;

  // A task begins to run on a machine: checks dependencies, duplicate runs, placement, quota and cancellation.
  void on_task_started(const TaskId& task, const Place& place, Time now);
  // A task has stopped running on this machine.
  void on_task_removed(const TaskId& task, const MachineId& on);
  // All tasks of a gang are running.
  void on_gang_running(const JobId& job, Time now);
  // A task completed; repeated completions are ignored.
  void on_task_completed(const TaskId& task);
  // To be called when a user sends a request; the result is passed on with its response.
  [[nodiscard]] Ordinal on_request_sent() { return ++order_; }
  // Records the response to a request sent at `sent`; `phase` is the PROTOCOL name. Responses to submissions, polls and
  // cancellations are judged alike, whichever controller sent them.
  void on_phase_reported(const JobId& id, const std::string& phase, Ordinal sent, Time now);
  // Records a response (400, 404 or 422) saying that the job is unknown or not accepted.
  void on_permanent_refusal(const JobId& id, int status, Ordinal sent, Time now);
  // Reports a violation: 200 was returned for a job that nobody submitted.
  void on_unsubmitted_job_found(const JobId& id, Time now);
  // Changes the requested limits at `now`; starts may follow the previous limits for `in_force`.
  void change_limits(std::vector<Team> teams, Time now, Duration in_force);
  // Ends the run: checks that at least one task started.
  void finish(Time now);
  // To be called when faults are over; `could_start`: a machine that fits has capacity and the team is under its limit.
  void check_neglected(const JobId& id, bool could_start, Time now);
  [[nodiscard]] bool faults_over() const { return faults_over_since_.has_value(); }
  // Whether the job's team may run `more_tasks` further tasks of the job.
  [[nodiscard]] bool within_limit(const JobId& id, std::uint32_t more_tasks) const;
  [[nodiscard]] std::set<std::uint32_t> on_machines(const JobId& id) const;  // task indexes
  void tick(Time now);  // checks for tasks left on machines after cancellation and for unanswered jobs
  void all_faults_over(Time now) { faults_over_since_ = now; }

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] std::size_t started() const { return started_; }
  [[nodiscard]] std::size_t tasks_on_machines() const;
  // Tasks that started after the cancellation was reported to their user. Within cancel_s the start command may have
  // been in flight; later starts are violations.
  [[nodiscard]] std::size_t started_after_cancel() const { return started_after_cancel_; }
  // Called when a job is first reported to its user as accepted, done or cancelled.
  std::function<void(const JobId&)> on_status_change;
  // Called when the last task of a job completes.
  std::function<void(const JobId&)> on_complete;

 private:
  [[nodiscard]] bool cancellation_requested(const JobId& id) const;
  // Returns a direct or transitive dependency whose cancellation was reported more than cancel_s before `now`, if any.
  [[nodiscard]] std::optional<JobId> cancelled_dependency(const JobId& id, Time now) const;
  void report_violation(const std::string& what, Time now);
  void check_place(const TaskId& task, const Place& place, Time now);
  void check_limit(const std::string& team, Time now);
  [[nodiscard]] bool within(const Resources& limit, const Resources& used) const;
  [[nodiscard]] Resources used_by(const std::string& team) const;
  struct Limits {
    std::vector<Team> teams;
    Time until = Time::max();  // starts may follow these limits until then
  };
  using Holders = std::map<MachineId, std::string>;  // machine and its zone
  WorkerTimings timings_;
  std::vector<Limits> limits_;  // newest last
  std::map<JobId, SubmittedJob> jobs_;
  std::map<JobId, std::map<std::uint32_t, Holders>> holders_;  // by job and task index
  std::map<std::string, Resources> used_;                      // by team name
  std::optional<Time> faults_over_since_;
  std::vector<std::string> violations_;
  Ordinal order_ = 0;
  std::size_t started_ = 0, started_after_cancel_ = 0;
};

}  // namespace martenwall::stand_ins
