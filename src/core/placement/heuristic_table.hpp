// All heuristics in one place: what each is called, what it adds, which of the operators' properties weigh it.
#pragma once
#include <span>
#include <string>
#include <string_view>

#include "core/model/policy.hpp"
#include "core/placement/heuristics.hpp"

namespace martenwall {

// One number of a heuristic that operators may set, not negative.
struct HeuristicWeight {
  std::string_view property;
  double Policy::*value;
};

struct Heuristic {
  std::string_view name;
  void (*apply)(const PlacementProblem& problem, ScoreMatrix& m);
  std::span<const HeuristicWeight> weights;
  std::string_view description;  // for operators, one line
};

// In the order in which they are applied: the first says where a task fits at all, the others add to those entries.
std::span<const Heuristic> heuristic_table();

// The table as text, for `--help`: a line for each property with its default and what it weighs.
std::string heuristics_help();

}  // namespace martenwall
