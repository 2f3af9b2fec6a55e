// Set of the finished task indices of one job.
#pragma once
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace martenwall {

// Stores the lowest unfinished index, below which all tasks are done, and the finished indices above it.
class DoneSet {
 public:
  using Range = std::pair<std::uint32_t, std::uint32_t>;  // first and last index, both inclusive

  bool insert(std::uint32_t index);  // returns false if the index was already in the set
  [[nodiscard]] bool contains(std::uint32_t index) const;
  [[nodiscard]] std::uint32_t lowest_unfinished() const { return lowest_unfinished_; }
  [[nodiscard]] std::uint32_t count() const {
    return lowest_unfinished_ + static_cast<std::uint32_t>(done_above_.size());
  }
  // Returns one past the highest finished index.
  [[nodiscard]] std::uint32_t upper() const {
    return done_above_.empty() ? lowest_unfinished_ : *done_above_.rbegin() + 1;
  }
  [[nodiscard]] std::vector<Range> ranges_in(std::uint32_t first, std::uint32_t last) const;  // `last` is inclusive
  // Inserts all indices of the range.
  void insert_range(const Range& range);
  bool operator==(const DoneSet&) const = default;

 private:
  void advance();
  std::uint32_t lowest_unfinished_ = 0;
  std::set<std::uint32_t> done_above_;
};

}  // namespace martenwall
