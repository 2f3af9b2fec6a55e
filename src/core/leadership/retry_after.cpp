#include "core/leadership/retry_after.hpp"

#include <algorithm>
#include <cmath>

namespace martenwall {

RetryAfterPacer::RetryAfterPacer(double per_second, int most_s)
    : per_second_(std::max(1.0, per_second)), most_s_(std::max(1, most_s)) {}

int RetryAfterPacer::next(Time now) {
  const double passed = std::max(0.0, to_seconds(now - at_));
  at_ = std::max(at_, now);
  waiting_ = std::max(0.0, waiting_ - passed * per_second_);
  const auto second = static_cast<int>(std::fmod(std::floor(waiting_ / per_second_), most_s_));
  // Beyond twice what the longest time takes, the count would only lengthen the time until it is forgotten.
  waiting_ = std::min(waiting_ + 1, 2 * per_second_ * most_s_);
  return 1 + second;
}

}  // namespace martenwall
