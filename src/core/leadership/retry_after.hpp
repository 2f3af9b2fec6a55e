// When users that are refused are to ask again: so many a second that they can be taken then, and not all at once.
#pragma once
#include "core/types.hpp"

namespace martenwall {

// Paces the Retry-After of refused requests.
class RetryAfterPacer {
 public:
  // `per_second`: requests that this node can take beside new ones. `most_s`: no user is sent away for longer.
  RetryAfterPacer(double per_second, int max_s);
  // For one more refused request: whole seconds, 1 to `most_s`. Each gets the first second that is not full yet; where
  // all are, they are shared out evenly.
  int next(Time now);
  // Requests told to return that have not yet had their turn.
  [[nodiscard]] double waiting() const { return waiting_; }

 private:
  double per_second_;
  int max_s_;
  double waiting_ = 0;
  Time updated_at_{};
};

}  // namespace martenwall
