#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "core/leadership/retry_after.hpp"
#include "core/model/model.hpp"
#include "core/persistence/write_queue.hpp"
#include "core/placement/heuristics.hpp"

namespace martenwall {
namespace {

RC_GTEST_PROP(done_set, behaves_like_a_set_of_indices, (const std::vector<std::uint8_t>& indices)) {
  DoneSet set;
  std::set<std::uint32_t> model;
  for (const auto i : indices) RC_ASSERT(set.insert(i) == model.insert(i).second);
  for (std::uint32_t i = 0; i < 256; ++i) RC_ASSERT(set.contains(i) == model.contains(i));
  RC_ASSERT(set.count() == model.size());
  // Restored from the ranges of its parts, the set is equal.
  DoneSet restored;
  for (std::uint32_t first = 0; first < 256; first += 40) {
    for (const auto& range : set.ranges_in(first, first + 39)) restored.insert_range(range);
  }
  RC_ASSERT(restored == set);
}

// Each unfinished task is either pending or placed, for any order of assignments, returns and completions.
RC_GTEST_PROP(job, its_tasks_are_pending_placed_or_done,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps)) {
  Job job;
  job.spec.tasks = 12;
  for (const auto& [action, task] : steps) {
    const std::uint32_t index = task % 12;
    if (action % 3 == 0) {
      if (const auto next = job.next_pending()) job.assign(*next, MachineId{"m"});
    } else if (job.placed.contains(index)) {
      if (action % 3 == 1) {
        job.return_to_pending(index);
      } else {
        job.done.insert(index);
        job.placed.erase(index);
      }
    }
    RC_ASSERT(job.pending_tasks() + job.placed.size() + job.done.count() == 12U);
    if (const auto next = job.next_pending()) RC_ASSERT(!job.placed.contains(*next) && !job.done.contains(*next));
  }
}

RC_GTEST_PROP(placement, only_moves_forward, (const std::vector<std::uint8_t>& states)) {
  Placement p{TaskId{JobId{"job-1"}, 0}, Attempt{1}, Generation{1}, Time{}};
  for (const auto s : states) {
    const auto before = p.state();
    const bool moved = p.transition_to(static_cast<TaskState>(s % 7), Time{});
    RC_ASSERT(p.state() >= before);
    RC_ASSERT(moved == (p.state() == static_cast<TaskState>(s % 7)));
  }
}

TEST(machine, once_releasing_never_serves_again) {
  Machine m{MachineId{"i-1"}};
  m.has_reported = true;
  EXPECT_TRUE(m.transition_to(MachinePhase::up, Time{}));
  EXPECT_TRUE(m.accepts_starts());
  EXPECT_TRUE(m.transition_to(MachinePhase::releasing, Time{}));
  EXPECT_FALSE(m.transition_to(MachinePhase::up, Time{}));
  EXPECT_FALSE(m.accepts_starts());
}

RC_GTEST_PROP(machine, image_cache_keeps_the_most_recent_that_fit, (const std::vector<std::uint8_t>& uses)) {
  Machine m{MachineId{"i-1"}};
  for (const auto u : uses) {
    const ImageId id{u % 9U};
    m.touch_image(id, 10, 35);
    RC_ASSERT(m.has_image(id));
    RC_ASSERT(m.images.size() <= 3U);
  }
}

TEST(deadline_curve, rises_from_min_at_the_start_to_max_at_the_deadline_and_drops) {
  const Policy p;
  EXPECT_DOUBLE_EQ(p.deadline_min,
                   deadline_curve(p, 300 - p.deadline_k * 100, 300, 100));  // at t = Deadline - k * Nxtime
  EXPECT_DOUBLE_EQ((p.deadline_max + p.deadline_min) / 2, deadline_curve(p, 300 - p.deadline_k * 50, 300, 100));
  EXPECT_DOUBLE_EQ(p.deadline_max, deadline_curve(p, 300, 300, 100));
  EXPECT_DOUBLE_EQ(p.deadline_min, deadline_curve(p, 300.1, 300, 100));
}

struct TwoJobsAndMachines {
  Policy policy;
  Job early, late;
  MachineType type{"g", {8, 2, 64}, 50, 1, 10, 3, 40, {"a"}};
  Machine one{MachineId{"i-1"}}, two{MachineId{"i-2"}};
  PlacementProblem problem{Time{seconds(1000)}, policy, {}, {}};
  TwoJobsAndMachines() {
    for (auto* j : {&early, &late}) {
      j->spec.need = {1, 1, 1};
      j->spec.image = "img";
      j->spec.image_gb = 5;
      j->spec.tasks = 4;
      j->submitted = j->waiting_since = Time{seconds(900)};
      j->spec.estimate_s = 100;
      problem.jobs.push_back({j, 4, false, 100});
    }
    early.spec.deadline_s = 1000;
    late.spec.deadline_s = 210;  // Extime is 200: close to the deadline
    for (auto* j : {&early, &late}) j->reset_urgency();
    problem.add({&one, &type, type.capacity, 10, Priority::best_effort});
    problem.add({&two, &type, type.capacity, 10, Priority::best_effort});
  }
};

TEST(heuristics, the_deadline_curve_weighs_most) {
  TwoJobsAndMachines t;
  ScoreMatrix m{2, 2};
  heuristics::minimal_requirements(t.problem, m);
  heuristics::deadline(t.problem, m);
  EXPECT_NEAR(t.policy.deadline_min, m.at(0, 0), 1e-9);
  EXPECT_GT(m.at(1, 0), 9.0);
  const auto& p = t.policy;
  EXPECT_GT(p.deadline_max, std::max({p.wait_weight, p.input_weight, p.aging_cap, 3 * p.priority_weight,
                                      p.guarantee_weight, p.packing_weight}));
}

TEST(heuristics, a_machine_with_the_image_is_preferred) {
  TwoJobsAndMachines t;
  t.two.touch_image(t.early.image, 5, 50);
  const auto m = build_scores(t.problem);
  EXPECT_GT(m.at(0, 1), m.at(0, 0));
}

// On the generated days of a small site, millisecond differences in the first heartbeats of a few machines decided
// where the first jobs were placed, and thereby the course of the whole day (docs/results.md). The first machine in
// order must be chosen, regardless of which machine reported first.
TEST(heuristics, milliseconds_of_idleness_choose_no_machine) {
  for (const double first : {0.0, 0.1}) {
    TwoJobsAndMachines t;
    t.problem.idle_granularity_s = 3;
    t.one.idle_since = Time{seconds(990 + first)};
    t.two.idle_since = Time{seconds(990.1 - first)};
    const ScoreMatrix m = build_scores(t.problem);
    EXPECT_DOUBLE_EQ(m.at(0, 0), m.at(0, 1));
  }
  TwoJobsAndMachines t;
  t.problem.idle_granularity_s = 3;
  t.one.idle_since = Time{seconds(950)};
  t.two.idle_since = Time{seconds(990)};
  const ScoreMatrix m = build_scores(t.problem);
  EXPECT_LT(m.at(0, 0), m.at(0, 1));  // the machine that idled longer is left idle for scale-in
}

// Users rejected during one outage all retried within one second of its end, and most were rejected again.
RC_GTEST_PROP(retry_after, no_second_is_assigned_more_retries_than_it_can_serve,
              (const std::vector<std::uint8_t>& gaps)) {
  const int rate = *rc::gen::inRange(1, 50);
  const int max_retry_s = *rc::gen::inRange(1, 30);
  RetryAfterPacer pacer{static_cast<double>(rate), max_retry_s};
  Time now{seconds(5)};
  std::map<long, int> users_by_second;
  bool full = false;
  for (const auto gap : gaps) {
    now += seconds(gap < 200 ? 0.0 : (gap - 200) * 0.02);
    full = full || pacer.waiting() >= static_cast<double>(rate) * max_retry_s;
    const int s = pacer.next(now);
    RC_ASSERT(s >= 1 && s <= max_retry_s);
    ++users_by_second[static_cast<long>(to_seconds(now - Time{})) + s];
  }
  // Two retry seconds, counted from the user's request, may overlap one second of this clock.
  for (const auto& [second, users] : users_by_second) RC_ASSERT(full || users <= 2 * rate + 2);
}

TEST(retry_after, a_single_refused_request_retries_at_once_and_a_burst_is_spread_out) {
  RetryAfterPacer pacer{10, 8};
  EXPECT_EQ(1, pacer.next(Time{seconds(1)}));
  EXPECT_EQ(1, pacer.next(Time{seconds(5)}));
  std::map<int, int> users_by_second;
  for (int i = 0; i < 160; ++i) ++users_by_second[pacer.next(Time{seconds(20)})];
  for (int s = 1; s <= 8; ++s) EXPECT_EQ(20, users_by_second[s]) << s;
  EXPECT_EQ(1, pacer.next(Time{seconds(60)}));
}

TEST(heuristics, a_reserved_machine_fits_only_its_job) {
  TwoJobsAndMachines t;
  t.one.reserved_for = JobId{"job-other"};
  t.one.reserved_until = t.problem.now + seconds(5);
  const auto m = build_scores(t.problem);
  EXPECT_FALSE(m.allowed(0, 0));
  EXPECT_TRUE(m.allowed(0, 1));
}

RowKey row_of(int i) { return {RowKind::tasks, "job-" + std::to_string(i), 0}; }

// On the visitors day, 20 guests a second requested more changes than the store accepts, and the starts of all users
// waited up to 36 s behind them.
RC_GTEST_PROP(write_queue, a_flood_of_best_effort_rows_leaves_others_their_share, ()) {
  const auto best_effort_rows = *rc::gen::inRange(1, 300);
  const auto foreground_rows = *rc::gen::inRange(1, 300);
  const auto max_rows = *rc::gen::inRange<std::size_t>(1, 40);
  WriteQueue q;
  const Time now{seconds(100)};
  for (int i = 0; i < best_effort_rows; ++i) q.add(row_of(i), now - seconds(50), WritePriority::best_effort);
  for (int i = 0; i < foreground_rows; ++i) q.add(row_of(1000 + i), now, WritePriority::foreground);
  const auto taken = q.pop_due(max_rows, true, now);
  const auto n = static_cast<std::size_t>(
      std::ranges::count_if(taken, [](const RowKey& k) { return k.id.size() == row_of(1000).id.size(); }));
  const auto all = static_cast<std::size_t>(best_effort_rows + foreground_rows);
  RC_ASSERT(taken.size() == std::min(max_rows, all));
  RC_ASSERT(n >= std::min<std::size_t>(static_cast<std::size_t>(foreground_rows),
                                       max_rows - std::max<std::size_t>(1, max_rows / 4)));
  RC_ASSERT(taken.size() - n >= 1U);  // best-effort rows are not starved either
}

// Compares the queue with a model: each row is popped once for each time that it was queued while not being written,
// never before it is due, and not while a write of it is in progress.
RC_GTEST_PROP(write_queue, gives_each_row_once, (const std::vector<std::uint16_t>& steps)) {
  WriteQueue q;
  std::map<RowKey, Time> queued;
  std::set<RowKey> in_progress;
  Time now{seconds(100)};
  for (const auto step : steps) {
    const auto key = row_of(step % 7);
    now += seconds(0.1);
    if (step % 3 == 0) {
      const Time due = now + seconds(step % 5);
      q.add(key, due, static_cast<WritePriority>(step % 2));
      const auto [it, inserted] = queued.emplace(key, due);
      if (!inserted) it->second = std::min(it->second, due);
    } else if (step % 3 == 1) {
      for (const auto& k : q.pop_due(3, true, now)) {
        RC_ASSERT(queued.contains(k) && queued.at(k) <= now);
        RC_ASSERT(in_progress.insert(k).second);
        queued.erase(k);
      }
    } else {
      q.finish_write(key);
      in_progress.erase(key);
    }
    RC_ASSERT(q.contains(key) == (queued.contains(key) || in_progress.contains(key)));
  }
}

}  // namespace
}  // namespace martenwall
