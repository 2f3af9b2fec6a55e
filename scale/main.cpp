// One process of the scale run that is not a controller: `store` or `field`. It ends with the process that started it.
#include <signal.h>
#include <sys/prctl.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>

#include "scale/cell.hpp"
#include "scale/store_server.hpp"

namespace {

constexpr int bad_plan = 2;
constexpr int failed = 3;

nlohmann::json read(const std::string& path) {
  std::ifstream in{path};
  if (!in) throw martenwall::scale::PlanError("plan: cannot read '" + path + "'");
  auto plan = nlohmann::json::parse(in, nullptr, false);
  if (plan.is_discarded()) throw martenwall::scale::PlanError("plan: '" + path + "' is not JSON");
  return plan;
}

}  // namespace

int main(int argc, char** argv) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  CLI::App app{"martenwall_stand_in: what controllers meet in a scale run"};
  app.require_subcommand(1);
  std::string path;
  auto* store = app.add_subcommand("store", "the state service of a cell");
  auto* field = app.add_subcommand("field", "its workers, cloud, users and the judge of the rules");
  for (auto* sub : {store, field}) sub->add_option("plan", path, "the process's part of the plan (JSON)")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    const auto plan = read(path);
    martenwall::rt::Loop loop;
    if (*store) {
      martenwall::scale::StoreServer server{loop, martenwall::scale::parse_store_plan(plan)};
      server.run();
      loop.run();
    }
    const auto day = std::make_unique<martenwall::scale::Cell>(loop, martenwall::scale::parse_cell_plan(plan));
    // Its coroutines still hold it: the process ends without taking it down piece by piece.
    std::_Exit(day->run());
  } catch (const martenwall::scale::PlanError& e) {
    std::cerr << e.what() << '\n';
    return bad_plan;
  } catch (const std::exception& e) {
    std::cerr << "martenwall_stand_in: " << e.what() << '\n';
    return failed;
  }
}
