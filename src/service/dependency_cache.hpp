// Cache of the dependencies of unfinished jobs, as their rows list them. A stored row is never changed.
#pragma once
#include <deque>
#include <unordered_map>
#include <vector>

#include "core/types.hpp"

namespace martenwall::service {

// Holds the most recently added jobs only.
class DependencyCache {
 public:
  // `max_ids`: the number of dependencies of all cached jobs together; the oldest jobs are evicted first.
  explicit DependencyCache(std::size_t max_ids = 100'000) : max_ids_(max_ids) {}
  // Has no effect if the job is already cached.
  void add(const JobId& job, const std::vector<JobId>& dependencies) {
    if (!by_job_.try_emplace(job, dependencies).second) return;
    insertion_order_.push_back(job);
    ids_ += dependencies.size();
    while (ids_ > max_ids_ && insertion_order_.size() > 1) evict_oldest();
  }
  // Returns nullptr if the job is not cached; the pointer is valid until the next call of `add`.
  [[nodiscard]] const std::vector<JobId>* find(const JobId& job) const {
    const auto found = by_job_.find(job);
    return found == by_job_.end() ? nullptr : &found->second;
  }

 private:
  void evict_oldest() {
    const auto oldest = by_job_.find(insertion_order_.front());
    ids_ -= oldest->second.size();
    by_job_.erase(oldest);
    insertion_order_.pop_front();
  }

  std::size_t max_ids_;
  std::size_t ids_ = 0;
  std::unordered_map<JobId, std::vector<JobId>> by_job_;
  std::deque<JobId> insertion_order_;
};

}  // namespace martenwall::service
