// Task rows that are replaced, split and removed by one write at a time: after any write, a new leader reads from the
// store all tasks that may be on a machine, all that are done, and which attempts were used.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/scheduler/scheduler.hpp"
#include "worker_reports.hpp"

namespace martenwall {
namespace {

struct SplitRowFixture {
  Time now{seconds(1000)};
  std::map<RowKey, TaskRow> store;
  std::map<std::uint32_t, Attempt> on_machine;  // according to the worker
  std::set<std::uint32_t> ended;                // done, still reported by the worker
  std::set<std::uint32_t> reaped;               // done, deleted by the worker
  std::uint64_t max_used_attempt = 0;
  std::vector<RowWrite> writes_in_progress;
  bool job_finished = false;
  std::uint64_t sequence = 0;
  Scheduler scheduler{options(false), [](const std::string&) {}};

  static Scheduler::Options options(bool range_rows) {
    Scheduler::Options out;
    out.timings = {3, 19, 50, 4, 39};
    out.teams = {{"red", {0, 4, 0}, {0, 1e6, 0}}};
    out.token = FencingToken{50};
    out.range_rows = range_rows;
    out.v1_row_size = 9;
    out.range_size = 8;
    return out;
  }
  static Job job() {
    Job j;
    j.spec.id = JobId{"job-1"};
    j.spec.team = "red";
    j.spec.job_class = "x";
    j.spec.tasks = 40;
    j.spec.need = {0.5, 0, 1};
    j.spec.image = "img";
    return j;
  }
  SplitRowFixture() {
    scheduler.set_types({{"g", {8, 4, 64}, 50, 1, 10, 3, 40, {"a"}}});
    scheduler.add_job(job(), now);
  }
  void send_heartbeat() {
    auto heartbeat = report_of("i-1", HeartbeatSequence{++sequence});
    for (const auto& [index, attempt] : on_machine) {
      const bool has_ended = ended.contains(index);
      heartbeat.tasks.push_back({TaskId{JobId{"job-1"}, index}, attempt,
                                 has_ended ? TaskState::ended : TaskState::running,
                                 has_ended ? ExitCause::done : ExitCause::none, false});
    }
    for (const auto& command : scheduler.on_heartbeat(heartbeat, StatusSource::heartbeat, now, true)) {
      if (command.verb == Command::Verb::start) {
        on_machine.emplace(command.task.index, command.attempt);
        max_used_attempt = std::max(max_used_attempt, command.attempt.value());
      } else if (command.verb == Command::Verb::forget) {
        on_machine.erase(command.task.index);
        ended.erase(command.task.index);
        reaped.insert(command.task.index);
      }
    }
    scheduler.on_heartbeat_answered(heartbeat.machine, now);
  }
  void finish(std::uint8_t selector) {
    for (const auto& [index, attempt] : on_machine) {
      if (index % 5 == selector % 5) ended.insert(index);
    }
  }
  // Each row is one transaction. Several are in progress and complete in any order, or a row is refused as too large.
  void take_writes() {
    for (auto& row : scheduler.take_writes(2, true, now + seconds(10))) writes_in_progress.push_back(std::move(row));
  }
  void complete(std::size_t selector, bool too_large) {
    if (writes_in_progress.empty()) return;
    const auto it = writes_in_progress.begin() + static_cast<std::ptrdiff_t>(selector % writes_in_progress.size());
    const RowWrite row = *it;
    writes_in_progress.erase(it);
    if (too_large && row.key.kind == RowKind::tasks && row.tasks && scheduler.split_row(row, now)) return;
    if (row.final_job) job_finished = true;
    if (row.tasks) store.insert_or_assign(row.key, *row.tasks);
    if (!row.tasks && row.key.kind != RowKind::machines) store.erase(row.key);
    scheduler.on_rows_stored({row}, now);
  }
  void check(bool range_rows) const {
    if (job_finished) return;
    Scheduler next{options(range_rows), [](const std::string&) {}};
    next.load_job(job(), now);
    for (auto it = store.rbegin(); it != store.rend(); ++it) {
      if (it->first.kind == RowKind::tasks) next.load_tasks(it->second, now);
    }
    for (const auto& [key, row] : store) {
      if (key.kind == RowKind::tasks_v1) next.load_tasks(row, now);
    }
    next.finish_load(now);
    const auto* read = next.find_job(JobId{"job-1"});
    RC_ASSERT(read != nullptr);
    for (const auto& [index, attempt] : on_machine) {
      RC_ASSERT(read->placed.contains(index) || read->done.contains(index));
    }
    for (const auto index : reaped) RC_ASSERT(read->done.contains(index));
    RC_ASSERT(read->next_attempt > max_used_attempt);
  }
};

RC_GTEST_PROP(task_rows, splitting_a_row_loses_nothing_whenever_a_leader_crashes,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps)) {
  SplitRowFixture w;
  const auto upgrade_step = *rc::gen::inRange<std::size_t>(0, 40);
  w.send_heartbeat();
  bool range_rows = false;
  for (std::size_t i = 0; i < std::max<std::size_t>(steps.size() * 3, 90); ++i) {
    const auto [action, selector] =
        steps.empty() ? std::pair<std::uint8_t, std::uint8_t>{i % 7, i % 5} : steps[i % steps.size()];
    if (i == upgrade_step) {
      w.scheduler.use_range_rows(w.now);
      range_rows = true;
    }
    w.now += seconds(0.5);
    if (i % 4 == 0) w.scheduler.run_cycle(w.now);
    if (action % 7 == 0) w.finish(selector);
    if (action % 7 == 1) w.scheduler.set_row_sizes(1 + selector % 6, 25);
    if (action % 3 == 0) w.send_heartbeat();
    if (w.writes_in_progress.size() < 4) w.take_writes();
    if (selector % 3 != 0) w.complete(selector + i, action % 5 == 2);
    w.check(range_rows);
  }
}

// Two v1 rows are being written when the format is upgraded, and only the first is stored. If a range row reached into
// the second, its tasks would count as stored with it and would start without a record.
TEST(task_rows, a_range_row_is_stored_with_no_other_row_than_its_own) {
  SplitRowFixture w;
  w.send_heartbeat();
  w.scheduler.run_cycle(w.now);
  const auto rows = w.scheduler.take_writes(2, false, w.now);
  ASSERT_EQ(2U, rows.size());
  ASSERT_EQ(RowKind::tasks_v1, rows[1].key.kind);
  w.scheduler.on_rows_stored({rows[0]}, w.now);
  w.send_heartbeat();
  ASSERT_EQ(9U, w.on_machine.size());
  w.ended.insert(0);
  w.send_heartbeat();  // the first row changes again, after the second
  const auto again = w.scheduler.take_writes(1, false, w.now + seconds(10));
  ASSERT_EQ(1U, again.size());
  ASSERT_EQ(0U, again[0].key.part);
  w.scheduler.use_range_rows(w.now);
  w.scheduler.on_rows_stored(again, w.now);
  w.send_heartbeat();
  for (const auto& [index, attempt] : w.on_machine) EXPECT_LT(index, 9U);
}

// An entry of a v1 row for an index is outdated if a later row covers that index.
TEST(task_rows, the_row_that_begins_last_counts) {
  Scheduler next{SplitRowFixture::options(true), [](const std::string&) {}};
  next.load_job(SplitRowFixture::job(), Time{seconds(1000)});
  const auto row = [](std::uint32_t first, std::uint32_t size, std::uint32_t index, bool is_v1) {
    TaskRow r;
    r.job = JobId{"job-1"};
    r.first = first;
    r.size = size;
    r.is_v1 = is_v1;
    r.team = "red";
    r.next_attempt = 9;
    r.placed = {{index, Attempt{8}, MachineId{"i-1"}, "a"}};
    return r;
  };
  next.load_tasks(row(4, 4, 4, false), Time{seconds(1000)});
  next.load_tasks(row(0, 8, 5, false), Time{seconds(1000)});
  next.load_tasks(row(0, 9, 3, true), Time{seconds(1000)});
  auto last_row = row(0, 9, 8, true);
  next.load_tasks(last_row, Time{seconds(1000)});
  next.finish_load(Time{seconds(1000)});
  std::set<std::uint32_t> placed;
  for (const auto& [index, id] : next.find_job(JobId{"job-1"})->placed) placed.insert(index);
  EXPECT_EQ((std::set<std::uint32_t>{4, 8}), placed);
}

}  // namespace
}  // namespace martenwall
