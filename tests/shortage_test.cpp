// Prioritization in a shortage: which jobs are served if demand exceeds the capacity of the fleet.
#include <gtest/gtest.h>

#include "core/scheduler/scheduler.hpp"
#include "worker_reports.hpp"

namespace martenwall {
namespace {

// One scheduler and two machines. Tasks run for their estimate; with spread_run_times, each of the first six tasks runs
// longer than the one before.
class ShortageFixture {
 public:
  // Machines of eight GPUs; shortage prioritization has the given weight.
  explicit ShortageFixture(double weight)
      : ShortageFixture(options(weight), {"g", {64, 8, 512}, 1000, 1, 10, 3, 40, {"a"}}) {}
  ShortageFixture(Scheduler::Options options, MachineType type)
      : scheduler_(std::move(options), [this](const std::string& line) {
          if (line.find("fleet busy=") != std::string::npos) fleet_line_ = line;
        }) {
    gpus_ = type.capacity.gpus > 0 ? 1 : 0;
    scheduler_.set_types({std::move(type)});
  }
  static Scheduler::Options options(double weight) {
    Scheduler::Options out;
    out.timings = {1, 19, 50, 4, 39};
    out.teams = {{"red", {}, {0, 1e6, 0}}};
    out.token = FencingToken{50};
    out.previous_leader_valid_until = Time{seconds(1000)};
    out.policy.direct_starts = false;
    out.policy.shortage_weight = weight;
    return out;
  }
  void job(int number, std::uint32_t tasks, double run_s, double deadline_s) {
    JobSpec spec;
    spec.job_class = "scan";
    spec.tasks = tasks;
    spec.need = {1, gpus_, 1};
    spec.estimate_s = run_s;
    spec.deadline_s = deadline_s;
    job(number, std::move(spec));
  }
  void job(int number, JobSpec spec) {
    Job j;
    j.spec = std::move(spec);
    j.spec.id = JobId{"job-" + std::to_string(100000 + number)};
    if (j.spec.team.empty()) j.spec.team = "red";
    j.spec.image = "img";
    j.submitted = now_;
    ends_[j.spec.id] = now_ + seconds(j.spec.deadline_s.value_or(0));
    scheduler_.add_job(j, now_);
  }
  [[nodiscard]] bool began(int number) const {
    const auto* j = scheduler_.find_job(JobId{"job-" + std::to_string(100000 + number)});
    return j == nullptr || j->next_attempt > 1;
  }
  [[nodiscard]] const std::string& fleet_line() const { return fleet_line_; }
  void spread_run_times() { uneven_run_times_ = true; }
  void run(int for_s) {
    for (int i = 0; i < for_s; ++i) {
      now_ += seconds(1);
      for (const auto* id : {"i-1", "i-2"}) report(id);
      scheduler_.run_cycle(now_);
      for (auto rows = scheduler_.take_writes(500, true, now_ + seconds(10)); !rows.empty();
           rows = scheduler_.take_writes(500, true, now_ + seconds(10))) {
        scheduler_.on_rows_stored(rows, now_);
      }
    }
  }
  [[nodiscard]] std::size_t in_time() const { return in_time_; }
  [[nodiscard]] std::size_t done() const { return done_.size(); }

 private:
  struct Task {
    Attempt attempt;
    Time until{};
  };
  void report(const char* id) {
    auto heartbeat = report_of(id, HeartbeatSequence{++sequence_});
    for (const auto& [task, t] : tasks_[id]) {
      const bool ended = now_ >= t.until;
      heartbeat.tasks.push_back({task, t.attempt, ended ? TaskState::ended : TaskState::running,
                                 ended ? ExitCause::done : ExitCause::none, false});
    }
    for (const auto& command : scheduler_.on_heartbeat(heartbeat, StatusSource::heartbeat, now_, true))
      execute(id, command);
    scheduler_.on_heartbeat_answered(MachineId{id}, now_);
    for (const auto& [job, end] : ends_) {
      const auto* known = scheduler_.find_job(job);
      if (known != nullptr && known->phase != JobPhase::done) continue;
      if (done_.insert(job).second && now_ <= end) ++in_time_;
    }
  }
  void execute(const char* id, const Command& command) {
    if (command.verb == Command::Verb::start) {
      const double extra_s = uneven_run_times_ && command.task.index < 6 ? 3.0 * command.task.index : 0;
      tasks_[id][command.task] = {command.attempt,
                                  now_ + seconds(scheduler_.find_job(command.task.job)->spec.estimate_s + extra_s)};
    } else {
      tasks_[id].erase(command.task);
    }
  }

