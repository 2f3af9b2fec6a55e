// Distinguishes jobs whose tasks always fail from machines on which every task fails.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/scheduler/scheduler.hpp"
#include "worker_reports.hpp"

namespace martenwall {
namespace {

struct FailureFixture {
  Time now{seconds(1000)};
  std::uint64_t sequence = 0;
  Scheduler scheduler{options(), [](const std::string&) {}};
  std::set<MachineId> faulty_machines;
  std::set<JobId> failing_jobs;
  std::map<MachineId, std::vector<TaskStatus>> tasks;
  std::map<JobId, std::size_t> attempts;

  static Scheduler::Options options() {
    Scheduler::Options out;
    out.teams = {{"red", {}, {0, 1e6, 0}}};
    out.token = FencingToken{50};
    out.policy.direct_starts = false;
    return out;
  }
  explicit FailureFixture(int machines) {
    scheduler.set_types({{"g", {8, 4, 64}, 50, 1, 10, 3, 40, {"a", "b"}}});
    for (int i = 0; i < machines; ++i) tasks[MachineId{"i-" + std::to_string(i)}];
  }
  void submit_job(const char* id, JobKind kind, std::uint32_t n, Priority priority = Priority::normal) {
    Job j;
    j.spec.id = JobId{id};
    j.spec.team = "red";
    j.spec.job_class = "x";
    j.spec.kind = kind;
    j.spec.priority = priority;
    j.spec.tasks = n;
    j.spec.need = {1, kind == JobKind::gang ? 4.0 : 1.0, 1};
    j.submitted = now;
    scheduler.add_job(j, now);
  }
  void execute(const MachineId& id, const Command& command) {
    auto& list = tasks[id];
    std::erase_if(list, [&](const auto& t) { return t.task == command.task && t.attempt == command.attempt; });
    if (command.verb == Command::Verb::forget) return;
    TaskStatus t{command.task, command.attempt, TaskState::ended, ExitCause::done};
    if (command.verb == Command::Verb::stop) t.cause = ExitCause::stopped;
    if (command.verb == Command::Verb::start) {
      ++attempts[command.task.job];
      if (faulty_machines.contains(id) || failing_jobs.contains(command.task.job)) t.cause = ExitCause::error;
    }
    list.push_back(t);
  }
  // Runs heartbeats of all machines, cycles and writes. A task ends as soon as it is started.
  void run_for(double duration_s) {
    for (const Time until = now + seconds(duration_s); now < until; now += seconds(1)) {
      for (auto& [id, list] : tasks) {
        auto heartbeat = report_of(id.value(), HeartbeatSequence{++sequence});
        heartbeat.tasks = list;
        const auto commands = scheduler.on_heartbeat(heartbeat, StatusSource::heartbeat, now, true);
        scheduler.on_heartbeat_answered(id, now);
        for (const auto& command : commands) execute(id, command);
      }
      scheduler.run_cycle(now);
      (void)scheduler.take_scale_out_requests();
      for (auto rows = scheduler.take_writes(200, true, now + seconds(5)); !rows.empty();
           rows = scheduler.take_writes(200, true, now + seconds(5))) {
        scheduler.on_rows_stored(rows, now);
      }
    }
  }
  [[nodiscard]] bool is_unfinished(const JobId& id) const { return scheduler.find_job(id) != nullptr; }
  [[nodiscard]] std::size_t quarantined() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(scheduler.machines(), [](const auto& m) { return m.second.quarantined; }));
  }
};

// On the operations days, four in a hundred jobs fail on every machine: each retry preempted tasks of other jobs, and
// the failures caused machines to be quarantined.
TEST(failure_attribution, jobs_that_always_fail_quarantine_no_machine_and_are_retried_seldom) {
  FailureFixture fixture{8};
  fixture.run_for(2);
  for (const char* id : {"job-1", "job-2", "job-3", "job-4"}) {
    fixture.failing_jobs.insert(JobId{id});
    fixture.submit_job(id, id[4] % 2 == 0 ? JobKind::gang : JobKind::array, 4);
  }
  fixture.run_for(120);
  EXPECT_EQ(0U, fixture.quarantined());
  for (const auto& id : fixture.failing_jobs) {
    const auto* job = fixture.scheduler.find_job(id);
    ASSERT_NE(nullptr, job);
    EXPECT_TRUE(job->suspect) << id.value();
    EXPECT_LT(fixture.attempts[id], 40U) << id.value();
  }
  fixture.submit_job("job-9", JobKind::array, 40);
  fixture.run_for(30);
  EXPECT_EQ(nullptr, fixture.scheduler.find_job(JobId{"job-9"})) << "other jobs must complete";
}

