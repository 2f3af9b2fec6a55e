// Fault combinations that involve machines: hanging, disconnected, without uplink, just started, or known only by old
// heartbeats; a partitioned zone, all controllers down, repeated failovers. docs/safety.md explains each.
#include "region/busy_region.hpp"

namespace martenwall {
namespace {

using region::BusyRegion;
using region::Region;
using region::RegionOptions;
using region::sets;
using region::Worker;

struct LimitCase {
  double hang = 0, cut = 0;  // duration, for machines with cancelled tasks
  bool refused = false;      // the store refuses the leader; otherwise the leader is killed
  bool late_heartbeats = false;
};

// The team is at its limit, jobs are cancelled whose machines hang or are disconnected, and the leader changes: tasks
// that may still run count against the limit until they have certainly ended, and cancelled tasks end in time.
void run_limit_case(std::uint64_t seed, const LimitCase& c) {
  SCOPED_TRACE("seed " + std::to_string(seed) + " hang " + std::to_string(c.hang) + " cut " + std::to_string(c.cut));
  RegionOptions options;
  options.team_gpus = 24;  // used up by the first jobs
  BusyRegion busy{seed, options, 60};
  Region& r = busy.r;
  for (int i = 0; i < 4; ++i) r.submit_array(4, 10);
  const std::vector<JobId> cancelled{busy.jobs.begin(), busy.jobs.begin() + 3};
  const auto has_cancelled = [&](const auto& w) {
    return std::ranges::any_of(cancelled, [&](const JobId& id) { return w->has(id); });
  };
  for (const auto& id : cancelled) r.cancel(id, {busy.old_leader});
  for (auto& w : r.workers()) {
    if (!has_cancelled(w)) continue;
    if (c.hang > 0) w->hang(seconds(c.hang));
    if (c.cut > 0) w->lose_network(seconds(c.cut));
  }
  if (c.late_heartbeats) r.environment().late_heartbeats = 0.5;
  r.run(0.3);
  if (c.refused) {
    r.store().faults(busy.old_leader).refuses_until = r.now() + seconds(20);
  } else {
    r.kill_for(busy.old_leader, 5);
  }
  ASSERT_TRUE(
      r.run_until(15, [&] { return r.leader().has_value() && (!c.refused || *r.leader() != busy.old_leader); }));
  const bool reported = r.rules().job(cancelled.front()).reported_cancelled.has_value();
  EXPECT_TRUE(reported && std::ranges::any_of(r.workers(), has_cancelled))
      << "no task of a cancelled job was left when the next leader started";
  r.cancel(busy.jobs.at(3), {r.other_controller(busy.old_leader, 1), r.other_controller(busy.old_leader, 2)});
  r.run(30);
  r.environment().late_heartbeats = 0;
  busy.expect_all_jobs_end(400);
}

TEST(failure_combinations, cancelled_jobs_hang_while_teams_are_at_their_limit_and_the_leader_changes) {
  for (const double time : {4.0, 8.5, 9.8, 13.0, 22.0}) {  // below, near and above the lease of 10 s
    run_limit_case(201, {time, 0, false, false});
    run_limit_case(202, {0, time, true, false});
    run_limit_case(203, {time, 0, true, true});
    run_limit_case(204, {time, time + 2, false, false});
  }
}

// Machines boot within a second and get tasks at once, while writes are late and the leader crashes.
TEST(failure_combinations, machines_boot_at_once_while_writes_lag_and_the_leader_crashes) {
  std::size_t new_busy_machines = 0;
  for (const std::uint64_t seed : {211U, 212U, 213U, 214U, 215U, 216U}) {
    SCOPED_TRACE(seed);
    RegionOptions options;
    options.boot_s = 1;
    BusyRegion busy{seed, options, 40};
    Region& r = busy.r;
    for (std::size_t c = 0; c < 3; ++c) {
      r.store().faults(c).late_share = 0.4;
      r.store().faults(c).late_until = r.now() + seconds(30);
    }
    for (int k = 0; k < 3; ++k) {
      const auto machines = r.workers().size();
      for (int i = 0; i < 3; ++i) {
        JobSpec gang;
        gang.kind = JobKind::gang;
        gang.tasks = 2;
        gang.need = {4, 4, 8};
        gang.one_zone = i == 0;
        gang.spread = i == 1;
        r.submit(gang, 15);
        r.submit_array(8, 10);
      }
      r.run_until(6, [&] { return r.workers().size() > machines && r.workers().back()->busy(); });
      new_busy_machines +=
          static_cast<std::size_t>(std::ranges::count_if(r.workers().begin() + static_cast<std::ptrdiff_t>(machines),
                                                         r.workers().end(), [](const auto& w) { return w->busy(); }));
      if (const auto l = r.leader()) r.kill_for(*l, k == 1 ? 0.3 : 6);
      r.run(6);
    }
    r.run(20);
    busy.expect_all_jobs_end(500);
  }
  EXPECT_GT(new_busy_machines, 6U) << "too few new machines had tasks when the leader crashed";
}

// Old heartbeats reach every controller just as a new leader starts, or after its first decisions: from earlier
// incarnations and attempts and from released machines, before and after the current ones.
TEST(failure_combinations, old_heartbeats_reach_all_controllers_as_a_new_leader_begins) {
  for (const std::uint64_t seed : {221U, 222U, 223U, 224U}) {
    SCOPED_TRACE(seed);
    RegionOptions options;
    options.relay = seed % 2 == 0;
    BusyRegion busy{seed, options, 10};
    Region& r = busy.r;
    r.environment().retained_heartbeats = 0.5;
    r.environment().retained_for_s = seed > 222 ? 4 : 0;
    for (int i = 0; i < 6; ++i) {
      for (int k = 0; k < 3; ++k) r.submit_array(4, 9);
      r.workers().at(static_cast<std::size_t>(i))->lose_network(seconds(13));  // starts a new incarnation
      r.run(8);
      r.cancel(busy.jobs.at(static_cast<std::size_t>(i)), {r.pick(), r.pick()});
      if (const auto l = r.leader()) r.kill_for(*l, i % 2 == 0 ? 0.3 : 6);
      r.run(5);
    }
    r.environment().retained_heartbeats = 0;
    r.environment().retained.clear();
    EXPECT_GT(r.environment().late_copies, 20U) << "too few late copies were answered with 200";
    r.run(10);
    busy.expect_all_jobs_end(400);
  }
}

// Heartbeats reach no controller while commands still arrive: nothing renews the workers' lease.
TEST(failure_combinations, machines_without_uplink_receive_commands) {
  for (const double time : {7.0, 9.9, 25.0}) {
    for (const bool killed : {false, true}) {
      SCOPED_TRACE(time);
      BusyRegion busy{231, {}, 50};
      Region& r = busy.r;
      std::vector<Worker*> without_uplink;
      for (std::size_t i = 0; i < r.workers().size(); i += 2) {
        without_uplink.push_back(r.workers().at(i).get());
        without_uplink.back()->lose_uplink(seconds(time));
      }
      const auto old_token = r.token_of(busy.old_leader);
      for (int i = 0; i < 3; ++i) r.submit_array(4, 10);
      r.run(0.5);
      for (std::size_t i = 0; i < 2; ++i) r.cancel(busy.jobs.at(i), {busy.old_leader});
      r.run(1);
      if (killed) r.kill_for(busy.old_leader, 8);
      r.run(4);
      const bool reached = std::ranges::any_of(without_uplink, [&](Worker* w) { return w->token() > old_token; });
      EXPECT_EQ(killed, reached) << "the next leader's announcement reaches machines without uplink";
      r.run(time + 10);
      busy.expect_all_jobs_end(500);
    }
  }
}

// A zone with its workers and a controller, the leader or a follower, is partitioned for longer than a lease.
TEST(failure_combinations, a_zone_with_a_controller_is_cut_off) {
  for (const std::size_t step : {0U, 1U}) {
    for (const double time : {8.0, 14.0, 45.0}) {
      SCOPED_TRACE(std::to_string(step) + " " + std::to_string(time));
      BusyRegion busy{241 + step, {}, 60};
      Region& r = busy.r;
      JobSpec bound;
      bound.tasks = 4;
      bound.need = {1, 1, 8};
      bound.one_zone = true;
      r.submit(bound, 20);
      r.run(4);
      const auto inside = r.other_controller(busy.old_leader, step);
      const auto old_token = r.token_of(busy.old_leader);
      r.cut_zone("a", inside, time);
      r.run(0.5);
      for (std::size_t i = 0; i < 3; ++i)
        r.cancel(busy.jobs.at(i), {r.other_controller(inside, 1), r.other_controller(inside, 2)});
      r.run(5);
      for (int i = 0; i < 3; ++i) r.submit_array(4, 10);
      r.run(time);
      EXPECT_TRUE(r.rules().job(busy.jobs.at(0)).reported_cancelled.has_value())
          << "not confirmed by the controllers outside";
      ASSERT_TRUE(r.leader().has_value());
      EXPECT_EQ(step == 0, r.token_of(*r.leader()) > old_token)
          << "a new leader is elected only if the leader was cut off";
      r.run(20);
      busy.expect_all_jobs_end(600);
    }
  }
}

// All controllers are down for less or more than a lease, just after jobs were cancelled.
TEST(failure_combinations, all_controllers_are_down) {
  for (const double time : {6.0, 9.5, 14.0, 30.0}) {
    SCOPED_TRACE(time);
    BusyRegion busy{251, {}, 60};
    Region& r = busy.r;
    r.cancel(busy.jobs.at(0), {busy.old_leader});
    r.cancel(busy.jobs.at(1), {busy.old_leader});
    r.run(0.06);
    for (auto& w : r.workers()) {
      if (w->has(busy.jobs.at(0))) w->hang(seconds(5));
    }
    for (std::size_t c = 0; c < 3; ++c) r.kill_for(c, time + 0.2 * static_cast<double>(c));
    r.run(time + 25);
    EXPECT_TRUE(r.rules().job(busy.jobs.at(0)).reported_cancelled.has_value());
    busy.expect_all_jobs_end(600);
  }
}

// One-zone jobs, including arrays, lose machines: no second zone is used while a task may run in the first, and another
// zone is used once none does.
TEST(failure_combinations, jobs_bound_to_one_zone_lose_machines) {
  for (const std::uint64_t seed : {261U, 262U, 263U, 264U}) {
    SCOPED_TRACE(seed);
    BusyRegion busy{seed, {}, 12};
    Region& r = busy.r;
    std::vector<JobId> bound;
    for (int i = 0; i < 4; ++i) {
      JobSpec s;
      s.kind = i % 2 == 0 ? JobKind::array : JobKind::gang;
      s.tasks = 3;
      s.need = {1, 2, 8};
      s.one_zone = i < 3;
      s.spread = i == 3;
      bound.push_back(r.submit(s, 40));
    }
    r.run(12);
    std::size_t lost = 0;
    for (const auto& id : bound) {
      const auto with = std::ranges::find_if(r.workers(), [&](const auto& w) { return w->has(id) && !w->gone(); });
      if (with == r.workers().end()) continue;
      ++lost;
      auto& w = **with;
      if (seed % 2 == 0) w.terminate();
      w.lose_network(seconds(seed < 263 ? 25 : 7));
    }
    EXPECT_GT(lost, 1U);
    if (seed == 264 && r.leader()) r.kill_for(*r.leader(), 0.3);
    r.run(30);
    busy.expect_all_jobs_end(500);
  }
}

// More tasks than capacity, of all priorities, with slow image fetches: gang members start apart, fetches are
// abandoned.
TEST(failure_combinations, more_work_than_capacity_over_slow_links) {
  RegionOptions options;
  options.max_machines = 8;
  BusyRegion busy{271, options, 10};
  Region& r = busy.r;
  r.environment().fetch_s = 6;
  r.environment().max_extra_fetch_s = 20;
  for (int i = 0; i < 16; ++i) {
    JobSpec s;
    s.kind = i % 2 == 0 ? JobKind::gang : JobKind::array;
    s.priority = static_cast<Priority>(i % 4);
    s.tasks = i % 2 == 0 ? 3 : 6;
    s.need = {4, i % 2 == 0 ? 4.0 : 1.0, 8};
    s.checkpoint_interval_s = i % 3 == 0 ? 5 : 0;
    s.checkpoint_duration_s = 2;
    r.submit(s, 15);
    r.run(2);
    if (i == 9) r.kill_for(*r.leader(), 0.3);
  }
  EXPECT_FALSE(r.all_ended());
  busy.expect_all_jobs_end(900);
}

// The leader changes ten times in two minutes, also during a store outage.
TEST(failure_combinations, the_leader_changes_ten_times_in_two_minutes) {
  for (const std::uint64_t seed : {281U, 282U, 283U}) {
    SCOPED_TRACE(seed);
    BusyRegion busy{seed, {}, 60};
    Region& r = busy.r;
    r.query_intensively(0.2);
    std::set<std::uint64_t> tokens;
    for (int i = 0; i < 10; ++i) {
      r.run_until(12, [&] { return r.leader().has_value() && !tokens.contains(r.token_of(*r.leader())); });
      const auto l = r.leader();
      if (l) tokens.insert(r.token_of(*l));
      r.submit_array(2, 5);
      if (i == 4) r.store().fail_for(seconds(7));
      if (i % 2 == 0) r.cancel(busy.jobs.at(static_cast<std::size_t>(i) / 2), {r.pick(), r.pick()});
      r.run(0.4);
      if (l && seed == 282) r.store().faults(*l).refuses_until = r.now() + seconds(2.5);
      if (l && seed != 282) r.kill_for(*l, i % 3 == 0 ? 0.2 : 4);
      r.run(2);
    }
    EXPECT_GE(tokens.size(), 8U);
    r.run(20);
    busy.expect_all_jobs_end(500);
  }
}

// Jobs are cancelled at the moment at which the store refuses the leader alone; about a second later the store fails
// for longer than cancel_s, with starts still in flight.
TEST(failure_combinations, a_job_is_cancelled_at_the_moment_of_the_refusal) {
  for (const double before : {0.03, 0.0}) {
    for (const double outage_after : {0.5, 1.0, 2.2}) {
      SCOPED_TRACE(std::to_string(before) + " " + std::to_string(outage_after));
      BusyRegion busy{291};
      Region& r = busy.r;
      for (auto& w : r.workers()) w->hold_next_start(seconds(8));
      const JobId new_job = r.submit_array(3, 60);
      r.run(0.5);
      std::size_t reported = 0;
      r.rules().on_status_change = [&](const JobId& id) { reported += r.rules().job(id).reported_cancelled ? 1U : 0U; };
      for (std::size_t i = 0; i < 4; ++i) r.cancel(busy.jobs.at(i), {r.other_controller(busy.old_leader, i)});
      r.cancel(new_job, {busy.old_leader});
      r.run(before);
      r.store().faults(busy.old_leader).refuses_until = r.now() + seconds(45);
      r.run(outage_after);
      r.store().fail_for(seconds(40));
      r.run(60);
      EXPECT_GT(reported, 0U);
      busy.expect_all_jobs_end(700);
    }
  }
}

}  // namespace
}  // namespace martenwall
