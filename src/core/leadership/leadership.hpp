// Who may act for the controllers: one node's view, as an explicit state machine.
#pragma once
#include <string>
#include <string_view>

#include "core/model/policy.hpp"
#include "core/types.hpp"

namespace martenwall {

enum class LeaderState {
  follower,  // another node leads, or none
  loading,   // holds the key, reads the store
  leading,   // may place
  grace,     // cannot prove it any more: places nothing, keeps the workers' leases alive
};
std::string_view name_of(LeaderState s);

class Leadership {
 public:
  Leadership(const Policy& policy, const WorkerTerms& terms);

  // The grace D: lease TTL + D + worker lease + margin stays below cancel_s, so that a
  // cancellation which this node cannot see still takes effect in time.
  [[nodiscard]] Duration grace() const { return grace_; }
  // All three bounds count from the moment before a renewal was sent, less clock drift.
  void acquired(FencingToken token, Time lease_sent);
  void loaded(Time now);
  void renewed(Time sent, Time now);
  void lost();
  void tick(Time now);

  [[nodiscard]] LeaderState state() const { return state_; }
  [[nodiscard]] FencingToken token() const { return token_; }
  [[nodiscard]] bool has_valid_lease(Time now) const;
  // May it answer workers with 200?
  [[nodiscard]] bool serves_workers(Time now) const;
  [[nodiscard]] Time valid_until() const { return valid_until_; }

 private:
  void enter(LeaderState next);
  LeaderState state_ = LeaderState::follower;
  Duration ttl_;
  Duration grace_;
  FencingToken token_;
  Time valid_until_{};
};

}  // namespace martenwall
