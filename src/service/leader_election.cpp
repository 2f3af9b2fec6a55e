#include "service/leader_election.hpp"

#include <algorithm>
#include <utility>

namespace martenwall::service {

namespace {
constexpr Duration request_timeout = seconds(1);
constexpr Duration watch_hold = seconds(2);          // less than the time after which the store counts as unreachable
constexpr Duration read_retry_pause = seconds(0.3);  // after a read without a response
constexpr Duration renewal_retry_pause = seconds(0.2);
constexpr Duration min_renewal_pause{20000};  // us; also applies if a renewal took longer than its interval
}  // namespace

rt::Task<void> LeaderElection::follow_leader() {
  for (;;) {
    const ReadResult read = co_await store_.get(wire::leader_key, request_timeout);
    if (read.outcome == ReadOutcome::absent) {
      ctx_.leader.clear();
      co_return;
    }
    if (read.outcome == ReadOutcome::failed) {
      co_await ctx_.loop.sleep(read_retry_pause);
      continue;
    }
    const auto row = wire::decode_leader(read.item.value);
    if (row.node != ctx_.leader) {
      ctx_.log->info("leader changed node={} token={}", row.node, read.item.version.value());
      ctx_.redirected_workers.clear();
    }
    ctx_.leader = row.node;
    co_await watch_leader_key(Revision{read.item.version.value()});
  }
}

// Returns once the key has changed or the watch has to be established again.
rt::Task<void> LeaderElection::watch_leader_key(Revision after) {
  for (;;) {
    const auto watch = co_await store_.watch(wire::leader_key, after, watch_hold);
    if (watch.outcome != StoreClient::WatchOutcome::events) co_return;
    after = std::max(after, watch.page.revision);
    if (!watch.page.items.empty()) co_return;
  }
}

rt::Task<std::optional<Duration>> LeaderElection::campaign() {
  const ReadResult record = co_await store_.get(wire::leadership_record_key, request_timeout);
  if (record.outcome == ReadOutcome::failed) co_return std::nullopt;
  const bool has_record = record.outcome == ReadOutcome::found;
  // The previous leader's own grace period applies, not this node's: the settings may have changed since.
  const Duration previous_grace =
      has_record ? wire::decode_leadership_record(record.item.value).value_or(ctx_.leadership.grace()) : Duration{0};
  const Time sent = ctx_.loop.update_time();
  const auto lease = co_await store_.create_lease(ctx_.policy.lease_ttl);
  if (!lease) co_return std::nullopt;
  const std::string nonce = std::to_string(ctx_.random());
  co_await propose(*lease, nonce, has_record ? record.item.version : KeyVersion{0});
  // The outcome of the transaction may be unknown; the key itself determines the leader, and its version is the token.
  const ReadResult leader = co_await store_.get(wire::leader_key, request_timeout);
  if (leader.outcome != ReadOutcome::found || wire::decode_leader(leader.item.value).nonce != nonce) {
    co_await store_.end_lease(*lease);
    co_return std::nullopt;
  }
  begin_term(*lease, FencingToken{leader.item.version.value()}, sent);
  co_return previous_grace;
}

// Sends the compare-and-swap that makes this node the leader, on condition that no node leads and that no other node
// has led since the record was read.
rt::Task<void> LeaderElection::propose(LeaseId lease, std::string nonce, KeyVersion record_version) {
  std::vector<wire::Condition> conditions{{wire::leader_key, KeyVersion{0}},
                                          {wire::leadership_record_key, record_version}};
  std::vector<wire::StoreOp> operations;
  operations.push_back({wire::leader_key, wire::encode_leader({ctx_.settings.node, nonce}), lease});
  operations.push_back(
      {wire::leadership_record_key, wire::encode_leadership_record(ctx_.leadership.grace()), std::nullopt});
  co_await store_.txn(std::move(conditions), std::move(operations), request_timeout);
}

void LeaderElection::begin_term(LeaseId lease, FencingToken token, Time lease_requested_at) {
  lease_ = lease;
  ctx_.leadership.acquired(token, lease_requested_at);
  ctx_.leader = ctx_.settings.node;
  ++ctx_.term;
  ctx_.log->info("leadership acquired token={}", token.value());
}

rt::Task<void> LeaderElection::renew_lease(std::uint64_t term) {
  while (ctx_.term == term) {
    const Time sent = ctx_.loop.update_time();
    const auto renewal = co_await store_.renew_lease(lease_, request_timeout);
    // The term may be over, and `lease_` may belong to a later one.
    if (ctx_.term != term) co_return;
    ctx_.last_renewal_sent_at = sent;
    if (renewal == StoreClient::LeaseRenewal::ended) {
      step_down(StepDownReason::lease_expired);
      co_return;
    }
    const bool renewed = renewal == StoreClient::LeaseRenewal::renewed;
    record_renewal(renewed, sent);
    const Duration pause = renewed ? ctx_.policy.renew_interval : renewal_retry_pause;
    const Duration spent = ctx_.now() - sent;
    co_await ctx_.loop.sleep(std::max(min_renewal_pause, pause - spent));
  }
}

// Updates the lease's validity. Nothing is placed while the lease is not proven valid, so the coroutines that
// wait for work are notified when the validity changes.
void LeaderElection::record_renewal(bool renewed, Time sent) {
  const bool was_valid = ctx_.leadership.has_valid_lease(ctx_.now());
  if (renewed) ctx_.leadership.renewed(sent, ctx_.now());
  ctx_.leadership.tick(ctx_.now());
  const bool valid = ctx_.leadership.has_valid_lease(ctx_.now());
  if (valid == was_valid) return;
  ctx_.log->info("lease validity changed valid={}", valid);
  ctx_.notify_pending_work();
}

void LeaderElection::step_down(StepDownReason reason) {
  if (ctx_.leadership.state() == LeaderState::follower) return;
  ctx_.log->info("leadership lost reason={}", name_of(reason));
  ctx_.leadership.lost();
  ++ctx_.term;
  ctx_.scheduler.reset();
  if (ctx_.leader == ctx_.settings.node) ctx_.leader.clear();
  rt::spawn(store_.end_lease(lease_));  // returns after one request
  ctx_.leader_changed.notify();
  ctx_.write_committed.notify();
  ctx_.writes_due.notify();
  ctx_.cycle_due.notify();
}

}  // namespace martenwall::service
