#include "simulation/simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace martenwall {
namespace {

std::string joined(const std::vector<std::string>& lines) {
  std::string out;
  for (const auto& l : lines) out += l + "\n";
  return out;
}

void run_with_faults(std::uint64_t seed, const sim::Faults& faults, double quiet_s) {
  sim::World world{seed, faults};
  world.run(350);
  world.stop_faults();
  world.run(quiet_s);
  // A chain of jobs takes the sum of their run times: seed 976 needs 1,100 s. A job that never ends is still detected.
  for (int more = 0; more < 30 && world.unfinished() > 0 && world.violations().empty(); ++more) world.run(100);
  if (!world.violations().empty()) RC_FAIL(joined(world.violations()));
  RC_ASSERT(world.started() + world.cascaded() > 0U);
  // All accepted jobs end once the faults are over.
  RC_ASSERT(world.unfinished() == 0U);
}

RC_GTEST_PROP(simulation, keeps_every_rule_under_mixed_faults, (std::uint64_t seed)) { run_with_faults(seed, {}, 700); }

// Commands delayed by minutes are the main risk of direct starts.
RC_GTEST_PROP(simulation, keeps_every_rule_with_late_commands, (std::uint64_t seed)) {
  sim::Faults f;
  f.delayed_command = 0.5;
  f.delayed_heartbeat = 0.1;
  f.worker_cut = 0.03;
  run_with_faults(seed, f, 900);
}

RC_GTEST_PROP(simulation, keeps_every_rule_through_failovers, (std::uint64_t seed)) {
  sim::Faults f;
  f.node_crash = 0.02;
  f.store_cut = 0.04;
  run_with_faults(seed, f, 900);
}

// A controller frozen at any step resumes with the responses and heartbeats that arrived meanwhile.
RC_GTEST_PROP(simulation, keeps_every_rule_through_freezes, (std::uint64_t seed)) {
  sim::Faults f;
  f.node_freeze = 0.04;
  f.delayed_command = 0.3;
  run_with_faults(seed, f, 900);
}

// Heartbeats are relayed by any node: late, duplicated, out of order, and through frozen nodes.
RC_GTEST_PROP(simulation, keeps_every_rule_while_any_node_accepts_heartbeats, (std::uint64_t seed)) {
  sim::Faults f;
  f.relays = true;
  f.node_crash = 0.01;
  f.node_freeze = 0.02;
  f.store_cut = 0.02;
  f.delayed_command = 0.3;
  run_with_faults(seed, f, 900);
}

RC_GTEST_PROP(simulation, keeps_every_rule_with_a_bad_link_between_nodes, (std::uint64_t seed)) {
  sim::Faults f;
  f.relays = true;
  f.link_cut = 0.06;
  f.slow_batch = 0.3;
  f.repeated_batch = 0.3;
  f.worker_cut = 0.02;
  run_with_faults(seed, f, 900);
}

TEST(simulation, followers_pass_on_responses) {
  sim::Faults f;
  f.relays = true;
  sim::World world{7, f};
  world.run(350);
  EXPECT_GT(world.relayed(), 50U) << "the properties above would not cover relaying";
}

// The format switches from v1 rows to range rows and the store lowers its limits while leaders change.
RC_GTEST_PROP(simulation, keeps_every_rule_while_rows_are_split, (std::uint64_t seed)) {
  sim::Faults f;
  f.node_crash = 0.03;
  f.range_rows_switch = 0.015;
  f.store_limit_drop = 0.03;
  run_with_faults(seed, f, 900);
}

// Chains of dependent jobs, some of them cancelled.
RC_GTEST_PROP(simulation, keeps_every_rule_with_dependent_jobs, (std::uint64_t seed)) {
  sim::Faults f;
  f.dependent_jobs = 0.9;
  f.late_notification = 0.6;
  f.node_crash = 0.02;
  f.range_rows_from_start = true;
  run_with_faults(seed, f, 900);
}

// Machines whose downlink is lost, and duplicates of their heartbeats up to three leases late, also at the next leader.
RC_GTEST_PROP(simulation, keeps_every_rule_with_unreachable_machines_and_late_duplicates, (std::uint64_t seed)) {
  sim::Faults f;
  f.downlink_loss = 0.02;
  f.late_duplicate = 0.3;
  f.relays = true;
  f.node_crash = 0.01;
  f.delayed_command = 0.3;
  run_with_faults(seed, f, 900);
}

// Controllers that restart before their failure is detected, also during elections.
RC_GTEST_PROP(simulation, keeps_every_rule_through_quick_restarts, (std::uint64_t seed)) {
  sim::Faults f;
  f.quick_restart = 0.8;
  f.node_crash = 0.06;
  f.late_duplicate = 0.2;
  f.downlink_loss = 0.005;
  f.delayed_command = 0.3;
  f.store_cut = 0.03;
  run_with_faults(seed, f, 900);
}

// Demand exceeds capacity while leaders change: deferred jobs still complete in the end.
RC_GTEST_PROP(simulation, keeps_every_rule_in_a_shortage, (std::uint64_t seed)) {
  sim::Faults f;
  f.shortage = true;
  f.machine_death = 0.01;
  f.node_crash = 0.02;
  f.delayed_command = 0.3;
  run_with_faults(seed, f, 900);
}

TEST(simulation, work_is_deferred_in_a_shortage) {
  std::size_t deferred = 0;
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
    sim::Faults f;
    f.shortage = true;
    f.machine_death = 0.01;
    sim::World world{seed, f};
    world.trace = [&](const std::string& line) {
      deferred += line.find("fleet busy=") != std::string::npos && !line.ends_with(" deferred_jobs=0") ? 1 : 0;
    };
    world.run(350);
  }
  EXPECT_GT(deferred, 0U) << "the property above would not cover deferral";
}

TEST(simulation, row_splits_refusals_and_cascades_do_happen) {
  std::size_t refused = 0;
  std::size_t row_splits = 0;
  std::size_t cascaded = 0;
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U, 6U}) {
    sim::Faults f;
    f.dependent_jobs = 0.8;
    f.store_limit_drop = 0.03;
    sim::World world{seed, f};
    world.run(350);
    refused += world.refused();
    row_splits += world.row_splits();
    cascaded += world.cascaded();
  }
  EXPECT_GT(refused, 0U);
  EXPECT_GT(row_splits, 0U);
  EXPECT_GT(cascaded, 0U);
}

// The faults of the properties above do occur.
TEST(simulation, failovers_and_freezes_do_happen) {
  for (const bool freezes : {false, true}) {
    sim::Faults f;
    (freezes ? f.node_freeze : f.node_crash) = freezes ? 0.04 : 0.03;
    sim::World world{7, f};
    world.run(300);
    EXPECT_GT(world.failovers(), 3U);
    EXPECT_GT(world.started(), 10U);
    EXPECT_TRUE(!freezes || world.freezes() > 5U);
  }
}

}  // namespace
}  // namespace martenwall
