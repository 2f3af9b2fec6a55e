#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "core/placement/heuristic_table.hpp"
#include "service/configuration_command.hpp"
#include "service/node.hpp"

namespace {

constexpr int exit_invalid_settings = 2;

std::shared_ptr<spdlog::logger> make_log() {
  auto log = std::make_shared<spdlog::logger>("martenwall", std::make_shared<spdlog::sinks::stderr_sink_st>());
  const char* level = std::getenv("LOG_LEVEL");  // NOLINT(concurrency-mt-unsafe): no threads yet
  log->set_level(spdlog::level::from_str(level != nullptr ? level : "info"));
  log->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  log->flush_on(spdlog::level::info);
  return log;
}

void add_config_command(CLI::App& app, martenwall::service::ConfigurationCommand& command) {
  using Action = martenwall::wire::ConfigurationRequest::Action;
  auto* config = app.add_subcommand("config", "show or change the configuration of the running service");
  config->require_subcommand(1);
  const auto add_action = [&](const char* name, const char* help, Action action) {
    auto* sub = config->add_subcommand(name, help);
    sub->add_option("--node", command.node, "address on which any node listens for other controllers (cluster_listen)")
        ->required();
    sub->callback([&command, action] { command.request.action = action; });
    return sub;
  };
  add_action("get", "show the active version, document and teams of the node", Action::get);
  add_action("history", "show the latest changes, newest first", Action::history);
  auto* apply = add_action("apply", "apply a change", Action::apply);
  apply->add_option("file", command.file, "JSON merge patch for the document")->required();
  apply->add_option("--by", command.request.author, "author of the change, for the history");
  apply->add_flag("--dry-run", command.request.dry_run, "validate the change and show its effect without applying it");
  apply->add_option_function<std::uint64_t>(
      "--expect",
      [&command](const std::uint64_t& version) {
        command.request.expected = martenwall::ConfigurationVersion{version};
      },
      "apply the change only if this is the current version");
}

int run_node(const std::string& config_path, const std::string& properties_path, bool check_only) {
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
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"martenwall: a cluster scheduler (controller node)"};
  app.set_version_flag("--version", std::string{"martenwall "} + MARTENWALL_VERSION + ", level " +
                                        std::to_string(martenwall::wire::current_format_version));
  std::string config_path;
  std::string properties_path;
  bool check_only = false;
  martenwall::service::ConfigurationCommand command;
  app.add_option("--config", config_path, "settings file of the platform (JSON)");
  app.add_option("--properties", properties_path, "properties file of the operators (Java-style)");
  app.add_flag("--check", check_only, "validate the settings and exit");
  app.footer(martenwall::heuristics_help());
  app.require_subcommand(0, 1);
  add_config_command(app, command);
  CLI11_PARSE(app, argc, argv);
  try {
    if (app.got_subcommand("config")) {
      return static_cast<int>(martenwall::service::run_command(std::move(command), std::cout, std::cerr));
    }
    if (config_path.empty()) {
      std::cerr << "--config is required\n";
      return exit_invalid_settings;
    }
    return run_node(config_path, properties_path, check_only);
  } catch (const martenwall::config::SettingsError& e) {
    std::cerr << e.what() << '\n';
    return exit_invalid_settings;
  } catch (const std::exception& e) {
    std::cerr << "martenwall: " << e.what() << '\n';
    return 1;
  }
}
