// Machines whose heartbeats arrive but which receive no responses.
#include "core/reachability/downlink_health.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

#include "core/scheduler/scheduler.hpp"
#include "worker_reports.hpp"

namespace martenwall {
namespace {

constexpr Duration lease = seconds(15);

// Compares the downlink state with a simple model of a worker as PROTOCOL describes it, which knows whether each
// response arrived.
RC_GTEST_PROP(downlink_health, a_machine_is_reachable_within_a_lease_of_its_downlinks_return_and_never_before, ()) {
  DownlinkHealth downlink;
  Time now{seconds(100)};
  Time last_answer = now;
  std::uint64_t incarnation = 1;
  const bool finally_unreachable = *rc::gen::arbitrary<bool>();
  const auto responses_arrive = *rc::gen::container<std::vector<bool>>(60, rc::gen::arbitrary<bool>());
  for (std::size_t i = 0; i < responses_arrive.size(); ++i) {
    now += seconds(2);
    const bool settled = i >= 30;
    const bool response_arrives = settled ? !finally_unreachable : responses_arrive[i];
    const bool lease_lapsed = now - last_answer > seconds(14);
    if (lease_lapsed) {
      ++incarnation;
      last_answer = now;
    }
    downlink.on_heartbeat(Incarnation{incarnation}, lease, now);
    if (lease_lapsed) downlink.on_delivery_missed(now);
    if (response_arrives) last_answer = now;
  }
  RC_ASSERT(downlink.is_reachable() != finally_unreachable);
}

TEST(downlink_health, one_lost_response_does_not_make_a_machine_unreachable) {
  DownlinkHealth downlink;
  downlink.on_heartbeat(Incarnation{1}, lease, Time{seconds(1)});
  downlink.on_delivery_missed(Time{seconds(2)});
  EXPECT_EQ(DownlinkState::suspected, downlink.state());
  downlink.on_delivery_missed(Time{seconds(4)});
  EXPECT_FALSE(downlink.is_unreachable());
  downlink.on_delivery_confirmed(Time{seconds(6)});
  EXPECT_TRUE(downlink.is_reachable());
  for (int i = 0; i < 2; ++i) downlink.on_delivery_missed(Time{seconds(8 + 2 * i)});
  EXPECT_FALSE(downlink.is_unreachable()) << "misses before a confirmed delivery do not count";
  downlink.on_delivery_missed(Time{seconds(12)});
  EXPECT_TRUE(downlink.is_unreachable());
}

TEST(downlink_health, probes_are_paced_and_sent_only_to_suspected_machines) {
  DownlinkHealth downlink;
  EXPECT_FALSE(downlink.claim_probe(Time{seconds(1)}));
  downlink.on_delivery_missed(Time{seconds(2)});
  EXPECT_TRUE(downlink.claim_probe(Time{seconds(2)}));
  EXPECT_FALSE(downlink.claim_probe(Time{seconds(3)}));
  EXPECT_TRUE(downlink.claim_probe(Time{seconds(7)}));
}

// One scheduler and two machines, of which the first may be unreachable. Commands are sent in heartbeat responses only;
// direct starts are off.
class DownlinkFixture {
 public:
  explicit DownlinkFixture(bool unconfirmed) : scheduler_(options(), [](const std::string&) {}) {
    scheduler_.set_types({{"g", {8, 0, 64}, 50, 1, 10, 3, 40, {"a"}}});
    Job job;
    job.spec.id = JobId{"job-1"};
    job.spec.team = "red";
    job.spec.tasks = 2;
    job.spec.need = {8, 0, 1};
    job.spec.estimate_s = 100;
    job.submitted = now_;
    if (!unconfirmed) {
      scheduler_.add_job(job, now_);
      return;
    }
    scheduler_.load_job(job, now_);
    scheduler_.load_machine({MachineId{"i-1"}, 0, "10.0.0.1:1", "g", "a", false, Incarnation{1}, {}}, now_);
    TaskRow row;
    row.job = job.spec.id;
    row.size = 2;
    row.team = "red";
    row.need = job.spec.need;
    row.next_attempt = 2;
    row.placed = {{0, Attempt{1}, MachineId{"i-1"}, "a"}};
    scheduler_.load_tasks(row, now_);
    scheduler_.finish_load(now_);
  }
  // Sends heartbeats every two seconds. A machine that receives no response begins a new session after each 14 s.
  void run(int reports, bool first_downlink_works) {
    for (int i = 0; i < reports; ++i) {
      now_ += seconds(2);
      send_heartbeat("i-1", first_downlink_works);
      send_heartbeat("i-2", true);
      run_cycle();
    }
  }
  // Sends one heartbeat of the first machine at this second, leaves it unanswered, and runs a cycle.
  void report_unanswered(double at_s, Incarnation incarnation, bool runs_placed_tasks) {
    now_ = Time{seconds(1000 + at_s)};
    auto heartbeat = report_of("i-1", HeartbeatSequence{++machines_["i-1"].sequence}, incarnation, FencingToken{50});
    const auto known = scheduler_.machines().find(heartbeat.machine);
    for (const auto& p : known->second.placements) {
      if (runs_placed_tasks) heartbeat.tasks.push_back({p.task, p.attempt, TaskState::running, ExitCause::none, false});
    }
    scheduler_.on_heartbeat(heartbeat, StatusSource::heartbeat, now_, true);
    run_cycle();
  }
  void run_cycle_at(double at_s) {
    now_ = Time{seconds(1000 + at_s)};
    run_cycle();
  }
  [[nodiscard]] std::size_t placed_on(const char* id) const {
    std::size_t out = 0;
    const auto it = scheduler_.machines().find(MachineId{id});
    if (it == scheduler_.machines().end()) return out;
    for (const auto& p : it->second.placements) out += p.occupies() ? 1 : 0;
    return out;
  }
  [[nodiscard]] DownlinkState downlink() const { return scheduler_.machines().at(MachineId{"i-1"}).downlink.state(); }
  [[nodiscard]] bool gone() const { return !scheduler_.machines().contains(MachineId{"i-1"}); }
  [[nodiscard]] MachinePhase phase() const { return scheduler_.machines().at(MachineId{"i-1"}).phase(); }

