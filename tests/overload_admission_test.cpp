#include "load/overload_admission.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>
#include <numeric>

#include "core/scheduler/scheduler.hpp"

namespace martenwall {
namespace {

using load::Pool;
using load::WorkRequest;

constexpr double unlimited = std::numeric_limits<double>::infinity();

Pool pool(double gpus, double free = 0) { return {{unlimited, free, unlimited}, {unlimited, gpus, unlimited}}; }
WorkRequest request(double gpus, double run_s, std::vector<double> latest_start_s, std::size_t job_class = 0) {
  return {job_class, {0}, {0, gpus, 0}, run_s, std::move(latest_start_s)};
}

TEST(overload_admission, changes_nothing_where_all_can_be_in_time) {
  // One request is late for its first target, another for its only target. No pool is short, so nothing is deferred.
  const auto results =
      load::plan_admission({pool(10, 10)}, {request(5, 10, {50}), request(5, 10, {-5, 20}), request(1, 10, {-9})}, 1);
  for (const auto& result : results) EXPECT_EQ(0U, result.first_met_target);
}

TEST(overload_admission, defers_the_largest_rather_than_many) {
  // Ten GPUs free 10 GPU-seconds a second: 200 are available by second 20.
  std::vector<WorkRequest> requests{request(15, 10, {20})};
  for (int i = 0; i < 10; ++i) requests.push_back(request(2, 10, {20}));
  const auto results = load::plan_admission({pool(10)}, requests, 1);
  EXPECT_EQ(1U, results[0].first_met_target);
  for (std::size_t i = 1; i < results.size(); ++i) EXPECT_EQ(0U, results[i].first_met_target);
}

TEST(overload_admission, a_request_that_misses_its_first_target_is_kept_for_a_later_one) {
  const auto results = load::plan_admission(
      {pool(10)}, {request(20, 10, {20, 45}), request(20, 10, {20, 90}), request(80, 10, {20, 60})}, 1);
  EXPECT_EQ(0U, results[0].first_met_target);
  EXPECT_EQ(1U, results[1].first_met_target);
  EXPECT_EQ(2U, results[2].first_met_target) << "the third cannot meet any target besides the others";
}

// These two cases were found by removing the guards by hand: the tests above did not detect either removal.
TEST(overload_admission, a_request_kept_for_a_first_target_is_accounted_for_later_ones) {
  const auto third = [](double last_s) {
    return load::plan_admission({pool(10)},
                                {request(10, 10, {20}), request(10, 10, {20}), request(11, 10, {20, last_s})}, 1)[2]
        .first_met_target;
  };
  EXPECT_EQ(2U, third(25)) << "310 GPU-seconds exceed what is freed in 25 s";
  EXPECT_EQ(1U, third(35));
}

TEST(overload_admission, a_past_target_is_not_met_however_much_capacity_is_free) {
  const auto results = load::plan_admission({pool(10, 5)}, {request(1, 20, {-5, 30}), request(30, 20, {20})}, 1);
  EXPECT_TRUE(results[0].in_short_pool);
  EXPECT_EQ(1U, results[0].first_met_target);
}

TEST(overload_admission, classes_share_what_is_deferred) {
  std::vector<WorkRequest> requests;
  for (int i = 0; i < 20; ++i) requests.push_back(request(1, 10, {10}, 0));  // many small requests
  for (int i = 0; i < 20; ++i)
    requests.push_back(request(2, 10, {10}, 1));  // by size alone, all of these would be deferred
  const auto results = load::plan_admission({pool(30)}, requests, 1);
  const auto kept = [&](std::size_t from) {
    return std::count_if(results.begin() + static_cast<std::ptrdiff_t>(from),
                         results.begin() + static_cast<std::ptrdiff_t>(from) + 20,
                         [](const auto& result) { return result.first_met_target == 0; });
  };
  EXPECT_NEAR(static_cast<double>(kept(0)), static_cast<double>(kept(20)), 1.0);
  EXPECT_GE(kept(0), 9);
}

std::vector<WorkRequest> generate_requests(bool single_class) {
  std::vector<WorkRequest> out;
  const auto n = *rc::gen::inRange(1, 9);
  for (int i = 0; i < n; ++i) {
    std::vector<double> latest_start_s{*rc::gen::inRange(0, 60) * 1.0};
    if (*rc::gen::arbitrary<bool>()) latest_start_s.push_back(latest_start_s[0] + *rc::gen::inRange(1, 40));
    out.push_back(request(*rc::gen::inRange(1, 12), 10, latest_start_s,
                          single_class ? 0 : static_cast<std::size_t>(*rc::gen::inRange(0, 3))));
  }
  return out;
}

// Returns whether all chosen requests can start by their first targets, in the order of those targets, as capacity is
// freed.
bool feasible(const std::vector<WorkRequest>& requests, const std::vector<std::size_t>& chosen, double rate) {
  auto order = chosen;
  std::ranges::stable_sort(order, {}, [&](auto i) { return requests[i].latest_start_s[0]; });
  double work = 0;
  for (const auto i : order) {
    work += requests[i].need[1] * requests[i].run_s;
    if (work > rate * requests[i].latest_start_s[0] + 1e-6) return false;
  }
  return true;
}

// Compares the result with every possible choice: with one class and one pool, no choice meets more targets.
RC_GTEST_PROP(overload_admission, keeps_as_many_in_time_as_possible, ()) {
  auto requests = generate_requests(true);
  for (auto& c : requests) c.latest_start_s.resize(1);
  const double rate = *rc::gen::inRange(1, 8);
  const auto results = load::plan_admission({pool(rate)}, requests, 1);
  std::vector<std::size_t> kept;
  for (std::size_t i = 0; i < results.size(); ++i) {
    if (results[i].first_met_target == 0) kept.push_back(i);
  }
  RC_ASSERT(feasible(requests, kept, rate));
  std::size_t max_kept = 0;
  for (std::uint32_t set = 0; set < (1U << requests.size()); ++set) {
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < requests.size(); ++i) {
      if ((set >> i & 1U) != 0) chosen.push_back(i);
    }
    if (chosen.size() > max_kept && feasible(requests, chosen, rate)) max_kept = chosen.size();
  }
  RC_ASSERT(kept.size() == max_kept);
}

RC_GTEST_PROP(overload_admission, more_capacity_never_keeps_fewer_of_one_class, ()) {
  const auto requests = generate_requests(true);
  const double rate = *rc::gen::inRange(1, 8);
  const auto kept = [&](double r) {
    return std::ranges::count_if(load::plan_admission({pool(r)}, requests, 1),
                                 [](const auto& result) { return result.first_met_target == 0; });
  };
  RC_ASSERT(kept(rate + 1) >= kept(rate));
}

RC_GTEST_PROP(overload_admission, the_worst_result_of_a_request_is_that_it_meets_no_target, ()) {
  const auto requests = generate_requests(false);
  const auto results = load::plan_admission({pool(*rc::gen::inRange(1, 8))}, requests, 0.8);
  RC_ASSERT(results.size() == requests.size());
  for (std::size_t i = 0; i < results.size(); ++i)
    RC_ASSERT(results[i].first_met_target <= requests[i].latest_start_s.size());
}

}  // namespace
}  // namespace martenwall
