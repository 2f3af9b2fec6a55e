// Jobs with dependencies: none may start too early, be forgotten, or remain after a cancellation of a job that it
// depends on.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/scheduler/scheduler.hpp"
#include "worker_reports.hpp"

namespace martenwall {
namespace {

struct DependencyFixture {
  Time now{seconds(1000)};
  std::vector<std::string> lines;
  Scheduler scheduler;
  std::map<JobId, JobPhase> stored_ends;  // final phases in the store

  DependencyFixture() : scheduler(options(), [this](const std::string& line) { lines.push_back(line); }) {
    scheduler.set_types({{"g", {8, 4, 64}, 50, 1, 10, 3, 40, {"a"}}});
  }
  static Scheduler::Options options() {
    Scheduler::Options out;
    out.timings = {3, 19, 50, 4, 39};
    out.teams = {{"red", {0, 4, 0}, {0, 40, 0}}, {"wide", {}, {0, 1e6, 0}}};
    out.token = FencingToken{50};
    return out;
  }
  Job make_job(int n, const std::vector<int>& dependencies, double gpus = 1) const {
    Job j;
    j.spec.id = id(n);
    j.spec.team = "red";
    j.spec.job_class = "x";
    j.spec.need = {1, gpus, 1};
    j.spec.image = "img";
    for (const int a : dependencies) j.spec.dependencies.push_back(id(a));
    j.dependent = !dependencies.empty();
    j.submitted = now;
    return j;
  }
  static JobId id(int n) { return JobId{"job-" + std::to_string(n)}; }
  void add(int n, const std::vector<int>& dependencies, double gpus = 1) {
    scheduler.add_job(make_job(n, dependencies, gpus), now);
  }
  JobPhase phase(int n) const {
    const auto* j = scheduler.find_job(id(n));
    return j == nullptr ? stored_ends.at(id(n)) : j->phase;
  }
  std::vector<RowWrite> take_writes() { return scheduler.take_writes(100, true, now + seconds(10)); }
  void store(const std::vector<RowWrite>& rows) {
    for (const auto& w : rows) {
      if (w.final_job) stored_ends[w.final_job->id] = w.final_job->phase;
    }
    scheduler.on_rows_stored(rows, now);
  }
  void store_all() {
    for (auto rows = take_writes(); !rows.empty(); rows = take_writes()) store(rows);
  }
  void report(std::vector<TaskStatus> tasks) {
    auto heartbeat = report_of("i-1", HeartbeatSequence{++sequence_});
    heartbeat.tasks = std::move(tasks);
    scheduler.on_heartbeat(heartbeat, StatusSource::heartbeat, now, true);
    scheduler.on_heartbeat_answered(heartbeat.machine, now);
  }
  void finish(int n) { report({{TaskId{id(n), 0}, Attempt{1}, TaskState::ended, ExitCause::done, false}}); }
  // Places, starts and completes the task of the job; its end is not stored yet.
  void run(int n) {
    report({});
    scheduler.run_cycle(now);
    store_all();
    finish(n);
  }

