// Machines that are heard and do not hear.
#include "core/ears.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

#include "core/scheduler.hpp"
#include "worker_reports.hpp"

namespace martenwall {
namespace {

constexpr Duration lease = seconds(15);

// A worker as PROTOCOL describes it, with answers that reach it or not: a plain reference that knows the truth.
RC_GTEST_PROP(ears, a_machine_that_hears_again_is_believed_within_a_lease_and_a_deaf_one_never, ()) {
  Ears ears;
  Time now{seconds(100)};
  Time last_answer = now;
  std::uint64_t session = 1;
  const bool deaf_at_last = *rc::gen::arbitrary<bool>();
  const auto reports = *rc::gen::container<std::vector<bool>>(60, rc::gen::arbitrary<bool>());
  for (std::size_t i = 0; i < reports.size(); ++i) {
    now += seconds(2);
    const bool settled = i >= 30;
    const bool reaches = settled ? !deaf_at_last : reports[i];
    const bool lapsed = now - last_answer > seconds(14);
    if (lapsed) {
      ++session;
      last_answer = now;
    }
    ears.reported(Session{session}, lease, now);
    if (lapsed) ears.missed(now);
    if (reaches) last_answer = now;
  }
  RC_ASSERT(ears.hears() != deaf_at_last);
}

TEST(ears, one_lost_answer_does_not_make_a_machine_deaf) {
  Ears ears;
  ears.reported(Session{1}, lease, Time{seconds(1)});
  ears.missed(Time{seconds(2)});
  EXPECT_EQ(EarState::doubted, ears.state());
  ears.missed(Time{seconds(4)});
  EXPECT_FALSE(ears.deaf());
  ears.heard(Time{seconds(6)});
  EXPECT_TRUE(ears.hears());
  for (int i = 0; i < 2; ++i) ears.missed(Time{seconds(8 + 2 * i)});
  EXPECT_FALSE(ears.deaf()) << "those before it was heard count no more";
  ears.missed(Time{seconds(12)});
  EXPECT_TRUE(ears.deaf());
}

TEST(ears, is_probed_at_a_pace_and_only_in_doubt) {
  Ears ears;
  EXPECT_FALSE(ears.takes_probe(Time{seconds(1)}));
  ears.missed(Time{seconds(2)});
  EXPECT_TRUE(ears.takes_probe(Time{seconds(2)}));
  EXPECT_FALSE(ears.takes_probe(Time{seconds(3)}));
  EXPECT_TRUE(ears.takes_probe(Time{seconds(7)}));
}

// One scheduler, two machines of which the first may be deaf; answers carry orders, commands get none.
class Ward {
 public:
  explicit Ward(bool inherited) : s_(setup(), [](const std::string&) {}) {
    s_.set_types({{"g", {8, 0, 64}, 50, 1, 10, 3, 40, {"a"}}});
    Job job;
    job.spec.id = JobId{"job-1"};
    job.spec.team = "red";
    job.spec.tasks = 2;
    job.spec.need = {8, 0, 1};
    job.spec.estimate_s = 100;
    job.submitted = now_;
    if (!inherited) {
      s_.add_job(job, now_);
      return;
    }
    s_.load_job(job, now_);
    s_.load_machine({MachineId{"i-1"}, 0, "10.0.0.1:1", "g", "a", false, Session{1}, {}}, now_);
    TaskRow row;
    row.job = job.spec.id;
    row.size = 2;
    row.team = "red";
    row.need = job.spec.need;
    row.next_attempt = 2;
    row.held = {{0, Attempt{1}, MachineId{"i-1"}, "a"}};
    s_.load_tasks(row, now_);
    s_.finish_load(now_);
  }
  // Reports every two seconds; a machine that hears nothing begins a session each 14 s.
  void run(int reports, bool first_hears) {
    for (int i = 0; i < reports; ++i) {
      now_ += seconds(2);
      beat("i-1", first_hears);
      beat("i-2", true);
      round();
    }
  }
  // The first machine alone reports at this second and is not answered; then a round.
  void heard_unanswered(double at_s, Session session, bool runs_what_is_placed) {
    now_ = Time{seconds(1000 + at_s)};
    auto r = report_of("i-1", Tick{++machines_["i-1"].tick}, session, Token{50});
    const auto known = s_.machines().find(r.machine);
    for (const auto& p : known->second.placements) {
      if (runs_what_is_placed) r.tasks.push_back({p.task, p.attempt, TaskState::running, ExitCause::none, false});
    }
    s_.on_report(r, ReportSource::beat, now_, true);
    round();
  }
  void round_at(double at_s) {
    now_ = Time{seconds(1000 + at_s)};
    round();
  }
  [[nodiscard]] std::size_t placed_on(const char* id) const {
    std::size_t out = 0;
    const auto it = s_.machines().find(MachineId{id});
    if (it == s_.machines().end()) return out;
    for (const auto& p : it->second.placements) out += p.occupies() ? 1 : 0;
    return out;
  }
  [[nodiscard]] EarState ears() const { return s_.machines().at(MachineId{"i-1"}).ears.state(); }
  [[nodiscard]] bool gone() const { return !s_.machines().contains(MachineId{"i-1"}); }
  [[nodiscard]] MachinePhase phase() const { return s_.machines().at(MachineId{"i-1"}).phase(); }

