#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/settings.hpp"
#include "core/placement/heuristic_table.hpp"

namespace martenwall::config {
namespace {

nlohmann::json valid_settings() {
  return nlohmann::json::parse(R"({"member":"n-0","domain":"a","bind":"127.0.0.1:1","cluster_listen":"127.0.0.1:2",
   "others":[{"member":"n-1","domain":"b","endpoint":"127.0.0.1:3"}],
   "external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},"extra":true,
   "facts":{"teams":[{"name":"t","gpus":4,"gpus_max":8}],"objectives":[],
     "workers":{"report_s":3,"lease_s":19,"gang_wait_s":50,"gang_peer_s":4,"cancel_s":39},
     "state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":24},"cloud":{"rps":2,"list_lag_s":3},
     "resources":{"max_connections":500}}})");
}

std::string error_of(const nlohmann::json& j) {
  try {
    parse_settings(j.dump());
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

TEST(settings, unknown_fields_are_ignored) { EXPECT_EQ("", error_of(valid_settings())); }

TEST(settings, each_missing_field_is_named) {
  for (const auto& path : {"/member", "/bind", "/others/0/endpoint", "/external/state", "/facts/workers/lease_s",
                           "/facts/state/txn_ops", "/facts/teams/0/name", "/facts/resources/max_connections"}) {
    auto document = valid_settings();
    const nlohmann::json::json_pointer p{path};
    document[p.parent_pointer()].erase(p.back());
    const auto error = error_of(document);
    EXPECT_NE(std::string::npos, error.find(p.back())) << path << ": " << error;
    EXPECT_NE(std::string::npos, error.find("missing")) << error;
    document = valid_settings();
    document[p] = nlohmann::json::array();
    EXPECT_NE(std::string::npos, error_of(document).find(p.back())) << path;
  }
}

TEST(settings, addresses_must_be_numbers) {
  auto document = valid_settings();
  document["external"]["cloud"] = "cloud.example:80";
  EXPECT_NE("", error_of(document));
}

TEST(settings, a_cancellation_bound_too_short_for_the_leases_is_refused) {
  auto document = valid_settings();
  document["facts"]["workers"]["cancel_s"] = 20;
  EXPECT_THROW(check(parse_settings(document.dump()), Policy{}), SettingsError);
}

struct File {
  std::string path;
  explicit File(const std::string& text)
      : path(testing::TempDir() + "martenwall_test." + std::to_string(::getpid()) + ".properties") {
    std::ofstream{path} << text;
  }
  ~File() { std::remove(path.c_str()); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
};

TEST(properties, override_the_policy_and_refuse_unknown_names) {
  Policy p;
  {
    const File f{"# operators\nfleet.idle.seconds = 75\nscheduler.deadline.k=1.5\n"};
    apply_properties(f.path, p);
  }
  EXPECT_EQ(seconds(75), p.idle_release);
  EXPECT_DOUBLE_EQ(1.5, p.deadline_k);
  const File misspelled{"fleet.idel.seconds = 75\n"};
  EXPECT_THROW(apply_properties(misspelled.path, p), SettingsError);
}

// A heuristic is defined in one place. Its properties must be accepted, and documented in `--help` and README.
TEST(properties, of_every_heuristic_are_taken_and_documented) {
  std::ifstream file{std::string{MARTENWALL_TEST_DATA} + "/../../README.md"};
  std::stringstream readme;
  readme << file.rdbuf();
  const Policy defaults;
  for (const auto& h : heuristic_table()) {
    for (const auto& w : h.weights) {
      std::ostringstream row;
      row << "| `" << w.property << "` | " << defaults.*w.value << " | " << h.name << ": " << h.description << " |\n";
      EXPECT_NE(std::string::npos, readme.str().find(row.str())) << "README lacks: " << row.str();
      EXPECT_NE(std::string::npos, heuristics_help().find(w.property));
      Policy p;
      const File f{std::string{w.property} + " = 7.25\n"};
      apply_properties(f.path, p);
      EXPECT_DOUBLE_EQ(7.25, p.*w.value) << w.property;
    }
  }
}

// The announced limits may have other fields than those documented at present, any subset of them, or none.
TEST(settings, upcoming_limits_are_validated) {
  auto document = valid_settings();
  EXPECT_FALSE(parse_settings(document.dump()).upcoming_state_limits);
  document["facts"]["state"]["next"] = {{"value_kb", 2}, {"colour", "blue"}, {"txn_ops", nullptr}};
  const auto s = parse_settings(document.dump());
  ASSERT_TRUE(s.upcoming_state_limits);
  EXPECT_EQ(2048U, s.upcoming_state_limits->value_bytes);
  EXPECT_FALSE(s.upcoming_state_limits->txn_ops);
  for (const auto& invalid : {R"({"value_kb":0})", R"({"txn_ops":1})", R"({"write_rps":"x"})", "[]", "7"}) {
    document["facts"]["state"]["next"] = nlohmann::json::parse(invalid);
    EXPECT_THROW(parse_settings(document.dump()), SettingsError) << invalid;
  }
}

}  // namespace
}  // namespace martenwall::config
