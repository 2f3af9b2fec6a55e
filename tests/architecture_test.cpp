// Checks which package may include which (docs/architecture.md): dependencies point downwards and have no cycles.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <string>

namespace martenwall {
namespace {

const std::map<std::string, std::set<std::string>>& allowed_dependencies() {
  static const std::map<std::string, std::set<std::string>> table{
      {"load", {}},
      {"core", {"load"}},
      {"relay", {"core"}},
      {"metrics", {"core", "load"}},
      {"runtime", {"core"}},
      {"wire", {"core"}},
      {"config", {"core", "runtime"}},
      {"service", {"config", "core", "metrics", "relay", "runtime", "wire"}},
  };
  return table;
}

std::set<std::string> packages_included_by(const std::filesystem::path& file) {
  static const std::regex include{R"(^\s*#\s*include\s*"([a-z_]+)/[^"]+")"};
  std::set<std::string> out;
  std::ifstream in{file};
  std::smatch match;
  for (std::string line; std::getline(in, line);) {
    if (std::regex_search(line, match, include)) out.insert(match[1]);
  }
  return out;
}

TEST(architecture, packages_include_only_those_below_them) {
  const std::filesystem::path src{std::string{MARTENWALL_TEST_DATA} + "/../../src"};
  std::size_t files = 0;
  for (const auto& package : std::filesystem::directory_iterator{src}) {
    if (!package.is_directory()) continue;  // main.cpp may include all
    const auto name = package.path().filename().string();
    ASSERT_TRUE(allowed_dependencies().contains(name))
        << "unknown package: add it here, to README's layout and docs/architecture.md";
    for (const auto& file : std::filesystem::recursive_directory_iterator{package}) {
      if (!file.is_regular_file()) continue;
      ++files;
      for (const auto& used : packages_included_by(file.path())) {
        EXPECT_TRUE(used == name || allowed_dependencies().at(name).contains(used))
            << file.path() << " includes " << used;
      }
    }
  }
  EXPECT_GT(files, 80U);
}

// The check above is meaningful only if the allowed dependencies have no cycle.
TEST(architecture, allowed_includes_have_no_circle) {
  std::set<std::string> resolved;
  for (std::size_t before = resolved.size() + 1; before != resolved.size();) {
    before = resolved.size();
    for (const auto& [name, dependencies] : allowed_dependencies()) {
      if (std::ranges::includes(resolved, dependencies)) resolved.insert(name);
    }
  }
  EXPECT_EQ(allowed_dependencies().size(), resolved.size());
}

}  // namespace
}  // namespace martenwall
