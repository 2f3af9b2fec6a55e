// Limits of the state service: the current ones and the lower ones that the settings announce for a later time. The
// lower sizes apply as soon as all nodes can read rows of any size. The lower rates apply once a refusal shows that
// they are in force, because applying them earlier would waste capacity.
#pragma once
#include <cstddef>
#include <deque>

#include "config/settings.hpp"

namespace martenwall::service {

// Used by the store client and by the code that splits rows. Stages only advance.
class StoreLimits {
 public:
  // Starts with the current limits.
  explicit StoreLimits(const config::Settings& settings);

  // Limits that this node observes.
  enum class Stage {
    current_limits,  // current sizes and rates
    lowered_sizes,   // announced sizes, current rates
    lowered_limits,  // announced sizes and rates
  };
  [[nodiscard]] Stage stage() const { return stage_; }
  // Switches to the announced sizes; called once all nodes can read rows of any size.
  void use_announced_sizes();
  // Handles a transaction that the store rejected as malformed. Returns whether the limits were lowered.
  bool on_size_refused();
  // Handles a request that exceeded the rate although this node observed its share. Returns whether the limits were
  // lowered.
  bool on_rate_refused(Time now);

  // Returns the maximum size of a value in bytes, less the overhead of the transaction ID and framing.
  [[nodiscard]] std::size_t value_bytes() const;
  // Returns the maximum number of operations in one transaction.
  [[nodiscard]] std::size_t txn_ops() const;
  // Returns the allowed requests per second, of all nodes together.
  [[nodiscard]] double rps() const;
  // Returns the allowed written keys per second, of all nodes together.
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
