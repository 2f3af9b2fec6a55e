// What is true of jobs and tasks as workers and users see it, and PROTOCOL's rules on it. Written from PROTOCOL alone:
// of the core it uses types. Sums are kept up to date, so that a start costs the same whatever the size of the fleet.
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

// Which of a user's sending and hearing came first. Much happens in one moment of virtual time: times do not tell.
using Ordinal = std::uint64_t;

// A job as its user knows it.
struct SubmittedJob {
  JobSpec spec;
  double run_s = 10;                    // of its first task
  double stagger_s = 0;                 // each further one takes so much longer
  std::set<std::uint32_t> completed;    // tasks
  std::set<std::uint32_t> begun_tasks;  // of an array: ran once
  Time submitted{};
  std::optional<Time> accepted, cancel_asked, reported_done, reported_cancelled;
  Ordinal acceptance_order = 0, end_order = 0;
  Time last_answer_at{};                            // the last answer to any question about it
  std::optional<Time> waiting_with_capacity_since;  // waits since then, and could have begun
  std::optional<Time> begun;                        // all its tasks ran, or of a gang run
};

// Where a task starts.
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
  // A task no longer runs on this machine.
  void on_task_left(const TaskId& task, const MachineId& on);
  // All tasks of a gang run.
  void on_gang_running(const JobId& job, Time now);
  // A task completed; repeated completions are ignored.
  void on_task_completed(const TaskId& task);
  // To be called when a user sends a request; the result is passed on with its response.
  [[nodiscard]] Ordinal on_request_sent() { return ++order_; }
  // A user's answer to a request that was sent then; `phase` as PROTOCOL names it.
  void on_phase_reported(const JobId& id, const std::string& phase, Ordinal sent, Time now);
  // A response (400, 404 or 422) by which the service denies knowing or accepting the job.
  void on_permanent_refusal(const JobId& id, int status, Ordinal sent, Time now);
  // 200 for a job that nobody submitted.
  void on_unknown_job_known(const JobId& id, Time now);
  // From `now` on these limits are asked for; a start may go by the ones before for `in_force`.
  void change_limits(std::vector<Team> teams, Time now, Duration in_force);
  // The day is over.
  void finish(Time now);
  // With troubles over: whether it waits although a machine that fits has room and its team is under its limit.
  void check_neglected(const JobId& id, bool so, Time now);
  [[nodiscard]] bool faults_over() const { return faults_over_since_.has_value(); }
  // Whether the job's team may run so many more of its tasks.
  [[nodiscard]] bool within_limit(const JobId& id, std::uint32_t more_tasks) const;
  [[nodiscard]] std::set<std::uint32_t> on_machines(const JobId& id) const;  // tasks
  void tick(Time now);                                                       // what is on a machine too long
  void all_faults_over(Time now) { faults_over_since_ = now; }

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] std::size_t started() const { return started_; }
  [[nodiscard]] std::size_t tasks_on_machines() const;
  // Starts after their user was told of the cancellation, within cancel_s: a start was on its way. Later ones break a
  // rule.
  [[nodiscard]] std::size_t started_after_cancel() const { return started_after_cancel_; }
  // Called when a job's user first hears that it is accepted, done or cancelled.
  std::function<void(const JobId&)> on_news;
  // Called when the last task of a job completes.
  std::function<void(const JobId&)> on_complete;

 private:
  [[nodiscard]] bool asked_to_cancel(const JobId& id) const;
  void report_violation(const std::string& what, Time now);
  void check_place(const TaskId& task, const Place& place, Time now);
  void check_limit(const std::string& team, Time now);
  [[nodiscard]] bool within(const Resources& limit, const Resources& used) const;
  [[nodiscard]] Resources used_by(const std::string& team) const;
  struct Limits {
    std::vector<Team> teams;
    Time until = Time::max();  // a start may go by them
  };
  using Holders = std::map<MachineId, std::string>;  // with their zones
  WorkerTimings timings_;
  std::vector<Limits> limits_;  // the newest last
  std::map<JobId, SubmittedJob> jobs_;
  std::map<JobId, std::map<std::uint32_t, Holders>> on_;  // tasks on machines
  std::map<std::string, Resources> used_;                 // by team
  std::optional<Time> faults_over_since_;
  std::vector<std::string> violations_;
  Ordinal order_ = 0;
  std::size_t started_ = 0, started_after_cancel_ = 0;
};

}  // namespace martenwall::stand_ins
