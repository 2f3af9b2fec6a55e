// Combinations of two faults as listed in docs/safety.md, each reproduced with complete nodes. A test fails if the
// combination did not occur.
#include <gtest/gtest.h>

#include "region/busy_region.hpp"

namespace martenwall {
namespace {

using region::BusyRegion;
using region::Region;
using region::sets;
using region::Worker;

TEST(failure_combinations, a_region_without_faults_runs_its_jobs) {
  Region r{1, {}};
  ASSERT_TRUE(r.run_until(20, [&] { return r.leader().has_value(); }));
  std::vector<JobId> jobs;
  for (int i = 0; i < 6; ++i) jobs.push_back(r.submit_array(3, 5));
  EXPECT_TRUE(r.run_until(60, [&] { return r.rules().started() >= 18 && r.all_ended(); }));
  EXPECT_EQ("", r.violations());
  EXPECT_EQ(18U, r.rules().started());
}

struct Gap {
  double before = 4;       // minimum time from the refusal to the outage
  double outage = 40;      // longer or shorter than cancel_s
  bool links_cut = false;  // links of the old leader
  bool refused_again = false;
  double freeze = 0;         // of the old leader, during the outage
  bool old_returns = false;  // its process is replaced within a second
};

void run_gap(std::uint64_t seed, region::RegionOptions options, const Gap& gap) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  BusyRegion busy{seed, options};
  Region& r = busy.r;
  const auto old_token = r.token_of(busy.old_leader);
  r.store().faults(busy.old_leader).refuses_until = r.now() + seconds(gap.before + gap.outage + 10);
  // Workers exchange messages with the old leader only: a worker that knows the successor's token would end its term.
  for (auto& w : r.workers()) w->confine_to(busy.old_leader, seconds(gap.outage + 20));
  if (gap.links_cut) r.cut_links(busy.old_leader, gap.before + gap.outage + 10);
  ASSERT_TRUE(r.run_until(15, [&] { return r.leader().has_value() && *r.leader() != busy.old_leader; }))
      << "no successor was elected";
  for (std::size_t i = 0; i < 4; ++i)
    r.cancel(busy.jobs.at(i), {r.other_controller(busy.old_leader, 1), r.other_controller(busy.old_leader, 2)});
  const auto confirmed_count = [&] {
    return std::ranges::count_if(busy.jobs,
                                 [&](const JobId& id) { return r.rules().job(id).reported_cancelled.has_value(); });
  };
  ASSERT_TRUE(r.run_until(10, [&] { return confirmed_count() > 0; })) << "the successor confirmed no cancellation";
  const Time confirmed = r.now();
  r.store().fail_for(seconds(gap.outage));
  if (gap.freeze > 0) {
    r.run(1);
    r.freeze(busy.old_leader, gap.freeze);
  }
  if (gap.old_returns) {
    r.run(0.5);
    r.kill(busy.old_leader);
    r.run(0.4);
    r.start(busy.old_leader);
  }
  r.run(gap.outage);
  if (gap.refused_again) r.store().faults(*r.leader()).refuses_until = r.now() + seconds(10);
  bool occurred = gap.old_returns;
  for (const auto& w : r.workers()) {
    occurred = occurred || std::ranges::any_of(w->renewals(), [&](const auto& renewal) {
                 return renewal.first > confirmed && renewal.second == old_token;
               });
  }
  EXPECT_TRUE(occurred || gap.freeze > 0) << "no worker renewed its lease at the old leader after the confirmation";
  busy.expect_all_jobs_end(700);
}

TEST(failure_combinations, confirmed_cancellations_hold_through_a_store_outage_after_a_failover) {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) run_gap(seed, {}, {});
}

TEST(failure_combinations, confirmed_cancellations_hold_with_varied_faults_after_a_failover) {
  Gap cut;
  cut.links_cut = true;
  Gap brief;
  brief.outage = 15;
  Gap again;
  again.refused_again = true;
  Gap frozen;
  frozen.freeze = 6;
  Gap replaced;
  replaced.old_returns = true;
  region::RegionOptions without_relay;
  without_relay.relay = false;
  region::RegionOptions long_leases;
  long_leases.timings = {2, 19, 30, 3, 25};  // leaves about 2 s for D
  for (const auto& options : {region::RegionOptions{}, without_relay, long_leases}) {
    for (const auto& gap : {cut, brief, again, frozen, replaced}) run_gap(7, options, gap);
  }
}

