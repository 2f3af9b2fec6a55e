// Whole nodes: what the users of dependent jobs are told at submission if a job before theirs is cancelled.
#include "region/busy_region.hpp"
#include "wire/user_codec.hpp"

namespace martenwall {
namespace {

using region::one_task;
using region::Region;

// A chain of two jobs whose first one was cancelled more than cancel_s ago; the second one was cancelled with it.
struct CancelledChain {
  Region r;
  JobId first, second;
  std::size_t leader = 0;

  explicit CancelledChain(std::uint64_t seed) : r(seed, {}) {
    EXPECT_TRUE(r.run_until(20, [&] { return r.leader().has_value(); }));
    leader = r.leader().value_or(0);
    first = r.submit(one_task(), 900);
    EXPECT_TRUE(r.run_until(60, [&] { return r.rules().started() > 0; }));
    second = r.submit(one_task({first}), 5);
    EXPECT_TRUE(r.run_until(60, [&] { return r.rules().job(second).accepted.has_value(); }));
    r.cancel(first, {leader});
    EXPECT_TRUE(r.run_until(20, [&] { return r.rules().job(second).reported_cancelled.has_value(); }));
    r.run(region::RegionOptions{}.timings.cancel_s + 10);
  }
  // Submits a job that depends on `dependency` at this controller. Its user must be told that it is cancelled.
  void submit_late(const JobId& dependency, std::size_t at) {
    const JobId late = r.submit(one_task({dependency}), 5);
    r.poll_at(late, {at});
    EXPECT_TRUE(r.run_until(30, [&] { return r.rules().job(late).reported_cancelled.has_value(); })) << late.value();
    EXPECT_TRUE(r.store().has(wire::final_key(late)));
  }
  void expect_rules_kept() {
    r.run(30);
    EXPECT_EQ("", r.violations());
  }
};

TEST(dependent_submissions, a_job_that_awaits_a_cancelled_one_is_not_called_pending_by_the_leader) {
  CancelledChain chain{501};
  chain.submit_late(chain.first, chain.leader);
  chain.submit_late(chain.second, chain.leader);
  chain.expect_rules_kept();
}

TEST(dependent_submissions, a_job_that_awaits_a_cancelled_one_is_not_called_pending_by_another_node) {
  CancelledChain chain{502};
  chain.submit_late(chain.first, chain.r.other_controller(chain.leader, 1));
  chain.submit_late(chain.second, chain.r.other_controller(chain.leader, 2));
  chain.expect_rules_kept();
}

TEST(dependent_submissions, a_job_that_awaits_a_cancelled_one_is_not_called_pending_by_a_node_that_reaches_no_leader) {
  CancelledChain chain{503};
  const auto at = chain.r.other_controller(chain.leader, 1);
  chain.r.cut_links(at, 20);
  chain.submit_late(chain.first, at);
  chain.r.cut_links(at, 20);
  chain.submit_late(chain.second, at);
  chain.expect_rules_kept();
}

TEST(dependent_submissions, a_job_that_awaits_a_cancelled_one_is_not_called_pending_by_a_leader_that_just_began) {
  CancelledChain chain{504};
  for (std::size_t c = 0; c < chain.r.controllers(); ++c) chain.r.kill_for(c, 1);
  ASSERT_TRUE(chain.r.run_until(40, [&] { return chain.r.leader().has_value(); }));
  const auto leader = chain.r.leader().value_or(0);
  chain.submit_late(chain.first, leader);
  chain.submit_late(chain.second, leader);
  chain.expect_rules_kept();
}

TEST(dependent_submissions, a_repeated_submission_is_not_called_pending_while_the_cancelled_chain_is_not_stored) {
  CancelledChain chain{505};
  const auto at = chain.r.other_controller(chain.leader, 1);
  const JobId late = chain.r.submit(one_task({chain.second}), 5);
  chain.r.poll_at(late, {at});
  chain.r.cut_links(at, 10);
  chain.r.run(0.3);
  for (std::size_t c = 0; c < chain.r.controllers(); ++c) chain.r.submit_copy(late, c);
  EXPECT_TRUE(chain.r.run_until(30, [&] { return chain.r.rules().job(late).reported_cancelled.has_value(); }));
  chain.expect_rules_kept();
}

TEST(dependent_submissions, the_leader_accepts_a_job_that_awaits_a_cancelled_one_with_its_first_answer) {
  CancelledChain chain{507};
  JobSpec late = one_task({chain.first});
  late.id = JobId{"job-800001"};
  late.team = "red";
  late.job_class = "x";
  late.image = "img";
  const auto answer = chain.r.request(chain.leader, "POST", "/api/jobs", wire::encode_job(late).dump());
  ASSERT_EQ(201, answer.status) << answer.body;
  EXPECT_EQ("withdrawn", nlohmann::json::parse(answer.body).at("phase"));
}

TEST(dependent_submissions, a_job_that_awaits_an_unfinished_one_is_accepted_as_pending_at_every_node) {
  region::BusyRegion busy{506};
  Region& r = busy.r;
  for (std::size_t c = 0; c < r.controllers(); ++c) {
    const JobId id = r.submit(one_task({busy.jobs.front()}), 5);
    r.poll_at(id, {c});
    EXPECT_TRUE(r.run_until(3, [&] { return r.rules().job(id).accepted.has_value(); })) << "node " << c;
  }
  busy.expect_all_jobs_end(400);
}

}  // namespace
}  // namespace martenwall
