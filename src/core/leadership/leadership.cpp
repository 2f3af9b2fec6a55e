#include "core/leadership/leadership.hpp"

#include <algorithm>
#include <array>

namespace martenwall {

namespace {
// Twice the protocol's bound of 0.05%: two clocks may drift in opposite directions.
constexpr double max_clock_drift = 0.001;

Duration subtract_drift(Duration d) { return seconds(to_seconds(d) * (1 - max_clock_drift)); }
}  // namespace

std::string_view name_of(LeaderState s) {
  static constexpr std::array<std::string_view, 4> names{"follower", "loading", "leading", "grace"};
  return names.at(static_cast<std::size_t>(s));
}

Leadership::Leadership(const Policy& policy, const WorkerTimings& timings)
    : ttl_(policy.lease_ttl),
      grace_(std::max(Duration{0}, seconds(timings.cancel_s - timings.lease_s) - policy.lease_ttl -
                                       policy.lease_margin - seconds(1))) {}

void Leadership::transition_to(LeaderState next) { state_ = next; }

void Leadership::acquired(FencingToken token, Time lease_sent) {
  token_ = token;
  valid_until_ = lease_sent + subtract_drift(ttl_);
  transition_to(LeaderState::loading);
}

void Leadership::loaded(Time now) {
  if (state_ != LeaderState::loading) return;
  transition_to(now < valid_until_ ? LeaderState::leading : LeaderState::grace);
}

void Leadership::renewed(Time sent, Time now) {
  if (state_ == LeaderState::follower) return;
  valid_until_ = std::max(valid_until_, sent + subtract_drift(ttl_));
  if (state_ == LeaderState::grace && now < valid_until_) transition_to(LeaderState::leading);
}

void Leadership::lost() { transition_to(LeaderState::follower); }

void Leadership::tick(Time now) {
  if (state_ == LeaderState::leading && now >= valid_until_) transition_to(LeaderState::grace);
}

bool Leadership::has_valid_lease(Time now) const { return state_ == LeaderState::leading && now < valid_until_; }

bool Leadership::serves_workers(Time now) const {
  if (state_ != LeaderState::leading && state_ != LeaderState::grace) return false;
  return now < valid_until_ + subtract_drift(grace_);
}

}  // namespace martenwall
