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
  explicit FinishedJobCache(std::size_t max_jobs = 50'000) : max_jobs_(max_jobs) {}
  // Without effect where the phase is not final or the job is known.
  void add(const JobStatus& status) {
    if (!is_final(status.phase) || !by_id_.try_emplace(status.id, status).second) return;
    insertion_order_.push_back(status.id);
    if (insertion_order_.size() <= max_jobs_) return;
    by_id_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
  // Nothing where the end is not known here.
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
