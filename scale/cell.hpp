// All of a cell that is not a controller or its state service: hollow workers, the cloud, users, and the judge, in one
// process, so that what workers and users saw has one order.
#pragma once
#include "scale/balancer.hpp"
#include "scale/cloud.hpp"
#include "scale/users.hpp"

namespace martenwall::scale {

// Runs the plan of one cell to its end and writes the result file.
class Cell {
 public:
  Cell(rt::Loop& loop, CellPlan plan);
  int run();  // to its end; writes the result; 1 where a rule was broken

 private:
  rt::Task<void> ticks();
  rt::Task<void> run_plan();
  rt::Task<void> run_event(Event event);
  void write_result();
  [[nodiscard]] double since_began() const { return to_seconds(loop_.now() - began_); }

  rt::Loop& loop_;
  CellPlan plan_;
  std::mt19937_64 random_;
  stand_ins::Rules rules_;
  WorkerFleet workers_;
  Cloud cloud_;
  Balancer balancer_;
  Users users_;
  Time began_{};
  bool over_ = false;
  struct Second {
    std::size_t started = 0, on_machines = 0;
  };
  std::vector<Second> seconds_;
  double busiest_worker_bytes_ = 0, longest_tick_s_ = 0;
};

}  // namespace martenwall::scale
