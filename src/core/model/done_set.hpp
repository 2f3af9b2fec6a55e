// Finished task indices of one job: the lowest unfinished index plus the finished ones above it.
#pragma once
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace martenwall {

// Indices of tasks that are done: all below the lowest unfinished one, and single ones above it.
class DoneSet {
 public:
  using Range = std::pair<std::uint32_t, std::uint32_t>;  // first, last (inclusive)

  bool insert(std::uint32_t index);  // false: was there already
  [[nodiscard]] bool contains(std::uint32_t index) const;
  [[nodiscard]] std::uint32_t lowest_unfinished() const { return lowest_unfinished_; }
  [[nodiscard]] std::uint32_t count() const {
    return lowest_unfinished_ + static_cast<std::uint32_t>(done_above_.size());
  }
  [[nodiscard]] std::uint32_t upper() const {
    return done_above_.empty() ? lowest_unfinished_ : *done_above_.rbegin() + 1;
  }
  [[nodiscard]] std::vector<Range> ranges_in(std::uint32_t first, std::uint32_t last) const;  // last inclusive
  // Both ends included.
  void insert_range(const Range& range);
  bool operator==(const DoneSet&) const = default;

 private:
  void advance();
  std::uint32_t lowest_unfinished_ = 0;
  std::set<std::uint32_t> done_above_;
};

}  // namespace martenwall
