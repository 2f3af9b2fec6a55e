#include "relay/leader_link.hpp"

#include <array>

namespace martenwall::relay {

namespace {
constexpr Duration election_time = seconds(0.7);   // from a lease's expiry until another node leads; typically 0.2 s
constexpr Duration probe_interval = seconds(0.2);  // while heartbeats wait for the answer
constexpr Duration idle_probe_interval = seconds(1.0);  // while workers are redirected to the leader
}  // namespace

std::string_view name_of(LinkState state) {
  static constexpr std::array<std::string_view, 5> names{"none", "probing", "open", "suspected", "redirecting"};
  return names.at(static_cast<std::size_t>(state));
}

LeaderLink::LeaderLink(Duration lease) : redirect_delay_(lease + election_time) {}

void LeaderLink::transition_to(LinkState next, Time now) {
  if (next == state_) return;
  const bool was_failing = state_ == LinkState::suspected || state_ == LinkState::redirecting;
  const bool will_be_failing = next == LinkState::suspected || next == LinkState::redirecting;
  if (will_be_failing && !was_failing && state_ != LinkState::probing) failing_since_ = now;
  state_ = next;
}

void LeaderLink::set_leader(const std::string& node, Time now) {
  if (node == leader_) return;
  leader_ = node;
  failing_since_ = now;
  last_probe_ = Time{Duration::min() / 2};
  transition_to(node.empty() ? LinkState::none : LinkState::probing, now);
}

void LeaderLink::on_failure(Time now) {
  if (state_ == LinkState::open) transition_to(LinkState::suspected, now);
  if (state_ == LinkState::none || state_ == LinkState::redirecting) return;
  if (now - failing_since_ >= redirect_delay_) transition_to(LinkState::redirecting, now);
}

void LeaderLink::on_probe_result(ProbeResult result, Time now) {
  if (state_ == LinkState::none) return;
  switch (result) {
    case ProbeResult::leader:
      transition_to(LinkState::open, now);
      return;
    case ProbeResult::unsupported:
      transition_to(LinkState::redirecting, now);
      return;
    case ProbeResult::follower:  // this node's knowledge of the leader is outdated
    case ProbeResult::none:
      on_failure(now);
      return;
  }
}

void LeaderLink::on_batch_result(bool answered, Time now) {
  if (!answered) on_failure(now);
}

RoutingAdvice LeaderLink::advice() const {
  switch (state_) {
    case LinkState::open:
      return RoutingAdvice::forward;
    case LinkState::redirecting:
      return RoutingAdvice::redirect;
    case LinkState::none:
    case LinkState::probing:
    case LinkState::suspected:
      return RoutingAdvice::wait;
  }
  return RoutingAdvice::wait;
}

bool LeaderLink::probe_due(Time now) const {
  if (state_ == LinkState::none || state_ == LinkState::open) return false;
  return now - last_probe_ >= (state_ == LinkState::redirecting ? idle_probe_interval : probe_interval);
}

}  // namespace martenwall::relay
