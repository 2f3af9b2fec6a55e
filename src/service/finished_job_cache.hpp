// Cache of the finished jobs known to this node. A final state never changes, so any node may report it at any later
// time; evicted entries remain in the store.
#pragma once
#include <deque>
#include <optional>
#include <unordered_map>

#include "core/messages.hpp"

namespace martenwall::service {

// Holds the most recently added jobs only; a job that is not found may have finished nevertheless.
class FinishedJobCache {
 public:
  // `max_jobs`: the capacity; the oldest entry is evicted first.
  explicit FinishedJobCache(std::size_t max_jobs = 50'000) : max_jobs_(max_jobs) {}
  // Has no effect if the phase is not final or the job is already cached.
  void add(const JobStatus& status) {
    if (!is_final(status.phase) || !by_id_.try_emplace(status.id, status).second) return;
    insertion_order_.push_back(status.id);
    if (insertion_order_.size() <= max_jobs_) return;
    by_id_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
  // Returns nothing if the job is not cached.
  [[nodiscard]] std::optional<JobStatus> find(const JobId& id) const {
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? std::nullopt : std::optional{found->second};
  }

 private:
  std::size_t max_jobs_;
  std::unordered_map<JobId, JobStatus> by_id_;
  std::deque<JobId> insertion_order_;
};

}  // namespace martenwall::service
