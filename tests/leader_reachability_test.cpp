#include "core/reachability/leader_reachability.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace martenwall {
namespace {

const WorkerTimings timings{3, 19, 50, 4, 39};

// Evaluates the leader's reachability each half second and returns when it should step down, if it does.
std::optional<Time> find_step_down(LeaderReachability& reachability, Time from, double duration_s,
                                   std::size_t reporting, std::size_t stranded) {
  for (Time now = from; now < from + seconds(duration_s); now += seconds(0.5)) {
    if (stranded > 0) reachability.on_stranded_report("other", stranded, now);
    if (reachability.should_step_down(reporting, now)) return now;
  }
  return std::nullopt;
}

// On the operations days, only the workers' side of the leader's network was cut: it renewed its lease and led until
// every worker's lease had expired.
TEST(leader_reachability, an_unreachable_leader_steps_down_well_before_lease_expiry) {
  LeaderReachability reachability{timings};
  reachability.on_leadership_began(Time{seconds(100)});
  const Time cut_at{seconds(200)};
  EXPECT_FALSE(find_step_down(reachability, cut_at - seconds(20), 20, 300, 0));
  const auto stepped_down = find_step_down(reachability, cut_at, 20, 0, 300);
  ASSERT_TRUE(stepped_down);
  EXPECT_LT(*stepped_down - cut_at, seconds(timings.lease_s / 3));
  EXPECT_EQ(LeaderReachabilityState::unreachable, reachability.state());
  EXPECT_GT(reachability.campaign_delay(*stepped_down), Duration{0});
  reachability.on_heartbeat(*stepped_down + seconds(1));
  EXPECT_EQ(Duration{0}, reachability.campaign_delay(*stepped_down + seconds(1)));
}

// A fleet without heartbeats, a wave of lost machines, or a network fault common to all nodes leaves no worker stranded
// at another node.
RC_GTEST_PROP(leader_reachability, silence_alone_ends_no_leadership, (const std::vector<std::uint8_t>& reporting)) {
  LeaderReachability reachability{timings};
  Time now{seconds(100)};
  reachability.on_leadership_began(now);
  for (const auto n : reporting) {
    now += seconds(0.5);
    RC_ASSERT(!reachability.should_step_down(n, now));
    RC_ASSERT(reachability.state() == LeaderReachabilityState::reachable);
  }
}

// For any division of the workers, at most one of two nodes may find that the other should lead.
RC_GTEST_PROP(leader_reachability, two_nodes_do_not_swap_leadership, ()) {
  const auto workers_at_a = *rc::gen::inRange<std::size_t>(0, 1500);
  const auto workers_at_b = *rc::gen::inRange<std::size_t>(0, 1500);
  const Time start{seconds(100)};
  LeaderReachability a{timings};
  LeaderReachability b{timings};
  a.on_leadership_began(start);
  b.on_leadership_began(start);
  const bool a_steps_down = find_step_down(a, start, 60, workers_at_a, workers_at_b).has_value();
  const bool b_steps_down = find_step_down(b, start, 60, workers_at_b, workers_at_a).has_value();
  RC_ASSERT(!(a_steps_down && b_steps_down));
}

TEST(leader_reachability, a_new_leader_is_given_time_to_be_found) {
  LeaderReachability reachability{timings};
  const Time start{seconds(100)};
  reachability.on_leadership_began(start);
  EXPECT_FALSE(find_step_down(reachability, start, 5, 0, 300));
  EXPECT_FALSE(find_step_down(reachability, start + seconds(5), 20, 300, 40));
}

TEST(leader_reachability, an_old_report_of_stranded_workers_does_not_count) {
  LeaderReachability reachability{timings};
  const Time start{seconds(100)};
  reachability.on_leadership_began(start);
  reachability.on_stranded_report("other", 300, start);
  EXPECT_FALSE(find_step_down(reachability, start + seconds(10), 20, 0, 0));
}

// Guards against a report of stranded workers that the store committed late, long after it was true.
TEST(leader_reachability, one_report_of_stranded_workers_alone_ends_no_leadership) {
  LeaderReachability reachability{timings};
  const Time start{seconds(100)};
  reachability.on_leadership_began(start);
  reachability.on_stranded_report("other", 300, start + seconds(20));
  EXPECT_FALSE(find_step_down(reachability, start + seconds(20), 10, 40, 0));
  EXPECT_EQ(LeaderReachabilityState::reachable, reachability.state());
}

// On one generated day with two of three nodes unresponsive, a worker returned after ten seconds, too late to be
// counted.
TEST(leader_reachability, a_redirected_worker_counts_for_some_seconds) {
  RedirectedWorkers workers;
  const Time now{seconds(100)};
  workers.record(MachineId{"i-1"}, now);
  workers.record(MachineId{"i-2"}, now);
  workers.record(MachineId{"i-2"}, now + seconds(4));
  EXPECT_EQ(2U, workers.stranded(now + seconds(4)));
  EXPECT_EQ(1U, workers.stranded(now + seconds(8)));
  EXPECT_EQ(0U, workers.stranded(now + seconds(30)));
}

}  // namespace
}  // namespace martenwall