// ---- the eight combinations ----

// 1. The old leader loses the store and the other controllers, but not its workers and users.
TEST(failure_combinations, the_leader_is_cut_off_from_the_store_and_the_controllers) {
  for (const std::uint64_t seed : {11U, 12U, 13U}) {
    BusyRegion busy{seed};
    Region& r = busy.r;
    const auto old_token = r.token_of(busy.old_leader);
    r.store().faults(busy.old_leader).refuses_until = r.now() + seconds(40);
    r.cut_links(busy.old_leader, 40);
    for (auto& w : r.workers()) w->confine_to(busy.old_leader, seconds(40));
    for (const auto& id : busy.jobs) r.poll_at(id, {busy.old_leader});
    ASSERT_TRUE(r.run_until(15, [&] { return r.leader().has_value() && *r.leader() != busy.old_leader; }));
    const Time since = r.now();
    for (std::size_t i = 0; i < 4; ++i) r.cancel(busy.jobs.at(i), {r.other_controller(busy.old_leader, 1)});
    r.run(40);
    EXPECT_TRUE(r.rules().job(busy.jobs.at(0)).reported_cancelled.has_value());
    const bool occurred = std::ranges::any_of(r.workers(), [&](const auto& w) {
      return std::ranges::any_of(w->renewals(),
                                 [&](const auto& x) { return x.first > since && x.second == old_token; });
    });
    EXPECT_TRUE(occurred) << "no worker renewed its lease at the old leader during the new term";
    busy.expect_all_jobs_end(700);
  }
}

// 2. Duplicates of heartbeats from earlier incarnations, sequence numbers and attempts arrive, also at a new leader.
TEST(failure_combinations, old_heartbeats_arrive_after_newer_ones) {
  for (const std::uint64_t seed : {21U, 22U, 23U}) {
    BusyRegion busy{seed, {}, 12};
    Region& r = busy.r;
    r.environment().late_heartbeats = 0.5;
    for (int i = 0; i < 5; ++i) {
      r.submit_array(6, 8);
      r.workers().at(static_cast<std::size_t>(i))->lose_network(seconds(13));  // starts a new incarnation
      r.run(9);
      if (const auto l = r.leader()) r.kill_for(*l, 1);
    }
    EXPECT_GT(r.environment().late_copies, 20U);
    r.environment().late_heartbeats = 0;
    r.run(20);
    busy.expect_all_jobs_end(400);
  }
}

// Loses the old leader's write of the job's end; the store then refuses this leader until another one is elected.
void lose_final_write(BusyRegion& busy, const JobId& id) {
  Region& r = busy.r;
  const std::string key = "f/" + id.value();
  bool sent = false;
  r.store().make_late(
      [&](std::size_t from, const nlohmann::json& txn) {
        sent = sent || (from == busy.old_leader && sets(txn, key));
        return sent;
      },
      seconds(1000));  // lost
  ASSERT_TRUE(r.run_until(40, [&] { return sent; })) << "the end was not written";
  r.store().faults(busy.old_leader).refuses_until = r.now() + seconds(9);
  // The other controllers do not learn the result before the job is cancelled.
  for (auto& w : r.workers()) w->confine_to(busy.old_leader, seconds(12));
  ASSERT_TRUE(r.run_until(6, [&] { return r.leader().has_value() && *r.leader() != busy.old_leader; }));
}

