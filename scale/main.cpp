// A process of the scale run besides the controllers: `store` or `field`. It is killed when its parent process dies.
#include <signal.h>
#include <sys/prctl.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>

#include "scale/cell.hpp"
#include "scale/store_server.hpp"

namespace {

constexpr int exit_bad_plan = 2;
constexpr int exit_failure = 3;

nlohmann::json read_plan(const std::string& path) {
  std::ifstream in{path};
  if (!in) throw martenwall::scale::PlanError("plan: cannot read '" + path + "'");
  auto plan = nlohmann::json::parse(in, nullptr, false);
  if (plan.is_discarded()) throw martenwall::scale::PlanError("plan: '" + path + "' is not JSON");
  return plan;
}

}  // namespace

int main(int argc, char** argv) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  CLI::App app{"martenwall_stand_in: the environment of the controllers in a scale run"};
  app.require_subcommand(1);
  std::string path;
  auto* store = app.add_subcommand("store", "the state service of a cell");
  auto* field = app.add_subcommand("field", "the workers, cloud, users and rule checker of a cell");
  for (auto* sub : {store, field}) sub->add_option("plan", path, "the plan of this process (JSON)")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    const auto plan = read_plan(path);
    martenwall::rt::Loop loop;
    if (*store) {
      martenwall::scale::StoreServer server{loop, martenwall::scale::parse_store_plan(plan)};
      server.run();
      loop.run();
    }
    const auto cell = std::make_unique<martenwall::scale::Cell>(loop, martenwall::scale::parse_cell_plan(plan));
    // Coroutines still refer to the cell, so the process exits without destroying it.
    std::_Exit(cell->run());
  } catch (const martenwall::scale::PlanError& e) {
    std::cerr << e.what() << '\n';
    return exit_bad_plan;
  } catch (const std::exception& e) {
    std::cerr << "martenwall_stand_in: " << e.what() << '\n';
    return exit_failure;
  }
}
