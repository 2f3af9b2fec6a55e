#include "core/leadership/retry_after.hpp"

#include <algorithm>
#include <cmath>

namespace martenwall {

RetryAfterPacer::RetryAfterPacer(double per_second, int max_s)
    : per_second_(std::max(1.0, per_second)), max_s_(std::max(1, max_s)) {}

int RetryAfterPacer::next(Time now) {
  const double elapsed_s = std::max(0.0, to_seconds(now - updated_at_));
  updated_at_ = std::max(updated_at_, now);
  waiting_ = std::max(0.0, waiting_ - elapsed_s * per_second_);
  const auto second = static_cast<int>(std::fmod(std::floor(waiting_ / per_second_), max_s_));
  // Capped at twice the capacity of the longest Retry-After: a larger count would only take longer to drain.
  waiting_ = std::min(waiting_ + 1, 2 * per_second_ * max_s_);
  return 1 + second;
}

}  // namespace martenwall