// 3. The store refuses the leader alone while the outcome of its write of a job's end is unknown; the next leader ends
// the job differently.
TEST(failure_combinations, an_end_of_unknown_outcome_is_not_taken_for_stored_because_of_the_next_leaders_end) {
  std::size_t occurred = 0;
  for (const std::uint64_t seed : {31U, 32U, 33U, 34U, 35U, 36U}) {
    BusyRegion busy{seed, {}, 8};
    Region& r = busy.r;
    const JobId id = r.submit_array(1, 12);
    ASSERT_NO_FATAL_FAILURE(lose_final_write(busy, id));
    r.cancel(id, {r.other_controller(busy.old_leader, 1), r.other_controller(busy.old_leader, 2)});
    r.run(4);
    if (r.rules().job(id).reported_cancelled) ++occurred;
    r.poll_at(id, {busy.old_leader});
    busy.expect_all_jobs_end(300);
  }
  EXPECT_GT(occurred, 3U) << "the successor cancelled what the old leader had ended";
}

// The same, but only that transaction reveals to the old leader that its term ended: it has no other rows to write, and
// responses to its lease requests are delayed.
TEST(failure_combinations, an_end_of_unknown_outcome_is_recognised_by_the_leader_key_and_its_mark) {
  BusyRegion busy{39, {}, 60};
  Region& r = busy.r;
  r.submit_array(7, 60);  // keeps all machines busy, so that no other row changes
  r.run(8);
  const JobId id = r.submit_array(1, 12);
  ASSERT_NO_FATAL_FAILURE(lose_final_write(busy, id));
  r.cut_links(busy.old_leader, 20);
  r.cancel(id, {r.other_controller(busy.old_leader, 1), r.other_controller(busy.old_leader, 2)});
  ASSERT_TRUE(r.run_until(6, [&] { return r.rules().job(id).reported_cancelled.has_value(); }));
  r.poll_at(id, {r.other_controller(busy.old_leader, 1)});
  r.store().faults(busy.old_leader).lease_delay = seconds(0.9);
  r.run(7);
  for (int i = 0; i < 60; ++i) {
    r.poll_once(id, busy.old_leader);
    r.run(0.05);
  }
  r.store().faults(busy.old_leader).lease_delay = Duration{0};
  EXPECT_EQ(1U, r.logged(busy.old_leader, "outcome=no_answer")) << "logged once";
  EXPECT_EQ(0U, r.logged(busy.old_leader, "outcome=unknown_at_term_end"));
  EXPECT_EQ(1U, r.logged(busy.old_leader, "outcome=not_stored"));
  busy.expect_all_jobs_end(700);
}

// 3 and 7. The end is stored late and read by another node while the leader still waits for the response.
TEST(failure_combinations, a_job_whose_end_is_being_written_is_not_reported_active) {
  BusyRegion busy{37};
  Region& r = busy.r;
  const JobId id = busy.jobs.at(0);
  const auto other = r.other_controller(busy.old_leader, 1);
  const std::string key = "f/" + id.value();
  // The first attempt is applied late, and retries get no response in time either.
  std::size_t tries = 0;
  r.store().make_late(
      [&](std::size_t from, const nlohmann::json& txn) {
        return from == busy.old_leader && sets(txn, key) && ++tries > 0;
      },
      seconds(1));
  r.cut_links(busy.old_leader, 20);
  r.poll_at(id, {busy.old_leader});
  r.cancel(id, {other});
  ASSERT_TRUE(r.run_until(10, [&] { return r.store().has(key); }));
  r.store().faults(busy.old_leader).response_delay = seconds(2.5);
  r.store().faults(busy.old_leader).delayed_until = r.now() + seconds(12);
  EXPECT_TRUE(r.run_until(8, [&] { return r.rules().job(id).reported_cancelled.has_value(); }))
      << "not reported by the other node";
  for (int i = 0; i < 8; ++i) {
    r.poll_once(id, busy.old_leader);
    r.run(0.5);
  }
  EXPECT_GT(r.store().late(), 0U);
  EXPECT_EQ("", r.violations());
  busy.expect_all_jobs_end(700);
}

