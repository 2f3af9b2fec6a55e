// What the core gave out on a few days of the simulation, held against what was recorded of an earlier version: a
// change that must not change decisions is shown not to. One that means to records anew (docs/architecture.md).
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "simulation.hpp"

namespace martenwall {
namespace {

constexpr double minute = 60;
constexpr int minutes = 6;

// FNV-1a: the same in every build, unlike std::hash.
class Digest {
 public:
  void add(const std::string& line) {
    for (const char c : line + "\n") value_ = (value_ ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    ++lines_;
  }
  [[nodiscard]] std::string text() const {
    std::ostringstream out;
    out << std::hex << value_ << std::dec << " " << lines_;
    return out.str();
  }

 private:
  std::uint64_t value_ = 14695981039346656037ULL;
  std::size_t lines_ = 0;
};

struct Day {
  std::string name;
  std::uint64_t seed;
  sim::Faults faults;
};

std::vector<Day> days() {
  sim::Faults calm;
  calm.node_crash = calm.state_cut = calm.node_freeze = calm.worker_cut = calm.machine_death = 0;
  calm.held_command = calm.held_report = calm.lost_answer = calm.task_error = 0;
  sim::Faults relayed;
  relayed.relays = true;
  sim::Faults gated;
  gated.gate_from_start = true;
  gated.node_crash = 0.02;
  return {{"calm", 1, calm},   {"calm", 2, calm},   {"mixed", 3, {}},        {"mixed", 4, {}},
          {"mixed", 5, {}},    {"mixed", 6, {}},    {"relayed", 7, relayed}, {"relayed", 8, relayed},
          {"gated", 9, gated}, {"gated", 10, gated}};
}

// One line a minute, so that a difference is found near where it begins.
std::vector<std::string> played(const Day& day) {
  sim::World world{day.seed, day.faults};
  Digest digest;
  world.decided = [&](const std::string& line) { digest.add(line); };
  world.trace = [&](const std::string& line) { digest.add(line); };
  std::vector<std::string> out;
  for (int m = 1; m <= minutes; ++m) {
    world.run(minute);
    out.push_back(day.name + " " + std::to_string(day.seed) + " " + std::to_string(m) + " " + digest.text());
  }
  return out;
}

TEST(recorded_rounds, decisions_are_those_of_the_recorded_version) {
  const std::string path = std::string{MARTENWALL_TEST_DATA} + "/recorded_rounds.txt";
  std::vector<std::string> now;
  for (const auto& day : days()) {
    for (auto& line : played(day)) now.push_back(std::move(line));
  }
  if (std::getenv("MARTENWALL_RECORD") != nullptr) {
    std::ofstream out{path};
    for (const auto& line : now) out << line << "\n";
    GTEST_SKIP() << "recorded anew";
  }
  std::ifstream in{path};
  ASSERT_TRUE(in) << path;
  std::vector<std::string> recorded;
  for (std::string line; std::getline(in, line);) recorded.push_back(line);
  ASSERT_EQ(recorded.size(), now.size());
  for (std::size_t i = 0; i < now.size(); ++i) EXPECT_EQ(recorded[i], now[i]);
}

}  // namespace
}  // namespace martenwall
