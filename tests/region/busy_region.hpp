// A region whose leader runs long jobs: the starting state of most fault combinations.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>

#include "region.hpp"

namespace martenwall::region {

// Returns whether a transaction writes a key with this prefix.
inline bool sets(const nlohmann::json& txn, const std::string& prefix) {
  const auto& then = txn.at("then");
  return std::ranges::any_of(then, [&](const auto& op) { return op.value("set", "").starts_with(prefix); });
}

// Returns a job of one task with these dependencies.
inline JobSpec one_task(std::vector<JobId> dependencies = {}) {
  JobSpec spec;
  spec.tasks = 1;
  spec.need = {1, 1, 8};
  spec.dependencies = std::move(dependencies);
  return spec;
}

// A region with a leader and 24 running tasks.
struct BusyRegion {
  Region r;
  std::vector<JobId> jobs;
  std::size_t old_leader = 0;
  explicit BusyRegion(std::uint64_t seed, region::RegionOptions options = {}, double run_s = 150) : r(seed, options) {
    EXPECT_TRUE(r.run_until(20, [&] { return r.leader().has_value(); }));
    for (int i = 0; i < 6; ++i) jobs.push_back(r.submit_array(4, run_s));
    EXPECT_TRUE(r.run_until(60, [&] { return r.rules().started() >= 24; })) << "the jobs start";
    r.run(3);
    old_leader = r.leader().value_or(0);
  }
  // To be called when all faults are over: every accepted job completes or is reported cancelled, without violations.
  void expect_all_jobs_end(double timeout_s) {
    r.rules().all_faults_over(r.now());
    EXPECT_TRUE(r.run_until(timeout_s, [&] { return r.all_ended(); })) << "every accepted job ends";
    r.run(30);
    EXPECT_EQ("", r.violations());
  }
};

}  // namespace martenwall::region
