// The leader's picture of jobs and machines, and every decision on them. No I/O and no clock:
// time and events come in, orders, store changes and cloud requests go out.
#pragma once
#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/fleet.hpp"
#include "core/heuristics.hpp"
#include "core/ledger.hpp"
#include "core/messages.hpp"
#include "core/policy.hpp"
#include "core/preemption.hpp"
#include "core/write_queue.hpp"
#include "load/service_record.hpp"

namespace martenwall {

class Scheduler {
 public:
  struct Setup {
    Policy policy;
    WorkerTerms terms;
    StartAims aims;
    std::vector<Team> teams;
    std::size_t max_tasks_per_machine = 60;
    bool log_tasks = true;  // each task's placement, beginning and result; else only what is out of the ordinary
    bool spans = true;      // all nodes read rows that name their runs; else rows by number are written
    std::uint32_t legacy_size = 100;  // task indices in a row by number
    std::uint32_t span_size = 40;     // in a row that names its run
    std::size_t group_size = 25;      // machines in one row
    std::size_t hires_in_line =
        100;                     // not answered yet; what is wanted beyond is planned anew when the line is shorter
    bool limits_change = false;  // what is beyond a team's limit is brought down
    Token token;
    Time old_leader_until{};  // the last moment at which an earlier leader may have answered a worker
  };
  using Log = std::function<void(const std::string&)>;
  Scheduler(Setup setup, Log log);

  // Loading by a new leader.
  // In this order; a task row without a job is what a finished one left behind. Of each job the rows that name
  // their runs come first, those that begin last before the others; then those by number.
  void load_job(Job job, Time now);
  void load_machine(const MachineFacts& facts, Time now);
  void load_tasks(const TaskRow& row, Time now);
  void finish_load(Time now);

  void set_types(std::vector<MachineType> types) { types_ = std::move(types); }
  [[nodiscard]] bool knows_types() const { return !types_.empty(); }

  // Users.
  void add_job(Job job, Time now);
  // Became final under this leadership: an older read of its row must not bring it back.
  [[nodiscard]] bool was_final(const JobId& id) const { return over_.contains(id); }
  [[nodiscard]] const Job* find_job(const JobId& id) const;
  [[nodiscard]] std::optional<JobStatus> status(const JobId& id) const;
  // Marks the job cancelled; the answer may go out once `status` tells it. False: not known here.
  bool cancel(const JobId& id, Time now);

  // Jobs that others await (scheduler_chains.cpp). Those of which neither an end nor a beginning is known here are
  // to be looked up in the store; `on_end_found` takes what was found, `ask_again` where nothing was.
  std::vector<JobId> take_lookups();
  void on_end_found(const JobId& id, JobPhase phase, Time now);
  void ask_again(const JobId& id);
  // All ends that this job's cancellation brought about are stored.
  [[nodiscard]] bool cascade_stored(const JobId& id) const { return !cascades_.contains(id); }

  // Workers. `proven`: leadership holds, so starts may go out.
  std::vector<Order> on_report(const WorkerReport& report, ReportSource source, Time now, bool proven);
  [[nodiscard]] bool is_gone(const MachineId& id) const { return gone_.contains(id); }
  [[nodiscard]] std::size_t heard_since(Time t) const;  // workers that reported by themselves
  void answered(const MachineId& id, Time now);         // a 200 is going out now
  // It is not to be answered: what an earlier leader left there is to end with its lease.
  [[nodiscard]] bool leaves_unanswered(const MachineId& id) const;
  std::vector<DirectBatch> take_direct(Time now);
  void on_direct(const DirectBatch& batch, DirectOutcome outcome, Time now);
  [[nodiscard]] std::vector<DirectBatch> announcements() const;  // machines not heard of yet

  // Cloud.
  void on_list(const std::vector<ListedMachine>& list, Time asked, Duration lag, Time now);
  void on_hired(const HireRequest& request, const std::vector<MachineId>& machines, Time now);
  void on_refused(const HireRequest& request, Time now);
  void on_given_up(const HireRequest& request);
  std::vector<HireRequest> take_hires();
  std::vector<MachineId> take_releases(Time now);
  void on_released(const std::vector<MachineId>& ids, Time now);

  // The operators changed the configuration: from now on these hold.
  void configure(const std::vector<Team>& teams, const Policy& policy);

  // One round: matching, preemption, fleet.
  void round(Time now);
  void expire(Time now);
  // Something happened since the last round that may change its outcome.
  [[nodiscard]] bool stale() const { return stale_; }
  // What the last round had to look at; its cost follows these.
  struct RoundWork {
    std::size_t rows = 0, columns = 0, victims = 0;
  };
  [[nodiscard]] const RoundWork& last_round() const { return work_; }

