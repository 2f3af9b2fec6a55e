#include "core/persistence/task_row_layout.hpp"

#include <algorithm>
#include <iterator>

namespace martenwall {

Job::RowStates::iterator find_or_add_range(Job& job, std::uint32_t index, const RowFormat& format) {
  const auto next = job.task_ranges.upper_bound(index);
  auto start = index / format.range_size * format.range_size;
  auto end = start + format.range_size;
  if (next != job.task_ranges.begin()) {
    const auto before = std::prev(next);
    const auto covered = before->first + before->second.size;
    if (index < covered) return before;
    start = std::max(start, covered);
  }
  if (next != job.task_ranges.end()) end = std::min(end, next->first);
  if (!job.v1_rows.empty()) {
    // The range stays within one row of format 1, so that whatever is stored of that row applies to the whole range.
    const auto first = index / format.v1_row_size * format.v1_row_size;
    start = std::max(start, first);
    end = std::min(end, first + format.v1_row_size);
  }
  return job.task_ranges.emplace(start, Job::RowState{end - start, {}, {}, 0}).first;
}

void add_uncovered_ranges(Job& job, std::uint32_t first, std::uint32_t end) {
  for (auto index = first; index < end;) {
    const auto next = job.task_ranges.upper_bound(index);
    if (next != job.task_ranges.begin()) {
      const auto before = std::prev(next);
      const auto covered = before->first + before->second.size;
      if (index < covered) {
        index = covered;
        continue;
      }
    }
    const auto range_end = next == job.task_ranges.end() ? end : std::min(end, next->first);
    job.task_ranges.emplace(index, Job::RowState{range_end - index, {}, {}, 0});
    index = range_end;
  }
}

bool is_covered(const Job& job, std::uint32_t index) {
  const auto next = job.task_ranges.upper_bound(index);
  if (next == job.task_ranges.begin()) return false;
  const auto& [first, row] = *std::prev(next);
  return index < first + row.size;
}

std::pair<RowKey, Job::RowState*> row_of_task(Job& job, std::uint32_t index, const RowFormat& format) {
  const auto& id = job.spec.id.value();
  if (format.range_rows) {
    const auto range = find_or_add_range(job, index, format);
    return {{RowKind::tasks, id, range->first}, &range->second};
  }
  const auto number = index / format.v1_row_size;
  auto& row = job.v1_rows[number * format.v1_row_size];
  row.size = format.v1_row_size;
  return {{RowKind::tasks_v1, id, number}, &row};
}

std::uint32_t v1_row_end(const Job& job, std::uint32_t first, const RowFormat& format) {
  auto used = std::max({job.next_unstarted, job.done.upper(), first + 1});
  if (!job.placed.empty()) used = std::max(used, job.placed.rbegin()->first + 1);
  return std::min(first + format.v1_row_size, used);
}

bool is_superseded(const Job& job, std::uint32_t v1_first, const RowFormat& format) {
  if (!format.range_rows || !job.v1_rows.contains(v1_first)) return false;
  const auto placed = job.placed.lower_bound(v1_first);
  const bool none_placed = placed == job.placed.end() || placed->first >= v1_first + format.v1_row_size;
  if (job.end_is_stored && job.orphans.empty() && none_placed) return true;
  const auto end = v1_row_end(job, v1_first, format);
  for (auto index = v1_first; index < end;) {
    const auto next = job.task_ranges.upper_bound(index);
    if (next == job.task_ranges.begin()) return false;
    const auto& [first, range] = *std::prev(next);
    if (range.in_store == 0 || index >= first + range.size) return false;
    index = first + range.size;
  }
  return true;
}

}  // namespace martenwall
