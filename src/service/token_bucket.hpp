// Token bucket, so that this node stays within its share of an outside service's rate.
#pragma once
#include <algorithm>

#include "core/types.hpp"

namespace martenwall::service {

// Holds one second's worth of tokens at most, and at least one.
class TokenBucket {
 public:
  // Begins full.
  explicit TokenBucket(double per_second) : per_second_(per_second), tokens_(per_second) {}
  // The rate from now on.
  void set(double per_second) { per_second_ = per_second; }
  // Time to wait before `cost` may be spent while `keep` stays in reserve; zero: spent.
  Duration take(double cost, double keep, Time now) {
    refill(now);
    const double missing = std::min(cost + keep, std::max(1.0, per_second_)) - tokens_;
    if (missing <= 1e-9) {
      tokens_ -= cost;
      return Duration{0};
    }
    return seconds(missing / per_second_) + Duration{1000};
  }
  // Unused share of the bucket, 0 to 1.
  double fill_level(Time now) {
    refill(now);
    return tokens_ / std::max(1.0, per_second_);
  }

 private:
  void refill(Time now) {
    if (last_ != Time{}) tokens_ += to_seconds(now - last_) * per_second_;
    last_ = now;
    tokens_ = std::min(tokens_, std::max(1.0, per_second_));
  }

  double per_second_;
  double tokens_;
  Time last_{};
};

}  // namespace martenwall::service