 private:
  struct Machine {
    std::uint64_t incarnation = 1, sequence = 0, token = 0;
    Time answered{seconds(1000)};
    std::vector<TaskStatus> tasks;
  };
  void run_cycle() {
    scheduler_.run_cycle(now_);
    for (auto rows = scheduler_.take_writes(100, true, now_); !rows.empty();
         rows = scheduler_.take_writes(100, true, now_)) {
      scheduler_.on_rows_stored(rows, now_);
    }
  }
  static Scheduler::Options options() {
    Scheduler::Options out;
    out.timings = {2, 14, 40, 4, 34};
    out.teams = {{"red", {8, 0, 0}, {1e6, 0, 0}}};
    out.token = FencingToken{50};
    out.previous_leader_valid_until = Time{seconds(1000)};
    out.policy.direct_starts = false;
    return out;
  }
  void send_heartbeat(const char* id, bool downlink_works) {
    auto& machine = machines_[id];
    if (now_ - machine.answered > seconds(14)) {
      ++machine.incarnation;
      machine.tasks.clear();
      machine.answered = now_;
    }
    auto heartbeat = report_of(id, HeartbeatSequence{++machine.sequence}, Incarnation{machine.incarnation},
                               FencingToken{machine.token});
    heartbeat.tasks = machine.tasks;
    const auto commands = scheduler_.on_heartbeat(heartbeat, StatusSource::heartbeat, now_, true);
    if (scheduler_.must_withhold_response(heartbeat.machine)) return;
    scheduler_.on_heartbeat_answered(heartbeat.machine, now_);
    if (!downlink_works) return;
    machine.token = 50;
    machine.answered = now_;
    for (const auto& command : commands) {
      if (command.verb == Command::Verb::start) {
        machine.tasks.push_back({command.task, command.attempt, TaskState::running, ExitCause::none, false});
      } else {
        std::erase_if(machine.tasks,
                      [&](const TaskStatus& t) { return t.task == command.task && t.attempt == command.attempt; });
      }
    }
  }

  Time now_{seconds(1000)};
  Scheduler scheduler_;
  std::map<std::string, Machine> machines_;
};

// Tasks placed on a machine that receives no responses never started, and its heartbeats were answered endlessly.
TEST(downlink_health, tasks_that_an_unreachable_machine_did_not_start_are_placed_elsewhere) {
  DownlinkFixture fixture{false};
  fixture.run(2, false);
  fixture.run(10, false);
  EXPECT_EQ(DownlinkState::unreachable, fixture.downlink());
  EXPECT_EQ(0U, fixture.placed_on("i-1"));
  EXPECT_EQ(1U, fixture.placed_on("i-2")) << "the other machine has capacity for one task";
}

TEST(downlink_health, a_machine_that_is_reachable_again_is_used_again) {
  DownlinkFixture fixture{false};
  fixture.run(12, false);
  ASSERT_EQ(DownlinkState::unreachable, fixture.downlink());
  fixture.run(12, true);
  EXPECT_EQ(DownlinkState::reachable, fixture.downlink());
  EXPECT_EQ(1U, fixture.placed_on("i-1"));
}

// For a task of an earlier leader, only the new token proves that no late start of it can arrive, and an unreachable
// machine never shows that token. Its heartbeats are left unanswered, so that its lease ends.
TEST(downlink_health, an_earlier_leaders_task_on_an_unreachable_machine_is_not_waited_for_for_ever) {
  DownlinkFixture fixture{true};
  fixture.run(3, false);
  EXPECT_EQ(1U, fixture.placed_on("i-1")) << "the task may run there";
  fixture.run(17, false);
  EXPECT_EQ(0U, fixture.placed_on("i-1"));
}

// Found by the simulation (`ran_twice`): the session of a machine that had been unreachable ended because it was left
// unanswered, and the next one had just begun when the lease since the last response expired. Tasks placed in the new
// session were given up and started elsewhere.
TEST(downlink_health, a_new_incarnation_lasts_for_a_lease_of_its_own) {
  DownlinkFixture fixture{true};
  fixture.report_unanswered(12, Incarnation{2}, false);
  fixture.report_unanswered(13, Incarnation{2}, false);
  fixture.report_unanswered(14, Incarnation{2}, true);
  ASSERT_EQ(1U, fixture.placed_on("i-1"));
  fixture.run_cycle_at(16.5);
  EXPECT_EQ(1U, fixture.placed_on("i-1")) << "the last response was 16 s ago, and the session began at most 5 s ago";
  fixture.run_cycle_at(26);
  EXPECT_EQ(1U, fixture.placed_on("i-1"));
  fixture.run_cycle_at(27.5);
  EXPECT_EQ(0U, fixture.placed_on("i-1"));
}

TEST(downlink_health, no_machine_is_returned_while_half_of_the_fleet_is_unreachable) {
  DownlinkFixture fixture{false};
  fixture.run(60, false);
  EXPECT_EQ(MachinePhase::up, fixture.phase()) << "with half of the fleet unreachable, the fault is not the machine's";
}

}  // namespace
}  // namespace martenwall
