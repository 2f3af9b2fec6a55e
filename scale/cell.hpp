// The parts of a cell besides the controllers and the state service: hollow workers, the cloud, users and the rule
// checker. They run in one process so that the observations of workers and users have a total order.
#pragma once
#include "scale/balancer.hpp"
#include "scale/cloud.hpp"
#include "scale/users.hpp"

namespace martenwall::scale {

// Runs the plan of one cell to its end and writes the result file.
class Cell {
 public:
  Cell(rt::Loop& loop, CellPlan plan);
  // Runs the plan and writes the result. Returns 0, or 1 if a rule was violated.
  int run();

 private:
  rt::Task<void> tick_loop();
  rt::Task<void> run_plan();
  rt::Task<void> run_event(Event event);
  void write_result();
  [[nodiscard]] double elapsed_s() const { return to_seconds(loop_.now() - started_at_); }

  rt::Loop& loop_;
  CellPlan plan_;
  std::mt19937_64 random_;
  stand_ins::Rules rules_;
  WorkerFleet workers_;
  Cloud cloud_;
  Balancer balancer_;
  Users users_;
  Time started_at_{};
  bool finished_ = false;
  struct Sample {
    std::size_t started = 0, on_machines = 0;
  };
  std::vector<Sample> samples_;
  double busiest_worker_bytes_ = 0, longest_tick_s_ = 0;
};

}  // namespace martenwall::scale
