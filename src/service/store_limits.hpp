// What the state service allows: today's limits, and the lower ones that the settings announce for some moment.
// Sizes are kept to the lower ones as soon as all nodes read rows of any size; rates once a refusal shows that the
// moment has come, since until then the difference is work that would be left undone.
#pragma once
#include <cstddef>
#include <deque>

#include "config/settings.hpp"

namespace martenwall::service {

// Used by the store client and by all that divide rows. A stage is never left for an earlier one.
class StoreLimits {
 public:
  // Begins with today's limits.
  explicit StoreLimits(const config::Settings& settings);

  // Which of the limits this node keeps to.
  enum class Stage {
    current_limits,  // today's limits
    lowered_sizes,   // sizes of the announced ones, today's rates
    lowered_limits,  // the announced ones hold
  };
  // The stage that was reached.
  [[nodiscard]] Stage stage() const { return stage_; }
  // From now on rows may have any size, so the announced sizes are kept to.
  void use_announced_sizes();
  // A transaction was called malformed. True where that taught anything new.
  bool on_size_refused();
  // A request was beyond the rate although this node kept to its share.
  bool on_rate_refused(Time now);

  [[nodiscard]] std::size_t value_bytes() const;  // of a value, less what its signature and framing take
  // Operations in one transaction.
  [[nodiscard]] std::size_t txn_ops() const;
  // Requests per second, of all nodes together.
  [[nodiscard]] double rps() const;
  // Written keys per second, of all nodes together.
  [[nodiscard]] double write_rps() const;

 private:
  struct Sizes {
    std::size_t value_bytes, txn_ops;
  };
  struct Rates {
    double rps, write_rps;
  };
  void transition_to(Stage next) { stage_ = next; }
  Stage stage_ = Stage::current_limits;
  bool announced_ = false;
  Sizes current_sizes_, lowered_sizes_;
  Rates current_rates_, lowered_rates_;
  std::deque<Time> refusals_;
};

}  // namespace martenwall::service
