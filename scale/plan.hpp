// Plans of the processes of the scale run, which tools/scale_run.py writes as JSON.
#pragma once
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/model/model.hpp"
#include "core/model/policy.hpp"
#include "stand_ins/store_model.hpp"

namespace martenwall::scale {

// An invalid plan; the message names the field.
class PlanError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Plan of the state service process.
struct StorePlan {
  std::string listen, control;
  stand_ins::StoreLimits limits;
  Duration latency{0};  // added to each response
};

// Name of a controller and the address of its API for users.
struct ControllerAddress {
  std::string name, users;
};

// Machines of one type.
struct MachineGroup {
  std::string type;
  std::size_t count = 0, spare = 0;  // up at the start; available for scale-out, in all zones
};

// Jobs that users submit in one class.
struct JobClass {
  std::string name;
  JobSpec spec;  // common to all jobs of the class
  double per_second = 0;
  std::size_t at_start = 0;
  std::vector<std::uint32_t> sizes;
  std::vector<double> weights;  // of the sizes
  double run_median_s = 10, max_run_s = 100;
  std::size_t images = 1;
  double image_gb = 1;
  double cancel_fraction = 0;  // of the jobs
};

// A fault or a configuration change at a given time of the run.
struct Event {
  enum class Kind { cut_zone, restart_workers, limits } kind = Kind::cut_zone;
  double at_s = 0, for_s = 0;
  std::string zone;                // cut_zone
  double restarts_per_minute = 0;  // restart_workers: fraction of the workers
  std::vector<Team> teams;         // limits: in effect from this event on
};

// Plan of the process with workers, cloud and users.
struct CellPlan {
  std::string cloud_listen, result;
  std::vector<ControllerAddress> controllers;
  WorkerTimings timings;
  std::string flavors;  // response body of the cloud
  std::vector<MachineType> types;
  std::vector<std::string> zones;
  std::vector<MachineGroup> machines;
  std::vector<Team> teams;
  std::vector<JobClass> classes;
  std::vector<Event> events;
  double begin_s = 5, arrivals_s = 60, drain_s = 120;  // before the first job; submissions; maximum after the last one
  std::uint64_t seed = 1;
};

// Parse a plan; both throw PlanError if a field is missing or has the wrong type.
StorePlan parse_store_plan(const nlohmann::json& plan);
CellPlan parse_cell_plan(const nlohmann::json& plan);

}  // namespace martenwall::scale
