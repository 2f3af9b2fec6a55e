// Decides whether the load balancer should send users to this node.
#pragma once
#include "service/context.hpp"
#include "service/peer_service.hpp"

namespace martenwall::service {

// Stateless: each call reads what the other services have recorded.
class HealthCheck {
 public:
  // All references belong to the node and outlive this check.
  HealthCheck(Context& ctx, PeerService& peers);

  // Result for GET /up: true if the machine types are known and either the store or the leader answered within the last
  // 4 s, or other nodes answer but none of them reaches the store.
  [[nodiscard]] bool healthy() const;

 private:
  Context& ctx_;
  PeerService& peers_;
};

}  // namespace martenwall::service
