// The leader's picture of jobs and machines, and every decision on them. No I/O and no clock:
// time and events come in, orders, store changes and cloud requests go out.
#pragma once
#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/capacity/scale_out_planner.hpp"
#include "core/messages.hpp"
#include "core/model/policy.hpp"
#include "core/model/quota_usage.hpp"
#include "core/persistence/write_queue.hpp"
#include "core/placement/heuristics.hpp"
#include "core/placement/preemption.hpp"
#include "load/service_record.hpp"

namespace martenwall {

class Scheduler {
 public:
  struct Options {
    Policy policy;
    WorkerTerms terms;
    StartAims aims;
    std::vector<Team> teams;
    std::size_t max_tasks_per_machine = 60;
    bool log_tasks = true;   // each task's placement, beginning and result; else only what is out of the ordinary
    bool range_rows = true;  // all nodes read rows that name their runs; else rows by number are written
    std::uint32_t v1_row_size = 100;  // task indices in a row by number
    std::uint32_t range_size = 40;    // in a row that names its run
    std::size_t group_size = 25;      // machines in one row
    std::size_t max_pending_scale_outs =
        100;                     // not answered yet; what is wanted beyond is planned anew when the line is shorter
    bool limits_change = false;  // what is beyond a team's limit is brought down
    FencingToken token;
    Time old_leader_until{};  // the last moment at which an earlier leader may have answered a worker
  };
  using Log = std::function<void(const std::string&)>;
  Scheduler(Options options, Log log);

  // Loading by a new leader.
  // In this order; a task row without a job is what a finished one left behind. Of each job the rows that name
  // their runs come first, those that begin last before the others; then those by number.
  void load_job(Job job, Time now);
  void load_machine(const MachineRecord& record, Time now);
  void load_tasks(const TaskRow& row, Time now);
  void finish_load(Time now);

  void set_types(std::vector<MachineType> types) { types_ = std::move(types); }
  [[nodiscard]] bool knows_types() const { return !types_.empty(); }

  // Users.
  void add_job(Job job, Time now);
  // Became final under this leadership: an older read of its row must not bring it back.
  [[nodiscard]] bool was_finished(const JobId& id) const { return finished_jobs_.contains(id); }
  [[nodiscard]] const Job* find_job(const JobId& id) const;
  [[nodiscard]] std::optional<JobStatus> status(const JobId& id) const;
  // Marks the job cancelled; the answer may go out once `status` tells it. False: not known here.
  bool cancel(const JobId& id, Time now);

  // Jobs that others await (scheduler_chains.cpp). Those of which neither an end nor a beginning is known here are
  // to be looked up in the store; `on_end_found` takes what was found, `ask_again` where nothing was.
  std::vector<JobId> take_lookups();
  void on_end_looked_up(const JobId& id, JobPhase phase, Time now);
  void retry_lookup(const JobId& id);
  // All ends that this job's cancellation brought about are stored.
  [[nodiscard]] bool is_cascade_stored(const JobId& id) const { return !open_cascades_.contains(id); }

  // Workers. `proven`: leadership holds, so starts may go out.
  std::vector<Command> on_heartbeat(const Heartbeat& report, StatusSource source, Time now, bool lease_valid);
  [[nodiscard]] bool is_released(const MachineId& id) const { return released_machines_.contains(id); }
  [[nodiscard]] std::size_t heartbeats_since(Time t) const;   // workers that reported by themselves
  void on_heartbeat_answered(const MachineId& id, Time now);  // a 200 is going out now
  // It is not to be answered: what an earlier leader left there is to end with its lease.
  [[nodiscard]] bool must_not_be_answered(const MachineId& id) const;
  std::vector<CommandBatch> take_command_batches(Time now);
  void on_command_outcome(const CommandBatch& batch, CommandOutcome outcome, Time now);
  [[nodiscard]] std::vector<CommandBatch> announcements() const;  // machines not heard of yet

