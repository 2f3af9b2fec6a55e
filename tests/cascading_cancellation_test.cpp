// Whole nodes: the cancellation of a job that many others depend on.
#include "region/busy_region.hpp"

namespace martenwall {
namespace {

using region::one_task;
using region::Region;

// A running job with dependents, half of which depend on it through another one, and a store that takes few changes.
struct Cascade {
  static constexpr std::size_t dependents = 240;
  Region r;
  JobId root;
  std::vector<JobId> waiting;

  explicit Cascade(std::uint64_t seed) : r(seed, options()) {
    EXPECT_TRUE(r.run_until(20, [&] { return r.leader().has_value(); }));
    root = r.submit(one_task(), 900);
    EXPECT_TRUE(r.run_until(60, [&] { return r.rules().job(root).accepted && r.rules().started() > 0; }));
    for (std::size_t i = 0; i < dependents; ++i) {
      waiting.push_back(r.submit(one_task({i % 2 == 1 ? waiting.back() : root}), 5));
      EXPECT_TRUE(r.run_until(65, [&] { return r.rules().job(waiting.back()).accepted.has_value(); }));
    }
  }
  static region::RegionOptions options() {
    region::RegionOptions options;
    options.write_rps = 8;
    options.txn_ops = 6;  // a transaction may not have more changes than the store takes in a second
    return options;
  }
  [[nodiscard]] std::size_t unstored() {
    return static_cast<std::size_t>(
        std::ranges::count_if(waiting, [&](const JobId& id) { return !r.store().has(wire::final_key(id)); }));
  }
  [[nodiscard]] bool all_reported_cancelled() {
    return std::ranges::all_of(waiting,
                               [&](const JobId& id) { return r.rules().job(id).reported_cancelled.has_value(); });
  }
};

// The end of each dependent takes two changes of the store. Until all were stored, polls for the rest got 503: with
// enough dependents for longer than the 90 s after which a job counts as forgotten.
TEST(cascading_cancellation, dependents_are_reported_cancelled_before_all_their_ends_are_stored) {
  Cascade cascade{401};
  Region& r = cascade.r;
  const auto leader = r.leader();
  ASSERT_TRUE(leader);
  r.cancel(cascade.root, {*leader});
  ASSERT_TRUE(r.run_until(20, [&] { return r.rules().job(cascade.root).reported_cancelled.has_value(); }));
  // The users poll every 2 to 4 s, at any node.
  EXPECT_TRUE(r.run_until(12, [&] { return cascade.all_reported_cancelled(); })) << "not reported cancelled";
  EXPECT_GT(cascade.unstored(), Cascade::dependents / 4) << "the ends were stored too soon for this test";
  // The next leader derives the ends that are not stored, and no user is told anything else.
  r.kill_for(*leader, 900);
  EXPECT_TRUE(r.run_until(300, [&] { return cascade.unstored() == 0; }));
  r.run(60);
  EXPECT_EQ("", r.violations());
}

TEST(cascading_cancellation, a_job_submitted_before_the_ends_of_its_dependencies_are_stored_is_not_called_pending) {
  Cascade cascade{402};
  Region& r = cascade.r;
  const auto leader = r.leader();
  ASSERT_TRUE(leader);
  r.cancel(cascade.root, {*leader});
  ASSERT_TRUE(r.run_until(20, [&] { return r.rules().job(cascade.root).reported_cancelled.has_value(); }));
  std::vector<JobId> late;
  for (std::size_t c = 0; c < r.controllers(); ++c) {
    late.push_back(r.submit(one_task({cascade.waiting.back()}), 5));
    r.poll_at(late.back(), {c});
  }
  r.run(region::RegionOptions{}.timings.cancel_s + 5);
  EXPECT_GT(cascade.unstored(), 0U) << "the ends were stored too soon for this test";
  for (const auto& id : late) EXPECT_TRUE(r.rules().job(id).reported_cancelled) << id.value();
  EXPECT_EQ("", r.violations());
}

}  // namespace
}  // namespace martenwall