  // The store: rows to be written now, and what became of them. `spare`: also those that no rule needs.
  std::vector<RowWrite> take_writes(std::size_t most, bool spare, Time now);
  // From now on all nodes read rows that name their runs.
  void use_spans(Time now);
  [[nodiscard]] bool uses_spans() const { return setup_.spans; }
  void set_row_sizes(std::uint32_t span_size, std::size_t group_size);
  // Not written: too large for the store. False where it cannot be divided any further.
  bool divide(const RowWrite& write, Time now);
  void put_back(const std::vector<RowWrite>& writes, Duration delay, Time now);
  [[nodiscard]] std::size_t legacy_rows() const;  // in the store, to be replaced
  void stored(const std::vector<RowWrite>& writes, Time now);
  [[nodiscard]] bool has_writes(bool spare, Time now) const {
    return writes_.ready(Urgency::awaited, now) || writes_.ready(Urgency::borrowed, now) ||
           (spare && writes_.ready(Urgency::spare, now));
  }

  [[nodiscard]] WriteQueue::Backlog backlog(Urgency urgency, Time now) const { return writes_.backlog(urgency, now); }
  [[nodiscard]] const std::map<MachineId, Machine>& machines() const { return machines_; }
  [[nodiscard]] const std::map<JobId, Job>& jobs() const { return jobs_; }
  [[nodiscard]] const Ledger& ledger() const { return used_; }
  [[nodiscard]] const MachineType* type_of(const std::string& name) const;
  [[nodiscard]] load::ServiceRecord& served() { return served_; }

 private:
  void count_late(Time now);
  [[nodiscard]] bool misses_last_time(const Job& job, Time now) const;
  [[nodiscard]] Urgency urgency_of(const Job& job) const;
  [[nodiscard]] const Team* team_of(const std::string& name) const;  // nothing: not configured
  void bring_down_to_limits(Time now);                               // scheduler_limits.cpp
  void bring_down(const std::string& team, Time now);
  [[nodiscard]] std::string why_it_waits(const Job& job) const;
  Generation mark(Job& job, std::uint32_t index, Duration delay, Time now);
  void mark(Machine& machine, Time now);
  std::pair<RowKey, Job::Part*> part_for(Job& job, std::uint32_t index);
  Job::Parts::iterator span_for(Job& job, std::uint32_t index);
  static void add_spans(Job& job, std::uint32_t first, std::uint32_t end);
  [[nodiscard]] std::uint32_t legacy_end(const Job& job, std::uint32_t first) const;
  void cover_legacy(Job& job, Time now);
  [[nodiscard]] bool superseded(const Job& job, std::uint32_t legacy_first) const;
  void drop_superseded(Job& job, std::uint32_t first, std::uint32_t size, Time now);
  bool successors_stored(const Job& job, std::uint32_t first, Time now);
  void queue_rows(Job& job, Time due, Urgency urgency);
  void drop_rows(const Job& job);
  void load_held(Job& job, const TaskRow& row, const TaskRow::Held& h, Time now);
  template <class F>
  static void for_rows(const Job& job, std::uint32_t legacy_size, F&& f);
  [[nodiscard]] Urgency urgency_of(const RowKey& key) const;
  void await_others(Job& job, Time now);
  void on_end(const JobId& id, JobPhase phase, Time now);
  void release(Job& job, Time now);
  void cascade(const JobId& root, const std::set<JobId>& by, Time now);
  void forget_awaited(const Job& job);
  [[nodiscard]] double path_s(const Job& job) const;
  bool take_urgency(Job& job, const Job& by) const;
  void pass_urgency_up(const Job& job);
  void review_urgency(const Job& gone);
  void cascaded_end_stored(const JobId& id);
  [[nodiscard]] bool is_stored(const Placement& p) const;
  [[nodiscard]] std::optional<TaskRow> task_row(const Job& job, std::uint32_t first, std::uint32_t size) const;
  RowWrite row_write(const RowKey& key);
  [[nodiscard]] MachineFacts facts_of(const Machine& m) const;
  void leave_group(Machine& m, Time now);
  void tasks_stored(const RowWrite& w, Time now);
  void end_stored(Job& job, Time now);
  void drop_if_over(const JobId& id);
  Machine& known_machine(const MachineId& id, Time now);
  ImageId image_id(const std::string& name);
  Placement& add(Machine& m, Placement p);
  void settle(Machine& m, Placement& p);
  Machine& machine_for(const WorkerReport& report, Time now);
  void new_session(Machine& m, const WorkerReport& r, Time now);
  // Is anything there that was not, so that it heard of it?
  bool take_task_reports(Machine& m, const WorkerReport& r, Time now);
  // Of what the answer to an earlier report told it to start, is anything missing?
  bool take_absences(Machine& m, const WorkerReport& r, ReportSource source, Time now);
  void listen(Machine& m, const WorkerReport& r, bool heard, bool missed, Time now);
  void on_stray(Machine& m, const TaskReport& t, Time now);
  void on_progress(Machine& m, Placement& p, const TaskReport& t, Time now);
  void on_exit(Machine& m, Placement& p, const TaskReport& t, Time now);
  void on_task_done(Job& job, std::uint32_t index, Time now);
  void on_task_failed(Machine& m, Job& job, ExitCause cause, Time now);
  void finish_job(Job& job, JobPhase phase, Time now);
  // Whether a failing job or its machines are to blame (scheduler_blame.cpp).
  void on_error(Machine& m, Job& job, Time now);
  void review(Job& job, Time now);
  void absolve(Job& job, const char* why);
  void condemn(Machine& m, Time now);
  void judge_machines(Time now);
  [[nodiscard]] int blame_of(const Machine& m) const;
  void clear_machines_of(const Job& job, Time now);
  void let_back(Machine& m, const JobId& job, Time now);
  [[nodiscard]] bool may_probe(Job& job, Time now);
  void learn(const Job& job, const Placement& p, Time now);
  void count_run(const Placement& p, Time now);
  [[nodiscard]] double run_time_s(const Job& job, Time now) const;  // of its tasks, under this leader
  void log_when_all_run(Job& job, Time now);
  void vacate(Machine& m, Placement& p, Time now, const char* why);
  void give_back(Machine& m, const Placement& p, Time now);
  void sweep(Machine& m);
  void free_inherited(Machine& m, Time now);
  void want_stop(Machine& m, Placement& p, double grace_s, Time now, const char* why);
  void stop_placed(Job& job, double grace_s, Time now, const char* why);
  void stop_in_order(Job& job, Time now, const char* why);
  void break_gang(Job& job, Time now);
  void drain(Machine& m, Time now, const char* why);
  void notice(Machine& m, double notice_s, Time now);
  std::vector<Order> orders_for(Machine& m, Tick tick, Time now, bool proven);
  void order_for(Machine& m, Placement& p, Tick tick, Time now, bool proven, std::vector<Order>& out);
  void forget_fetch(Machine& m, const Job& job);
  void drop_machine(const MachineId& id, Time now, const char* why);