// 3. An inbox entry is read once, and reading the job's row fails at that moment.
TEST(failure_combinations, a_notified_job_runs_although_its_row_could_not_be_read_at_once) {
  BusyRegion busy{38, {}, 20};
  Region& r = busy.r;
  const auto other = r.other_controller(busy.old_leader, 1);
  r.cut_links(busy.old_leader, 400);
  bool entry_stored = false;
  r.store().on_commit = [&](const nlohmann::json& txn, bool) {
    if (entry_stored || !sets(txn, "i/job-")) return;
    entry_stored = true;
    r.store().faults(busy.old_leader).response_delay = seconds(0.9);
    r.store().faults(busy.old_leader).delayed_until = r.now() + seconds(4);
  };
  const auto before = r.rules().started();
  const JobId id = r.submit_array(2, 5, other);
  ASSERT_TRUE(r.run_until(5, [&] { return entry_stored; }));
  EXPECT_TRUE(r.run_until(60, [&] { return r.rules().job(id).reported_done.has_value(); })) << "the job never ran";
  EXPECT_GT(r.rules().started(), before);
  EXPECT_EQ("", r.violations());
}

// 4. Leadership fails over and back within seconds, also to a new process.
TEST(failure_combinations, leadership_fails_over_and_back) {
  for (const std::uint64_t seed : {41U, 42U, 43U, 44U}) {
    BusyRegion busy{seed, {}, 15};
    Region& r = busy.r;
    std::set<std::size_t> leaders;
    std::size_t changes = 0;
    for (int i = 0; i < 8; ++i) {
      r.submit_array(4, 6);
      const auto l = r.leader();
      if (!l) {
        r.run(2);
        continue;
      }
      leaders.insert(*l);
      if (i % 3 == 0) r.store().faults(*l).refuses_until = r.now() + seconds(3);
      if (i % 3 == 1) r.kill_for(*l, 0.3);
      if (i % 3 == 2) {
        for (std::size_t c = 0; c < 3; ++c) r.kill_for(c, c == *l ? 0.5 : 20);
      }
      if (!busy.jobs.empty())
        r.cancel(busy.jobs.at(static_cast<std::size_t>(i) % busy.jobs.size()), {r.pick(), r.pick()});
      r.run_until(20, [&] { return r.leader().has_value() && r.token_of(*r.leader()) > 0; });
      r.run(3);
      ++changes;
    }
    EXPECT_GT(leaders.size(), 1U);
    EXPECT_GT(changes, 4U);
    r.run(25);
    busy.expect_all_jobs_end(400);
  }
}

// 4. A scale-in request waits for the cloud's rate limit while leadership fails over and back; the new term does not
// know of it and has placed tasks on the machines.
TEST(failure_combinations, a_scale_in_of_an_earlier_term_is_dropped) {
  region::RegionOptions options;
  options.cloud_rps = 0.25;
  options.machines = 12;
  BusyRegion busy{45, options, 8};
  Region& r = busy.r;
  std::size_t occurred = 0;
  for (int i = 0; i < 6; ++i) {
    const auto l = r.leader();
    const bool planned = l && r.run_until(60, [&] { return r.logged(*l, "reason=idle") > occurred; });
    if (!planned || r.leader() != l) break;
    occurred = r.logged(*l, "reason=idle");
    // It is re-elected as soon as its lease expires, as no other controller is running.
    for (std::size_t c = 0; c < 3; ++c) {
      if (c != *l) r.kill_for(c, 12);
    }
    r.store().faults(*l).refuses_until = r.now() + seconds(2.5);
    r.run(2.6);
    ASSERT_TRUE(r.run_until(10, [&] { return r.leader() == l; }));
    for (int k = 0; k < 6; ++k) r.submit_array(4, 20);
    r.run(20);
  }
  EXPECT_GT(occurred, 0U) << "no machine was to be released";
  EXPECT_EQ(0U, r.released_busy());
  busy.expect_all_jobs_end(700);
}