  // Cloud.
  void on_machine_list(const std::vector<ListedMachine>& list, Time asked, Duration lag, Time now);
  void on_scale_out_granted(const ScaleOutRequest& request, const std::vector<MachineId>& machines, Time now);
  void on_scale_out_refused(const ScaleOutRequest& request, Time now);
  void on_scale_out_abandoned(const ScaleOutRequest& request);
  std::vector<ScaleOutRequest> take_scale_out_requests();
  std::vector<MachineId> take_scale_in(Time now);
  void on_machines_released(const std::vector<MachineId>& ids, Time now);

  // The operators changed the configuration: from now on these hold.
  void configure(const std::vector<Team>& teams, const Policy& policy);

  // One round: matching, preemption, fleet.
  void run_cycle(Time now);
  void expire(Time now);
  // Something happened since the last round that may change its outcome.
  [[nodiscard]] bool needs_cycle() const { return needs_cycle_; }
  // What the last round had to look at; its cost follows these.
  struct CycleSize {
    std::size_t jobs = 0, machines = 0, preemption_candidates = 0;
  };
  [[nodiscard]] const CycleSize& last_cycle() const { return cycle_size_; }

  // The store: rows to be written now, and what became of them. `spare`: also those that no rule needs.
  std::vector<RowWrite> take_writes(std::size_t most, bool deferrable, Time now);
  // From now on all nodes read rows that name their runs.
  void use_range_rows(Time now);
  [[nodiscard]] bool uses_range_rows() const { return options_.range_rows; }
  void set_row_sizes(std::uint32_t range_size, std::size_t group_size);
  // Not written: too large for the store. False where it cannot be divided any further.
  bool split_row(const RowWrite& write, Time now);
  void requeue_writes(const std::vector<RowWrite>& writes, Duration delay, Time now);
  [[nodiscard]] std::size_t v1_row_count() const;  // in the store, to be replaced
  void on_rows_stored(const std::vector<RowWrite>& writes, Time now);
  [[nodiscard]] bool has_writes(bool deferrable, Time now) const {
    return writes_.ready(WritePriority::foreground, now) || writes_.ready(WritePriority::best_effort, now) ||
           (deferrable && writes_.ready(WritePriority::deferrable, now));
  }

  [[nodiscard]] WriteQueue::Backlog backlog(WritePriority priority, Time now) const {
    return writes_.backlog(priority, now);
  }
  [[nodiscard]] const std::map<MachineId, Machine>& machines() const { return machines_; }
  [[nodiscard]] const std::map<JobId, Job>& jobs() const { return jobs_; }
  [[nodiscard]] const QuotaUsage& quota_usage() const { return quota_usage_; }
  [[nodiscard]] const MachineType* type_of(const std::string& name) const;
  [[nodiscard]] load::ServiceRecord& service_record() { return service_record_; }

