// The stand-ins judge the service, so they are judged here: a planted breach of each of PROTOCOL's rules is found, and
// the models keep PROTOCOL's words.
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
  // The first breach's name.
  [[nodiscard]] std::string found() const {
    if (rules.violations().empty()) return "";
    const auto& line = rules.violations().front();
    const auto name = line.substr(line.find(' ') + 1);
    return name.substr(0, name.find_first_of(" :"));
  }
};

TEST(rules, find_nothing_where_nothing_is_wrong) {
  RuleChecker j;
  for (std::uint32_t i = 0; i < 4; ++i) j.start(i, place("i-1"));
  for (std::uint32_t i = 0; i < 4; ++i) {
    j.rules.on_task_completed({job, i});
    j.rules.on_task_left({job, i}, MachineId{"i-1"});
  }
  j.rules.on_phase_reported(job, "done", j.rules.on_request_sent(), at(20));
  j.rules.on_phase_reported(job, "done", j.rules.on_request_sent(), at(30));
  j.rules.finish(at(40));
  EXPECT_EQ("", j.found());
}

TEST(rules, a_task_that_runs_twice_is_a_violation) {
  RuleChecker j;
  j.start(0, place("i-1"));
  j.start(0, place("i-2"));
  EXPECT_EQ("ran_twice", j.found());
}

TEST(rules, a_team_over_its_limit_is_a_violation) {
  RuleChecker j{[](JobSpec& s) { s.need.gpus = 2; }};
  for (std::uint32_t i = 0; i < 2; ++i) j.start(i, place("i-1"));
  EXPECT_EQ("", j.found());
  j.start(2, place("i-1"));
  EXPECT_EQ("quota", j.found());
}

TEST(rules, quotas_are_checked_by_the_limits_in_force) {
  RuleChecker j;
  j.rules.change_limits({{"red", {}, {0, 1, 0}}}, at(10), seconds(8));
  j.start(0, place("i-1"), 11);
  j.start(1, place("i-1"), 17.9);
  EXPECT_EQ("", j.found()) << "the limits of before may still be gone by";
  j.start(2, place("i-1"), 18.1);
  EXPECT_EQ("quota", j.found());
}

TEST(rules, the_quota_of_a_removed_team_is_checked) {
  RuleChecker j;
  j.rules.change_limits({}, at(10), seconds(8));
  j.start(0, place("i-1"), 18.1);
  EXPECT_EQ("quota", j.found());
}

TEST(rules, a_task_in_the_wrong_place_is_a_violation) {
  RuleChecker type{[](JobSpec& s) { s.types = {"small"}; }};
  type.start(0, place("i-1"));
  EXPECT_EQ("wrong_place", type.found());
  RuleChecker zone{[](JobSpec& s) { s.zone = "b"; }};
  zone.start(0, place("i-1"));
  EXPECT_EQ("wrong_place", zone.found());
  RuleChecker together{[](JobSpec& s) { s.one_zone = true; }};
  together.start(0, place("i-1"));
  together.start(1, place("i-2", "b"));
  EXPECT_EQ("wrong_place", together.found());
  RuleChecker spread{[](JobSpec& s) { s.spread = true; }};
  for (std::uint32_t i = 0; i < 2; ++i) spread.start(i, place("i-1"));
  EXPECT_EQ("", spread.found());
  spread.start(2, place("i-1"));
  EXPECT_EQ("wrong_place", spread.found());
  RuleChecker spot;
  spot.rules.on_task_started({job, 0}, {MachineId{"i-1"}, "big", "a", true}, at(1));
  EXPECT_EQ("wrong_place", spot.found());
}

TEST(rules, a_task_that_runs_long_after_its_cancellation_is_a_violation) {
  RuleChecker j;
  j.start(0, place("i-1"));
  j.rules.jobs().at(job).cancel_asked = at(2);
  j.rules.on_phase_reported(job, "withdrawn", j.rules.on_request_sent(), at(2));
  j.rules.tick(at(2 + timings.cancel_s));
  EXPECT_EQ("", j.found());
  j.rules.tick(at(2 + timings.cancel_s + 0.1));
  EXPECT_EQ("ran_cancelled", j.found());
  RuleChecker late;
  late.rules.jobs().at(job).cancel_asked = at(2);
  late.rules.on_phase_reported(job, "withdrawn", late.rules.on_request_sent(), at(2));
  late.start(0, place("i-1"), 2 + timings.cancel_s + 0.1);
  EXPECT_EQ("ran_cancelled", late.found());
}

