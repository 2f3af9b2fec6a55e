// Whether the load balancer should send users to this node.
#pragma once
#include "service/context.hpp"
#include "service/peer_service.hpp"

namespace martenwall::service {

// Has no state of its own: each call looks at what the other services have seen.
class HealthCheck {
 public:
  // What it is given belongs to the node and outlives it.
  HealthCheck(Context& ctx, PeerService& peers);

  // For GET /up: the machine types are known, and the store or the leader answered within the last seconds, or no other
  // node is better off.
  [[nodiscard]] bool healthy() const;

 private:
  Context& ctx_;
  PeerService& peers_;
};

}  // namespace martenwall::service
