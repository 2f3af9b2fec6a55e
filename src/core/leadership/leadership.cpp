#include "core/leadership/leadership.hpp"

#include <algorithm>
#include <array>

namespace martenwall {

namespace {
constexpr double max_drift = 0.001;  // twice the 0.05% of PROTOCOL: two clocks may err against each other

Duration less_drift(Duration d) { return seconds(to_seconds(d) * (1 - max_drift)); }
}  // namespace

std::string_view name_of(LeaderState s) {
  static constexpr std::array<std::string_view, 4> names{"follower", "loading", "leading", "grace"};
  return names.at(static_cast<std::size_t>(s));
}

Leadership::Leadership(const Policy& policy, const WorkerTerms& terms)
    : ttl_(policy.lease_ttl),
      grace_(std::max(Duration{0},
                      seconds(terms.cancel_s - terms.lease_s) - policy.lease_ttl - policy.margin - seconds(1))) {}

void Leadership::enter(LeaderState next) { state_ = next; }

void Leadership::acquired(FencingToken token, Time lease_sent) {
  token_ = token;
  valid_until_ = lease_sent + less_drift(ttl_);
  enter(LeaderState::loading);
}

void Leadership::loaded(Time now) {
  if (state_ != LeaderState::loading) return;
  enter(now < valid_until_ ? LeaderState::leading : LeaderState::grace);
}

void Leadership::renewed(Time sent, Time now) {
  if (state_ == LeaderState::follower) return;
  valid_until_ = std::max(valid_until_, sent + less_drift(ttl_));
  if (state_ == LeaderState::grace && now < valid_until_) enter(LeaderState::leading);
}

void Leadership::lost() { enter(LeaderState::follower); }

void Leadership::tick(Time now) {
  if (state_ == LeaderState::leading && now >= valid_until_) enter(LeaderState::grace);
}

bool Leadership::has_valid_lease(Time now) const { return state_ == LeaderState::leading && now < valid_until_; }

bool Leadership::serves_workers(Time now) const {
  if (state_ != LeaderState::leading && state_ != LeaderState::grace) return false;
  return now < valid_until_ + less_drift(grace_);
}

}  // namespace martenwall
