// Jobs submitted with a mistake and machines that fail everything, told apart.
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
  std::map<JobId, std::size_t> tries;

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
  void job(const char* id, JobKind kind, std::uint32_t n, Priority priority = Priority::normal) {
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
  void run(const MachineId& id, const Command& o) {
    auto& list = tasks[id];
    std::erase_if(list, [&](const auto& t) { return t.task == o.task && t.attempt == o.attempt; });
    if (o.verb == Command::Verb::forget) return;
    TaskStatus t{o.task, o.attempt, TaskState::ended, ExitCause::done};
    if (o.verb == Command::Verb::stop) t.cause = ExitCause::stopped;
    if (o.verb == Command::Verb::start) {
      ++tries[o.task.job];
      if (faulty_machines.contains(id) || failing_jobs.contains(o.task.job)) t.cause = ExitCause::error;
    }
    list.push_back(t);
  }
  // Each machine reports, rounds pass, everything is stored; a task ends as soon as it is started.
  void play(double long_s) {
    for (const Time until = now + seconds(long_s); now < until; now += seconds(1)) {
      for (auto& [id, list] : tasks) {
        auto r = report_of(id.value(), HeartbeatSequence{++sequence});
        r.tasks = list;
        const auto commands = scheduler.on_heartbeat(r, StatusSource::heartbeat, now, true);
        scheduler.on_heartbeat_answered(id, now);
        for (const auto& o : commands) run(id, o);
      }
      scheduler.run_cycle(now);
      (void)scheduler.take_scale_out_requests();
      for (auto rows = scheduler.take_writes(200, true, now + seconds(5)); !rows.empty();
           rows = scheduler.take_writes(200, true, now + seconds(5))) {
        scheduler.on_rows_stored(rows, now);
      }
    }
  }
  [[nodiscard]] bool unfinished(const JobId& id) const { return scheduler.find_job(id) != nullptr; }
  [[nodiscard]] std::size_t quarantined() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(scheduler.machines(), [](const auto& m) { return m.second.quarantined; }));
  }
};

// On the operations days four jobs in a hundred fail everywhere: they stopped others' work for each try, and
// machines were condemned on their account.
TEST(failure_attribution, jobs_that_always_fail_quarantine_no_machine_and_are_retried_seldom) {
  FailureFixture fixture{8};
  fixture.play(2);
  for (const char* id : {"job-1", "job-2", "job-3", "job-4"}) {
    fixture.failing_jobs.insert(JobId{id});
    fixture.job(id, id[4] % 2 == 0 ? JobKind::gang : JobKind::array, 4);
  }
  fixture.play(120);
  EXPECT_EQ(0U, fixture.quarantined());
  for (const auto& id : fixture.failing_jobs) {
    const auto* job = fixture.scheduler.find_job(id);
    ASSERT_NE(nullptr, job);
    EXPECT_TRUE(job->suspect) << id.value();
    EXPECT_LT(fixture.tries[id], 40U) << id.value();
  }
  fixture.job("job-9", JobKind::array, 40);
  fixture.play(30);
  EXPECT_EQ(nullptr, fixture.scheduler.find_job(JobId{"job-9"})) << "the others' work must go on";
}

TEST(failure_attribution, a_machine_that_fails_everything_is_found_and_no_job_is_suspected) {
  FailureFixture fixture{6};
  fixture.faulty_machines.insert(MachineId{"i-0"});
  fixture.play(2);
  for (int i = 0; i < 20; ++i) fixture.job(("job-" + std::to_string(i)).c_str(), JobKind::array, 6);
  fixture.play(90);
  EXPECT_TRUE(fixture.scheduler.jobs().empty());
  const auto m = fixture.scheduler.machines().find(MachineId{"i-0"});
  EXPECT_TRUE(m == fixture.scheduler.machines().end() || m->second.quarantined);
  EXPECT_LE(fixture.quarantined(), 1U);
}

// Unlucky at first, it must come back at once with its first result.
TEST(failure_attribution, one_success_clears_the_suspicion) {
  FailureFixture fixture{8};
  fixture.play(2);
  fixture.failing_jobs.insert(JobId{"job-1"});
  fixture.job("job-1", JobKind::array, 30);
  fixture.play(5);
  const auto* job = fixture.scheduler.find_job(JobId{"job-1"});
  ASSERT_NE(nullptr, job);
  ASSERT_TRUE(job->suspect);
  fixture.failing_jobs.clear();
  fixture.play(40);
  EXPECT_EQ(nullptr, fixture.scheduler.find_job(JobId{"job-1"})) << "finished";
}

// A take-over must not start the learning over: the next leader finds it in the job's row.
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

// However many jobs and machines are at fault, all that can be done gets done.
RC_GTEST_PROP(failure_attribution, every_job_that_can_succeed_completes, ()) {
  FailureFixture fixture{10};
  fixture.play(2);
  const auto faulty_machines = *rc::gen::inRange(0, 4);
  for (int i = 0; i < faulty_machines; ++i) fixture.faulty_machines.insert(MachineId{"i-" + std::to_string(i)});
  const auto kinds = *rc::gen::container<std::vector<bool>>(12, rc::gen::arbitrary<bool>());
  std::set<JobId> good;
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    const auto id = "job-" + std::to_string(i);
    (kinds[i] ? good : fixture.failing_jobs).insert(JobId{id});
    fixture.job(id.c_str(), i % 3 == 0 ? JobKind::gang : JobKind::array, 3);
    fixture.play(1);
  }
  fixture.play(300);
  for (const auto& id : good) RC_ASSERT(!fixture.unfinished(id));
  for (const auto& id : fixture.failing_jobs) RC_ASSERT(fixture.unfinished(id));
}

}  // namespace
}  // namespace martenwall
