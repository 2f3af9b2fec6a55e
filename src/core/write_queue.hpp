// Which rows are to be written, and how soon. A row is written by one transaction at a time; what changes
// meanwhile waits for the next one, so that many changes of a row cost one write.
#pragma once
#include <map>
#include <set>
#include <vector>

#include "core/messages.hpp"

namespace martenwall {

class WriteQueue {
 public:
  void add(const RowKey& key, Time due) {
    auto [it, fresh] = due_.try_emplace(key, due);
    if (!fresh) {
      if (it->second <= due) return;
      order_.erase({it->second, key});
      it->second = due;
    }
    order_.emplace(due, key);
  }
  void drop(const RowKey& key) {
    const auto it = due_.find(key);
    if (it == due_.end()) return;
    order_.erase({it->second, key});
    due_.erase(it);
  }
  // The rows that are due, oldest first; they count as under way until `done`.
  std::vector<RowKey> take(std::size_t most, Time now) {
    std::vector<RowKey> out;
    for (auto it = order_.begin(); it != order_.end() && it->first <= now && out.size() < most;) {
      if (under_way_.contains(it->second)) {
        ++it;
        continue;
      }
      out.push_back(it->second);
      under_way_.insert(it->second);
      due_.erase(it->second);
      it = order_.erase(it);
    }
    return out;
  }
  void done(const RowKey& key) { under_way_.erase(key); }
  [[nodiscard]] bool waits(const RowKey& key) const { return due_.contains(key) || under_way_.contains(key); }
  [[nodiscard]] bool ready(Time now) const {
    for (const auto& [due, key] : order_) {
      if (due > now) return false;
      if (!under_way_.contains(key)) return true;
    }
    return false;
  }

 private:
  std::map<RowKey, Time> due_;
  std::set<std::pair<Time, RowKey>> order_;
  std::set<RowKey> under_way_;
};

}  // namespace martenwall
