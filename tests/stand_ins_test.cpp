// Tests the stand-ins, which check the service: a planted violation of each of PROTOCOL's rules is found, and the
// models behave as PROTOCOL states.
#include <gtest/gtest.h>

#include "stand_ins/rules.hpp"
#include "stand_ins/store_model.hpp"
#include "stand_ins/worker_model.hpp"

namespace martenwall::stand_ins {
namespace {

using nlohmann::json;

constexpr WorkerTimings timings{2, 10, 30, 3, 24};
const JobId job{"job-000001"};

Time at(double s) { return Time{seconds(100 + s)}; }
Place place(const std::string& machine, const std::string& zone = "a", const std::string& type = "big") {
  return {MachineId{machine}, type, zone, false};
}

struct RuleChecker {
  Rules rules{timings, {{"red", {}, {0, 4, 0}}}};
  explicit RuleChecker(const std::function<void(JobSpec&)>& change = [](JobSpec&) {}) {
    JobSpec spec;
    spec.id = job;
    spec.team = "red";
    spec.tasks = 4;
    spec.need = {1, 1, 8};
    change(spec);
    rules.add(spec, 10, at(0));
    rules.on_phase_reported(job, "pending", rules.on_request_sent(), at(0));
  }
  void start(std::uint32_t index, const Place& where, double when = 1) {
    rules.on_task_started({job, index}, where, at(when));
  }
  // Returns the name of the first violation, or an empty string.
  [[nodiscard]] std::string first_violation() const {
    if (rules.violations().empty()) return "";
    const auto& line = rules.violations().front();
    const auto name = line.substr(line.find(' ') + 1);
    return name.substr(0, name.find_first_of(" :"));
  }
};

TEST(rules, find_nothing_where_nothing_is_wrong) {
  RuleChecker checker;
  for (std::uint32_t i = 0; i < 4; ++i) checker.start(i, place("i-1"));
  for (std::uint32_t i = 0; i < 4; ++i) {
    checker.rules.on_task_completed({job, i});
    checker.rules.on_task_removed({job, i}, MachineId{"i-1"});
  }
  checker.rules.on_phase_reported(job, "done", checker.rules.on_request_sent(), at(20));
  checker.rules.on_phase_reported(job, "done", checker.rules.on_request_sent(), at(30));
  checker.rules.finish(at(40));
  EXPECT_EQ("", checker.first_violation());
}

TEST(rules, a_task_that_runs_twice_is_a_violation) {
  RuleChecker checker;
  checker.start(0, place("i-1"));
  checker.start(0, place("i-2"));
  EXPECT_EQ("ran_twice", checker.first_violation());
}

TEST(rules, a_team_over_its_limit_is_a_violation) {
  RuleChecker checker{[](JobSpec& s) { s.need.gpus = 2; }};
  for (std::uint32_t i = 0; i < 2; ++i) checker.start(i, place("i-1"));
  EXPECT_EQ("", checker.first_violation());
  checker.start(2, place("i-1"));
  EXPECT_EQ("quota", checker.first_violation());
}

TEST(rules, quotas_are_checked_by_the_limits_in_force) {
  RuleChecker checker;
  checker.rules.change_limits({{"red", {}, {0, 1, 0}}}, at(10), seconds(8));
  checker.start(0, place("i-1"), 11);
  checker.start(1, place("i-1"), 17.9);
  EXPECT_EQ("", checker.first_violation()) << "the previous limits may still be in use";
  checker.start(2, place("i-1"), 18.1);
  EXPECT_EQ("quota", checker.first_violation());
}

TEST(rules, the_quota_of_a_removed_team_is_checked) {
  RuleChecker checker;
  checker.rules.change_limits({}, at(10), seconds(8));
  checker.start(0, place("i-1"), 18.1);
  EXPECT_EQ("quota", checker.first_violation());
}

TEST(rules, a_task_in_the_wrong_place_is_a_violation) {
  RuleChecker type{[](JobSpec& s) { s.types = {"small"}; }};
  type.start(0, place("i-1"));
  EXPECT_EQ("wrong_place", type.first_violation());
  RuleChecker zone{[](JobSpec& s) { s.zone = "b"; }};
  zone.start(0, place("i-1"));
  EXPECT_EQ("wrong_place", zone.first_violation());
  RuleChecker together{[](JobSpec& s) { s.one_zone = true; }};
  together.start(0, place("i-1"));
  together.start(1, place("i-2", "b"));
  EXPECT_EQ("wrong_place", together.first_violation());
  RuleChecker spread{[](JobSpec& s) { s.spread = true; }};
  for (std::uint32_t i = 0; i < 2; ++i) spread.start(i, place("i-1"));
  EXPECT_EQ("", spread.first_violation());
  spread.start(2, place("i-1"));
  EXPECT_EQ("wrong_place", spread.first_violation());
  RuleChecker spot;
  spot.rules.on_task_started({job, 0}, {MachineId{"i-1"}, "big", "a", true}, at(1));
  EXPECT_EQ("wrong_place", spot.first_violation());
}

TEST(rules, a_task_that_runs_long_after_its_cancellation_is_a_violation) {
  RuleChecker checker;
  checker.start(0, place("i-1"));
  checker.rules.jobs().at(job).cancel_requested = at(2);
  checker.rules.on_phase_reported(job, "withdrawn", checker.rules.on_request_sent(), at(2));
  checker.rules.tick(at(2 + timings.cancel_s));
  EXPECT_EQ("", checker.first_violation());
  checker.rules.tick(at(2 + timings.cancel_s + 0.1));
  EXPECT_EQ("ran_cancelled", checker.first_violation());
  RuleChecker late;
  late.rules.jobs().at(job).cancel_requested = at(2);
  late.rules.on_phase_reported(job, "withdrawn", late.rules.on_request_sent(), at(2));
  late.start(0, place("i-1"), 2 + timings.cancel_s + 0.1);
  EXPECT_EQ("ran_cancelled", late.first_violation());
}

// Adds jobs 2 and 3: each depends on the one before.
void add_dependents(RuleChecker& checker) {
  for (const auto& [id, dependency] : {std::pair{"job-000002", "job-000001"}, std::pair{"job-000003", "job-000002"}}) {
    JobSpec spec = checker.rules.job(job).spec;
    spec.id = JobId{id};
    spec.dependencies = {JobId{dependency}};
    checker.rules.add(spec, 10, at(0));
  }
}

TEST(rules, a_task_that_starts_before_the_dependencies_of_its_job_are_done_is_a_violation) {
  RuleChecker checker;
  add_dependents(checker);
  for (std::uint32_t i = 0; i < 3; ++i) checker.rules.on_task_completed({job, i});
  checker.rules.on_task_started({JobId{"job-000002"}, 0}, place("i-1"), at(1));
  EXPECT_EQ("too_early", checker.first_violation());
}

TEST(rules, a_dependent_that_is_active_long_after_the_cancellation_is_a_violation_also_in_its_first_answer) {
  for (const char* phase : {"pending", "running"}) {
    for (const char* dependent : {"job-000002", "job-000003"}) {
      RuleChecker checker;
      add_dependents(checker);
      checker.rules.jobs().at(job).cancel_requested = at(2);
      checker.rules.on_phase_reported(job, "withdrawn", checker.rules.on_request_sent(), at(2));
      checker.rules.on_phase_reported(JobId{dependent}, phase, checker.rules.on_request_sent(),
                                      at(2 + timings.cancel_s));
      EXPECT_EQ("", checker.first_violation());
      checker.rules.on_phase_reported(JobId{dependent}, phase, checker.rules.on_request_sent(),
                                      at(2 + timings.cancel_s + 0.1));
      EXPECT_EQ("orphaned", checker.first_violation());
    }
  }
}

TEST(rules, a_dependent_that_is_cancelled_with_its_dependency_is_no_violation) {
  RuleChecker checker;
  add_dependents(checker);
  checker.rules.jobs().at(job).cancel_requested = at(2);
  checker.rules.on_phase_reported(job, "withdrawn", checker.rules.on_request_sent(), at(2));
  checker.rules.on_phase_reported(JobId{"job-000003"}, "withdrawn", checker.rules.on_request_sent(), at(90));
  EXPECT_EQ("", checker.first_violation());
}

TEST(rules, a_forgotten_job_is_a_violation) {
  for (const int status : {404, 400, 422}) {
    RuleChecker checker;
    checker.rules.on_permanent_refusal(job, status, checker.rules.on_request_sent(), at(1));
    EXPECT_EQ("forgotten", checker.first_violation());
  }
  RuleChecker unanswered;
  unanswered.rules.all_faults_over(at(5));
  unanswered.rules.tick(at(79));
  EXPECT_EQ("", unanswered.first_violation());
  unanswered.rules.tick(at(81));
  EXPECT_EQ("forgotten", unanswered.first_violation());
}

TEST(rules, invented_unfinished_reverted_and_never_run_results_are_violations) {
  RuleChecker invented;
  invented.rules.on_unsubmitted_job_found(JobId{"job-000009"}, at(1));
  EXPECT_EQ("invented", invented.first_violation());
  RuleChecker not_done;
  not_done.rules.on_phase_reported(job, "done", not_done.rules.on_request_sent(), at(1));
  EXPECT_EQ("not_done", not_done.first_violation());
  RuleChecker cancelled_by_no_one;
  cancelled_by_no_one.rules.on_phase_reported(job, "withdrawn", cancelled_by_no_one.rules.on_request_sent(), at(1));
  EXPECT_EQ("went_back", cancelled_by_no_one.first_violation());
  RuleChecker went_back;
  for (std::uint32_t i = 0; i < 4; ++i) went_back.rules.on_task_completed({job, i});
  went_back.rules.on_phase_reported(job, "done", went_back.rules.on_request_sent(), at(1));
  went_back.rules.on_phase_reported(job, "running", went_back.rules.on_request_sent(), at(2));
  EXPECT_EQ("went_back", went_back.first_violation());
  RuleChecker nothing;
  nothing.rules.finish(at(9));
  EXPECT_EQ("nothing_ran", nothing.first_violation());
}

// ---- images ----

TEST(stand_ins, an_image_is_fetched_once_cached_and_its_fetch_abandoned) {
  ImageCache cache{10};
  JobSpec spec;
  spec.image = "x";
  spec.image_gb = 6;
  int fetches = 0;
  const auto fetch = [&] {
    ++fetches;
    return seconds(5);
  };
  EXPECT_EQ(at(5), cache.ready_at(spec, at(0), fetch));
  EXPECT_EQ(at(5), cache.ready_at(spec, at(2), fetch)) << "the same fetch";
  EXPECT_EQ(at(9), cache.ready_at(spec, at(9), fetch)) << "it is cached";
  JobSpec other = spec;
  other.image = "y";
  cache.ready_at(other, at(10), fetch);
  EXPECT_EQ(at(16), cache.ready_at(spec, at(11), fetch)) << "both do not fit: the older one was evicted";
  EXPECT_EQ(3, fetches);
  cache.abandon_fetch("x", at(12));
  EXPECT_EQ(at(18), cache.ready_at(spec, at(13), fetch));
}

// ---- the store ----

TEST(stand_ins, the_store_keeps_its_limits) {
  StoreModel store{{2, 3, 20, 4}};
  EXPECT_TRUE(store.admit_request(at(0)));
  EXPECT_TRUE(store.admit_request(at(0)));
  EXPECT_FALSE(store.admit_request(at(0)));
  EXPECT_TRUE(store.admit_request(at(0.5)));
  EXPECT_FALSE(store.admit_changes(4, at(0)));
  const auto write = [&](const std::string& key, const std::string& text) {
    const json txn{{"when", json::array()}, {"then", {{{"set", key}, {"data", text}}}}};
    return store.commit(txn, at(1)).status;
  };
  EXPECT_EQ(200, write("a", "short"));
  EXPECT_EQ(400, write("a", std::string(40, 'x')));
  json many{{"when", json::array()}, {"then", json::array()}};
  for (int i = 0; i < 5; ++i) many["then"].push_back({{"set", "k" + std::to_string(i)}, {"data", 1}});
  EXPECT_EQ(400, store.commit(many, at(1)).status);
}

TEST(stand_ins, a_watch_from_a_compacted_revision_is_refused) {
  StoreModel store;
  for (int i = 0; i < 10'001; ++i) store.write("a", i);
  EXPECT_EQ(410, store.poll_watch({"a", 0, {}}, false)->status);
  EXPECT_EQ(200, store.poll_watch({"a", 10'000, {}}, false)->status);
  EXPECT_FALSE(store.poll_watch({"a", 10'001, {}}, false)) << "no changes yet";
  EXPECT_EQ(200, store.poll_watch({"a", 10'001, {}}, true)->status) << "the watch timed out";
}

}  // namespace
}  // namespace martenwall::stand_ins
