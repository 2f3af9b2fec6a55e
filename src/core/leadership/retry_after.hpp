// Retry-After of refused requests: spreads the retries so that the node can accept them when they arrive.
#pragma once
#include "core/types.hpp"

namespace martenwall {

// Assigns Retry-After values to refused requests.
class RetryAfterPacer {
 public:
  // `per_second`: retries that this node can accept in addition to new requests. `max_s`: longest Retry-After, in
  // seconds.
  RetryAfterPacer(double per_second, int max_s);
  // Returns the Retry-After of one more refused request: whole seconds, 1 to `max_s`. Each request gets the first
  // second that is not full; if all are full, they are distributed evenly.
  int next(Time now);
  // Returns the number of refused requests whose retry is not due yet.
  [[nodiscard]] double waiting() const { return waiting_; }

 private:
  double per_second_;
  int max_s_;
  double waiting_ = 0;
  Time updated_at_{};
};

}  // namespace martenwall
