#include "core/leadership/leadership.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace martenwall {
namespace {

// Compares leadership with a model: the true lease ends ttl after the last renewal reached the store, which is never
// before the renewal was sent. A node may act only while the lease cannot have ended.
RC_GTEST_PROP(leadership, acts_only_inside_its_bounds, (const std::vector<std::pair<std::uint16_t, bool>>& steps)) {
  const Policy policy;
  const WorkerTimings timings{3, 19, 50, 4, 39};
  Leadership leadership{policy, timings};
  Time now{seconds(50)};
  Time last_sent = now;
  leadership.acquired(FencingToken{5}, now);
  RC_ASSERT(!leadership.has_valid_lease(now));
  RC_ASSERT(!leadership.serves_workers(now));
  leadership.loaded(now);
  for (const auto& [wait_ms, renew] : steps) {
    now += std::chrono::milliseconds(wait_ms % 4000);
    if (renew) {
      const Time sent = now - std::chrono::milliseconds(wait_ms % 900);
      last_sent = std::max(last_sent, sent);
      leadership.renewed(sent, now);
    }
    leadership.tick(now);
    const bool lease_live = now < last_sent + policy.lease_ttl;
    RC_ASSERT(!leadership.has_valid_lease(now) || lease_live);
    RC_ASSERT(!leadership.serves_workers(now) || now < last_sent + policy.lease_ttl + leadership.grace());
    RC_ASSERT(leadership.state() == LeaderState::leading || leadership.state() == LeaderState::grace);
  }
  leadership.lost();
  RC_ASSERT(!leadership.has_valid_lease(now) && !leadership.serves_workers(now));
}

// A cancellation that the old leader cannot see must still take effect within cancel_s.
RC_GTEST_PROP(leadership, grace_leaves_room_for_cancellations, ()) {
  const auto lease = *rc::gen::inRange(5, 60);
  const auto cancel = lease + *rc::gen::inRange(1, 60);
  const Policy policy;
  const Leadership leadership{policy, WorkerTimings{3, 1.0 * lease, 50, 4, 1.0 * cancel}};
  const auto total = policy.lease_ttl + leadership.grace() + seconds(lease) + policy.lease_margin;
  RC_ASSERT(leadership.grace() == Duration{0} || total < seconds(cancel));
}

}  // namespace
}  // namespace martenwall