  [[nodiscard]] double estimate_of(const Job& job) const;
  [[nodiscard]] std::set<JobId> jobs_within_guarantee() const;
  Board make_board(Time now);
  void add_rows(Board& board, Time now);
  void tell_apart(Board& board, Time now);  // scheduler_load.cpp
  void let_begin(Row& row, Time now) const;
  [[nodiscard]] std::vector<double> latest_starts(const Row& row, Time now) const;
  [[nodiscard]] bool must_be_even(const Job& job, Time now) const;
  [[nodiscard]] bool keeps_to_spot(const Job& job, bool any_spot, Time now) const;
  [[nodiscard]] bool usable(const Machine& m, Time now) const;
  void place(const Board& board, const Row& row, const std::vector<std::size_t>& columns, Time now);
  void preempt(Board& board, Time now);
  VictimTable victims(const Board& board, Time now);
  [[nodiscard]] bool better_to_wait(const Row& row, Time now) const;
  [[nodiscard]] std::optional<Time> room_expected(const Job& job, Time now) const;
  void evict(const Eviction& e, Row& row, Time now);
  void plan_fleet(Board& board, Ledger& ledger, Time now);
  void plan_releases(Time now);
  void release_idle(std::vector<Machine*> idle, Time now);
  void take_census(const Board& board, Time now);
  std::vector<Demand> unmet_demand(Board& board, Ledger& ledger);
  [[nodiscard]] std::vector<Prospect> prospects(const Board& board, Time now) const;

  Setup setup_;
  Log log_;
  std::map<std::string, Team> teams_;
  std::vector<MachineType> types_;
  std::map<JobId, Job> jobs_;
  std::map<MachineId, Machine> machines_;
  std::map<MachineId, Time> gone_;  // late reports of these must not bring them back
  CapacityMemory capacity_;
  std::vector<HireRequest> hires_;
  Time last_submission_{};
  double submission_gap_ = 10;  // moving average, seconds
  [[nodiscard]] bool quiet(Time now) const;
  std::uint64_t hire_serial_ = 0;
  std::map<std::string, HireRequest> open_hires_;  // by name: asked for, not answered yet
  Time next_fleet_{};
  Time next_census_{}, next_census_log_{};
  std::array<LoadHistory, 2> load_;           // ordinary machines, spot machines
  std::map<std::string, double> lane_ratio_;  // learned: actual run time over the estimate
  std::map<JobId, Time> evicted_for_;
  std::map<JobId, std::set<JobId>> awaited_;   // by whom; those whose end is not known
  std::set<JobId> lookups_, asked_;            // awaited ones of which nothing is known here
  std::map<JobId, std::set<JobId>> cascades_;  // ends brought about by a cancellation, not stored yet
  std::map<JobId, JobId> cascade_of_;
  std::map<JobId, Time> over_;
  std::map<std::string, ImageId> images_;
  std::vector<std::string> image_names_;
  WriteQueue writes_;
  std::map<std::uint32_t, std::set<MachineId>> groups_;  // machines that share a row of facts
  std::set<MachineId> touched_;                          // direct commands may be due
  Ledger used_;
  std::uint64_t changes_ = 0;
  bool stale_ = true;
  RoundWork work_;
  struct TaskCounts {
    std::size_t placed = 0, began = 0, ended = 0, completed = 0;
  };
  TaskCounts task_counts_;  // since the last line that told them
  load::ServiceRecord served_;
};

}  // namespace martenwall
