// Leadership of the controllers as seen by one node, as an explicit state machine.
#pragma once
#include <string>
#include <string_view>

#include "core/model/policy.hpp"
#include "core/types.hpp"

namespace martenwall {

// This node's role.
enum class LeaderState {
  follower,  // another node leads, or none does
  loading,   // holds the leader key and is loading the store
  leading,   // may place tasks
  grace,     // cannot prove that its lease is valid: places nothing but renews the workers' leases
};
// Returns the name for log lines.
std::string_view name_of(LeaderState s);

// The role, the fencing token and the end of the lease.
class Leadership {
 public:
  Leadership(const Policy& policy, const WorkerTimings& timings);

  // Returns the grace period D: lease TTL + D + worker lease + margin stays below cancel_s, so that a cancellation that
  // this node cannot see still takes effect in time.
  [[nodiscard]] Duration grace() const { return grace_; }
  // Records that the lease was acquired. All three time limits count from the moment before a renewal was sent, less
  // clock drift.
  void acquired(FencingToken token, Time lease_sent);
  // Records that the rows were loaded: the node may place tasks if its lease is still valid.
  void loaded(Time now);
  // Records that the lease was renewed by a request sent at `sent`.
  void renewed(Time sent, Time now);
  // Makes the node a follower.
  void lost();
  // Detects that the lease expired; must be called periodically.
  void tick(Time now);

  [[nodiscard]] LeaderState state() const { return state_; }
  [[nodiscard]] FencingToken token() const { return token_; }
  // Returns whether no other node can be leader at `now`, so that starts may be sent.
  [[nodiscard]] bool has_valid_lease(Time now) const;
  // Returns whether the node may answer workers with HTTP 200.
  [[nodiscard]] bool serves_workers(Time now) const;
  // Returns the time at which the lease expires.
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