TEST(rules, a_forgotten_job_is_a_violation) {
  for (const int status : {404, 400, 422}) {
    RuleChecker j;
    j.rules.on_permanent_refusal(job, status, j.rules.on_request_sent(), at(1));
    EXPECT_EQ("forgotten", j.found());
  }
  RuleChecker unanswered;
  unanswered.rules.all_faults_over(at(5));
  unanswered.rules.tick(at(79));
  EXPECT_EQ("", unanswered.found());
  unanswered.rules.tick(at(81));
  EXPECT_EQ("forgotten", unanswered.found());
}

TEST(rules, invented_unfinished_reverted_and_never_run_results_are_violations) {
  RuleChecker invented;
  invented.rules.on_unknown_job_known(JobId{"job-000009"}, at(1));
  EXPECT_EQ("invented", invented.found());
  RuleChecker not_done;
  not_done.rules.on_phase_reported(job, "done", not_done.rules.on_request_sent(), at(1));
  EXPECT_EQ("not_done", not_done.found());
  RuleChecker cancelled_by_no_one;
  cancelled_by_no_one.rules.on_phase_reported(job, "withdrawn", cancelled_by_no_one.rules.on_request_sent(), at(1));
  EXPECT_EQ("went_back", cancelled_by_no_one.found());
  RuleChecker went_back;
  for (std::uint32_t i = 0; i < 4; ++i) went_back.rules.on_task_completed({job, i});
  went_back.rules.on_phase_reported(job, "done", went_back.rules.on_request_sent(), at(1));
  went_back.rules.on_phase_reported(job, "running", went_back.rules.on_request_sent(), at(2));
  EXPECT_EQ("went_back", went_back.found());
  RuleChecker nothing;
  nothing.rules.finish(at(9));
  EXPECT_EQ("nothing_ran", nothing.found());
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
  EXPECT_EQ(at(9), cache.ready_at(spec, at(9), fetch)) << "it is there";
  JobSpec other = spec;
  other.image = "y";
  cache.ready_at(other, at(10), fetch);
  EXPECT_EQ(at(16), cache.ready_at(spec, at(11), fetch)) << "both do not fit: the older one went";
  EXPECT_EQ(3, fetches);
  cache.abandon_fetch("x", at(12));
  EXPECT_EQ(at(18), cache.ready_at(spec, at(13), fetch));
}

// ---- the store ----

TEST(stand_ins, the_store_keeps_its_limits) {
  StoreModel store{{2, 3, 20, 4}};
  EXPECT_TRUE(store.takes_request(at(0)));
  EXPECT_TRUE(store.takes_request(at(0)));
  EXPECT_FALSE(store.takes_request(at(0)));
  EXPECT_TRUE(store.takes_request(at(0.5)));
  EXPECT_FALSE(store.takes_changes(4, at(0)));
  const auto put = [&](const std::string& key, const std::string& text) {
    const json txn{{"when", json::array()}, {"then", {{{"set", key}, {"data", text}}}}};
    return store.commit(txn, at(1)).status;
  };
  EXPECT_EQ(200, put("a", "short"));
  EXPECT_EQ(400, put("a", std::string(40, 'x')));
  json many{{"when", json::array()}, {"then", json::array()}};
  for (int i = 0; i < 5; ++i) many["then"].push_back({{"set", "k" + std::to_string(i)}, {"data", 1}});
  EXPECT_EQ(400, store.commit(many, at(1)).status);
}

TEST(stand_ins, a_watch_from_a_compacted_revision_is_refused) {
  StoreModel store;
  for (int i = 0; i < 10'001; ++i) store.write("a", i);
  EXPECT_EQ(410, store.look({"a", 0, {}}, false)->status);
  EXPECT_EQ(200, store.look({"a", 10'000, {}}, false)->status);
  EXPECT_FALSE(store.look({"a", 10'001, {}}, false)) << "nothing to tell yet";
  EXPECT_EQ(200, store.look({"a", 10'001, {}}, true)->status) << "the time is over";
}

}  // namespace
}  // namespace martenwall::stand_ins