TEST(failure_attribution, a_machine_that_fails_everything_is_found_and_no_job_is_suspected) {
  FailureFixture fixture{6};
  fixture.faulty_machines.insert(MachineId{"i-0"});
  fixture.run_for(2);
  for (int i = 0; i < 20; ++i) fixture.submit_job(("job-" + std::to_string(i)).c_str(), JobKind::array, 6);
  fixture.run_for(90);
  EXPECT_TRUE(fixture.scheduler.jobs().empty());
  const auto m = fixture.scheduler.machines().find(MachineId{"i-0"});
  EXPECT_TRUE(m == fixture.scheduler.machines().end() || m->second.quarantined);
  EXPECT_LE(fixture.quarantined(), 1U);
}

// A job whose first tasks failed by chance must be cleared by its first success.
TEST(failure_attribution, one_success_clears_the_suspicion) {
  FailureFixture fixture{8};
  fixture.run_for(2);
  fixture.failing_jobs.insert(JobId{"job-1"});
  fixture.submit_job("job-1", JobKind::array, 30);
  fixture.run_for(5);
  const auto* job = fixture.scheduler.find_job(JobId{"job-1"});
  ASSERT_NE(nullptr, job);
  ASSERT_TRUE(job->suspect);
  fixture.failing_jobs.clear();
  fixture.run_for(40);
  EXPECT_EQ(nullptr, fixture.scheduler.find_job(JobId{"job-1"})) << "the job is finished";
}

// A takeover must not discard what was learned: the next leader reads it from the task row of the job.
TEST(failure_attribution, a_new_leader_knows_the_suspected_jobs) {
  FailureFixture fixture{8};
  Job j;
  j.spec.id = JobId{"job-1"};
  j.spec.team = "red";
  j.spec.tasks = 10;
  j.spec.need = {1, 1, 1};
  fixture.scheduler.load_job(j, fixture.now);
  TaskRow row;
  row.job = JobId{"job-1"};
  row.size = 10;
  row.team = "red";
  row.need = {1, 1, 1};
  row.failed_machines = 3;
  fixture.scheduler.load_tasks(row, fixture.now);
  fixture.scheduler.finish_load(fixture.now);
  EXPECT_TRUE(fixture.scheduler.find_job(JobId{"job-1"})->suspect);
}

// For any number of faulty machines and failing jobs, every job that can complete completes.
RC_GTEST_PROP(failure_attribution, every_job_that_can_succeed_completes, ()) {
  FailureFixture fixture{10};
  fixture.run_for(2);
  const auto faulty_machines = *rc::gen::inRange(0, 4);
  for (int i = 0; i < faulty_machines; ++i) fixture.faulty_machines.insert(MachineId{"i-" + std::to_string(i)});
  const auto can_succeed = *rc::gen::container<std::vector<bool>>(12, rc::gen::arbitrary<bool>());
  std::set<JobId> healthy_jobs;
  for (std::size_t i = 0; i < can_succeed.size(); ++i) {
    const auto id = "job-" + std::to_string(i);
    (can_succeed[i] ? healthy_jobs : fixture.failing_jobs).insert(JobId{id});
    fixture.submit_job(id.c_str(), i % 3 == 0 ? JobKind::gang : JobKind::array, 3);
    fixture.run_for(1);
  }
  fixture.run_for(300);
  for (const auto& id : healthy_jobs) RC_ASSERT(!fixture.is_unfinished(id));
  for (const auto& id : fixture.failing_jobs) RC_ASSERT(fixture.is_unfinished(id));
}

}  // namespace
}  // namespace martenwall
