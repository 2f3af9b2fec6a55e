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
    present,  // today's limits
    ahead,    // sizes of the announced ones, today's rates
    lowered,  // the announced ones hold
  };
  // The stage that was reached.
  [[nodiscard]] Stage stage() const { return stage_; }
  // From now on rows may have any size, so the announced sizes are kept to.
  void all_nodes_read_any_size();
  // A transaction was called malformed. True where that taught anything new.
  bool refused_size();
  // A request was beyond the rate although this node kept to its share.
  bool refused_rate(Time now);

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
  void enter(Stage next) { stage_ = next; }
  Stage stage_ = Stage::present;
  bool announced_ = false;
  Sizes sizes_now_, sizes_next_;
  Rates rates_now_, rates_next_;
  std::deque<Time> refusals_;
};

}  // namespace martenwall::service
