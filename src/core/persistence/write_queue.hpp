// Which rows are to be written, and how soon. A row is written by one transaction at a time; what changes
// meanwhile waits for the next one, so that many changes of a row cost one write.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/messages.hpp"

namespace martenwall {

// How soon a row is written.
enum class WritePriority : std::uint8_t {
  foreground,   // users or starts wait for it
  best_effort,  // the same, of work that takes what others leave: gets a share, and what is left
  deferrable,   // no rule needs it; written when there is nothing else
};

// Rows by due time, one queue a priority.
class WriteQueue {
 public:
  // A row that is queued already keeps the earlier time and the higher urgency.
  void add(const RowKey& key, Time due, WritePriority priority) {
    auto [it, inserted] = entries_.try_emplace(key, Entry{priority, due});
    if (!inserted) {
      const Entry merged{std::min(it->second.priority, priority), std::min(it->second.due, due)};
      if (merged == it->second) return;
      queue_of(it->second.priority).erase({it->second.due, key});
      it->second = merged;
    }
    queue_of(it->second.priority).emplace(it->second.due, key);
  }
  // The row need not be written any more.
  void remove(const RowKey& key) {
    const auto it = entries_.find(key);
    if (it == entries_.end()) return;
    queue_of(it->second.priority).erase({it->second.due, key});
    entries_.erase(it);
  }
  // The rows that are due, oldest first; they count as under way until `done`. `spare`: also those that no one
  // waits for, where there are no others.
  std::vector<RowKey> pop_due(std::size_t max_rows, bool deferrable, Time now) {
    std::vector<RowKey> out;
    // Else a flood of small best-effort jobs would stop everyone's starts, or these the best-effort jobs for good.
    const std::size_t share = ready(WritePriority::best_effort, now) ? std::max<std::size_t>(1, max_rows / 4) : 0;
    pop_due_of(WritePriority::foreground, max_rows - std::min(max_rows, share), now, out);
    pop_due_of(WritePriority::best_effort, max_rows, now, out);
    pop_due_of(WritePriority::foreground, max_rows, now, out);
    if (out.empty() && deferrable) pop_due_of(WritePriority::deferrable, max_rows, now, out);
    return out;
  }
  // The write of a row that `take` returned is over.
  void finish_write(const RowKey& key) { in_flight_.erase(key); }
  // Whether the row is queued or being written.
  [[nodiscard]] bool contains(const RowKey& key) const { return entries_.contains(key) || in_flight_.contains(key); }
  // Rows whose time has come, and for how long the first of them has waited.
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
  // Whether `take` would return a row of this priority.
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
  DueOrder& queue_of(WritePriority u) { return queues_.at(static_cast<std::size_t>(u)); }
  void pop_due_of(WritePriority priority, std::size_t max_rows, Time now, std::vector<RowKey>& out) {
    auto& order = queue_of(priority);
    for (auto it = order.begin(); it != order.end() && it->first <= now && out.size() < max_rows;) {
      if (in_flight_.contains(it->second)) {
        ++it;
        continue;
      }
      out.push_back(it->second);
      in_flight_.insert(it->second);
      entries_.erase(it->second);
      it = order.erase(it);
    }
  }

  std::map<RowKey, Entry> entries_;
  std::array<DueOrder, 3> queues_;
  std::set<RowKey> in_flight_;
};

}  // namespace martenwall
