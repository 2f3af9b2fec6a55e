// Status by compared keys: a node that does not reach the leader checks the keys of many jobs with one store
// transaction and answers polls from the result (docs/safety.md, "Status by compared keys").
//
// Guards against comparisons that return no key (cause: key_comparison_test.cpp). Each poll then costs two to four
// reads of a store that grants such a node a third of its requests, so that polls queue up and are refused. A
// resubmission of an accepted job with dependencies is checked like a new job: with other dependencies it gets 422,
// which violates the rule `forgotten`. With the old parser's result most tests below fail, among them those that
// require an answer with `source="compared_active"`.
#include "region/busy_region.hpp"
#include "wire/user_codec.hpp"

namespace martenwall {
namespace {

using nlohmann::json;
using region::BusyRegion;
using region::Region;

// Returns the process's lookup counter, or -1 if it is not exported.
double lookups(const Region& r, std::size_t c, const std::string& purpose, const std::string& source) {
  const std::string text = r.context(c).metrics.exposition();
  const std::string line = "martenwall_lookups_total{purpose=\"" + purpose + "\",source=\"" + source + "\"} ";
  const auto at = text.find(line);
  return at == std::string::npos ? -1 : std::stod(text.substr(at + line.size()));
}

double status_lookups(const Region& r, std::size_t c, const std::string& source) {
  return lookups(r, c, "status_query", source);
}

rt::HttpResult poll(Region& r, std::size_t at, const JobId& id) {
  return r.request(at, "GET", "/api/jobs/" + id.value(), "");
}

std::string phase_of(const rt::HttpResult& answer) { return json::parse(answer.body).value("phase", ""); }

// A region with a follower that reaches the store and its users but no other controller.
struct IsolatedNode {
  BusyRegion busy;
  Region& r = busy.r;
  std::size_t leader = busy.old_leader;
  std::size_t node = r.other_controller(leader, 1);
  explicit IsolatedNode(std::uint64_t seed, double run_s = 150) : busy(seed, {}, run_s) {
    EXPECT_TRUE(r.run_until(20, [&] { return r.logged(leader, "format version raised") > 0; }));
    r.cut_links(node, 600);
    r.run(3);
  }
  // Returns the number of polls of this job that the isolated node answered from `source`.
  std::size_t answers(const JobId& id, const std::string& source) const {
    return r.logged(node, "status query answered job=" + id.value() + " source=" + source);
  }
  double compared_active() const { return status_lookups(r, node, "compared_active"); }
  JobId submit_dependent(std::vector<JobId> dependencies, double run_s = 5) {
    JobSpec spec;
    spec.tasks = 1;
    spec.need = {1, 1, 8};
    spec.dependencies = std::move(dependencies);
    const JobId id = r.submit(std::move(spec), run_s);
    EXPECT_TRUE(r.run_until(20, [&] { return r.rules().job(id).accepted.has_value(); }));
    return id;
  }
};

// A job is polled right after each reported phase: accepted, running, done.
TEST(status_comparison, a_job_is_followed_from_its_acceptance_to_its_end) {
  IsolatedNode isolated{201};
  Region& r = isolated.r;
  const JobId id = r.submit_array(2, 4, isolated.leader);
  ASSERT_TRUE(r.run_until(10, [&] { return r.rules().job(id).accepted.has_value(); }));
  const auto accepted = poll(r, isolated.node, id);
  EXPECT_EQ(200, accepted.status) << accepted.body;
  EXPECT_EQ(1U, isolated.answers(id, "compared_active"));
  EXPECT_GT(isolated.compared_active(), 0) << "the lookup was not counted";
  r.poll_at(id, {isolated.leader});
  ASSERT_TRUE(r.run_until(30, [&] { return r.store().has(wire::tasks_key(id, 0)); }));
  EXPECT_EQ("running", phase_of(poll(r, isolated.node, id)));
  EXPECT_EQ(2U, isolated.answers(id, "compared_active"));
  ASSERT_TRUE(r.run_until(30, [&] { return r.rules().job(id).reported_done.has_value(); }));
  EXPECT_EQ("done", phase_of(poll(r, isolated.node, id)));
  EXPECT_EQ(0U, r.store().reads_of(wire::job_key(id))) << "the row of an active job was read";
  isolated.busy.expect_all_jobs_end(400);
}

// A poll sent after the end was reported must not share the result of an earlier comparison.
TEST(status_comparison, a_poll_after_the_end_does_not_share_an_earlier_comparison) {
  for (const bool cancelled : {true, false}) {
    SCOPED_TRACE(cancelled);
    IsolatedNode isolated{202};
    Region& r = isolated.r;
    const JobId id = r.submit_array(1, 3, isolated.leader);
    ASSERT_TRUE(r.run_until(20, [&] { return r.store().has(wire::tasks_key(id, 0)); }));
    r.store().faults(isolated.node).comparison_delay = seconds(0.4);
    const auto ended = [&] {
      return r.rules().job(id).reported_cancelled.has_value() || r.rules().job(id).reported_done.has_value();
    };
    for (int i = 0; i < 2000 && !ended(); ++i) {
      if (cancelled && i == 20) r.cancel(id, {isolated.leader});
      r.poll_once(id, isolated.node);
      r.run(0.02);
    }
    ASSERT_TRUE(ended());
    for (int i = 0; i < 40; ++i) {
      r.poll_once(id, isolated.node);
      r.run(0.02);
    }
    r.run(2);
    EXPECT_GT(isolated.answers(id, "compared_active"), 0U);
    EXPECT_EQ("", r.violations());
    isolated.busy.expect_all_jobs_end(400);
  }
}

// The leader crashes between the comparison and its response; the node itself may be the leader when it arrives.
TEST(status_comparison, the_leader_ends_between_comparison_and_answer) {
  for (const double delay_s : {0.1, 0.3, 0.5}) {
    SCOPED_TRACE(delay_s);
    IsolatedNode isolated{203};
    Region& r = isolated.r;
    for (std::size_t c = 0; c < r.controllers(); ++c) r.store().faults(c).comparison_delay = seconds(delay_s);
    r.kill_for(isolated.leader, 15);
    for (int i = 0; i < 250; ++i) {
      if (i == 60)
        r.cancel(isolated.busy.jobs.at(0),
                 {r.other_controller(isolated.leader, 1), r.other_controller(isolated.leader, 2)});
      for (const auto& id : isolated.busy.jobs) r.poll_once(id, r.other_controller(isolated.leader, 1 + i % 2));
      r.run(0.02);
    }
    EXPECT_TRUE(
        r.run_until(20, [&] { return r.rules().job(isolated.busy.jobs.at(0)).reported_cancelled.has_value(); }));
    EXPECT_GT(isolated.compared_active() + status_lookups(r, r.other_controller(isolated.leader, 2), "compared_active"),
              0);
    EXPECT_EQ("", r.violations());
    isolated.busy.expect_all_jobs_end(700);
  }
}

// A job's end is stored but the response is lost: another node may report the end before the leader knows of it.
TEST(status_comparison, an_end_whose_writer_got_no_answer_is_told) {
  IsolatedNode isolated{204};
  Region& r = isolated.r;
  const JobId id = isolated.busy.jobs.at(0);
  r.store().make_late(
      [&](std::size_t from, const json& txn) {
        return from == isolated.leader && region::sets(txn, wire::final_key(id));
      },
      Duration{0});
  r.cancel(id, {isolated.leader});
  ASSERT_TRUE(r.run_until(10, [&] { return r.store().has(wire::final_key(id)); }));
  EXPECT_EQ("withdrawn", phase_of(poll(r, isolated.node, id)));
  EXPECT_GT(isolated.answers(id, "compared_final"), 0U);
  for (int i = 0; i < 50; ++i) {
    for (std::size_t c = 0; c < r.controllers(); ++c) r.poll_once(id, c);
    r.run(0.02);
  }
  EXPECT_EQ("", r.violations());
  isolated.busy.expect_all_jobs_end(700);
}

// A cancellation requested by an inbox entry is not final: the job is active until its end is stored.
TEST(status_comparison, a_cancellation_by_note_is_told_once_it_is_stored) {
  IsolatedNode isolated{205};
  Region& r = isolated.r;
  const JobId id = isolated.busy.jobs.at(1);
  r.store().faults(isolated.leader).response_delay = seconds(0.5);
  r.store().faults(isolated.leader).delayed_until = r.now() + seconds(6);
  r.cancel(id, {isolated.node});
  for (int i = 0; i < 300; ++i) {
    for (std::size_t c = 0; c < r.controllers(); ++c) r.poll_once(id, c);
    r.run(0.02);
  }
  EXPECT_TRUE(r.rules().job(id).reported_cancelled.has_value());
  EXPECT_GT(isolated.answers(id, "compared_active"), 0U);
  EXPECT_EQ("", r.violations());
  isolated.busy.expect_all_jobs_end(700);
}

// Dependencies must be checked as well: the job's key alone does not show that none of them is cancelled.
TEST(status_comparison, a_dependent_job_is_not_answered_from_its_key_alone) {
  IsolatedNode isolated{206};
  Region& r = isolated.r;
  const JobId root = isolated.busy.jobs.at(0);
  const JobId id = isolated.submit_dependent({root});
  EXPECT_EQ(200, poll(r, isolated.node, id).status);
  EXPECT_GT(isolated.answers(id, "single_reads"), 0U);
  EXPECT_EQ(0U, isolated.answers(id, "compared_active"));
  // The leader stores the root's end and loses the store before it stores the dependent's.
  r.store().on_commit = [&](const json& txn, bool) {
    if (region::sets(txn, wire::final_key(root)))
      r.store().faults(isolated.leader).refuses_until = r.now() + seconds(5);
  };
  r.cancel(root, {isolated.leader, isolated.node});
  ASSERT_TRUE(r.run_until(10, [&] { return r.store().has(wire::final_key(root)); }));
  for (int i = 0; i < 20 && r.store().has(wire::job_key(id, true)); ++i) {
    const auto answer = poll(r, isolated.node, id);
    EXPECT_TRUE(answer.status != 200 || phase_of(answer) == "withdrawn") << answer.body;
    r.run(0.02);
  }
  isolated.busy.expect_all_jobs_end(700);
}

// A row that cannot be decoded: its key still shows that the job was accepted and has not ended.
TEST(status_comparison, a_job_whose_row_cannot_be_read_is_known) {
  IsolatedNode isolated{207};
  Region& r = isolated.r;
  r.store().write("j/job-700000", json{{"no", "spec"}});
  const JobId damaged{"job-700000"};
  EXPECT_EQ(200, poll(r, isolated.node, damaged).status);
  EXPECT_EQ(1U, isolated.answers(damaged, "compared_active"));
  const JobId unknown{"job-700001"};
  EXPECT_EQ(404, poll(r, isolated.node, unknown).status);
  EXPECT_EQ(1U, isolated.answers(unknown, "single_reads")) << "404 requires reads of both keys";
}

// A row stored in chunks is not read for a poll.
TEST(status_comparison, a_job_in_chunks_is_known_by_its_key) {
  IsolatedNode isolated{208};
  Region& r = isolated.r;
  r.store().write("j/job-700002", wire::encode_chunk_manifest({"77", 3}));
  EXPECT_EQ(200, poll(r, isolated.node, JobId{"job-700002"}).status);
  EXPECT_EQ(0U, r.store().reads_of("c/job-700002/77/0"));
}

// Final rows are never removed, so the comparison and the read contradict each other: the status is unknown, and 404
// would violate the rule `forgotten`.
TEST(status_comparison, an_end_that_is_compared_but_not_read_is_not_404) {
  IsolatedNode isolated{209};
  Region& r = isolated.r;
  const JobId id = isolated.busy.jobs.at(2);
  r.store().replace_comparison = [&](std::size_t, const json&) -> std::optional<rt::HttpResponse> {
    const json body{{"failed", {wire::final_key(id)}}, {"epoch", 7}};
    return rt::HttpResponse{409, body.dump(), {}, false};
  };
  EXPECT_EQ(503, poll(r, isolated.node, id).status);
  r.store().replace_comparison = nullptr;
  EXPECT_EQ(200, poll(r, isolated.node, id).status);
}

// Both keys at once violate PROTOCOL as well; the final phase is reported, as it is permanent.
TEST(status_comparison, an_end_goes_before_the_key_of_an_active_job) {
  IsolatedNode isolated{210};
  Region& r = isolated.r;
  const JobId id{"job-700003"};
  r.store().write(wire::job_key(id), json::object());
  r.store().write(wire::final_key(id), wire::encode_final({id, JobPhase::cancelled, 1, 0, false}));
  EXPECT_EQ("withdrawn", phase_of(poll(r, isolated.node, id)));
}

// A malformed response proves nothing: the rows are read, and no accepted job gets 404 or 422.
TEST(status_comparison, malformed_conflicts_are_answered_from_rows) {
  IsolatedNode isolated{211};
  Region& r = isolated.r;
  const JobId active = isolated.busy.jobs.at(3);
  const JobId dependent = isolated.submit_dependent({active}, 5);
  r.store().replace_comparison = [](std::size_t, const json&) -> std::optional<rt::HttpResponse> {
    return rt::HttpResponse{409, R"({"failed":[],"epoch":9})", {}, false};
  };
  EXPECT_EQ(200, poll(r, isolated.node, active).status);
  EXPECT_EQ(404, poll(r, isolated.node, JobId{"job-700004"}).status);
  EXPECT_GT(r.logged(isolated.node, "conflict not understood"), 0U);
  EXPECT_EQ(0U, isolated.answers(active, "compared_active"));
  json changed = wire::encode_job(r.rules().job(dependent).spec);
  changed["awaits"] = {"job-799999"};
  EXPECT_EQ(503, r.request(isolated.node, "POST", "/api/jobs", changed.dump()).status) << "the job had been accepted";
  r.store().replace_comparison = nullptr;
  isolated.busy.expect_all_jobs_end(400);
}

// The store lowers its limit on conditions: every poll is still answered.
TEST(status_comparison, no_poll_is_lost_where_the_store_takes_fewer_conditions) {
  IsolatedNode isolated{212};
  Region& r = isolated.r;
  std::vector<JobId> jobs;
  for (int i = 0; i < 30; ++i) jobs.push_back(r.submit_array(1, 200, isolated.leader));
  ASSERT_TRUE(r.run_until(30, [&] {
    return std::ranges::all_of(jobs, [&](const JobId& id) { return r.rules().job(id).accepted.has_value(); });
  }));
  std::size_t refused = 0;
  r.store().replace_comparison = [&](std::size_t, const json& txn) -> std::optional<rt::HttpResponse> {
    if (txn.at("when").size() <= 24) return std::nullopt;
    ++refused;
    return rt::HttpResponse{400, R"({"error":"too many conditions"})", {}, false};
  };
  for (const auto& id : jobs) r.poll_once(id, isolated.node);
  r.run(1.9);
  EXPECT_GT(refused, 0U);
  for (const auto& id : jobs) EXPECT_GT(isolated.answers(id, "compared_active"), 0U) << id.value();
}

// A resubmission of an accepted job is never refused at any node, whatever dependencies it names.
TEST(status_comparison, a_repeated_submission_of_a_dependent_job_is_known_at_every_node) {
  IsolatedNode isolated{213};
  Region& r = isolated.r;
  const JobId root = r.submit_array(1, 2, isolated.leader);
  const JobId active = isolated.submit_dependent({isolated.busy.jobs.at(0)});
  const JobId done = isolated.submit_dependent({root}, 1);
  const JobId cancelled = isolated.submit_dependent({isolated.busy.jobs.at(1)});
  r.cancel(cancelled, {isolated.leader});
  ASSERT_TRUE(r.run_until(60, [&] {
    return r.rules().job(done).reported_done.has_value() && r.rules().job(cancelled).reported_cancelled.has_value();
  }));
  // Restarts the followers, so that none can answer from memory.
  for (std::size_t c = 0; c < r.controllers(); ++c) {
    if (c == isolated.leader) continue;
    r.kill(c);
    r.start(c);
    r.cut_links(c, 600);
  }
  r.run(8);
  const auto compared = [&](std::size_t c) {
    return lookups(r, c, "dependency_check", "compared_active") + lookups(r, c, "dependency_check", "compared_final");
  };
  for (std::size_t c = 0; c < r.controllers(); ++c) {
    for (const auto& [id, phase] : {std::pair{active, "pending"}, {done, "done"}, {cancelled, "withdrawn"}}) {
      SCOPED_TRACE(std::to_string(c) + " " + id.value());
      json again = wire::encode_job(r.rules().job(id).spec);
      const auto same = r.request(c, "POST", "/api/jobs", again.dump());
      EXPECT_EQ(200, same.status) << same.body;
      EXPECT_EQ(phase, phase_of(same));
      again["awaits"] = {"job-799999"};
      const auto changed = r.request(c, "POST", "/api/jobs", again.dump());
      EXPECT_EQ(200, changed.status) << changed.body;
      EXPECT_EQ(phase, phase_of(changed));
    }
    if (c == isolated.leader) continue;
    EXPECT_GT(compared(c), 0) << c;
  }
  isolated.busy.expect_all_jobs_end(700);
}

// Nodes without the lease answer polls from compared keys under many faults: no response is older than the status
// already reported to the user, and enough polls were answered from comparisons.
TEST(status_comparison, days_of_polls_at_nodes_that_do_not_reach_the_leader) {
  constexpr std::size_t job_count = 24;
  for (std::uint64_t seed = 221; seed < 227; ++seed) {
    SCOPED_TRACE(seed);
    BusyRegion busy{seed, {}, 8};
    Region& r = busy.r;
    r.query_intensively(0.35);
    JobId last = busy.jobs.front();
    for (std::size_t i = 0; i < job_count; ++i) {
      const std::size_t at = r.pick();
      const auto l = r.leader();
      if (i % 2 == 0) r.cut_links(at, 2 + 6 * r.roll());
      if (i % 3 == 0) r.store().faults(r.pick()).comparison_delay = seconds(0.5 * r.roll());
      if (i == 6 && l) r.kill_for(*l, 0.2 + 4 * r.roll());
      if (i == 10 && l) r.store().faults(*l).refuses_until = r.now() + seconds(2 + 3 * r.roll());
      if (i == 14) r.store().fail_for(seconds(1 + 2 * r.roll()));
      if (i == 16 && l) r.freeze(*l, 1 + 3 * r.roll());
      if (i == 18) r.store().faults(at).refuses_until = r.now() + seconds(3);
      if (i == 20) {
        for (std::size_t c = 0; c < r.controllers(); ++c) {
          auto& faults = r.store().faults(c);
          faults.late_share = 0.3;
          faults.apply_at_once = r.roll() < 0.5;
          faults.late_until = r.now() + seconds(6);
        }
      }
      JobSpec spec;
      spec.tasks = 1 + static_cast<std::uint32_t>(i % 3);
      spec.need = {1, 1, 8};
      if (i % 5 == 4) spec.dependencies = {last};
      last = r.submit(spec, 1 + 3 * r.roll());
      r.poll_at(last, {at});
      r.run(2);
    }
    for (std::size_t c = 0; c < r.controllers(); ++c) r.store().faults(c).comparison_delay = Duration{0};
    r.run(15);
    std::size_t answered = 0;
    for (std::size_t c = 0; c < r.controllers(); ++c) {
      answered += r.logged(c, "source=compared_active") + r.logged(c, "source=compared_final");
    }
    EXPECT_GE(answered, job_count) << "fewer than one answer by compared keys per job";
    busy.expect_all_jobs_end(400);
  }
}

}  // namespace
}  // namespace martenwall
