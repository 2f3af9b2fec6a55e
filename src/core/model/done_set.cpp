#include "core/model/done_set.hpp"

#include <algorithm>

namespace martenwall {

bool DoneSet::insert(std::uint32_t index) {
  if (contains(index)) return false;
  above_.insert(index);
  advance();
  return true;
}

bool DoneSet::contains(std::uint32_t index) const { return index < lowest_ || above_.contains(index); }

void DoneSet::advance() {
  while (!above_.empty() && *above_.begin() == lowest_) {
    above_.erase(above_.begin());
    ++lowest_;
  }
}

std::vector<DoneSet::Range> DoneSet::ranges_in(std::uint32_t first, std::uint32_t last) const {
  std::vector<Range> out;
  if (lowest_ > first) out.emplace_back(first, std::min(last, lowest_ - 1));
  for (auto it = above_.lower_bound(first); it != above_.end() && *it <= last; ++it) {
    if (!out.empty() && out.back().second + 1 == *it) {
      out.back().second = *it;
    } else {
      out.emplace_back(*it, *it);
    }
  }
  return out;
}

void DoneSet::insert_range(const Range& range) {
  for (auto i = std::max(range.first, lowest_); i <= range.second; ++i) above_.insert(i);
  advance();
}

}  // namespace martenwall