 private:
  void count_missed_targets(Time now);
  [[nodiscard]] bool misses_last_target(const Job& job, Time now) const;
  [[nodiscard]] WritePriority write_priority_of(const Job& job) const;
  [[nodiscard]] const Team* team_of(const std::string& name) const;  // nothing: not configured
  void enforce_limits(Time now);                                     // scheduler_limits.cpp
  void enforce_limit(const std::string& team, Time now);
  [[nodiscard]] std::string pending_reason(const Job& job) const;
  Generation mark_dirty(Job& job, std::uint32_t index, Duration delay, Time now);
  void mark_dirty(Machine& machine, Time now);
  std::pair<RowKey, Job::RowState*> row_for(Job& job, std::uint32_t index);
  Job::RowStates::iterator range_for(Job& job, std::uint32_t index);
  static void add_ranges(Job& job, std::uint32_t first, std::uint32_t end);
  [[nodiscard]] std::uint32_t v1_row_end(const Job& job, std::uint32_t first) const;
  void migrate_v1_rows(Job& job, Time now);
  [[nodiscard]] bool is_superseded(const Job& job, std::uint32_t v1_first) const;
  void drop_superseded(Job& job, std::uint32_t first, std::uint32_t size, Time now);
  bool successors_stored(const Job& job, std::uint32_t first, Time now);
  void queue_rows(Job& job, Time due, WritePriority priority);
  void drop_rows(const Job& job);
  void load_placed_task(Job& job, const TaskRow& row, const TaskRow::PlacedTask& h, Time now);
  template <class F>
  static void for_each_row(const Job& job, std::uint32_t v1_row_size, F&& f);
  [[nodiscard]] WritePriority write_priority_of(const RowKey& key) const;
  void register_dependencies(Job& job, Time now);
  void on_job_ended(const JobId& id, JobPhase phase, Time now);
  void unblock(Job& job, Time now);
  void cancel_dependents(const JobId& root, const std::set<JobId>& by, Time now);
  void forget_dependencies(const Job& job);
  [[nodiscard]] double path_to_completion_s(const Job& job) const;
  bool inherit_urgency(Job& job, const Job& by) const;
  void propagate_urgency(const Job& job);
  void recompute_urgency(const Job& gone);
  void on_cascaded_end_stored(const JobId& id);
  [[nodiscard]] bool is_placement_stored(const Placement& p) const;
  [[nodiscard]] std::optional<TaskRow> task_row(const Job& job, std::uint32_t first, std::uint32_t size) const;
  RowWrite build_row_write(const RowKey& key);
  [[nodiscard]] MachineRecord machine_record_of(const Machine& m) const;
  void leave_row_group(Machine& m, Time now);
  void on_task_row_stored(const RowWrite& w, Time now);
  void on_end_stored(Job& job, Time now);
  void drop_if_finished(const JobId& id);
  Machine& find_or_add_machine(const MachineId& id, Time now);
  ImageId image_id(const std::string& name);
  Placement& add(Machine& m, Placement p);
  void update_accounting(Machine& m, Placement& p);
  Machine& reporting_machine(const Heartbeat& report, Time now);
  void on_new_incarnation(Machine& m, const Heartbeat& r, Time now);
  // Is anything there that was not, so that it heard of it?
  bool apply_task_statuses(Machine& m, const Heartbeat& r, Time now);
  // Of what the answer to an earlier report told it to start, is anything missing?
  bool detect_missing_tasks(Machine& m, const Heartbeat& r, StatusSource source, Time now);
  void update_downlink(Machine& m, const Heartbeat& r, bool confirmed, bool missed, Time now);
  void on_orphan(Machine& m, const TaskStatus& t, Time now);
  void on_progress(Machine& m, Placement& p, const TaskStatus& t, Time now);
  void on_exit(Machine& m, Placement& p, const TaskStatus& t, Time now);
  void on_task_done(Job& job, std::uint32_t index, Time now);
  void on_task_failed(Machine& m, Job& job, ExitCause cause, Time now);
  void finish_job(Job& job, JobPhase phase, Time now);
  // Whether a failing job or its machines are to blame (scheduler_blame.cpp).
  void on_task_error(Machine& m, Job& job, Time now);
  void review_suspicion(Job& job, Time now);
  void clear_suspicion(Job& job, const char* why);
  void quarantine(Machine& m, Time now);
  void evaluate_machines(Time now);
  [[nodiscard]] int unexplained_failures(const Machine& m) const;
  void forget_failures_of(const Job& job, Time now);
  void release_from_quarantine(Machine& m, const JobId& job, Time now);
  [[nodiscard]] bool may_probe(Job& job, Time now);
  void learn_run_time(const Job& job, const Placement& p, Time now);
  void add_run_time(const Placement& p, Time now);
  [[nodiscard]] double run_time_s(const Job& job, Time now) const;  // of its tasks, under this leader
  void log_when_all_run(Job& job, Time now);
  void release_placement(Machine& m, Placement& p, Time now, const char* why);
  void return_to_pending(Machine& m, const Placement& p, Time now);
  void erase_removed(Machine& m);
  void release_unconfirmed(Machine& m, Time now);
  void request_stop(Machine& m, Placement& p, double grace_s, Time now, const char* why);
  void stop_all_tasks(Job& job, double grace_s, Time now, const char* why);
  void stop_gracefully(Job& job, Time now, const char* why);
  void stop_broken_gang(Job& job, Time now);
  void drain(Machine& m, Time now, const char* why);
  void on_preemption_notice(Machine& m, double preemption_notice_s, Time now);
  std::vector<Command> commands_for(Machine& m, HeartbeatSequence sequence, Time now, bool lease_valid);
  void append_command(Machine& m, Placement& p, HeartbeatSequence sequence, Time now, bool lease_valid,
                      std::vector<Command>& out);
  void drop_unneeded_fetch(Machine& m, const Job& job);
  void drop_machine(const MachineId& id, Time now, const char* why);

