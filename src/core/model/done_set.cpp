#include "core/model/done_set.hpp"

#include <algorithm>

namespace martenwall {

bool DoneSet::insert(std::uint32_t index) {
  if (contains(index)) return false;
  done_above_.insert(index);
  advance();
  return true;
}

bool DoneSet::contains(std::uint32_t index) const { return index < lowest_unfinished_ || done_above_.contains(index); }

void DoneSet::advance() {
  while (!done_above_.empty() && *done_above_.begin() == lowest_unfinished_) {
    done_above_.erase(done_above_.begin());
    ++lowest_unfinished_;
  }
}

std::vector<DoneSet::Range> DoneSet::ranges_in(std::uint32_t first, std::uint32_t last) const {
  std::vector<Range> out;
  if (lowest_unfinished_ > first) out.emplace_back(first, std::min(last, lowest_unfinished_ - 1));
  for (auto index = done_above_.lower_bound(first); index != done_above_.end() && *index <= last; ++index) {
    if (!out.empty() && out.back().second + 1 == *index) {
      out.back().second = *index;
    } else {
      out.emplace_back(*index, *index);
    }
  }
  return out;
}

void DoneSet::insert_range(const Range& range) {
  for (auto i = std::max(range.first, lowest_unfinished_); i <= range.second; ++i) done_above_.insert(i);
  advance();
}

}  // namespace martenwall
