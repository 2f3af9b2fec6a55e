// What a process of the scale run is to do, as tools/scale_run.py hands it over (JSON).
#pragma once
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/model/model.hpp"
#include "core/model/policy.hpp"
#include "stand_ins/store_model.hpp"

namespace martenwall::scale {

// Its text names the field.
class PlanError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What the process of the state service is to do.
struct StorePlan {
  std::string listen, control;
  stand_ins::StoreLimits limits;
  Duration latency{0};  // added to each answer
};

// Name of a controller and the address of its API for users.
struct ControllerAddress {
  std::string name, users;
};

// Machines of one type.
struct MachineGroup {
  std::string type;
  std::size_t count = 0, spare = 0;  // up at the start; more that may be hired, all zones together
};

// Jobs of one class, as users submit them.
struct JobClass {
  std::string name;
  JobSpec spec;  // what all jobs of the class have in common
  double per_second = 0;
  std::size_t at_start = 0;
  std::vector<std::uint32_t> sizes;
  std::vector<double> weights;  // of the sizes
  double run_median_s = 10, run_most_s = 100;
  std::size_t images = 1;
  double image_gb = 1;
  double cancelled = 0;  // part of the jobs that their users call off
};

// A fault or a change at a given time of the run.
struct Event {
  enum class Kind { cut_zone, restart_workers, limits } kind = Kind::cut_zone;
  double at_s = 0, for_s = 0;
  std::string zone;            // cut_zone
  double part_per_minute = 0;  // restart_workers
  std::vector<Team> teams;     // limits: asked for from then on
};

// What the process with workers, cloud and users is to do.
struct CellPlan {
  std::string cloud_listen, result;
  std::vector<ControllerAddress> controllers;
  WorkerTimings timings;
  std::string flavors;  // as the cloud answers
  std::vector<MachineType> types;
  std::vector<std::string> zones;
  std::vector<MachineGroup> machines;
  std::vector<Team> teams;
  std::vector<JobClass> classes;
  std::vector<Event> events;
  double begin_s = 5, arrivals_s = 60, drain_s = 120;  // before the first job; of arrivals; at most after the last
  std::uint64_t seed = 1;
};

// Both throw PlanError where a field is missing or of the wrong type.
StorePlan parse_store_plan(const nlohmann::json& plan);
CellPlan parse_cell_plan(const nlohmann::json& plan);

}  // namespace martenwall::scale
