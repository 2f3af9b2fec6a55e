// Maps the tasks of one job to rows in the store. A row covers a range of task indices. Rows of format 2 name their
// range in their key; rows of format 1 are numbered and have a fixed size (docs/upgrade.md). If the ranges of stored
// rows overlap, the row with the highest first index takes precedence.
#pragma once
#include <cstdint>
#include <utility>

#include "core/messages.hpp"
#include "core/model/model.hpp"

namespace martenwall {

// Row formats and sizes in use.
struct RowFormat {
  bool range_rows = true;           // whether format 2 is written; otherwise format 1
  std::uint32_t v1_row_size = 100;  // task indices in a row of format 1
  std::uint32_t range_size = 40;    // task indices in a new row of format 2
  std::size_t group_size = 25;      // machines in one row of machine records
};

// Returns the range that holds the task. If there is none, adds one that is aligned to the sizes in `format`.
Job::RowStates::iterator find_or_add_range(Job& job, std::uint32_t index, const RowFormat& format);
// Adds ranges for the parts of [first, end) that no existing range covers. The contents of a stored row count only for
// these parts.
void add_uncovered_ranges(Job& job, std::uint32_t first, std::uint32_t end);
// Returns whether a range of the job covers the task.
[[nodiscard]] bool is_covered(const Job& job, std::uint32_t index);
// Returns the key and state of the row to which the task is written in the format in use.
std::pair<RowKey, Job::RowState*> row_of_task(Job& job, std::uint32_t index, const RowFormat& format);
// Returns one past the last index that a row of format 1 has information about. It always has information about its
// first index: it records which attempts were used even if none of its tasks is placed or done.
[[nodiscard]] std::uint32_t v1_row_end(const Job& job, std::uint32_t first, const RowFormat& format);
// Returns whether stored rows of format 2 contain all information of the row of format 1 that begins at `v1_first`, so
// that it can be removed.
[[nodiscard]] bool is_superseded(const Job& job, std::uint32_t v1_first, const RowFormat& format);

// Calls `visit(RowKey, const Job::RowState&)` for each row of the job's tasks.
template <class Visit>
void for_each_row(const Job& job, const RowFormat& format, Visit&& visit) {
  for (const auto& [first, row] : job.task_ranges) visit(RowKey{RowKind::tasks, job.spec.id.value(), first}, row);
  for (const auto& [first, row] : job.v1_rows) {
    visit(RowKey{RowKind::tasks_v1, job.spec.id.value(), first / format.v1_row_size}, row);
  }
}

}  // namespace martenwall
