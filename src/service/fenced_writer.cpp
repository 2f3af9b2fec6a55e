#include "service/fenced_writer.hpp"

#include <algorithm>
#include <utility>

namespace martenwall::service {

namespace {
constexpr std::size_t max_in_flight = 4;  // transactions; more would only queue for this node's share of the write rate
constexpr Duration request_timeout = seconds(1);
constexpr Duration transaction_timeout = seconds(1.5);
constexpr Duration transaction_retry_pause = seconds(0.1);
constexpr Duration read_retry_pause = seconds(0.2);
constexpr Duration too_large_pause = seconds(0.05);          // before the split rows are written
constexpr Duration deferrable_poll_interval = seconds(0.2);  // between checks for deferrable writes
}  // namespace

// Concurrent transactions write different rows, so their order does not matter.
rt::Task<void> FencedWriter::run(std::uint64_t term) {
  while (ctx_.leads(term)) {
    const bool deferrable = in_flight_ <= 1 && store_.has_unused_write_rate();
    const bool has_capacity = in_flight_ < max_in_flight;
    if (has_capacity) start_transactions(term, deferrable);
    if (has_capacity && deferrable && !cleanup_.empty()) start_cleanup(term);
    // A spawned transaction may have ended the term before its first suspension.
    if (!ctx_.leads(term)) co_return;
    if (in_flight_ < max_in_flight && ctx_.scheduler->has_writes(false, ctx_.now())) continue;
    const Time until = ctx_.now() + deferrable_poll_interval;
    co_await ctx_.writes_due.wait(until);
  }
}

void FencedWriter::start_transactions(std::uint64_t term, bool deferrable) {
  if (!ctx_.scheduler->has_writes(deferrable, ctx_.now())) return;
  auto rows = ctx_.scheduler->take_writes(ctx_.limits.txn_ops() / 2, deferrable, ctx_.now());
  for (auto& transaction : builder_.build(std::move(rows))) {
    ++in_flight_;
    rt::spawn(write_transaction(term, std::move(transaction)));  // returns when the term ends, or earlier
  }
}

void FencedWriter::start_cleanup(std::uint64_t term) {
  ++in_flight_;
  rt::spawn(write_transaction(term, builder_.build_cleanup(cleanup_)));  // returns when the term ends, or earlier
}

rt::Task<void> FencedWriter::write_transaction(std::uint64_t term, FencedTransaction transaction) {
  CommitOutcome outcome = CommitOutcome::stored;
  if (!transaction.operations.empty()) outcome = co_await commit(term, transaction);
  // If this term is over, `in_flight_` counts the transactions of another one.
  if (ctx_.term != term) co_return;
  --in_flight_;
  switch (outcome) {
    case CommitOutcome::stored:
      on_stored(transaction.rows);
      break;
    case CommitOutcome::too_large:
      // Does not step down, since every successor would reach the same limit. Splits the rows again.
      apply_row_size_limits(ctx_);
      ctx_.scheduler->requeue_writes(transaction.rows, too_large_pause, ctx_.now());
      break;
    case CommitOutcome::not_stored:
      co_await on_not_stored(term, std::move(transaction));
      break;
  }
}

void FencedWriter::on_stored(const std::vector<RowWrite>& rows) {
  for (const auto& row : rows) {
    if (!row.final_job) continue;
    const auto& job = *row.final_job;
    ctx_.finished_jobs.add({job.id, job.phase, job.done, 0});
    cleanup_.add_chunks(row.chunk_keys);
  }
  ctx_.scheduler->on_rows_stored(rows, ctx_.now());
  ctx_.write_committed.notify();
  ctx_.writes_due.notify();
  ctx_.notify_pending_work();  // a finished job may allow others to start
}

rt::Task<void> FencedWriter::on_not_stored(std::uint64_t term, FencedTransaction transaction) {
  if (transaction.rows.empty()) {
    // Other nodes write inbox entries, too: a conflict on one does not imply that this node has lost the leadership.
    const bool leads = co_await still_leads(term);
    if (ctx_.term != term) co_return;
    if (leads) {
      for (const auto& op : transaction.operations) cleanup_.requeue(op.key);
      co_return;
    }
  }
  // Another node leads, or the known key versions are wrong: both require a recovery from the store.
  election_.step_down(StepDownReason::transaction_conflict);
}

// Retries until the outcome is known. All attempts have the same conditions, so at most one is applied. An attempt that
// was rejected as too large is not applied later, since limits never rise; but an earlier attempt may have been
// applied.
rt::Task<FencedWriter::CommitOutcome> FencedWriter::commit(std::uint64_t term, const FencedTransaction& transaction) {
  bool uncertain = false;
  const Time started_at = ctx_.now();
  while (ctx_.term == term) {
    std::vector<wire::Condition> conditions = transaction.conditions;
    std::vector<wire::StoreOp> operations = transaction.operations;
    const TxnResult answer = co_await store_.txn(std::move(conditions), std::move(operations), transaction_timeout,
                                                 StoreClient::Queueing::fifo);
    if (ctx_.term != term) break;
    switch (answer.outcome) {
      case TxnOutcome::committed:
        if (uncertain) log_uncertain(transaction, "stored");
        record_versions(transaction, answer.revision);
        ctx_.metrics.store_writes.observe(ctx_.now() - started_at);
        co_return CommitOutcome::stored;
      case TxnOutcome::conflict:
      case TxnOutcome::lease_ended:
      case TxnOutcome::too_large:
        co_return co_await resolve_rejection(term, transaction, answer.outcome, uncertain);
      case TxnOutcome::unknown:
        if (!std::exchange(uncertain, true)) log_uncertain(transaction, "no_answer");
        break;
      case TxnOutcome::refused:
        break;
    }
    co_await ctx_.loop.sleep(transaction_retry_pause);
  }
  if (uncertain) log_uncertain(transaction, "unknown_at_term_end");
  co_return CommitOutcome::not_stored;
}

// Resolves a rejection by the store. If an earlier attempt got no response, that attempt may have been applied and be
// the cause of the rejection.
rt::Task<FencedWriter::CommitOutcome> FencedWriter::resolve_rejection(std::uint64_t term,
                                                                      const FencedTransaction& transaction,
                                                                      TxnOutcome answer, bool uncertain) {
  if (uncertain) {
    const bool applied = co_await was_applied(term, transaction);
    log_uncertain(transaction, applied ? "stored_by_earlier_try" : "not_stored");
    if (applied) co_return CommitOutcome::stored;
  }
  const bool too_large = answer == TxnOutcome::too_large && ctx_.term == term;
  co_return too_large ? CommitOutcome::too_large : CommitOutcome::not_stored;
}

// Returns whether a transaction whose response was lost was applied; if so, records its versions. Checks
// first that this node still leads, because the absence of a key alone proves nothing: a later leader may have removed
// it and ended the job in another way.
rt::Task<bool> FencedWriter::was_applied(std::uint64_t term, const FencedTransaction& transaction) {
  const bool leads = co_await still_leads(term);
  if (!leads) co_return false;
  const auto& operations = transaction.operations;
  const auto written = std::ranges::find_if(operations, [](const auto& op) { return op.value.has_value(); });
  const auto& evidence = written == operations.end() ? operations.front() : *written;
  const ReadResult read = co_await read_until_answered(term, evidence.key);
  if (ctx_.term != term) co_return false;
  const bool applied = evidence.value
                           ? read.outcome == ReadOutcome::found &&
                                 wire::transaction_id_of(read.item.value) == wire::transaction_id_of(*evidence.value)
                           : read.outcome == ReadOutcome::absent;
  if (applied) record_versions(transaction, Revision{read.item.version.value()});
  co_return applied;
}

rt::Task<bool> FencedWriter::still_leads(std::uint64_t term) {
  const ReadResult leader = co_await read_until_answered(term, wire::leader_key);
  if (ctx_.term != term || leader.outcome != ReadOutcome::found) co_return false;
  co_return leader.item.version.value() == ctx_.leadership.token().value();
}

// Repeats a read until the store responds or the term is over.
rt::Task<ReadResult> FencedWriter::read_until_answered(std::uint64_t term, std::string key) {
  ReadResult read;
  while (ctx_.term == term) {
    std::string copy = key;
    read = co_await store_.get(std::move(copy), request_timeout);
    if (read.outcome != ReadOutcome::failed) break;
    co_await ctx_.loop.sleep(read_retry_pause);
  }
  co_return read;
}

void FencedWriter::record_versions(const FencedTransaction& transaction, Revision revision) {
  for (const auto& op : transaction.operations) {
    if (op.value) {
      versions_.record(op.key, KeyVersion{revision.value()});
    } else {
      versions_.erase(op.key);
    }
  }
}

// Called twice per uncertain transaction: when its outcome becomes unknown and when it is resolved.
void FencedWriter::log_uncertain(const FencedTransaction& transaction, std::string_view outcome) const {
  ctx_.log->info("transaction uncertain key={} more_keys={} outcome={}", transaction.operations.front().key,
                 transaction.operations.size() - 1, outcome);
}

}  // namespace martenwall::service
