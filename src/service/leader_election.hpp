// Leader election by one key of the store that is bound to a lease; the key's version is the fencing token.
#pragma once
#include <optional>
#include <string>

#include "service/context.hpp"
#include "service/step_down_reason.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Owns this node's lease. Every begin and end of a leadership changes `Context::term`; coroutines that were started for
// a term compare it after each suspension and end where it has moved on.
class LeaderElection {
 public:
  // Both outlive this object.
  LeaderElection(Context& ctx, StoreClient& store) : ctx_(ctx), store_(store) {}

  // Keeps `Context::leader` up to date and returns once no node holds the leader key.
  rt::Task<void> follow_leader();
  // Tries once to become the leader. Where this node wins, a new term has begun and the previous leader's grace is
  // returned (zero where there was none); nothing where another node won or the store did not answer.
  rt::Task<std::optional<Duration>> campaign();
  // Renews the lease until `term` is over; steps down where the store says that the lease has ended.
  rt::Task<void> renew_lease(std::uint64_t term);
  // Ends the leadership at once, without a suspension, and drops the scheduler. Without effect on a follower.
  void step_down(StepDownReason reason);

 private:
  rt::Task<void> watch_leader_key(Revision after);
  rt::Task<void> propose(LeaseId lease, std::string nonce, KeyVersion record_version);
  void begin_term(LeaseId lease, FencingToken token, Time lease_requested_at);
  void record_renewal(bool renewed, Time sent);

  Context& ctx_;
  StoreClient& store_;
  LeaseId lease_;  // of the current or the last leadership
};

}  // namespace martenwall::service
