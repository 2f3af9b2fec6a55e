// Rows of tasks that are replaced, divided and removed one write at a time: after any of them a new leader reads from
// the store all that may be on a machine, all that is done, and which attempts were used.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/scheduler/scheduler.hpp"
#include "worker_reports.hpp"

namespace martenwall {
namespace {

struct SplitRowFixture {
  Time now{seconds(1000)};
  std::map<RowKey, TaskRow> store;
  std::map<std::uint32_t, Attempt> on_machine;  // as the worker has it
  std::set<std::uint32_t> ended;                // done, still reported
  std::set<std::uint32_t> reaped;               // done and forgotten by the worker
  std::uint64_t most_used = 0;
  std::vector<RowWrite> under_way;
  bool over = false;
  std::uint64_t sequence = 0;
  Scheduler scheduler{options(false), [](const std::string&) {}};

  static Scheduler::Options options(bool spans) {
    Scheduler::Options out;
    out.timings = {3, 19, 50, 4, 39};
    out.teams = {{"red", {0, 4, 0}, {0, 1e6, 0}}};
    out.token = FencingToken{50};
    out.range_rows = spans;
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
    auto r = report_of("i-1", HeartbeatSequence{++sequence});
    for (const auto& [index, attempt] : on_machine) {
      const bool over_now = ended.contains(index);
      r.tasks.push_back({TaskId{JobId{"job-1"}, index}, attempt, over_now ? TaskState::ended : TaskState::running,
                         over_now ? ExitCause::done : ExitCause::none, false});
    }
    for (const auto& o : scheduler.on_heartbeat(r, StatusSource::heartbeat, now, true)) {
      if (o.verb == Command::Verb::start) {
        on_machine.emplace(o.task.index, o.attempt);
        most_used = std::max(most_used, o.attempt.value());
      } else if (o.verb == Command::Verb::forget) {
        on_machine.erase(o.task.index);
        ended.erase(o.task.index);
        reaped.insert(o.task.index);
      }
    }
    scheduler.on_heartbeat_answered(r.machine, now);
  }
  void finish(std::uint8_t which) {
    for (const auto& [index, attempt] : on_machine) {
      if (index % 5 == which % 5) ended.insert(index);
    }
  }
  // One row, one transaction; several are under way, and they end in any order. Or a row is called too large.
  void take() {
    for (auto& row : scheduler.take_writes(2, true, now + seconds(10))) under_way.push_back(std::move(row));
  }
  void complete(std::size_t which, bool too_large) {
    if (under_way.empty()) return;
    const auto it = under_way.begin() + static_cast<std::ptrdiff_t>(which % under_way.size());
    const RowWrite row = *it;
    under_way.erase(it);
    if (too_large && row.key.kind == RowKind::tasks && row.tasks && scheduler.split_row(row, now)) return;
    if (row.final_job) over = true;
    if (row.tasks) store.insert_or_assign(row.key, *row.tasks);
    if (!row.tasks && row.key.kind != RowKind::machines) store.erase(row.key);
    scheduler.on_rows_stored({row}, now);
  }
  void check(bool spans) const {
    if (over) return;
    Scheduler next{options(spans), [](const std::string&) {}};
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
    RC_ASSERT(read->next_attempt > most_used);
  }
};

RC_GTEST_PROP(task_rows, splitting_a_row_loses_nothing_whenever_a_leader_crashes,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps)) {
  SplitRowFixture w;
  const auto gate = *rc::gen::inRange<std::size_t>(0, 40);
  w.send_heartbeat();
  bool spans = false;
  for (std::size_t i = 0; i < std::max<std::size_t>(steps.size() * 3, 90); ++i) {
    const auto [what, which] =
        steps.empty() ? std::pair<std::uint8_t, std::uint8_t>{i % 7, i % 5} : steps[i % steps.size()];
    if (i == gate) {
      w.scheduler.use_range_rows(w.now);
      spans = true;
    }
    w.now += seconds(0.5);
    if (i % 4 == 0) w.scheduler.run_cycle(w.now);
    if (what % 7 == 0) w.finish(which);
    if (what % 7 == 1) w.scheduler.set_row_sizes(1 + which % 6, 25);
    if (what % 3 == 0) w.send_heartbeat();
    if (w.under_way.size() < 4) w.take();
    if (which % 3 != 0) w.complete(which + i, what % 5 == 2);
    w.check(spans);
  }
}

// Two rows by number are under way as the gate is passed, and only the first is stored: a span that reached into the
// second would count as stored with it, and its tasks would start without a record.
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
  w.send_heartbeat();  // the first row changes once more, after all of the second
  const auto again = w.scheduler.take_writes(1, false, w.now + seconds(10));
  ASSERT_EQ(1U, again.size());
  ASSERT_EQ(0U, again[0].key.part);
  w.scheduler.use_range_rows(w.now);
  w.scheduler.on_rows_stored(again, w.now);
  w.send_heartbeat();
  for (const auto& [index, attempt] : w.on_machine) EXPECT_LT(index, 9U);
}

// What a row by number still says of an index that a later row tells of is old.
TEST(task_rows, the_row_that_begins_last_counts) {
  Scheduler next{SplitRowFixture::options(true), [](const std::string&) {}};
  next.load_job(SplitRowFixture::job(), Time{seconds(1000)});
  const auto row = [](std::uint32_t first, std::uint32_t size, std::uint32_t held, bool legacy) {
    TaskRow r;
    r.job = JobId{"job-1"};
    r.first = first;
    r.size = size;
    r.is_v1 = legacy;
    r.team = "red";
    r.next_attempt = 9;
    r.placed = {{held, Attempt{8}, MachineId{"i-1"}, "a"}};
    return r;
  };
  next.load_tasks(row(4, 4, 4, false), Time{seconds(1000)});
  next.load_tasks(row(0, 8, 5, false), Time{seconds(1000)});
  next.load_tasks(row(0, 9, 3, true), Time{seconds(1000)});
  auto last = row(0, 9, 8, true);
  next.load_tasks(last, Time{seconds(1000)});
  next.finish_load(Time{seconds(1000)});
  std::set<std::uint32_t> placed;
  for (const auto& [index, id] : next.find_job(JobId{"job-1"})->placed) placed.insert(index);
  EXPECT_EQ((std::set<std::uint32_t>{4, 8}), placed);
}

}  // namespace
}  // namespace martenwall
