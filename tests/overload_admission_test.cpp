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

constexpr double any = std::numeric_limits<double>::infinity();

Pool pool(double gpus, double free = 0) { return {{any, free, any}, {any, gpus, any}}; }
WorkRequest request(double gpus, double run_s, std::vector<double> times, std::size_t job_class = 0) {
  return {job_class, {0}, {0, gpus, 0}, run_s, std::move(times)};
}

TEST(overload_admission, changes_nothing_where_all_can_be_in_time) {
  // Late for its first time and for all of them: nobody is short of room, so nothing is decided.
  const auto v =
      load::plan_admission({pool(10, 10)}, {request(5, 10, {50}), request(5, 10, {-5, 20}), request(1, 10, {-9})}, 1);
  for (const auto& one : v) EXPECT_EQ(0U, one.first_met_target);
}

TEST(overload_admission, defers_the_largest_rather_than_many) {
  // Ten GPUs free 10 GPU-seconds a second: by second 20 there is room for 200.
  std::vector<WorkRequest> requests{request(15, 10, {20})};
  for (int i = 0; i < 10; ++i) requests.push_back(request(2, 10, {20}));
  const auto v = load::plan_admission({pool(10)}, requests, 1);
  EXPECT_EQ(1U, v[0].first_met_target);
  for (std::size_t i = 1; i < v.size(); ++i) EXPECT_EQ(0U, v[i].first_met_target);
}

TEST(overload_admission, a_request_that_misses_its_first_target_is_kept_for_a_later_one) {
  const auto v = load::plan_admission(
      {pool(10)}, {request(20, 10, {20, 45}), request(20, 10, {20, 90}), request(80, 10, {20, 60})}, 1);
  EXPECT_EQ(0U, v[0].first_met_target);
  EXPECT_EQ(1U, v[1].first_met_target);
  EXPECT_EQ(2U, v[2].first_met_target) << "the third cannot meet any beside the others";
}

// Found by taking the guards out by hand: neither of them was missed by the tests above.
TEST(overload_admission, a_request_kept_for_a_first_target_is_accounted_for_later_ones) {
  const auto third = [](double last_s) {
    return load::plan_admission({pool(10)},
                                {request(10, 10, {20}), request(10, 10, {20}), request(11, 10, {20, last_s})}, 1)[2]
        .first_met_target;
  };
  EXPECT_EQ(2U, third(25)) << "310 GPU-seconds are more than 25 s free";
  EXPECT_EQ(1U, third(35));
}

TEST(overload_admission, a_past_target_is_not_met_however_much_capacity_is_free) {
  const auto v = load::plan_admission({pool(10, 5)}, {request(1, 20, {-5, 30}), request(30, 20, {20})}, 1);
  EXPECT_TRUE(v[0].in_short_pool);
  EXPECT_EQ(1U, v[0].first_met_target);
}

TEST(overload_admission, classes_share_what_is_deferred) {
  std::vector<WorkRequest> requests;
  for (int i = 0; i < 20; ++i) requests.push_back(request(1, 10, {10}, 0));  // small, many
  for (int i = 0; i < 20; ++i) requests.push_back(request(2, 10, {10}, 1));  // by size alone all of these would go
  const auto v = load::plan_admission({pool(30)}, requests, 1);
  const auto kept = [&](std::size_t from) {
    return std::count_if(v.begin() + static_cast<std::ptrdiff_t>(from),
                         v.begin() + static_cast<std::ptrdiff_t>(from) + 20,
                         [](const auto& one) { return one.first_met_target == 0; });
  };
  EXPECT_NEAR(static_cast<double>(kept(0)), static_cast<double>(kept(20)), 1.0);
  EXPECT_GE(kept(0), 9);
}

std::vector<WorkRequest> some_requests(bool one_class) {
  std::vector<WorkRequest> out;
  const auto n = *rc::gen::inRange(1, 9);
  for (int i = 0; i < n; ++i) {
    std::vector<double> times{*rc::gen::inRange(0, 60) * 1.0};
    if (*rc::gen::arbitrary<bool>()) times.push_back(times[0] + *rc::gen::inRange(1, 40));
    out.push_back(request(*rc::gen::inRange(1, 12), 10, times,
                          one_class ? 0 : static_cast<std::size_t>(*rc::gen::inRange(0, 3))));
  }
  return out;
}

// Can all of these start by their first times, in that order, as room is freed?
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

// Held against every choice there is: with one class and one pool, no choice has more in time.
RC_GTEST_PROP(overload_admission, keeps_as_many_in_time_as_possible, ()) {
  auto requests = some_requests(true);
  for (auto& c : requests) c.latest_start_s.resize(1);
  const double rate = *rc::gen::inRange(1, 8);
  const auto v = load::plan_admission({pool(rate)}, requests, 1);
  std::vector<std::size_t> kept;
  for (std::size_t i = 0; i < v.size(); ++i) {
    if (v[i].first_met_target == 0) kept.push_back(i);
  }
  RC_ASSERT(feasible(requests, kept, rate));
  std::size_t most = 0;
  for (std::uint32_t set = 0; set < (1U << requests.size()); ++set) {
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < requests.size(); ++i) {
      if ((set >> i & 1U) != 0) chosen.push_back(i);
    }
    if (chosen.size() > most && feasible(requests, chosen, rate)) most = chosen.size();
  }
  RC_ASSERT(kept.size() == most);
}

RC_GTEST_PROP(overload_admission, more_capacity_never_keeps_fewer_of_one_class, ()) {
  const auto requests = some_requests(true);
  const double rate = *rc::gen::inRange(1, 8);
  const auto kept = [&](double r) {
    return std::ranges::count_if(load::plan_admission({pool(r)}, requests, 1),
                                 [](const auto& v) { return v.first_met_target == 0; });
  };
  RC_ASSERT(kept(rate + 1) >= kept(rate));
}

RC_GTEST_PROP(overload_admission, the_worst_result_of_a_request_is_that_it_meets_no_target, ()) {
  const auto requests = some_requests(false);
  const auto v = load::plan_admission({pool(*rc::gen::inRange(1, 8))}, requests, 0.8);
  RC_ASSERT(v.size() == requests.size());
  for (std::size_t i = 0; i < v.size(); ++i) RC_ASSERT(v[i].first_met_target <= requests[i].latest_start_s.size());
}

}  // namespace
}  // namespace martenwall
