// A region whose leader works on long jobs: what most meetings begin with.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>

#include "region.hpp"

namespace martenwall::region {

inline bool sets(const nlohmann::json& txn, const std::string& prefix) {
  const auto& then = txn.at("then");
  return std::ranges::any_of(then, [&](const auto& op) { return op.value("set", "").starts_with(prefix); });
}

// What the region is while a leader works on long jobs.
struct Busy {
  Region r;
  std::vector<JobId> jobs;
  std::size_t old = 0;
  explicit Busy(std::uint64_t seed, region::RegionOptions options = {}, double run_s = 150) : r(seed, options) {
    EXPECT_TRUE(r.run_until(20, [&] { return r.leader().has_value(); }));
    for (int i = 0; i < 6; ++i) jobs.push_back(r.submit_array(4, run_s));
    EXPECT_TRUE(r.run_until(60, [&] { return r.rules().started() >= 24; })) << "the jobs run";
    r.run(3);
    old = r.leader().value_or(0);
  }
  // After all troubles: what was not cancelled comes to its end, what was is answered.
  void ends_well(double longest) {
    r.rules().all_faults_over(r.now());
    EXPECT_TRUE(r.run_until(longest, [&] { return r.all_over(); })) << "every accepted job comes to its end";
    r.run(30);
    EXPECT_EQ("", r.breaches());
  }
};

}  // namespace martenwall::region