  Time now_{seconds(1000)};
  std::uint64_t sequence_ = 0;
  std::string fleet_line_;  // the last line that reports pending work
  Scheduler scheduler_;
  std::map<std::string, std::map<TaskId, Task>> tasks_;
  std::map<JobId, Time> ends_;
  std::set<JobId> done_;
  std::size_t in_time_ = 0;
  bool uneven_run_times_ = false;
  double gpus_ = 0;  // required by a task of class `scan`
};

// Submits twice the work that sixteen GPUs can do, as jobs of 4 and of 16 tasks in turn.
void submit_twice_the_capacity(ShortageFixture& fixture) {
  for (int i = 0; i < 60; ++i) {
    fixture.job(i, i % 2 == 0 ? 4 : 16, 30, 75);
    fixture.run(9);
  }
  fixture.run(700);
}

// Incident on the day with many machine losses: nearly all scan jobs completed, but three quarters of them slightly
// late.
TEST(shortage, most_jobs_are_in_time_instead_of_all_a_little_late) {
  ShortageFixture without{0};
  submit_twice_the_capacity(without);
  ShortageFixture with{40};
  submit_twice_the_capacity(with);
  EXPECT_LT(without.in_time(), 20U);
  EXPECT_GT(with.in_time(), 30U);
  EXPECT_EQ(60U, with.done()) << "late jobs complete eventually";
}

// Without a shortage, prioritization changes nothing.
TEST(shortage, where_all_can_be_in_time_it_changes_nothing) {
  for (const double weight : {0.0, 40.0}) {
    ShortageFixture fixture{weight};
    for (int i = 0; i < 20; ++i) {
      fixture.job(i, i % 2 == 0 ? 4 : 10, 30, 75);
      fixture.run(30);
    }
    fixture.run(100);
    EXPECT_EQ(20U, fixture.in_time());
  }
}

// Runs a team limited to 6 CPUs on machines of 4 CPUs: short tasks that cannot all be in time, then two tasks of a
// lower priority that each need a whole machine and are to start within 150 s.
void run_limited_team(ShortageFixture& fixture) {
  fixture.spread_run_times();
  fixture.job(1, 2000, 18, 300);
  fixture.run(40);
  JobSpec large;
  large.job_class = "large";
  large.priority = Priority::best_effort;
  large.tasks = 2;
  large.need = {4, 0, 10};
  large.estimate_s = 30;
  fixture.job(2, large);
  fixture.run(100);
}

Scheduler::Options limited_team_options(bool reserve_headroom, double begin_weight) {
  auto options = ShortageFixture::options(40);
  options.teams = {{"red", {2, 0, 0}, {6, 0, 0}}};
  options.objectives.start_s_by_class["large"] = {150};
  options.policy.reserve_limit_headroom = reserve_headroom;
  options.policy.begin_weight = begin_weight;
  return options;
}

const MachineType four_cpus{"g", {4, 0, 16}, 1000, 1, 0.2, 0.05, 30, {"a"}};

// On a day of the boundary survey site, capacity within a limit became free one CPU at a time, so tasks of four CPUs
// never got four at once.
TEST(shortage, small_tasks_leave_headroom_for_a_larger_one_within_the_limit) {
  ShortageFixture without{limited_team_options(false, 0), four_cpus};
  run_limited_team(without);
  EXPECT_FALSE(without.began(2)) << "precondition: the task does not start without headroom";
  ShortageFixture with{limited_team_options(true, 0), four_cpus};
  run_limited_team(with);
  EXPECT_TRUE(with.began(2));
}

// The large task also begins if the short tasks are not late and have precedence.
TEST(shortage, a_job_without_started_tasks_gets_its_first_task) {
  for (const double begin : {0.0, 9.0}) {
    ShortageFixture fixture{limited_team_options(true, begin), four_cpus};
    fixture.spread_run_times();
    JobSpec large;
    large.priority = Priority::best_effort;
    large.tasks = 2;
    large.need = {4, 0, 10};
    large.estimate_s = 30;
    fixture.job(1, 2000, 18, 10000);  // in time, and enough to use the whole limit
    fixture.run(40);
    fixture.job(2, large);
    fixture.run(160);
    EXPECT_EQ(begin > 0, fixture.began(2));
  }
}

// Arrays of thousands of tasks in a team with a low CPU limit request no more capacity than that limit allows, so jobs
// of other teams with a lower priority are not deferred to make capacity available to these arrays.
TEST(shortage, no_machines_are_wanted_for_what_a_limit_keeps_from_starting) {
  auto options = ShortageFixture::options(40);
  options.teams = {{"red", {2, 0, 0}, {2, 0, 0}}, {"blue", {2, 0, 0}, {1e6, 0, 0}}};
  options.objectives.start_s_by_class["later"] = {150};
  ShortageFixture fixture{options, four_cpus};
  fixture.job(1, 2000, 20, 300);  // late with any schedule
  fixture.run(2);
  for (const int i : {2, 3}) {  // the first fills the machines
    JobSpec spec;
    spec.team = "blue";
    spec.job_class = "later";
    spec.priority = Priority::best_effort;
    spec.tasks = 6;
    spec.need = {1, 0, 1};
    spec.estimate_s = 25;
    fixture.job(i, spec);
  }
  fixture.run(20);
  EXPECT_NE(std::string::npos, fixture.fleet_line().find("pending_jobs=2 deferred_jobs=1")) << fixture.fleet_line();
}

}  // namespace
}  // namespace martenwall
