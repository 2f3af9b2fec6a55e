// Which rows of the store are out of date, what they are to hold, and which of them may be removed. A row is queued
// when something that it tells of changes; its content is made up when it is taken for writing, so that many changes
// cost one write. What a new leader finds is argued in docs/safety.md, "A task on one machine only".
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

class RowTracker {
 public:
  RowTracker(ClusterState& state, const DependencyTracker& dependencies, const RowFormat& format)
      : state_(state), dependencies_(dependencies), format_(format) {}

  // Something that the row of this task tells of changed; the row is written after `delay`. Returns the generation that
  // the row must be stored with before anything may rest on the change.
  Generation mark_dirty(Job& job, std::uint32_t index, Duration delay, Time now);
  // The same of a machine's record, on which nothing rests.
  void mark_dirty(Machine& machine, Time now);
  // The machine is no longer part of the fleet.
  void remove_machine(const Machine& machine, Time now);
  // The job ended: its end is to be stored. Of a job that is done its task rows need not be written any more.
  void queue_end(const Job& job, Time now);

  // While a new leader loads what is stored.
  void load_machine_group(Machine& machine, std::uint32_t group) { machine_groups_.add(machine, group); }
  void load_row_state(Job& job, const TaskRow& row);
  void finish_load(Job& job, Time now);

  // From now on all nodes read rows of format 2; rows of format 1 are replaced one by one.
  void use_range_rows(Time now);
  [[nodiscard]] bool uses_range_rows() const { return format_.range_rows; }
  void set_row_sizes(std::uint32_t range_size, std::size_t group_size);
  [[nodiscard]] std::size_t v1_row_count() const;  // in the store, to be replaced

  // The rows to be written now, at most `most`; each counts as being written until one of the three functions below is
  // called for it. `deferrable`: also rows that nobody waits for, where there are no others.
  std::vector<RowWrite> take_writes(std::size_t max_rows, bool deferrable, Time now);
  [[nodiscard]] bool has_writes(bool deferrable, Time now) const;
  // The row was written.
  void on_stored(const RowWrite& write, Time now);
  // The row was not written, since it is too large. False where it cannot be split any further.
  bool split_row(const RowWrite& write, Time now);
  // The rows were not written; they are due again after `delay`.
  void requeue(const std::vector<RowWrite>& writes, Duration delay, Time now);

  // The end of a job is stored: its task rows go, once nothing of it is on a machine.
  void queue_removal(Job& job, Time now);
  // A job leaves the memory once its end is stored and nothing of it is on a machine or in an active row.
  void forget_if_finished(const JobId& id);
  // Whether what the store must hold before this placement's start (or before its end is forgotten) is stored.
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
