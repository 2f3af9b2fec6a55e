// Jobs that are over, as far as this node knows. A final state never changes, so that any node may tell
// it at any later time; the store knows those that were dropped here.
#pragma once
#include <deque>
#include <optional>
#include <unordered_map>

#include "core/messages.hpp"

namespace martenwall::service {

// Keeps the latest ends only; a job that is not found may be over all the same.
class FinishedJobCache {
 public:
  // `most`: jobs that are kept.
  explicit FinishedJobCache(std::size_t most = 50'000) : most_(most) {}
  // Without effect where the phase is not final or the job is known.
  void add(const JobStatus& s) {
    if (!is_final(s.phase) || !by_id_.try_emplace(s.id, s).second) return;
    order_.push_back(s.id);
    if (order_.size() <= most_) return;
    by_id_.erase(order_.front());
    order_.pop_front();
  }
  // Nothing where the end is not known here.
  [[nodiscard]] std::optional<JobStatus> find(const JobId& id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? std::nullopt : std::optional{it->second};
  }

 private:
  std::size_t most_;
  std::unordered_map<JobId, JobStatus> by_id_;
  std::deque<JobId> order_;
};

}  // namespace martenwall::service
