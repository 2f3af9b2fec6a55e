// Table of all heuristics: name, function, and the operator properties that set their weights.
#pragma once
#include <span>
#include <string>
#include <string_view>

#include "core/model/policy.hpp"
#include "core/placement/heuristics.hpp"

namespace martenwall {

// A parameter of a heuristic that operators may set; not negative.
struct HeuristicWeight {
  std::string_view property;
  double Policy::*value;
};

// A heuristic and its parameters.
struct Heuristic {
  std::string_view name;
  void (*apply)(const PlacementProblem& problem, ScoreMatrix& matrix);
  std::span<const HeuristicWeight> weights;
  std::string_view description;  // one line, shown to operators
};

// Returns the heuristics in the order in which they are applied: the first allows the entries that fit; the others add
// to the scores of the allowed entries.
std::span<const Heuristic> heuristic_table();

// Returns the table as text for `--help`: one line per property, with its default and its heuristic.
std::string heuristics_help();

}  // namespace martenwall