 private:
  struct Machine {
    std::uint64_t session = 1, tick = 0, token = 0;
    Time answered{seconds(1000)};
    std::vector<TaskReport> tasks;
  };
  void round() {
    s_.round(now_);
    for (auto rows = s_.take_writes(100, true, now_); !rows.empty(); rows = s_.take_writes(100, true, now_)) {
      s_.stored(rows, now_);
    }
  }
  static Scheduler::Setup setup() {
    Scheduler::Setup u;
    u.terms = {2, 14, 40, 4, 34};
    u.teams = {{"red", {8, 0, 0}, {1e6, 0, 0}}};
    u.token = Token{50};
    u.old_leader_until = Time{seconds(1000)};
    u.policy.direct_starts = false;
    return u;
  }
  void beat(const char* id, bool hears) {
    auto& m = machines_[id];
    if (now_ - m.answered > seconds(14)) {
      ++m.session;
      m.tasks.clear();
      m.answered = now_;
    }
    auto r = report_of(id, Tick{++m.tick}, Session{m.session}, Token{m.token});
    r.tasks = m.tasks;
    const auto orders = s_.on_report(r, ReportSource::beat, now_, true);
    if (s_.leaves_unanswered(r.machine)) return;
    s_.answered(r.machine, now_);
    if (!hears) return;
    m.token = 50;
    m.answered = now_;
    for (const auto& o : orders) {
      if (o.verb == Order::Verb::start) {
        m.tasks.push_back({o.task, o.attempt, TaskState::running, ExitCause::none, false});
      } else {
        std::erase_if(m.tasks, [&](const TaskReport& t) { return t.task == o.task && t.attempt == o.attempt; });
      }
    }
  }

  Time now_{seconds(1000)};
  Scheduler s_;
  std::map<std::string, Machine> machines_;
};

// What is placed on a machine that hears nothing never starts, and its reports were answered for ever.
TEST(ears, what_a_deaf_machine_did_not_start_goes_elsewhere) {
  Ward w{false};
  w.run(2, false);
  w.run(10, false);
  EXPECT_EQ(EarState::deaf, w.ears());
  EXPECT_EQ(0U, w.placed_on("i-1"));
  EXPECT_EQ(1U, w.placed_on("i-2")) << "the other one has room for one";
}

TEST(ears, a_machine_that_hears_again_is_used_again) {
  Ward w{false};
  w.run(12, false);
  ASSERT_EQ(EarState::deaf, w.ears());
  w.run(12, true);
  EXPECT_EQ(EarState::hears, w.ears());
  EXPECT_EQ(1U, w.placed_on("i-1"));
}

// Of an earlier leader's task only the token proves that no late start of it comes, and a deaf machine shows none:
// unanswered, its lease ends.
TEST(ears, an_earlier_leaders_task_on_a_deaf_machine_is_not_waited_for_for_ever) {
  Ward w{true};
  w.run(3, false);
  EXPECT_EQ(1U, w.placed_on("i-1")) << "it may be there";
  w.run(17, false);
  EXPECT_EQ(0U, w.placed_on("i-1"));
}

// The simulation, of a machine that had been deaf: left unanswered, its session ended, and the next one had just begun
// when the lease since the last answer was over. What was placed in it was given up and started elsewhere: ran_twice.
TEST(ears, a_session_that_has_just_begun_lasts_for_a_lease_of_its_own) {
  Ward w{true};
  w.heard_unanswered(12, Session{2}, false);
  w.heard_unanswered(13, Session{2}, false);
  w.heard_unanswered(14, Session{2}, true);
  ASSERT_EQ(1U, w.placed_on("i-1"));
  w.round_at(16.5);
  EXPECT_EQ(1U, w.placed_on("i-1")) << "it was answered last 16 s ago, and began 5 s ago at the most";
  w.round_at(26);
  EXPECT_EQ(1U, w.placed_on("i-1"));
  w.round_at(27.5);
  EXPECT_EQ(0U, w.placed_on("i-1"));
}

TEST(ears, where_half_of_the_fleet_is_deaf_none_of_it_goes_back) {
  Ward w{false};
  w.run(60, false);
  EXPECT_EQ(MachinePhase::up, w.phase()) << "half of the fleet is deaf: the fault is elsewhere";
}

}  // namespace
}  // namespace martenwall