 private:
  std::uint64_t sequence_ = 0;
};

TEST(dependencies, a_job_starts_only_after_the_end_of_its_dependencies_is_stored) {
  DependencyFixture fixture;
  fixture.add(1, {});
  fixture.add(2, {1});
  EXPECT_EQ(JobPhase::blocked, fixture.phase(2));
  EXPECT_EQ(JobPhase::pending, fixture.scheduler.status(DependencyFixture::id(2))->phase);
  fixture.run(1);
  EXPECT_EQ(JobPhase::done, fixture.phase(1));
  fixture.scheduler.run_cycle(fixture.now);
  EXPECT_EQ(JobPhase::blocked, fixture.phase(2)) << "the end is in memory only: a new leader would not know it";
  EXPECT_TRUE(fixture.scheduler.find_job(DependencyFixture::id(2))->placed.empty());
  fixture.store_all();
  EXPECT_EQ(JobPhase::pending, fixture.phase(2));
  fixture.scheduler.run_cycle(fixture.now);
  EXPECT_EQ(1U, fixture.scheduler.find_job(DependencyFixture::id(2))->placed.size());
}

// A job within its team's guarantee may preempt what another team borrowed, so the guarantee must not be used up by
// blocked jobs.
TEST(dependencies, a_job_with_open_dependencies_uses_none_of_its_teams_guaranteed_quota) {
  DependencyFixture fixture;
  Job guest = fixture.make_job(9, {}, 4);
  guest.spec.team = "wide";
  fixture.scheduler.add_job(guest, fixture.now);
  fixture.report({});
  fixture.scheduler.run_cycle(fixture.now);
  fixture.store_all();
  fixture.report({});
  fixture.report({{TaskId{DependencyFixture::id(9), 0}, Attempt{1}, TaskState::running, ExitCause::none, false}});
  fixture.add(1, {}, 0);
  fixture.add(2, {1}, 4);  // if counted, it would use up the guarantee of 4
  fixture.add(3, {});
  fixture.scheduler.run_cycle(fixture.now);
  EXPECT_EQ(2U, fixture.scheduler.last_cycle_size().jobs);
  const auto& placed = fixture.scheduler.machines().at(MachineId{"i-1"}).placements;
  EXPECT_TRUE(placed.front().task.job == DependencyFixture::id(9) && placed.front().stop_requested);
}

TEST(dependencies, a_stored_cancellation_cancels_all_dependents) {
  DependencyFixture fixture;
  fixture.add(1, {});
  fixture.add(2, {1});
  fixture.add(3, {2});
  fixture.add(4, {1, 3});
  fixture.add(5, {});
  ASSERT_TRUE(fixture.scheduler.cancel(DependencyFixture::id(1), fixture.now));
  // The ends of dependent jobs must not be stored before that of the root: if this leader ended in between, the store
  // would not show why they were cancelled.
  const auto first = fixture.take_writes();
  ASSERT_EQ(1U, first.size());
  EXPECT_EQ(DependencyFixture::id(1), first[0].final_job->id);
  EXPECT_EQ(JobPhase::blocked, fixture.phase(2));
  fixture.store(first);
  EXPECT_FALSE(fixture.scheduler.is_cascade_stored(DependencyFixture::id(1)));
  for (const int n : {2, 3, 4}) {
    const auto status = fixture.scheduler.status(DependencyFixture::id(n));
    EXPECT_TRUE(status && status->phase == JobPhase::cancelled)
        << n << ": its end is not stored yet, but it is certain and must not be reported as active";
    EXPECT_FALSE(fixture.stored_ends.contains(DependencyFixture::id(n)));
  }
  fixture.store_all();
  EXPECT_TRUE(fixture.scheduler.is_cascade_stored(DependencyFixture::id(1)));
  for (const int n : {1, 2, 3, 4}) EXPECT_EQ(JobPhase::cancelled, fixture.stored_ends.at(DependencyFixture::id(n)));
  EXPECT_FALSE(fixture.stored_ends.contains(DependencyFixture::id(5)));
}

TEST(dependencies, a_job_added_to_a_cascade_whose_ends_are_not_stored_is_not_called_pending) {
  DependencyFixture fixture;
  fixture.add(1, {});
  fixture.add(2, {1});
  fixture.add(3, {2});
  ASSERT_TRUE(fixture.scheduler.cancel(DependencyFixture::id(1), fixture.now));
  fixture.store(fixture.take_writes());
  ASSERT_FALSE(fixture.scheduler.is_cascade_stored(DependencyFixture::id(1)));
  fixture.add(4, {3});
  const auto status = fixture.scheduler.status(DependencyFixture::id(4));
  EXPECT_TRUE(status && status->phase == JobPhase::cancelled) << "the store's backlog may last longer than cancel_s";
  fixture.store_all();
  for (const int n : {1, 2, 3, 4}) EXPECT_EQ(JobPhase::cancelled, fixture.stored_ends.at(DependencyFixture::id(n)));
}

TEST(dependencies, a_dependent_of_a_job_that_was_cancelled_twice_is_not_called_pending_until_that_end_is_stored) {
  DependencyFixture fixture;
  fixture.add(1, {});
  fixture.add(2, {1});
  fixture.add(3, {2});
  ASSERT_TRUE(fixture.scheduler.cancel(DependencyFixture::id(1), fixture.now));
  const auto end_of_root = fixture.take_writes();
  ASSERT_TRUE(fixture.scheduler.cancel(DependencyFixture::id(2), fixture.now));
  fixture.store(end_of_root);
  for (const int n : {2, 3}) {
    const auto status = fixture.scheduler.status(DependencyFixture::id(n));
    EXPECT_TRUE(status && status->phase == JobPhase::cancelled) << n;
  }
  fixture.store_all();
  EXPECT_TRUE(fixture.scheduler.is_cascade_stored(DependencyFixture::id(1)));
  for (const int n : {1, 2, 3}) EXPECT_EQ(JobPhase::cancelled, fixture.stored_ends.at(DependencyFixture::id(n)));
}

TEST(dependencies, a_cancellation_that_lost_to_completion_cancels_no_dependents) {
  DependencyFixture fixture;
  fixture.add(1, {});
  fixture.add(2, {1});
  fixture.run(1);
  fixture.scheduler.cancel(DependencyFixture::id(1), fixture.now);
  fixture.store_all();
  EXPECT_EQ(JobPhase::done, fixture.stored_ends.at(DependencyFixture::id(1)));
  EXPECT_EQ(JobPhase::pending, fixture.phase(2));
}

TEST(dependencies, an_unknown_dependency_is_looked_up_and_waited_for) {
  DependencyFixture fixture;
  fixture.add(3, {1, 2});
  EXPECT_EQ((std::vector{DependencyFixture::id(1), DependencyFixture::id(2)}), fixture.scheduler.take_lookups());
  EXPECT_TRUE(fixture.scheduler.take_lookups().empty());
  EXPECT_FALSE(fixture.scheduler.status(DependencyFixture::id(3))) << "one of them may be cancelled";
  fixture.scheduler.on_dependency_end_found(DependencyFixture::id(1), JobPhase::done, fixture.now);
  fixture.scheduler.retry_lookup(DependencyFixture::id(2));
  EXPECT_EQ(std::vector{DependencyFixture::id(2)}, fixture.scheduler.take_lookups());
  EXPECT_EQ(JobPhase::blocked, fixture.phase(3));
  fixture.scheduler.on_dependency_end_found(DependencyFixture::id(2), JobPhase::done, fixture.now);
  EXPECT_EQ(JobPhase::pending, fixture.phase(3));
}

TEST(dependencies, a_job_that_depends_on_a_cancelled_one_is_cancelled_at_once) {
  DependencyFixture fixture;
  fixture.add(2, {1});
  fixture.add(3, {2});
  (void)fixture.scheduler.take_lookups();
  fixture.scheduler.on_dependency_end_found(DependencyFixture::id(1), JobPhase::cancelled, fixture.now);
  fixture.store_all();
  EXPECT_EQ(JobPhase::cancelled, fixture.stored_ends.at(DependencyFixture::id(2)));
  EXPECT_EQ(JobPhase::cancelled, fixture.stored_ends.at(DependencyFixture::id(3)));
}

// Only the last job of a pipeline has the deadline and the priority that matter to its user.
TEST(dependencies, a_job_is_as_urgent_as_its_most_urgent_dependent) {
  DependencyFixture fixture;
  fixture.add(1, {});
  Job last = fixture.make_job(3, {2});
  last.spec.priority = Priority::high;
  last.spec.deadline_s = 100;
  last.spec.estimate_s = 10;
  Job middle = fixture.make_job(2, {1});
  middle.spec.estimate_s = 20;
  fixture.scheduler.add_job(middle, fixture.now);
  fixture.scheduler.add_job(last, fixture.now);
  const auto& first = *fixture.scheduler.find_job(DependencyFixture::id(1));
  EXPECT_EQ(Priority::high, first.priority);
  ASSERT_TRUE(first.effective_deadline.has_value());
  EXPECT_LT(*first.effective_deadline, fixture.now + seconds(100 - 10 - 20));
  EXPECT_GT(*first.effective_deadline, fixture.now + seconds(100 - 10 - 20 - 10));
  fixture.scheduler.cancel(DependencyFixture::id(3), fixture.now);
  EXPECT_EQ(Priority::normal, first.priority);
  EXPECT_FALSE(first.effective_deadline.has_value());
}

// Cancels some jobs of a dependency graph; the leader ends after any number of writes. Its successor, which knows only
// what is stored, must reach the same result: a job is cancelled if and only if it depends on one that a user
// cancelled.
RC_GTEST_PROP(dependencies, a_new_leader_finishes_cancelling_dependents,
              (const std::vector<std::vector<std::uint8_t>>& graph)) {
  DependencyFixture fixture;
  std::vector<std::vector<int>> dependencies;
  for (const auto& references : graph) {
    const int n = static_cast<int>(dependencies.size());
    dependencies.emplace_back();
    for (const auto reference : references) {
      if (n > 0) dependencies.back().push_back(reference % n);
    }
    std::ranges::sort(dependencies.back());
    const auto duplicates = std::ranges::unique(dependencies.back());
    dependencies.back().erase(duplicates.begin(), duplicates.end());
    fixture.add(n, dependencies.back());
  }
  const int count = static_cast<int>(dependencies.size());
  RC_PRE(count > 0);
  std::set<int> cancelled;
  for (const int n : *rc::gen::container<std::vector<int>>(2, rc::gen::inRange(0, count))) {
    if (!fixture.scheduler.cancel(DependencyFixture::id(n), fixture.now)) continue;
    cancelled.insert(n);
  }
  const auto writes = *rc::gen::inRange(0, 6);
  for (int i = 0; i < writes; ++i) {
    const auto some = fixture.scheduler.take_writes(1, true, fixture.now);
    fixture.store(some);
  }
  std::set<int> expected;
  for (int n = 0; n < count; ++n) {
    const bool is_stored = cancelled.contains(n) && fixture.stored_ends.contains(DependencyFixture::id(n));
    const bool depends_on_cancelled =
        std::ranges::any_of(dependencies[static_cast<std::size_t>(n)], [&](int a) { return expected.contains(a); });
    if (is_stored || depends_on_cancelled) expected.insert(n);
  }
  DependencyFixture next;
  next.stored_ends = fixture.stored_ends;
  for (int n = 0; n < count; ++n) {
    if (!fixture.stored_ends.contains(DependencyFixture::id(n)))
      next.scheduler.load_job(next.make_job(n, dependencies[static_cast<std::size_t>(n)]), next.now);
  }
  next.scheduler.finish_load(next.now);
  for (int i = 0; i < 3; ++i) {
    for (const auto& id : next.scheduler.take_lookups())
      next.scheduler.on_dependency_end_found(id, next.stored_ends.at(id), next.now);
    next.store_all();
  }
  for (int n = 0; n < count; ++n) {
    const auto end = next.stored_ends.find(DependencyFixture::id(n));
    RC_ASSERT((end != next.stored_ends.end()) == expected.contains(n));
    if (end != next.stored_ends.end()) RC_ASSERT(end->second == JobPhase::cancelled);
  }
}

}  // namespace
}  // namespace martenwall
