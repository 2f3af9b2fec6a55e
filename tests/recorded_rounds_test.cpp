// Compares the decisions of the core on a few simulated days with those recorded from an earlier version: a change that
// must not alter decisions is shown not to. A change that is meant to alter them records them anew (CONTRIBUTING.md).
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "simulation/simulation.hpp"

namespace martenwall {
namespace {

constexpr double minute = 60;
constexpr int minutes = 6;

// FNV-1a digest: the same in every build, unlike std::hash.
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
  sim::Faults no_faults;
  no_faults.node_crash = no_faults.store_cut = no_faults.node_freeze = no_faults.worker_cut = no_faults.machine_death =
      0;
  no_faults.delayed_command = no_faults.delayed_heartbeat = no_faults.lost_response = no_faults.task_error = 0;
  sim::Faults relayed;
  relayed.relays = true;
  sim::Faults range_rows;
  range_rows.range_rows_from_start = true;
  range_rows.node_crash = 0.02;
  return {{"calm", 1, no_faults},   {"calm", 2, no_faults},   {"mixed", 3, {}},        {"mixed", 4, {}},
          {"mixed", 5, {}},         {"mixed", 6, {}},         {"relayed", 7, relayed}, {"relayed", 8, relayed},
          {"gated", 9, range_rows}, {"gated", 10, range_rows}};
}

// One line per minute, so that a difference is found close to its origin: the minute, a digest of the decisions, and a
// digest of the log.
struct Line {
  std::string minute, decisions, log;
};

constexpr char tab = '\t';

std::string to_text(const Line& line) { return line.minute + tab + line.decisions + tab + line.log; }

Line parse_line(const std::string& text) {
  Line line;
  std::istringstream in{text};
  std::getline(in, line.minute, tab);
  std::getline(in, line.decisions, tab);
  std::getline(in, line.log, tab);
  return line;
}

std::vector<Line> run_day(const Day& day) {
  sim::World world{day.seed, day.faults};
  Digest decisions;
  Digest log;
  world.on_decision = [&](const std::string& line) { decisions.add(line); };
  world.trace = [&](const std::string& line) { log.add(line); };
  std::vector<Line> out;
  for (int m = 1; m <= minutes; ++m) {
    world.run(minute);
    out.push_back({day.name + " " + std::to_string(day.seed) + " " + std::to_string(m), decisions.text(), log.text()});
  }
  return out;
}

std::string path() { return std::string{MARTENWALL_TEST_DATA} + "/recorded_rounds.txt"; }

std::vector<Line> read_recorded() {
  std::ifstream in{path()};
  std::vector<Line> out;
  for (std::string text; std::getline(in, text);) out.push_back(parse_line(text));
  return out;
}

void record(const std::vector<Line>& lines) {
  std::ofstream out{path()};
  for (const auto& line : lines) out << to_text(line) << "\n";
}

void expect_same_decisions(const std::vector<Line>& before, const std::vector<Line>& now) {
  ASSERT_EQ(before.size(), now.size());
  for (std::size_t i = 0; i < now.size(); ++i) {
    EXPECT_EQ(before[i].minute, now[i].minute);
    EXPECT_EQ(before[i].decisions, now[i].decisions) << "decisions changed: " << now[i].minute;
  }
}

// MARTENWALL_RECORD=1 records both columns anew. MARTENWALL_RECORD=log records only the column of the log text, and
// only if the decisions equal the recorded ones.
TEST(recorded_rounds, decisions_and_log_text_are_those_of_the_recorded_version) {
  std::vector<Line> now;
  for (const auto& day : days()) {
    for (auto& line : run_day(day)) now.push_back(std::move(line));
  }
  const char* setting = std::getenv("MARTENWALL_RECORD");
  const std::string to_record = setting == nullptr ? "" : setting;
  ASSERT_TRUE(to_record.empty() || to_record == "1" || to_record == "log") << "MARTENWALL_RECORD=" << to_record;
  if (to_record == "1") {
    record(now);
    GTEST_SKIP() << "decisions and log text recorded anew";
  }
  const auto before = read_recorded();
  expect_same_decisions(before, now);
  if (to_record == "log") {
    ASSERT_FALSE(HasFailure()) << "nothing recorded: the decisions differ from the recorded ones";
    record(now);
    GTEST_SKIP() << "log text recorded anew";
  }
  ASSERT_EQ(before.size(), now.size());
  for (std::size_t i = 0; i < now.size(); ++i) {
    EXPECT_EQ(before[i].log, now[i].log) << "log text changed: " << now[i].minute;
  }
}

}  // namespace
}  // namespace martenwall
