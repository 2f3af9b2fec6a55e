// Fault combinations that involve users: polls at all nodes within milliseconds, lost responses, cancellations during
// failover and at a job's end, many small jobs, invalid requests. docs/safety.md explains each.
#include "region/busy_region.hpp"
#include "wire/user_codec.hpp"

namespace martenwall {
namespace {

using nlohmann::json;
using region::BusyRegion;
using region::Region;
using region::RegionOptions;
using region::sets;

JobSpec small_job(std::uint32_t tasks, JobKind kind = JobKind::array) {
  JobSpec s;
  s.kind = kind;
  s.tasks = tasks;
  s.need = {1, 1, 8};
  return s;
}

// Whatever faults the controllers have, no node returns an older status than one already reported to the user.
TEST(failure_combinations, users_ask_all_nodes_within_milliseconds) {
  for (const std::uint64_t seed : {101U, 102U, 103U, 104U}) {
    SCOPED_TRACE(seed);
    BusyRegion busy{seed, {}, 6};
    Region& r = busy.r;
    r.query_intensively(0.4);
    JobId last = busy.jobs.front();
    for (int i = 0; i < 14; ++i) {
      r.submit(small_job(1 + static_cast<std::uint32_t>(i) % 3, i % 4 == 3 ? JobKind::gang : JobKind::array), 2);
      auto chained = small_job(1);
      chained.dependencies = {last};
      last = r.submit(chained, 1);
      r.run(2.5);
      const auto l = r.leader();
      if (!l) continue;
      if (i == 2) r.kill_for(*l, 0.2);
      if (i == 4) r.cut_links(*l, 6);
      if (i == 6) r.store().faults(*l).refuses_until = r.now() + seconds(5);
      if (i == 8) r.freeze(*l, 3);
      if (i == 9) r.kill_for(r.other_controller(*l, 1), 0.2);
      if (i == 10) r.store().slow_down(seconds(0.8), r.now() + seconds(4));
      if (i == 11) r.store().fail_for(seconds(3));
    }
    r.run(10);
    busy.expect_all_jobs_end(400);
    EXPECT_GT(r.intensive_queries(), 400U);
  }
}

// Transactions are applied at once and only the responses are lost, while other nodes read the written rows.
TEST(failure_combinations, only_the_response_is_lost) {
  std::size_t lost = 0;
  for (const std::uint64_t seed : {111U, 112U, 113U, 114U}) {
    SCOPED_TRACE(seed);
    BusyRegion busy{seed, {}, 8};
    Region& r = busy.r;
    r.query_intensively(0.3);
    for (std::size_t c = 0; c < 3; ++c) {
      auto& faults = r.store().faults(c);
      faults.late_share = 0.4;
      faults.apply_at_once = true;
      faults.late_until = r.now() + seconds(60);
    }
    for (int i = 0; i < 10; ++i) {
      const JobId id = r.submit(small_job(2), 3);
      r.run(3);
      if (i % 2 == 0) r.cancel(id, {r.pick(), r.pick()});
      const auto l = r.leader();
      if (i == 3 && l) r.kill_for(*l, 0.3);
      if (i == 5 && l) r.store().faults(*l).refuses_until = r.now() + seconds(4);
      if (i == 7 && l) r.cut_links(*l, 5);
      r.run(3);
    }
    r.run(15);
    lost += r.store().late();
    busy.expect_all_jobs_end(400);
  }
  EXPECT_GT(lost, 80U);
}

// The writer of the leader key gets no response, and the read that would show the outcome is refused.
TEST(failure_combinations, a_leader_key_whose_writer_gets_no_response) {
  BusyRegion busy{115};
  Region& r = busy.r;
  std::optional<std::size_t> writer;
  r.store().make_late(
      [&](std::size_t from, const json& txn) {
        if (sets(txn, "lead")) writer = from;
        return writer.has_value();
      },
      Duration{0});
  r.store().on_commit = [&](const json& txn, bool late) {
    if (late && writer && sets(txn, "lead")) r.store().faults(*writer).refuses_until = r.now() + seconds(1.9);
  };
  r.kill_for(busy.old_leader, 20);
  ASSERT_TRUE(r.run_until(10, [&] { return writer.has_value(); }));
  r.cancel(busy.jobs.at(0), {r.other_controller(busy.old_leader, 1), r.other_controller(busy.old_leader, 2)});
  EXPECT_TRUE(r.run_until(15, [&] { return r.leader().has_value(); })) << "no leader was elected";
  EXPECT_TRUE(r.run_until(15, [&] { return r.rules().job(busy.jobs.at(0)).reported_cancelled.has_value(); }));
  EXPECT_EQ(1U, r.store().late());
  busy.expect_all_jobs_end(700);
}

// A submission is stored but its user gets no response; the job is polled, resubmitted and cancelled at another node.
TEST(failure_combinations, a_stored_submission_whose_user_got_no_response) {
  for (const bool by_leader : {true, false}) {
    SCOPED_TRACE(by_leader);
    BusyRegion busy{116, {}, 20};
    Region& r = busy.r;
    r.query_intensively();
    const auto at = by_leader ? busy.old_leader : r.other_controller(busy.old_leader, 1);
    const auto other = r.other_controller(busy.old_leader, 2);
    r.cut_links(at, 6);
    bool stored = false;
    r.store().make_late([&](std::size_t from, const json& txn) { return stored = from == at && sets(txn, "j/"); },
                        Duration{0});
    const JobId id = r.submit_array(2, 5, at);
    ASSERT_TRUE(r.run_until(3, [&] { return stored; }));
    r.poll_once(id, other);
    r.submit_copy(id, other);
    r.run(0.3);
    EXPECT_TRUE(r.rules().job(id).accepted.has_value()) << "the other node did not find the job";
    r.cancel(id, {other});
    EXPECT_TRUE(r.run_until(20, [&] { return r.rules().job(id).reported_cancelled.has_value(); }));
    busy.expect_all_jobs_end(300);
  }
}

// Jobs are cancelled at each stage of a failover, also at the old leader, with its starts still in flight.
TEST(failure_combinations, jobs_are_cancelled_during_failover) {
  for (const double after : {0.0, 0.4, 0.9, 1.5, 2.0, 2.3, 2.6, 3.2}) {
    for (const bool killed : {false, true}) {
      SCOPED_TRACE(std::to_string(after) + (killed ? " killed" : " refused"));
      BusyRegion busy{121};
      Region& r = busy.r;
      for (auto& w : r.workers()) w->hold_next_start(seconds(3));
      std::vector<JobId> new_jobs;
      for (int i = 0; i < 3; ++i) new_jobs.push_back(r.submit_array(2, 60));
      r.run(0.6);
      if (killed) {
        r.kill_for(busy.old_leader, 8);
      } else {
        r.store().faults(busy.old_leader).refuses_until = r.now() + seconds(8);
      }
      r.run(after);
      const bool changing = !r.leader() || *r.leader() != busy.old_leader || after < 2;
      for (std::size_t i = 0; i < 3; ++i)
        r.cancel(busy.jobs.at(i), {r.other_controller(busy.old_leader, i), r.other_controller(busy.old_leader, i + 1)});
      for (const auto& id : new_jobs) r.cancel(id, {r.other_controller(busy.old_leader, 1), busy.old_leader});
      EXPECT_TRUE(changing);
      const auto all_confirmed = [&] {
        return std::ranges::all_of(new_jobs,
                                   [&](const JobId& id) { return r.rules().job(id).reported_cancelled.has_value(); });
      };
      EXPECT_TRUE(r.run_until(15, all_confirmed)) << "not confirmed within seconds of the election";
      r.run(30);
      busy.expect_all_jobs_end(700);
    }
  }
}

// Without other faults: a job is cancelled, polled and resubmitted just as its last task ends.
TEST(failure_combinations, a_cancellation_coincides_with_the_end_of_the_last_task) {
  std::size_t done = 0;
  std::size_t cancelled = 0;
  for (const std::uint64_t seed : {131U, 132U, 133U}) {
    SCOPED_TRACE(seed);
    BusyRegion busy{seed, {}, 6};
    Region& r = busy.r;
    r.query_intensively();
    r.cancel_at_end(0.7);
    for (int i = 0; i < 40; ++i) {
      r.submit(small_job(1 + static_cast<std::uint32_t>(i) % 3, i % 3 == 2 ? JobKind::gang : JobKind::array), 2);
      r.run(0.7);
    }
    busy.expect_all_jobs_end(200);
    for (const auto& [id, w] : r.rules().jobs()) {
      if (!w.cancel_requested) continue;
      ++(w.reported_done ? done : cancelled);
    }
  }
  EXPECT_GT(done + cancelled, 60U) << "too few jobs were cancelled at their end";
}

// Four one-task jobs per second for two minutes, a quarter of them cancelled, with a store of low write rate.
TEST(failure_combinations, one_task_jobs_run_for_minutes) {
  RegionOptions options;
  options.write_rps = 30;
  BusyRegion busy{141, options, 5};
  Region& r = busy.r;
  r.run(20);
  const auto before = r.store().changes();
  std::vector<JobId> jobs;
  for (int i = 0; i < 480; ++i) {
    jobs.push_back(r.submit_array(1, 2));
    if (i % 4 == 1) r.cancel(jobs.at(jobs.size() - 2), {r.pick(), r.pick()});
    r.run(0.25);
  }
  busy.expect_all_jobs_end(60);
  const double each = static_cast<double>(r.store().changes() - before) / static_cast<double>(jobs.size());
  // Submission, task row, final row with removal of the job row, removal of the task row.
  EXPECT_LT(each, 7.0) << "store changes per job";
  double max_accept_s = 0;
  for (const auto& id : jobs) {
    const auto& w = r.rules().job(id);
    ASSERT_TRUE(w.accepted.has_value());
    max_accept_s = std::max(max_accept_s, to_seconds(*w.accepted - w.submitted));
  }
  EXPECT_LT(max_accept_s, 10.0) << "a submission was starved";
}

// ---- invalid requests ----

json valid_request() {
  auto spec = small_job(2);
  spec.id = JobId{"job-900000"};
  spec.job_class = "x";
  spec.team = "red";
  spec.image = "img";
  spec.image_gb = 1;
  spec.estimate_s = 5;
  return wire::encode_job(spec);
}

struct InvalidRequest {
  std::string what;
  json body;
  int status;
};

std::vector<InvalidRequest> invalid_requests() {
  std::vector<InvalidRequest> out;
  const json valid = valid_request();
  for (const auto& [name, value] : valid.items()) {
    json without = valid;
    without.erase(name);
    out.push_back({"without " + name, without, 400});
    json null = valid;
    null[name] = nullptr;
    out.push_back({"null " + name, null, 400});
    json ill = valid;
    ill[name] = value.is_string() ? json{7} : json{"seven"};
    out.push_back({"ill-typed " + name, ill, 400});
    if (value.is_number()) {
      ill[name] = -1;
      out.push_back({"negative " + name, ill, 400});
    }
  }
  const auto changed = [&](const std::string& name, const json& value, int status) {
    json o = valid;
    o[name] = value;
    out.push_back({name + " " + value.dump(), o, status});
  };
  changed("shards", 1.5, 400);
  changed("shards", 0, 400);
  changed("shape", "swarm", 400);
  changed("rank", "low", 400);
  changed("breeds", json::array({7}), 400);
  changed("yard", 7, 400);
  changed("dueS", "soon", 400);
  changed("crew", "nobody", 422);
  changed("cpus", 49.0, 422);
  changed("accelerators", 4.5, 422);
  changed("memGb", 289.0, 422);
  changed("breeds", json::array({"huge"}), 422);
  changed("breeds", json::array(), 422);
  changed("yard", "nowhere", 422);
  json gang = valid;
  gang["shape"] = "ensemble";
  gang["shards"] = 2000;
  out.push_back({"a gang beyond its team's limit", gang, 422});
  gang["shards"] = 2;
  gang["spread"] = true;
  gang["oneZone"] = true;
  out.push_back({"a spread gang with oneZone", gang, 422});
  gang["oneZone"] = false;
  gang["yard"] = "a";
  out.push_back({"a spread gang bound to a zone", gang, 422});
  return out;
}

// Every node, leader or follower or just started, gives the same status to an invalid request and stores nothing of it.
TEST(failure_combinations, each_node_gets_odd_requests) {
  BusyRegion busy{151};
  Region& r = busy.r;
  r.kill(r.other_controller(busy.old_leader, 2));
  r.start(r.other_controller(busy.old_leader, 2));
  std::size_t unavailable = 0;
  for (const auto& invalid : invalid_requests()) {
    for (std::size_t c = 0; c < 3; ++c) {
      const auto answer = r.request(c, "POST", "/api/jobs", invalid.body.dump());
      if (answer.status == 503) ++unavailable;  // the node does not know the machine types yet
      EXPECT_TRUE(answer.status == invalid.status ||
                  (answer.status == 503 && c == r.other_controller(busy.old_leader, 2)))
          << invalid.what << " at " << c << ": " << answer.status << " " << answer.body;
    }
    for (const char* row : {"j/job-900000", "k/job-900000", "f/job-900000", "i/job-900000"}) {
      EXPECT_FALSE(r.store().has(row)) << invalid.what;
    }
  }
  EXPECT_LT(unavailable, 3 * invalid_requests().size() / 4);
  for (std::size_t c = 0; c < 3; ++c) {
    EXPECT_EQ(404, r.request(c, "GET", "/api/jobs/job-900000", "").status);
    EXPECT_EQ(404, r.request(c, "POST", "/api/jobs/job-900000/cancel", "").status);
  }
  // Resubmitting an accepted, unfinished job creates no new job, whatever the copy contains.
  json again = wire::encode_job(r.rules().job(busy.jobs.at(0)).spec);
  const JobId done = r.submit_array(1, 1);
  ASSERT_TRUE(r.run_until(20, [&] { return r.rules().job(done).reported_done.has_value(); }));
  for (std::size_t c = 0; c < 3; ++c) {
    EXPECT_EQ(200, r.request(c, "POST", "/api/jobs", again.dump()).status);
    json changed = again;
    changed["crew"] = "nobody";
    EXPECT_EQ(200, r.request(c, "POST", "/api/jobs", changed.dump()).status) << "the job had been accepted";
    const auto cancelled = r.request(c, "POST", "/api/jobs/" + done.value() + "/cancel", "");
    EXPECT_EQ(200, cancelled.status);
    EXPECT_EQ("done", json::parse(cancelled.body).at("phase"));
  }
  busy.expect_all_jobs_end(400);
}

}  // namespace
}  // namespace martenwall
