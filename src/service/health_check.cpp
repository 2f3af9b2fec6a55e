#include "service/health_check.hpp"

namespace martenwall::service {

namespace {
constexpr Duration answer_validity = seconds(4);  // followers receive an answer of the store at least every 2 s
}  // namespace

HealthCheck::HealthCheck(Context& ctx, PeerService& peers) : ctx_(ctx), peers_(peers) {}

bool HealthCheck::healthy() const {
  if (ctx_.types.empty()) return false;
  const Time oldest_valid = ctx_.now() - answer_validity;
  if (ctx_.store_answered_at > oldest_valid || ctx_.leader_answered_at > oldest_valid) return true;
  // In an outage that affects all nodes no other node serves users better than this one. If all nodes reported to be
  // unhealthy, the load balancer would have no node for some time after the outage too. A single isolated node must
  // report to be unhealthy.
  return peers_.availability() == PeerService::Availability::none_reaches_store;
}

}  // namespace martenwall::service
