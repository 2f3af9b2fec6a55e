#include "service/inbox_writer.hpp"

namespace martenwall::service {

namespace {
constexpr Duration announcement_interval = seconds(20);  // per job; each entry costs a change of the store
constexpr std::size_t max_announced = 200;               // jobs per interval; also limits the changes of the store
constexpr Duration entry_timeout = seconds(1.5);
constexpr Duration cancellation_timeout = seconds(1);  // within the 3 s that a cancellation waits for its result
}  // namespace

InboxWriter::InboxWriter(Context& ctx, StoreClient& store) : ctx_(ctx), store_(store) {}

void InboxWriter::announce_job(const JobId& id) {
  std::erase_if(announced_at_, [&](const auto& entry) { return ctx_.now() - entry.second > announcement_interval; });
  if (announced_at_.size() >= max_announced || !announced_at_.emplace(id, ctx_.now()).second) return;
  rt::spawn(announce(id));  // detached: returns at the transaction's timeout at the latest
}

rt::Task<void> InboxWriter::announce(JobId id) {
  const bool written = co_await write_entry(id);
  if (!written) announced_at_.erase(id);
}

// Replaces an existing entry: the leader may have processed that one already, and its watch reports changes only.
rt::Task<bool> InboxWriter::write_entry(JobId id) {
  const ReadResult current = co_await store_.get(wire::inbox_key(id), entry_timeout);
  if (current.outcome == ReadOutcome::failed) co_return false;
  const bool exists = current.outcome == ReadOutcome::found;
  const bool cancel = exists && wire::requests_cancellation(current.item.value);
  std::vector<wire::StoreOp> operations;
  operations.push_back({wire::inbox_key(id), wire::encode_inbox_entry(ctx_.settings.node, cancel), std::nullopt});
  std::vector<wire::Condition> conditions{{wire::inbox_key(id), exists ? current.item.version : KeyVersion{0}}};
  const TxnResult written = co_await store_.txn(std::move(conditions), std::move(operations), entry_timeout);
  co_return written.outcome == TxnOutcome::committed;
}

rt::Task<bool> InboxWriter::request_cancellation(JobId id) {
  std::vector<wire::StoreOp> operations;
  operations.push_back({wire::inbox_key(id), wire::encode_inbox_entry(ctx_.settings.node, true), std::nullopt});
  const TxnResult written = co_await store_.txn({}, std::move(operations), cancellation_timeout);
  co_return written.outcome == TxnOutcome::committed;
}

}  // namespace martenwall::service
