// Who may act for the controllers: one node's view, as an explicit state machine.
#pragma once
#include <string>
#include <string_view>

#include "core/model/policy.hpp"
#include "core/types.hpp"

namespace martenwall {

// This node's role.
enum class LeaderState {
  follower,  // another node leads, or none
  loading,   // holds the key, reads the store
  leading,   // may place
  grace,     // cannot prove it any more: places nothing, keeps the workers' leases alive
};
std::string_view name_of(LeaderState s);

// The role, the fencing token and until when the lease is valid.
class Leadership {
 public:
  Leadership(const Policy& policy, const WorkerTimings& timings);

  // The grace D: lease TTL + D + worker lease + margin stays below cancel_s, so that a
  // cancellation which this node cannot see still takes effect in time.
  [[nodiscard]] Duration grace() const { return grace_; }
  // All three bounds count from the moment before a renewal was sent, less clock drift.
  void acquired(FencingToken token, Time lease_sent);
  // The rows were read: it may place, if its lease is still valid.
  void loaded(Time now);
  // The lease was renewed by a request that was sent then.
  void renewed(Time sent, Time now);
  // It is a follower from now on.
  void lost();
  // To be called now and then: notices that the lease expired.
  void tick(Time now);

  [[nodiscard]] LeaderState state() const { return state_; }
  [[nodiscard]] FencingToken token() const { return token_; }
  // Whether no other node can lead now, so that starts may go out.
  [[nodiscard]] bool has_valid_lease(Time now) const;
  // May it answer workers with 200?
  [[nodiscard]] bool serves_workers(Time now) const;
  // When the lease expires.
  [[nodiscard]] Time valid_until() const { return valid_until_; }

 private:
  void transition_to(LeaderState next);
  LeaderState state_ = LeaderState::follower;
  Duration ttl_;
  Duration grace_;
  FencingToken token_;
  Time valid_until_{};
};

}  // namespace martenwall
