// Leader election by a single store key that is bound to a lease; the key's version is the fencing token.
#pragma once
#include <optional>
#include <string>

#include "service/context.hpp"
#include "service/step_down_reason.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Owns this node's lease. `Context::term` changes whenever a leadership begins or ends; coroutines started for a term
// compare it after each suspension and return if it has changed.
class LeaderElection {
 public:
  // Both must outlive this object.
  LeaderElection(Context& ctx, StoreClient& store) : ctx_(ctx), store_(store) {}

  // Keeps `Context::leader` up to date; returns once no node holds the leader key.
  rt::Task<void> follow_leader();
  // Tries once to become the leader. If this node wins, begins a new term and returns the previous leader's grace
  // period (zero if there was no leader). Returns nothing if another node won or the store did not respond.
  rt::Task<std::optional<Duration>> campaign();
  // Renews the lease until `term` is over; steps down if the store reports that the lease has ended.
  rt::Task<void> renew_lease(std::uint64_t term);
  // Ends the leadership immediately, without suspending, and destroys the scheduler. Has no effect on a follower.
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
