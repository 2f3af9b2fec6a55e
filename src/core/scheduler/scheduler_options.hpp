// Options of a new leader's scheduler: the installation's policy, the workers' timing and the row formats in use.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/model.hpp"
#include "core/model/policy.hpp"

namespace martenwall {

struct SchedulerOptions {
  Policy policy;
  WorkerTimings timings;
  StartObjectives objectives;
  std::vector<Team> teams;
  std::size_t max_tasks_per_machine = 60;
  bool log_tasks = true;            // log each task's placement, start and end, not only exceptional events
  bool range_rows = true;           // write task rows of format 2, which all nodes can read; otherwise write format 1
  std::uint32_t v1_row_size = 100;  // task indices in a task row of format 1
  std::uint32_t range_size = 40;    // task indices in a new task row of format 2
  std::size_t group_size = 25;      // machines in one row of machine records
  // Maximum number of unanswered scale-out requests. Demand beyond it is planned again once requests are answered.
  std::size_t max_pending_scale_outs = 100;
  bool quota_limits_changed = false;   // team limits may have been lowered, so usage beyond them must be stopped
  FencingToken token;                  // fencing token of this leadership
  Time previous_leader_valid_until{};  // latest time at which an earlier leader may have answered a worker
};

}  // namespace martenwall
