#include "core/placement/heuristic_table.hpp"

#include <array>
#include <sstream>

namespace martenwall {

namespace {

constexpr std::array deadline_weights{HeuristicWeight{"scheduler.deadline.max", &Policy::deadline_max},
                                      HeuristicWeight{"scheduler.deadline.min", &Policy::deadline_min},
                                      HeuristicWeight{"scheduler.deadline.k", &Policy::deadline_k}};
constexpr std::array wait_weights{HeuristicWeight{"scheduler.wait.weight", &Policy::wait_weight}};
constexpr std::array input_weights{HeuristicWeight{"scheduler.input.weight", &Policy::input_weight}};
constexpr std::array aging_weights{HeuristicWeight{"scheduler.aging.weight", &Policy::aging_weight},
                                   HeuristicWeight{"scheduler.aging.cap", &Policy::aging_cap}};
constexpr std::array priority_weights{HeuristicWeight{"scheduler.rank.weight", &Policy::priority_weight}};
constexpr std::array guarantee_weights{HeuristicWeight{"scheduler.guarantee.weight", &Policy::guarantee_weight}};
constexpr std::array packing_weights{HeuristicWeight{"scheduler.packing.weight", &Policy::packing_weight}};
constexpr std::array spot_weights{HeuristicWeight{"scheduler.spot.weight", &Policy::spot_weight}};
constexpr std::array shortage_weights{HeuristicWeight{"scheduler.shortage.weight", &Policy::shortage_weight}};

constexpr std::array begin_weights{HeuristicWeight{"scheduler.begin.weight", &Policy::begin_weight}};

constexpr std::array table{
    Heuristic{"Minimal requirements", heuristics::minimal_requirements, {}, "where a task fits at all"},
    Heuristic{"Deadline", heuristics::deadline, deadline_weights, "the deadline curve f1"},
    Heuristic{"Wait minimization", heuristics::wait_minimization, wait_weights, "short jobs"},
    Heuristic{"Input", heuristics::input, input_weights, "machines that have the image"},
    Heuristic{"Anti-aging", heuristics::anti_aging, aging_weights, "per second waited, up to the cap"},
    Heuristic{"Rank", heuristics::priority, priority_weights, "per step of rank"},
    Heuristic{"Guarantee", heuristics::guarantee, guarantee_weights, "work within its team's guarantee"},
    Heuristic{"Packing", heuristics::packing, packing_weights,
              "fuller machines, of empty ones those that idled shortest"},
    Heuristic{"Spot", heuristics::spot_preference, spot_weights, "spot machines, for jobs that may use them"},
    Heuristic{"Shortage", heuristics::shortage, shortage_weights,
              "where not all can be in time: less for each time that a job is expected to miss; 0: off"},
    Heuristic{"Beginning", heuristics::beginning, begin_weights,
              "the first task of an array of which nothing began for two minutes; 0: off"},
    Heuristic{"Suspicion", heuristics::suspicion, {}, "jobs that fail wherever they go come last"},
};

}  // namespace

std::span<const Heuristic> heuristic_table() { return table; }

std::string heuristics_help() {
  const Policy defaults;
  std::ostringstream out;
  out << "Properties that weigh the heuristics (--properties), with their defaults:\n";
  for (const auto& heuristic : table) {
    for (const auto& weight : heuristic.weights) {
      out << "  " << weight.property << " = " << defaults.*weight.value << "  " << heuristic.name << ": "
          << heuristic.description << "\n";
    }
  }
  return out.str();
}

}  // namespace martenwall
