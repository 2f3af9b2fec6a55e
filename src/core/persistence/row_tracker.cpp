#include "core/persistence/row_tracker.hpp"

#include <algorithm>
#include <utility>

namespace martenwall {

namespace {
constexpr std::size_t max_stored_images = 12;  // per machine, most recently used first
// Delay of the write of a machine row. Image changes of the row's machines arrive one by one and are written together.
constexpr Duration machine_row_delay = seconds(4);
constexpr Duration removal_delay = seconds(2);  // of rows that only a later leader would read
// Delay before the next check whether the rows that took over part of a row's range are stored.
constexpr Duration successor_retry_delay = seconds(0.05);
constexpr Duration unsplittable_retry_delay = seconds(1);  // before a row that cannot be split is retried
}  // namespace

// ---- loading ----

void RowTracker::load_row_state(Job& job, const TaskRow& row) {
  if (row.is_v1) {
    job.v1_rows[row.first] = {row.size, {}, {}, row.size};
    return;
  }
  add_uncovered_ranges(job, row.first, row.first + row.size);
  if (const auto loaded = job.task_ranges.find(row.first); loaded != job.task_ranges.end())
    loaded->second.in_store = row.size;
}

void RowTracker::finish_load(Job& job, Time now) {
  if (format_.range_rows) migrate_v1_rows(job, now);
  // Ranges left unstored by a crash during a split are written before anything that they cover changes.
  for (const auto& [first, range] : job.task_ranges) {
    if (range.in_store == 0) queue_.add({RowKind::tasks, job.spec.id.value(), first}, now, WritePriority::deferrable);
  }
  if (job.residual) queue_removal(job, now);
}

// ---- queueing of changed rows ----

// Rows of best-effort work also have lower write priority.
WritePriority RowTracker::priority_of(const Job& job) const {
  return state_.is_best_effort(job) ? WritePriority::best_effort : WritePriority::foreground;
}

WritePriority RowTracker::priority_of(const RowKey& key) const {
  const Job* job = std::as_const(state_).find_job(JobId{key.id});
  if (job == nullptr) return WritePriority::deferrable;
  // The user who cancelled a job waits for the response, whatever the job's priority; dependent jobs wait for its end.
  const bool waited_for = dependencies_.has_dependents(job->spec.id) || job->phase == JobPhase::cancelled;
  return key.kind == RowKind::final_job && waited_for ? WritePriority::foreground : priority_of(*job);
}

Generation RowTracker::mark_dirty(Job& job, std::uint32_t index, Duration delay, Time now) {
  const auto [key, row] = row_of_task(job, index, format_);
  row->changed = Generation{++last_generation_};
  queue_.add(key, now + delay, priority_of(job));
  return row->changed;
}

void RowTracker::mark_dirty(Machine& machine, Time now) {
  const auto group = machine_groups_.assign(machine, format_.group_size);
  queue_.add({RowKind::machines, "", group}, now + machine_row_delay, WritePriority::deferrable);
}

void RowTracker::remove_machine(const Machine& machine, Time now) {
  if (!machine.group) return;
  machine_groups_.remove(machine);
  queue_.add({RowKind::machines, "", *machine.group}, now + machine_row_delay, WritePriority::deferrable);
}

void RowTracker::queue_end(const Job& job, Time now) {
  const RowKey key{RowKind::final_job, job.spec.id.value(), 0};
  queue_.add(key, now, priority_of(key));
  if (job.phase != JobPhase::done) return;
  // The job's end replaces the ends of its tasks. This saves one write per job, which matters for large numbers of
  // small jobs.
  for_each_row(job, format_, [&](const RowKey& row, const Job::RowState&) { queue_.remove(row); });
}

void RowTracker::queue_rows(const Job& job, Time due, WritePriority priority) {
  for_each_row(job, format_, [&](const RowKey& key, const Job::RowState&) { queue_.add(key, due, priority); });
}

void RowTracker::queue_removal(Job& job, Time now) { queue_rows(job, now + removal_delay, WritePriority::deferrable); }

// ---- migration from format 1 to format 2 ----

void RowTracker::use_range_rows(Time now) {
  if (std::exchange(format_.range_rows, true)) return;
  for (auto& [id, job] : state_.jobs) migrate_v1_rows(job, now);
}

void RowTracker::set_row_sizes(std::uint32_t range_size, std::size_t group_size) {
  format_.range_size = std::max(1U, range_size);
  format_.group_size = std::max<std::size_t>(1, group_size);
}

std::size_t RowTracker::v1_row_count() const {
  std::size_t count = 0;
  for (const auto& [id, job] : state_.jobs) {
    count += static_cast<std::size_t>(
        std::ranges::count_if(job.v1_rows, [](const auto& row) { return row.second.in_store > 0; }));
  }
  return count;
}

// Adds ranges for all indices that rows of format 1 have information about. The row of format 1 remains valid until the
// range's own row is stored, so it is removed last and a crash in between loses nothing.
void RowTracker::migrate_v1_rows(Job& job, Time now) {
  for (const auto& [first, row] : job.v1_rows) {
    const RowKey v1_key{RowKind::tasks_v1, job.spec.id.value(), first / format_.v1_row_size};
    queue_.remove(v1_key);
    const bool dirty = row.changed > row.stored;
    const auto end = v1_row_end(job, first, format_);
    for (auto index = first; index < end;) {
      const auto range_count = job.task_ranges.size();
      const auto range = find_or_add_range(job, index, format_);
      index = range->first + range->second.size;
      if (job.task_ranges.size() == range_count) continue;
      range->second.changed = row.changed;
      range->second.stored = row.stored;
      queue_.add({RowKind::tasks, job.spec.id.value(), range->first}, now,
                 dirty ? priority_of(job) : WritePriority::deferrable);
    }
    if (is_superseded(job, first, format_)) queue_.add(v1_key, now + removal_delay, WritePriority::deferrable);
  }
}

void RowTracker::queue_superseded(const Job& job, std::uint32_t first, std::uint32_t size, Time now) {
  for (const auto& [v1_first, row] : job.v1_rows) {
    if (row.in_store == 0 || v1_first >= first + size || v1_first + row.size <= first) continue;
    if (!is_superseded(job, v1_first, format_)) continue;
    queue_.add({RowKind::tasks_v1, job.spec.id.value(), v1_first / format_.v1_row_size}, now,
               WritePriority::deferrable);
  }
}

// Returns whether all rows that took over part of this row's range are stored. Only then may the shortened row be
// written. Queues those that are not stored.
bool RowTracker::successors_stored(const Job& job, std::uint32_t first, Time now) {
  const auto range = job.task_ranges.find(first);
  if (range == job.task_ranges.end() || range->second.in_store <= range->second.size || job.end_is_stored) return true;
  const auto end = first + range->second.in_store;
  bool all_stored = true;
  for (auto successor = std::next(range); successor != job.task_ranges.end() && successor->first < end; ++successor) {
    if (successor->second.in_store > 0) continue;
    all_stored = false;
    queue_.add({RowKind::tasks, job.spec.id.value(), successor->first}, now, priority_of(job));
  }
  return all_stored;
}

bool RowTracker::split_row(const RowWrite& write, Time now) {
  queue_.finish_write(write.key);
  Job* job = state_.find_job(JobId{write.key.id});
  if (job == nullptr) return true;
  const auto range = job->task_ranges.find(write.key.part);
  if (write.key.kind != RowKind::tasks || range == job->task_ranges.end() || range->second.size < 2) {
    queue_.add(write.key, now + unsplittable_retry_delay, priority_of(*job));
    return false;
  }
  const auto half = range->second.size / 2;
  Job::RowState second_half{range->second.size - half, range->second.changed, range->second.stored, 0};
  range->second.size = half;
  queue_.add({RowKind::tasks, write.key.id, write.key.part + half}, now, priority_of(*job));
  queue_.add(write.key, now, priority_of(*job));
  job->task_ranges.emplace(write.key.part + half, second_half);
  return true;
}

void RowTracker::requeue(const std::vector<RowWrite>& writes, Duration delay, Time now) {
  for (const auto& write : writes) {
    queue_.finish_write(write.key);
    queue_.add(write.key, now + delay, priority_of(write.key));
  }
}

// ---- writing ----

bool RowTracker::has_writes(bool deferrable, Time now) const {
  return queue_.ready(WritePriority::foreground, now) || queue_.ready(WritePriority::best_effort, now) ||
         (deferrable && queue_.ready(WritePriority::deferrable, now));
}

// Returns whether the row can be written now. If not, it is queued again, due after `successor_retry_delay` or when the
// last row that replaces it is stored.
bool RowTracker::is_due(const RowKey& key, Time now) {
  const Job* job = std::as_const(state_).find_job(JobId{key.id});
  if (job == nullptr || key.kind == RowKind::machines) return true;
  if (key.kind == RowKind::tasks && !successors_stored(*job, key.part, now)) {
    queue_.finish_write(key);
    queue_.add(key, now + successor_retry_delay, priority_of(*job));
    return false;
  }
  const auto v1_first = key.part * format_.v1_row_size;
  if (format_.range_rows && key.kind == RowKind::tasks_v1 && !is_superseded(*job, v1_first, format_)) {
    queue_.finish_write(key);
    return false;
  }
  return true;
}

std::vector<RowWrite> RowTracker::take_writes(std::size_t max_rows, bool deferrable, Time now) {
  std::vector<RowWrite> writes;
  for (const auto& key : queue_.pop_due(max_rows, deferrable, now)) {
    if (is_due(key, now)) writes.push_back(build_write(key));
  }
  return writes;
}

RowWrite RowTracker::build_write(const RowKey& key) {
  RowWrite write;
  write.key = key;
  if (key.kind == RowKind::machines) {
    build_machine_rows(write);
    return write;
  }
  Job* job = state_.find_job(JobId{key.id});
  if (job == nullptr) return write;
  if (key.kind == RowKind::final_job) {
    job->end_write_sent = true;
    write.final_job = FinalJob{job->spec.id, job->phase, job->spec.tasks, job->done.count(), job->dependent};
    write.chunk_keys = job->chunk_keys;
    return write;
  }
  build_task_rows(write, *job);
  return write;
}

void RowTracker::build_machine_rows(RowWrite& write) {
  for (const auto& id : machine_groups_.members(write.key.part)) {
    const auto it = state_.machines.find(id);
    if (it != state_.machines.end()) write.machines.push_back(record_of(it->second));
  }
}

void RowTracker::build_task_rows(RowWrite& write, const Job& job) const {
  const bool is_v1 = write.key.kind == RowKind::tasks_v1;
  const auto first = is_v1 ? write.key.part * format_.v1_row_size : write.key.part;
  const auto& rows = is_v1 ? job.v1_rows : job.task_ranges;
  const auto row = rows.find(first);
  if (row == rows.end()) return;
  write.generation = row->second.changed;
  write.size = row->second.size;
  // Once all nodes read format 2, a row of format 1 stays unchanged until it can be removed.
  if (!is_v1 || !is_superseded(job, first, format_)) write.tasks = build_task_row(job, first, write.size);
  if (write.tasks) write.tasks->is_v1 = is_v1;
}

std::optional<TaskRow> RowTracker::build_task_row(const Job& job, std::uint32_t first, std::uint32_t size) const {
  const std::uint32_t last = first + size - 1;
  TaskRow row;
  row.job = job.spec.id;
  row.first = first;
  row.size = size;
  row.team = job.spec.team;
  row.need = job.spec.need;
  row.priority = job.priority;
  row.next_attempt = job.next_attempt;
  row.failed_machines = job.failed_machines();
  const auto add_placed = [&](std::uint32_t index, const MachineId& id) {
    const auto machine = state_.machines.find(id);
    if (machine == state_.machines.end()) return;
    for (const auto& placement : machine->second.placements) {
      if (placement.occupies() && placement.task.index == index && placement.task.job == job.spec.id) {
        row.placed.push_back({index, placement.attempt, id, machine->second.zone});
      }
    }
  };
  for (auto it = job.placed.lower_bound(first); it != job.placed.end() && it->first <= last; ++it) {
    add_placed(it->first, it->second);
  }
  for (auto it = job.orphans.lower_bound({first, MachineId{}}); it != job.orphans.end() && it->first <= last; ++it) {
    add_placed(it->first, it->second);
  }
  if (job.end_is_stored && row.placed.empty()) return std::nullopt;
  if (!job.residual) row.done = job.done.ranges_in(first, std::min(last, job.spec.tasks - 1));
  return row;
}

MachineRecord RowTracker::record_of(const Machine& machine) const {
  MachineRecord record{machine.id,          machine.group.value_or(0),
                       machine.addr,        machine.type,
                       machine.zone,        machine.spot,
                       machine.incarnation, {}};
  // Without cache contents, a new leader would place tasks on machines that lack the image.
  for (const auto& image : machine.images) {
    if (image.ready && record.images.size() < max_stored_images) {
      record.images.emplace_back(state_.image_names.at(image.id.value()), image.gb);
    }
  }
  return record;
}

// ---- confirmed writes ----

void RowTracker::on_stored(const RowWrite& write, Time now) {
  queue_.finish_write(write.key);
  if (write.key.kind == RowKind::tasks || write.key.kind == RowKind::tasks_v1) on_task_row_stored(write, now);
}

void RowTracker::on_task_row_stored(const RowWrite& write, Time now) {
  Job* job = state_.find_job(JobId{write.key.id});
  if (job == nullptr) return;
  const bool is_v1 = write.key.kind == RowKind::tasks_v1;
  const std::uint32_t first = is_v1 ? write.key.part * format_.v1_row_size : write.key.part;
  const std::uint32_t end = first + write.size;
  auto& rows = is_v1 ? job->v1_rows : job->task_ranges;
  if (const auto row = rows.find(first); row != rows.end()) {
    row->second.stored = std::max(row->second.stored, write.generation);
    row->second.in_store = write.tasks ? write.size : 0;
  }
  // The write also covers ranges that were split off after it was built: until their own rows are stored, this row
  // counts for them.
  auto range = job->task_ranges.lower_bound(first);
  for (; range != job->task_ranges.end() && range->first < end; ++range) {
    range->second.stored = std::max(range->second.stored, write.generation);
  }
  queue_superseded(*job, first, write.size, now);
  for (auto task = job->placed.lower_bound(first); task != job->placed.end() && task->first < end; ++task) {
    state_.machines_to_command.insert(task->second);
  }
}

void RowTracker::forget_if_finished(const JobId& id) {
  const auto it = state_.jobs.find(id);
  if (it == state_.jobs.end()) return;
  const Job& job = it->second;
  if (!job.end_is_stored || !job.placed.empty() || !job.orphans.empty()) return;
  bool has_rows = false;
  for_each_row(job, format_, [&](const RowKey& key, const Job::RowState& row) {
    has_rows = has_rows || row.in_store > 0 || queue_.contains(key);
  });
  if (!has_rows) state_.jobs.erase(it);
}

bool RowTracker::is_stored(const Placement& placement) const {
  const Job* job = std::as_const(state_).find_job(placement.task.job);
  if (job == nullptr || job->end_is_stored) return true;
  if (placement.generation == Generation{0}) return true;
  const auto is_stored_in = [&](const Job::RowStates& rows) -> std::optional<bool> {
    const auto next = rows.upper_bound(placement.task.index);
    if (next == rows.begin()) return std::nullopt;
    const auto& [first, row] = *std::prev(next);
    if (placement.task.index >= first + row.size) return std::nullopt;
    return placement.generation <= row.stored;
  };
  if (const auto in_range = is_stored_in(job->task_ranges)) return *in_range;
  return is_stored_in(job->v1_rows).value_or(false);
}

}  // namespace martenwall
