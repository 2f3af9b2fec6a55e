// A fleet that is wanted for more than it can do: who is served.
#include <gtest/gtest.h>

#include "core/scheduler.hpp"

namespace martenwall {
namespace {

// One scheduler, machines of eight GPUs, jobs of one class with a deadline; tasks run as long as they are told to.
class Rush {
 public:
  explicit Rush(double weight) : s_(setup(weight), [](const std::string&) {}) {
    s_.set_types({{"g", {64, 8, 512}, 1000, 1, 10, 3, 40, {"a"}}});
  }
  void job(int number, std::uint32_t tasks, double run_s, double deadline_s) {
    Job j;
    j.spec.id = JobId{"job-" + std::to_string(100000 + number)};
    j.spec.team = "red";
    j.spec.lane = "scan";
    j.spec.tasks = tasks;
    j.spec.need = {1, 1, 1};
    j.spec.image = "img";
    j.spec.estimate_s = run_s;
    j.spec.deadline_s = deadline_s;
    j.submitted = now_;
    ends_[j.spec.id] = now_ + seconds(deadline_s);
    s_.add_job(j, now_);
  }
  void run(int for_s) {
    for (int i = 0; i < for_s; ++i) {
      now_ += seconds(1);
      for (const auto* id : {"i-1", "i-2"}) report(id);
      s_.round(now_);
      for (auto rows = s_.take_writes(500, true, now_ + seconds(10)); !rows.empty();
           rows = s_.take_writes(500, true, now_ + seconds(10))) {
        s_.stored(rows, now_);
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
  static Scheduler::Setup setup(double weight) {
    Scheduler::Setup u;
    u.terms = {1, 19, 50, 4, 39};
    u.teams = {{"red", {}, {0, 1e6, 0}}};
    u.token = Token{50};
    u.old_leader_until = Time{seconds(1000)};
    u.policy.direct_starts = false;
    u.policy.shortage_weight = weight;
    return u;
  }
  void report(const char* id) {
    WorkerReport r;
    r.machine = MachineId{id};
    r.addr = std::string{"10.0.0.9:1"};
    r.type = std::string{"g"};
    r.zone = std::string{"a"};
    r.session = Session{1};
    r.tick = Tick{++tick_};
    r.token = Token{50};
    for (const auto& [task, t] : tasks_[id]) {
      const bool over = now_ >= t.until;
      r.tasks.push_back({task, t.attempt, over ? TaskState::ended : TaskState::running,
                         over ? ExitCause::done : ExitCause::none, false});
    }
    for (const auto& o : s_.on_report(r, ReportSource::beat, now_, true)) take(id, o);
    s_.answered(MachineId{id}, now_);
    for (const auto& [job, end] : ends_) {
      const auto* known = s_.find_job(job);
      if (known != nullptr && known->phase != JobPhase::done) continue;
      if (done_.insert(job).second && now_ <= end) ++in_time_;
    }
  }
  void take(const char* id, const Order& o) {
    if (o.verb == Order::Verb::start) {
      tasks_[id][o.task] = {o.attempt, now_ + seconds(s_.find_job(o.task.job)->spec.estimate_s)};
    } else {
      tasks_[id].erase(o.task);
    }
  }

  Time now_{seconds(1000)};
  std::uint64_t tick_ = 0;
  Scheduler s_;
  std::map<std::string, std::map<TaskId, Task>> tasks_;
  std::map<JobId, Time> ends_;
  std::set<JobId> done_;
  std::size_t in_time_ = 0;
};

// Twice as much comes as sixteen GPUs can do, jobs of 4 and of 16 tasks in turn.
void rush(Rush& r) {
  for (int i = 0; i < 60; ++i) {
    r.job(i, i % 2 == 0 ? 4 : 16, 30, 75);
    r.run(9);
  }
  r.run(700);
}

// Incident of the day with many losses: nearly all scans were done, but three quarters of them a little late.
TEST(shortage, most_jobs_are_in_time_instead_of_all_a_little_late) {
  Rush before{0};
  rush(before);
  Rush now{40};
  rush(now);
  EXPECT_LT(before.in_time(), 20U);
  EXPECT_GT(now.in_time(), 30U);
  EXPECT_EQ(60U, now.done()) << "what could not be in time is done in the end";
}

// Without a shortage nothing is told apart.
TEST(shortage, where_all_can_be_in_time_it_changes_nothing) {
  for (const double weight : {0.0, 40.0}) {
    Rush r{weight};
    for (int i = 0; i < 20; ++i) {
      r.job(i, i % 2 == 0 ? 4 : 10, 30, 75);
      r.run(30);
    }
    r.run(100);
    EXPECT_EQ(20U, r.in_time());
  }
}

}  // namespace
}  // namespace martenwall
