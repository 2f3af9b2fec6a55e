// Token bucket that keeps this node within its share of an external service's rate.
#pragma once
#include <algorithm>

#include "core/types.hpp"

namespace martenwall::service {

// The capacity is one second's worth of tokens, but at least one token.
class TokenBucket {
 public:
  // Starts full.
  explicit TokenBucket(double per_second) : per_second_(per_second), tokens_(per_second) {}
  // Changes the rate.
  void set_rate(double per_second) { per_second_ = per_second; }
  // Consumes `cost` tokens and returns zero if `reserve` tokens remain available; otherwise consumes none and returns
  // the time to wait before the next attempt.
  Duration try_consume(double cost, double reserve, Time now) {
    refill(now);
    const double missing_tokens = std::min(cost + reserve, std::max(1.0, per_second_)) - tokens_;
    if (missing_tokens <= 1e-9) {
      tokens_ -= cost;
      return Duration{0};
    }
    return seconds(missing_tokens / per_second_) + Duration{1000};
  }
  // Returns the unused part of the capacity, 0 to 1.
  double fill_level(Time now) {
    refill(now);
    return tokens_ / std::max(1.0, per_second_);
  }

 private:
  void refill(Time now) {
    if (last_refill_ != Time{}) tokens_ += to_seconds(now - last_refill_) * per_second_;
    last_refill_ = now;
    tokens_ = std::min(tokens_, std::max(1.0, per_second_));
  }

  double per_second_;
  double tokens_;
  Time last_refill_{};
};

}  // namespace martenwall::service
