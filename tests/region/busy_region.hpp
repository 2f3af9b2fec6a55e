// A region whose leader works on long jobs: what most meetings begin with.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>

#include "region.hpp"

namespace martenwall::region {

// Whether a transaction writes a key with this prefix.
inline bool sets(const nlohmann::json& txn, const std::string& prefix) {
  const auto& then = txn.at("then");
  return std::ranges::any_of(then, [&](const auto& op) { return op.value("set", "").starts_with(prefix); });
}

// What the region is while a leader works on long jobs.
struct BusyRegion {
  Region r;
  std::vector<JobId> jobs;
  std::size_t old_leader = 0;
  explicit BusyRegion(std::uint64_t seed, region::RegionOptions options = {}, double run_s = 150) : r(seed, options) {
    EXPECT_TRUE(r.run_until(20, [&] { return r.leader().has_value(); }));
    for (int i = 0; i < 6; ++i) jobs.push_back(r.submit_array(4, run_s));
    EXPECT_TRUE(r.run_until(60, [&] { return r.rules().started() >= 24; })) << "the jobs run";
    r.run(3);
    old_leader = r.leader().value_or(0);
  }
  // After all troubles: what was not cancelled comes to its end, what was is answered.
  void ends_well(double timeout_s) {
    r.rules().all_faults_over(r.now());
    EXPECT_TRUE(r.run_until(timeout_s, [&] { return r.all_over(); })) << "every accepted job comes to its end";
    r.run(30);
    EXPECT_EQ("", r.violations());
  }
};

}  // namespace martenwall::region