// 4 and 7. Another node rewrites an inbox entry while the leader removes it: the failed condition must not end the
// term.
TEST(failure_combinations, a_rewritten_notification_does_not_end_a_leadership) {
  BusyRegion busy{46};
  Region& r = busy.r;
  const auto other = r.other_controller(busy.old_leader, 1);
  r.cut_links(busy.old_leader, 40);
  const std::string key = "i/" + busy.jobs.at(0).value();
  bool late = false;
  r.store().make_late(
      [&](std::size_t from, const nlohmann::json& txn) {
        late = late || (from == busy.old_leader && txn.dump().find("\"remove\":\"" + key) != std::string::npos);
        return late;
      },
      seconds(3));
  r.cancel(busy.jobs.at(0), {other});
  ASSERT_TRUE(r.run_until(10, [&] { return late; })) << "the inbox entry's removal was not sent";
  r.run(0.3);
  r.store().write(key, {{"cancel", true}, {"node", "beech"}});  // the same cancellation through another node
  r.run(12);
  EXPECT_EQ(busy.old_leader, r.leader());
  EXPECT_EQ(0U, r.logged(busy.old_leader, "leadership lost"));
  EXPECT_TRUE(r.run_until(10, [&] { return !r.store().has(key); })) << "the inbox entry was not removed";
  busy.expect_all_jobs_end(700);
}

// 4. A starting process that the store has refused does not know the cluster's format version yet: a job with open
// dependencies is stored at a key that older formats do not use.
TEST(failure_combinations, a_starting_node_finds_jobs_with_open_dependencies) {
  BusyRegion busy{47};
  Region& r = busy.r;
  const auto other = r.other_controller(busy.old_leader, 1);
  ASSERT_TRUE(r.run_until(20, [&] { return r.logged(busy.old_leader, "format version raised") > 0; }));
  JobSpec chained;
  chained.tasks = 1;
  chained.need = {1, 1, 8};
  chained.dependencies = {busy.jobs.at(0)};
  const JobId id = r.submit(chained, 5);
  ASSERT_TRUE(r.run_until(10, [&] { return r.rules().job(id).accepted.has_value(); }));
  r.kill(other);
  r.start(other);
  r.cut_links(other, 10);
  r.store().faults(other).refuses_until = r.now() + seconds(3);
  r.run(2.9);
  for (int i = 0; i < 40; ++i) {
    r.poll_once(id, other);
    r.run(0.02);
  }
  EXPECT_EQ("", r.violations());
  busy.expect_all_jobs_end(700);
}

// 5. The tasks of small jobs end far apart, with a change of leader in between.
TEST(failure_combinations, small_jobs_end_far_apart_across_changes_of_leader) {
  for (const std::uint64_t seed : {51U, 52U, 53U}) {
    BusyRegion busy{seed, {}, 5};
    Region& r = busy.r;
    std::vector<JobId> small;
    for (std::uint32_t i = 0; i < 8; ++i) {
      const JobId id = r.submit_array(2 + i % 2, 4);
      r.rules().jobs().at(id).stagger_s = 14;
      small.push_back(id);
    }
    std::size_t apart = 0;
    for (int i = 0; i < 5; ++i) {
      r.run(7);
      apart += static_cast<std::size_t>(std::ranges::count_if(small, [&](const JobId& id) {
        const auto& w = r.rules().job(id);
        return !w.completed.empty() && w.completed.size() < w.spec.tasks;
      }));
      if (const auto l = r.leader()) r.kill_for(*l, seed % 2 == 0 ? 0.2 : 5);
    }
    EXPECT_GT(apart, 4U) << "too few changes of leader between the ends of a job's tasks";
    busy.expect_all_jobs_end(400);
  }
}

// 6. The leader crashes while machines with long tasks are disconnected or do not receive the next leader's messages.
// The team is at its limit and the zones are full.
TEST(failure_combinations, the_leader_crashes_while_machines_are_away_or_unreachable) {
  for (const std::uint64_t seed : {61U, 62U, 63U, 64U}) {
    region::RegionOptions options;
    options.team_gpus = 24;
    BusyRegion busy{seed, options, 60};
    Region& r = busy.r;
    for (int i = 0; i < 3; ++i) {
      JobSpec gang;
      gang.kind = JobKind::gang;
      gang.tasks = 2;
      gang.need = {4, 4, 8};
      gang.one_zone = true;
      r.submit(gang, 20);
    }
    const double disconnected_s = seed % 2 == 0 ? 7 : 25;  // within or beyond the lease
    std::size_t with_work = 0;
    for (std::size_t i = 0; i < r.workers().size(); i += 2) {
      auto& w = *r.workers().at(i);
      if (w.busy()) ++with_work;
      if (seed < 63) {
        w.lose_downlink(seconds(disconnected_s));
      } else {
        w.lose_network(seconds(disconnected_s));
      }
    }
    EXPECT_GT(with_work, 0U);
    r.kill_for(busy.old_leader, 6);
    ASSERT_TRUE(r.run_until(20, [&] { return r.leader().has_value(); }));
    r.cancel(busy.jobs.at(0), {r.other_controller(busy.old_leader, 1)});
    r.run(40);
    busy.expect_all_jobs_end(700);
  }
}

