#include "service/health_check.hpp"

namespace martenwall::service {

namespace {
constexpr Duration answer_validity = seconds(4);  // followers hear of the store every 2 s at least
}  // namespace

HealthCheck::HealthCheck(Context& ctx, PeerService& peers) : ctx_(ctx), peers_(peers) {}

bool HealthCheck::healthy() const {
  if (ctx_.types.empty()) return false;
  const Time oldest_valid = ctx_.now() - answer_validity;
  if (ctx_.store_answered_at > oldest_valid || ctx_.leader_answered_at > oldest_valid) return true;
  // In an outage that all nodes share none is better than this one: were all taken out, users would find no
  // node for some time after its end too. A node that is cut off alone must go.
  return peers_.availability() == PeerService::Availability::none_reaches_store;
}

}  // namespace martenwall::service
