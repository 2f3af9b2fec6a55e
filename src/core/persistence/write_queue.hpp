// Queue of rows to be written, by priority and due time. A row is written by one transaction at a time. Changes during
// a write wait for the next one, so that many changes of a row take one write.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/messages.hpp"

namespace martenwall {

// Priority class of the write of a row.
enum class WritePriority : std::uint8_t {
  foreground,   // users or task starts wait for it
  best_effort,  // the same for best-effort work: gets a share of the writes and those that remain unused
  deferrable,   // nothing waits for it; written if no other row is due
};

// Rows by due time, one queue per priority.
class WriteQueue {
 public:
  // Queues a row. A row that is already queued keeps the earlier time and the higher priority.
  void add(const RowKey& key, Time due, WritePriority priority) {
    auto [entry, inserted] = entries_.try_emplace(key, Entry{priority, due});
    if (!inserted) {
      const Entry merged{std::min(entry->second.priority, priority), std::min(entry->second.due, due)};
      if (merged == entry->second) return;
      queue_of(entry->second.priority).erase({entry->second.due, key});
      entry->second = merged;
    }
    queue_of(entry->second.priority).emplace(entry->second.due, key);
  }
  // Removes a row that does not need to be written.
  void remove(const RowKey& key) {
    const auto entry = entries_.find(key);
    if (entry == entries_.end()) return;
    queue_of(entry->second.priority).erase({entry->second.due, key});
    entries_.erase(entry);
  }
  // Returns up to `max_rows` due rows, oldest first within a priority; they are in flight until `finish_write`.
  // `deferrable`: if no other row is due, also returns deferrable rows.
  std::vector<RowKey> pop_due(std::size_t max_rows, bool deferrable, Time now) {
    std::vector<RowKey> out;
    // Without the share, many small best-effort jobs would block all starts, or starts would block best-effort jobs
    // indefinitely.
    const std::size_t share = ready(WritePriority::best_effort, now) ? std::max<std::size_t>(1, max_rows / 4) : 0;
    pop_due_of(WritePriority::foreground, max_rows - std::min(max_rows, share), now, out);
    pop_due_of(WritePriority::best_effort, max_rows, now, out);
    pop_due_of(WritePriority::foreground, max_rows, now, out);
    if (out.empty() && deferrable) pop_due_of(WritePriority::deferrable, max_rows, now, out);
    return out;
  }
  // Ends the write of a row that `pop_due` returned.
  void finish_write(const RowKey& key) { in_flight_.erase(key); }
  // Returns whether the row is queued or being written.
  [[nodiscard]] bool contains(const RowKey& key) const { return entries_.contains(key) || in_flight_.contains(key); }
  // Number of due rows, and the time since the oldest of them became due.
  struct Backlog {
    std::size_t rows = 0;
    Duration oldest{0};
  };
  [[nodiscard]] Backlog backlog(WritePriority priority, Time now) const {
    Backlog out;
    for (const auto& [due, key] : queues_.at(static_cast<std::size_t>(priority))) {
      if (due > now) break;
      if (out.rows++ == 0) out.oldest = now - due;
    }
    return out;
  }
  // Returns whether a row of this priority is due and not in flight.
  [[nodiscard]] bool ready(WritePriority priority, Time now) const {
    for (const auto& [due, key] : queues_.at(static_cast<std::size_t>(priority))) {
      if (due > now) return false;
      if (!in_flight_.contains(key)) return true;
    }
    return false;
  }

 private:
  struct Entry {
    WritePriority priority = WritePriority::foreground;
    Time due{};
    bool operator==(const Entry&) const = default;
  };
  using DueOrder = std::set<std::pair<Time, RowKey>>;
  DueOrder& queue_of(WritePriority priority) { return queues_.at(static_cast<std::size_t>(priority)); }
  void pop_due_of(WritePriority priority, std::size_t max_rows, Time now, std::vector<RowKey>& out) {
    auto& order = queue_of(priority);
    for (auto row = order.begin(); row != order.end() && row->first <= now && out.size() < max_rows;) {
      if (in_flight_.contains(row->second)) {
        ++row;
        continue;
      }
      out.push_back(row->second);
      in_flight_.insert(row->second);
      entries_.erase(row->second);
      row = order.erase(row);
    }
  }

  std::map<RowKey, Entry> entries_;
  std::array<DueOrder, 3> queues_;
  std::set<RowKey> in_flight_;
};

}  // namespace martenwall