// 7. A submission at the leader is stored after the leader gave up waiting; no inbox entry is written for it.
TEST(failure_combinations, a_submission_stored_late_runs) {
  BusyRegion busy{71, {}, 20};
  Region& r = busy.r;
  const auto other = r.other_controller(busy.old_leader, 1);
  bool late = false;
  r.store().make_late(
      [&](std::size_t from, const nlohmann::json& txn) {
        late = late || (from == busy.old_leader && sets(txn, "j/"));
        return late;
      },
      seconds(3));
  const JobId id = r.submit_array(2, 5, busy.old_leader);
  ASSERT_TRUE(r.run_until(3, [&] { return late; }));
  r.poll_at(id, {other});
  r.cut_links(busy.old_leader, 8);
  EXPECT_TRUE(r.run_until(60, [&] { return r.rules().job(id).reported_done.has_value(); })) << "the job never ran";
  EXPECT_EQ(1U, r.store().late());
  EXPECT_EQ("", r.violations());
}

TEST(failure_combinations, writes_are_carried_out_late) {
  std::size_t late = 0;
  std::size_t refused = 0;
  for (const std::uint64_t seed : {72U, 73U, 74U}) {
    BusyRegion busy{seed, {}, 12};
    Region& r = busy.r;
    for (std::size_t c = 0; c < 3; ++c) {
      r.store().faults(c).late_share = 0.3;
      r.store().faults(c).late_until = r.now() + seconds(60);
    }
    for (int i = 0; i < 6; ++i) {
      const JobId id = r.submit_array(3, 4);
      r.run(5);
      if (i % 2 == 0) r.cancel(id, {r.pick(), r.pick()});
      if (i == 3 && r.leader()) r.kill_for(*r.leader(), 0.3);
      r.run(5);
    }
    r.run(15);
    late += r.store().late();
    refused += r.store().late_refused();
    busy.expect_all_jobs_end(400);
  }
  EXPECT_GT(late, 5U);
  EXPECT_GT(refused, 10U);
}

// 8. A start is delayed in transit while the job is cancelled, and the store fails just before the stop would reach the
// worker: the start arrives after the time by which the job's tasks must be gone.
TEST(failure_combinations, a_start_is_delayed_longer_than_a_cancellation_may_take) {
  BusyRegion busy{81};
  Region& r = busy.r;
  for (auto& w : r.workers()) w->hold_next_start(seconds(40));
  const JobId id = r.submit_array(1, 100);
  Worker* holder = nullptr;
  ASSERT_TRUE(r.run_until(
      10, [&] { return r.logged(busy.old_leader, "task placed task=" + id.value() + "/0 attempt=1 ") > 0; }));
  const auto& machines = r.machines_of(busy.old_leader, id);
  for (auto& w : r.workers()) {
    if (machines.contains(w->id())) holder = w.get();
  }
  ASSERT_NE(nullptr, holder);
  r.run(2.2);  // the command times out
  // None of its heartbeats arrives until the leader cannot renew its lease any more.
  holder->lose_uplink(seconds(4));
  r.cancel(id, {busy.old_leader});
  ASSERT_TRUE(r.run_until(2, [&] { return r.rules().job(id).reported_cancelled.has_value(); }));
  r.store().fail_for(seconds(11));
  r.run(45);
  EXPECT_GT(holder->executed_late(), 0U) << "the start was not delayed";
  EXPECT_EQ("", r.violations());
  busy.expect_all_jobs_end(700);
}

}  // namespace
}  // namespace martenwall
