// Tracks which rows in the store are out of date, what they should contain and which of them may be removed. A row is
// queued when something that it covers changes. Its content is built when it is dequeued for writing, so that many
// changes take one write. docs/safety.md, "A task on one machine only", shows what a new leader finds.
#pragma once
#include <optional>
#include <vector>

#include "core/messages.hpp"
#include "core/persistence/machine_row_groups.hpp"
#include "core/persistence/task_row_layout.hpp"
#include "core/persistence/write_queue.hpp"
#include "core/scheduler/cluster_state.hpp"
#include "core/scheduler/dependency_tracker.hpp"

namespace martenwall {

// Tracks the changes of jobs, tasks and machines that must be written to their rows.
class RowTracker {
 public:
  RowTracker(ClusterState& state, const DependencyTracker& dependencies, const RowFormat& format)
      : state_(state), dependencies_(dependencies), format_(format) {}

  // Queues the row of this task to be written after `delay`. Returns the generation with which the row must be stored
  // before anything may depend on the change.
  Generation mark_dirty(Job& job, std::uint32_t index, Duration delay, Time now);
  // Queues the row of the machine's record, on which nothing depends.
  void mark_dirty(Machine& machine, Time now);
  // Removes the record of a machine that left the fleet.
  void remove_machine(const Machine& machine, Time now);
  // Queues the job's end to be stored. If the job is done, its queued task rows are dropped: they need not be written.
  void queue_end(const Job& job, Time now);

  // Called while a new leader loads the stored rows.
  void load_machine_group(Machine& machine, std::uint32_t group) { machine_groups_.add(machine, group); }
  void load_row_state(Job& job, const TaskRow& row);
  void finish_load(Job& job, Time now);

  // Switches to rows of format 2, once all nodes can read them; rows of format 1 are replaced one by one.
  void use_range_rows(Time now);
  [[nodiscard]] bool uses_range_rows() const { return format_.range_rows; }
  void set_row_sizes(std::uint32_t range_size, std::size_t group_size);
  [[nodiscard]] std::size_t v1_row_count() const;  // rows of format 1 in the store that are still to be replaced

  // Returns up to `max_rows` rows to be written. Each counts as being written until `on_stored`, `split_row` or
  // `requeue` is called for it. `deferrable`: if no other row is due, also returns rows that nothing waits for.
  std::vector<RowWrite> take_writes(std::size_t max_rows, bool deferrable, Time now);
  [[nodiscard]] bool has_writes(bool deferrable, Time now) const;
  // Records that the row was written.
  void on_stored(const RowWrite& write, Time now);
  // Splits a row that was not written because it is too large. Returns false if it cannot be split further.
  bool split_row(const RowWrite& write, Time now);
  // Queues rows that were not written again, due after `delay`.
  void requeue(const std::vector<RowWrite>& writes, Duration delay, Time now);

  // Queues the removal of the job's task rows, for a job whose end is stored; a row is removed once none of its tasks
  // is on a machine.
  void queue_removal(Job& job, Time now);
  // Removes the job from memory if its end is stored, none of its tasks is on a machine and none of its rows is stored
  // or queued.
  void forget_if_finished(const JobId& id);
  // Returns whether the store holds what must be stored before this placement's start is sent, or before its worker
  // drops an ended task.
  [[nodiscard]] bool is_stored(const Placement& placement) const;
  [[nodiscard]] const WriteQueue& queue() const { return queue_; }

 private:
  [[nodiscard]] WritePriority priority_of(const Job& job) const;
  [[nodiscard]] WritePriority priority_of(const RowKey& key) const;
  void queue_rows(const Job& job, Time due, WritePriority priority);
  void migrate_v1_rows(Job& job, Time now);
  void queue_superseded(const Job& job, std::uint32_t first, std::uint32_t size, Time now);
  bool successors_stored(const Job& job, std::uint32_t first, Time now);
  [[nodiscard]] bool is_due(const RowKey& key, Time now);
  RowWrite build_write(const RowKey& key);
  void build_machine_rows(RowWrite& write);
  void build_task_rows(RowWrite& write, const Job& job) const;
  [[nodiscard]] std::optional<TaskRow> build_task_row(const Job& job, std::uint32_t first, std::uint32_t size) const;
  [[nodiscard]] MachineRecord record_of(const Machine& machine) const;
  void on_task_row_stored(const RowWrite& write, Time now);

  ClusterState& state_;
  const DependencyTracker& dependencies_;
  RowFormat format_;
  WriteQueue queue_;
  MachineRowGroups machine_groups_;
  std::uint64_t last_generation_ = 0;
};

}  // namespace martenwall
