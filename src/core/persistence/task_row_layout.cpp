#include "core/persistence/task_row_layout.hpp"

#include <algorithm>
#include <iterator>

namespace martenwall {

Job::RowStates::iterator find_or_add_range(Job& job, std::uint32_t index, const RowFormat& format) {
  const auto next = job.task_ranges.upper_bound(index);
  auto from = index / format.range_size * format.range_size;
  auto to = from + format.range_size;
  if (next != job.task_ranges.begin()) {
    const auto before = std::prev(next);
    const auto end = before->first + before->second.size;
    if (index < end) return before;
    from = std::max(from, end);
  }
  if (next != job.task_ranges.end()) to = std::min(to, next->first);
  if (!job.v1_rows.empty()) {
    // Within one row of format 1: what is stored of it is then stored of the whole range.
    const auto first = index / format.v1_row_size * format.v1_row_size;
    from = std::max(from, first);
    to = std::min(to, first + format.v1_row_size);
  }
  return job.task_ranges.emplace(from, Job::RowState{to - from, {}, {}, 0}).first;
}

void add_uncovered_ranges(Job& job, std::uint32_t first, std::uint32_t end) {
  for (auto at = first; at < end;) {
    const auto next = job.task_ranges.upper_bound(at);
    if (next != job.task_ranges.begin()) {
      const auto before = std::prev(next);
      const auto covered = before->first + before->second.size;
      if (at < covered) {
        at = covered;
        continue;
      }
    }
    const auto to = next == job.task_ranges.end() ? end : std::min(end, next->first);
    job.task_ranges.emplace(at, Job::RowState{to - at, {}, {}, 0});
    at = to;
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
  const bool empty = placed == job.placed.end() || placed->first >= v1_first + format.v1_row_size;
  if (job.end_is_stored && job.orphans.empty() && empty) return true;
  const auto end = v1_row_end(job, v1_first, format);
  for (auto i = v1_first; i < end;) {
    const auto next = job.task_ranges.upper_bound(i);
    if (next == job.task_ranges.begin()) return false;
    const auto& [first, range] = *std::prev(next);
    if (range.in_store == 0 || i >= first + range.size) return false;
    i = first + range.size;
  }
  return true;
}

}  // namespace martenwall
