#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "core/heuristic_table.hpp"
#include "service/node.hpp"

namespace {

constexpr int bad_settings = 2;

std::shared_ptr<spdlog::logger> make_log() {
  auto log = std::make_shared<spdlog::logger>("martenwall", std::make_shared<spdlog::sinks::stderr_sink_st>());
  const char* level = std::getenv("LOG_LEVEL");  // NOLINT(concurrency-mt-unsafe): before any thread
  log->set_level(spdlog::level::from_str(level != nullptr ? level : "info"));
  log->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  log->flush_on(spdlog::level::info);
  return log;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"martenwall: a cluster scheduler (controller node)"};
  app.set_version_flag("--version", std::string{"martenwall "} + MARTENWALL_VERSION + ", level " +
                                        std::to_string(martenwall::wire::this_level));
  std::string config_path;
  std::string properties_path;
  bool check_only = false;
  app.add_option("--config", config_path, "settings file of the platform (JSON)")->required();
  app.add_option("--properties", properties_path, "operators' own settings (Java-style properties)");
  app.add_flag("--check", check_only, "check the settings and exit");
  app.footer(martenwall::heuristics_help());
  CLI11_PARSE(app, argc, argv);
  try {
    auto settings = martenwall::config::load_settings(config_path);
    martenwall::Policy policy;
    if (!properties_path.empty()) martenwall::config::apply_properties(properties_path, policy);
    martenwall::config::check(settings, policy);
    if (check_only) {
      std::cout << "settings are valid\n";
      return 0;
    }
    martenwall::rt::Loop loop;
    martenwall::service::Node node{loop, std::move(settings), policy, make_log()};
    node.run();
  } catch (const martenwall::config::SettingsError& e) {
    std::cerr << e.what() << '\n';
    return bad_settings;
  } catch (const std::exception& e) {
    std::cerr << "martenwall: " << e.what() << '\n';
    return 1;
  }
}