  [[nodiscard]] double estimated_run_time_s(const Job& job) const;
  [[nodiscard]] std::set<JobId> jobs_within_guarantee() const;
  PlacementProblem build_problem(Time now);
  void add_pending_jobs(PlacementProblem& problem, Time now);
  void prioritize_in_shortage(PlacementProblem& problem, Time now);  // scheduler_load.cpp
  void boost_first_task(PendingJob& pending, Time now) const;
  [[nodiscard]] std::vector<double> latest_starts(const PendingJob& pending, Time now) const;
  [[nodiscard]] bool needs_uniform_image(const Job& job, Time now) const;
  [[nodiscard]] bool is_restricted_to_spot(const Job& job, bool any_spot, Time now) const;
  [[nodiscard]] bool accepts_new_tasks(const Machine& m, Time now) const;
  void place(const PlacementProblem& problem, const PendingJob& pending, const std::vector<std::size_t>& columns,
             Time now);
  void preempt(PlacementProblem& problem, Time now);
  VictimTable preemption_candidates(const PlacementProblem& problem, Time now);
  [[nodiscard]] bool should_wait_for_capacity(const PendingJob& pending, Time now) const;
  [[nodiscard]] std::optional<Time> capacity_expected(const Job& job, Time now) const;
  void apply_preemption(const PreemptionPlan& e, PendingJob& pending, Time now);
  void plan_scale_out(PlacementProblem& problem, QuotaUsage& quota_usage, Time now);
  void plan_scale_in(Time now);
  void release_idle(std::vector<Machine*> idle, Time now);
  void record_fleet_demand(const PlacementProblem& problem, Time now);
  std::vector<Demand> unmet_demand(PlacementProblem& problem, QuotaUsage& quota_usage);
  [[nodiscard]] std::vector<CapacityForecast> forecast_capacity(const PlacementProblem& problem, Time now) const;

  Options options_;
  Log log_;
  std::map<std::string, Team> teams_;
  std::vector<MachineType> types_;
  std::map<JobId, Job> jobs_;
  std::map<MachineId, Machine> machines_;
  std::map<MachineId, Time> released_machines_;  // late reports of these must not bring them back
  CapacityMemory capacity_;
  std::vector<ScaleOutRequest> scale_out_requests_;
  Time last_submission_{};
  double submission_gap_ = 10;  // moving average, seconds
  [[nodiscard]] bool quiet(Time now) const;
  std::uint64_t scale_out_serial_ = 0;
  std::map<std::string, ScaleOutRequest> pending_scale_outs_;  // by name: asked for, not answered yet
  Time next_capacity_plan_{};
  Time next_sample_{}, next_sample_log_{};
  std::array<LoadHistory, 2> load_history_;       // ordinary machines, spot machines
  std::map<std::string, double> run_time_ratio_;  // learned: actual run time over the estimate
  std::map<JobId, Time> preempting_for_;
  std::map<JobId, std::set<JobId>> dependents_;     // by whom; those whose end is not known
  std::set<JobId> lookups_due_, lookups_issued_;    // awaited ones of which nothing is known here
  std::map<JobId, std::set<JobId>> open_cascades_;  // ends brought about by a cancellation, not stored yet
  std::map<JobId, JobId> cascade_root_of_;
  std::map<JobId, Time> finished_jobs_;
  std::map<std::string, ImageId> images_;
  std::vector<std::string> image_names_;
  WriteQueue writes_;
  std::map<std::uint32_t, std::set<MachineId>> machine_row_groups_;  // machines that share a row of facts
  std::set<MachineId> machines_to_command_;                          // direct commands may be due
  QuotaUsage quota_usage_;
  std::uint64_t last_generation_ = 0;
  bool needs_cycle_ = true;
  CycleSize cycle_size_;
  struct TaskCounts {
    std::size_t placed = 0, began = 0, ended = 0, completed = 0;
  };
  TaskCounts task_counts_;  // since the last line that told them
  load::ServiceRecord service_record_;
};

}  // namespace martenwall
