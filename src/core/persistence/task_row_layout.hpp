// Which rows of the store the tasks of one job belong to. A row tells of a range of task indices. Rows of format 2 name
// their range in their key; rows of format 1 are numbered and have a fixed size (docs/upgrade.md). Where the ranges of
// stored rows overlap, the row that begins last counts.
#pragma once
#include <cstdint>
#include <utility>

#include "core/messages.hpp"
#include "core/model/model.hpp"

namespace martenwall {

// Formats and sizes in use.
struct RowFormat {
  bool range_rows = true;           // format 2 is written; otherwise format 1
  std::uint32_t v1_row_size = 100;  // task indices in a row of format 1
  std::uint32_t range_size = 40;    // task indices in a new row of format 2
  std::size_t group_size = 25;      // machines in one row of machine records
};

// The range that holds the task; a new one, aligned to the sizes in `format`, where there is none.
Job::RowStates::iterator find_or_add_range(Job& job, std::uint32_t index, const RowFormat& format);
// Adds ranges for the parts of [first, end) that no later range covers: only there a row that was read counts.
void add_uncovered_ranges(Job& job, std::uint32_t first, std::uint32_t end);
// Whether a range of the job covers the task.
[[nodiscard]] bool is_covered(const Job& job, std::uint32_t index);
// The row that the task is written to, in the format in use.
std::pair<RowKey, Job::RowState*> row_of_task(Job& job, std::uint32_t index, const RowFormat& format);
// One past the last index of which a row of format 1 tells anything. Of its first index it always does: which attempts
// were used is recorded there even if no task of the row is placed or done.
[[nodiscard]] std::uint32_t v1_row_end(const Job& job, std::uint32_t first, const RowFormat& format);
// Whether stored rows of format 2 tell all that the row of format 1 that begins there tells, so that it can be removed.
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
