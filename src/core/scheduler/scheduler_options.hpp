// What a new leader's scheduler is told once: the installation's policy, the workers' timing and the formats in use.
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
  bool log_tasks = true;   // log each task's placement, beginning and end, not only what is out of the ordinary
  bool range_rows = true;  // all nodes read task rows of format 2; otherwise rows of format 1 are written
  std::uint32_t v1_row_size = 100;  // task indices in a task row of format 1
  std::uint32_t range_size = 40;    // task indices in a new task row of format 2
  std::size_t group_size = 25;      // machines in one row of machine records
  // Scale-out requests that are not answered yet; demand beyond them is planned again when there are fewer.
  std::size_t max_pending_scale_outs = 100;
  bool quota_limits_changed = false;   // team limits may have been lowered: what runs beyond them is stopped
  FencingToken token;                  // of this leadership
  Time previous_leader_valid_until{};  // the last moment at which an earlier leader may have answered a worker
};

}  // namespace martenwall
