// The leader's fenced writes: which rows go into a transaction, and what became of it.
#include <algorithm>
#include <utility>

#include "service/leader_store.hpp"

namespace martenwall::service {

namespace {
constexpr std::size_t max_txn_bytes = 48 * 1024;  // of the 64 KiB, the rest is for conditions and framing
constexpr std::size_t max_under_way = 4;
constexpr Duration too_large_pause = seconds(0.05);
}  // namespace

LeaderStore::Transaction LeaderStore::new_transaction() const {
  Transaction transaction;
  transaction.when.push_back({wire::leader_key, KeyVersion{ctx_.leadership.token().value()}});
  return transaction;
}

void LeaderStore::append(Transaction& transaction, std::vector<wire::StoreOp> ops) {
  for (auto& op : ops) {
    const auto it = versions_.find(op.key);
    transaction.when.push_back({op.key, it == versions_.end() ? KeyVersion{0} : it->second});
    transaction.then.push_back(std::move(op));
  }
}

// Nothing rests on records of machines: what does not fit is left out, cached images first.
wire::json LeaderStore::encode_machines_row(std::vector<MachineRecord> records) const {
  for (;;) {
    auto row = wire::encode_machines(records);
    if (row.dump().size() <= ctx_.limits.value_bytes() || records.empty()) return row;
    bool images = false;
    for (auto& m : records) {
      images = images || !m.images.empty();
      m.images.resize(m.images.size() / 2);
    }
    if (!images) records.resize(records.size() / 2);
  }
}

std::vector<wire::StoreOp> LeaderStore::ops_of(const RowWrite& row) {
  std::vector<wire::StoreOp> ops;
  const auto key = wire::key_of(row.key);
  if (row.final_job) {
    ops.push_back({wire::job_key(row.final_job->id, row.final_job->dependent), std::nullopt, std::nullopt});
    ops.push_back({key, wire::encode_final(*row.final_job), std::nullopt});
  } else if (row.tasks) {
    ops.push_back({key, wire::encode_tasks(*row.tasks), std::nullopt});
  } else if (!row.machines.empty()) {
    ops.push_back({key, encode_machines_row(row.machines), std::nullopt});
  } else if (versions_.contains(key)) {
    ops.push_back({key, std::nullopt, std::nullopt});
  }
  return ops;
}

// What is really encoded is measured: names may be longer than a row's size was reckoned with.
bool LeaderStore::fits_value(const RowWrite& row, const std::vector<wire::StoreOp>& ops) {
  const bool fits = std::ranges::all_of(
      ops, [&](const wire::StoreOp& op) { return !op.value || op.value->dump().size() <= ctx_.limits.value_bytes(); });
  if (fits) return true;
  if (!ctx_.scheduler->split_row(row, ctx_.now())) {
    ctx_.log->error("row {} is too large for the state service and cannot be divided", wire::key_of(row.key));
  }
  return false;
}

std::vector<LeaderStore::Transaction> LeaderStore::build_transactions(std::vector<RowWrite> rows) {
  std::vector<Transaction> transactions;
  for (auto& row : rows) {
    auto ops = ops_of(row);
    if (!fits_value(row, ops)) continue;
    std::size_t bytes = 0;
    for (const auto& op : ops) bytes += 2 * op.key.size() + 100 + (op.value ? op.value->dump().size() : 0);
    const bool fits = !transactions.empty() && transactions.back().then.size() + ops.size() <= ctx_.limits.txn_ops() &&
                      transactions.back().bytes + bytes <= max_txn_bytes;
    if (!fits) transactions.push_back(new_transaction());
    auto& transaction = transactions.back();
    transaction.bytes += bytes;
    append(transaction, std::move(ops));
    transaction.rows.push_back(std::move(row));
  }
  for (auto& transaction : transactions) stamp_writer(transaction);
  return transactions;
}

// Notes that were taken, and pieces of rows of jobs that are over; what no one reads any more.
LeaderStore::Transaction LeaderStore::build_cleanup() {
  Transaction transaction = new_transaction();
  const auto most = ctx_.limits.txn_ops();
  while (!processed_inbox_.empty() && transaction.then.size() < most) {
    const auto key = wire::inbox_key(processed_inbox_.back());
    processed_inbox_.pop_back();
    const bool listed = std::ranges::any_of(transaction.then, [&](const auto& op) { return op.key == key; });
    if (versions_.contains(key) && !listed) append(transaction, {{key, std::nullopt, std::nullopt}});
  }
  for (; !obsolete_chunks_.empty() && transaction.then.size() < most; obsolete_chunks_.pop_back()) {
    transaction.then.push_back({obsolete_chunks_.back(), std::nullopt, std::nullopt});
  }
  return transaction;
}

void LeaderStore::requeue_cleanup(const Transaction& transaction) {
  for (const auto& op : transaction.then) {
    if (op.key.starts_with("i/")) {
      processed_inbox_.emplace_back(op.key.substr(2));
    } else {
      obsolete_chunks_.push_back(op.key);
    }
  }
}

// Every value carries its writer, so that a transaction whose answer was lost can be recognised.
void LeaderStore::stamp_writer(Transaction& transaction) {
  const auto by = std::to_string(ctx_.leadership.token().value()) + "." + std::to_string(++write_serial_);
  for (auto& op : transaction.then) {
    if (op.value) (*op.value)["by"] = by;
  }
}

void LeaderStore::record_versions(const Transaction& transaction, Revision revision) {
  for (const auto& op : transaction.then) {
    if (op.value) {
      versions_[op.key] = KeyVersion{revision.value()};
    } else {
      versions_.erase(op.key);
    }
  }
}

// A read that is repeated until the store answers, or this leadership is over.
rt::Task<ReadResult> LeaderStore::read_until_answered(std::uint64_t term, std::string key) {
  ReadResult r;
  while (ctx_.term == term) {
    std::string copy = key;
    r = co_await store_.get(std::move(copy), seconds(1));
    if (r.outcome != ReadOutcome::failed) break;
    co_await ctx_.loop.sleep(read_again);
  }
  co_return r;
}

rt::Task<bool> LeaderStore::still_leads(std::uint64_t term) {
  const ReadResult lead = co_await read_until_answered(term, wire::leader_key);
  co_return ctx_.term == term&& lead.outcome == ReadOutcome::found&& lead.item.version.value() ==
      ctx_.leadership.token().value();
}

// Whether a transaction whose answer was lost was applied after all; if so its versions are taken over. That a key is
// gone proves nothing: a later leader may have removed it, and ended the job in another way.
rt::Task<bool> LeaderStore::was_applied(std::uint64_t term, const Transaction& transaction) {
  const bool ours = co_await still_leads(term);
  if (!ours) co_return false;
  const auto written = std::ranges::find_if(transaction.then, [](const auto& op) { return op.value.has_value(); });
  const auto& telling = written == transaction.then.end() ? transaction.then.front() : *written;
  const ReadResult r = co_await read_until_answered(term, telling.key);
  if (ctx_.term != term) co_return false;
  const bool applied = telling.value
                           ? r.outcome == ReadOutcome::found && r.item.value.value("by", "") == (*telling.value)["by"]
                           : r.outcome == ReadOutcome::absent;
  if (applied) record_versions(transaction, Revision{r.item.version.value()});
  co_return applied;
}

// Once for each transaction: that its outcome is not known, and what became of it.
void LeaderStore::log_uncertain_outcome(const Transaction& transaction, const char* what) const {
  ctx_.log->info("transaction on {} and {} further keys {}", transaction.then.front().key, transaction.then.size() - 1,
                 what);
}

// Tries until the outcome is known. The same conditions hold each time, so at most one try is applied. One that was
// called too large is not applied later either, since limits do not rise; but an earlier try may have been.
rt::Task<LeaderStore::Commit> LeaderStore::commit(std::uint64_t term, const Transaction& transaction) {
  bool outcome_unknown = false;
  const Time began = ctx_.now();
  while (ctx_.term == term) {
    std::vector<wire::Condition> when = transaction.when;
    std::vector<wire::StoreOp> then = transaction.then;
    const TxnResult r =
        co_await store_.txn(std::move(when), std::move(then), seconds(1.5), StoreClient::Queueing::fifo);
    if (ctx_.term != term) break;
    switch (r.outcome) {
      case TxnOutcome::committed:
        if (outcome_unknown) log_uncertain_outcome(transaction, "is stored");
        record_versions(transaction, r.revision);
        ctx_.metrics.store_writes.observe(ctx_.now() - began);
        co_return Commit::stored;
      case TxnOutcome::conflict:
      case TxnOutcome::no_lease:
      case TxnOutcome::too_large: {
        const bool applied = outcome_unknown && co_await was_applied(term, transaction);
        if (outcome_unknown)
          log_uncertain_outcome(transaction, applied ? "was stored by an earlier try" : "was not stored");
        if (applied) co_return Commit::stored;
        co_return r.outcome == TxnOutcome::too_large&& ctx_.term == term ? Commit::too_large : Commit::lost;
      }
      case TxnOutcome::unknown:
        if (!std::exchange(outcome_unknown, true)) log_uncertain_outcome(transaction, "is in doubt: no answer");
        break;
      case TxnOutcome::refused:
        break;
    }
    co_await ctx_.loop.sleep(seconds(0.1));
  }
  if (outcome_unknown) log_uncertain_outcome(transaction, "stays in doubt: this leadership is over");
  co_return Commit::lost;
}

void LeaderStore::on_rows_written(const std::vector<RowWrite>& rows) {
  for (const auto& row : rows) {
    if (!row.final_job) continue;
    const auto& f = *row.final_job;
    ctx_.finished_jobs.add({f.id, f.phase, f.done, 0});
    obsolete_chunks_.insert(obsolete_chunks_.end(), row.chunk_keys.begin(), row.chunk_keys.end());
  }
  ctx_.scheduler->on_rows_stored(rows, ctx_.now());
  ctx_.write_committed.notify();
}

rt::Task<void> LeaderStore::write_transaction(std::uint64_t term, Transaction transaction) {
  Commit outcome = Commit::stored;
  if (!transaction.then.empty()) outcome = co_await commit(term, transaction);
  if (ctx_.term != term) co_return;
  --in_flight_;
  switch (outcome) {
    case Commit::stored:
      on_rows_written(transaction.rows);
      ctx_.writes_due.notify();
      ctx_.notify_pending_work();  // the end of one job lets others start
      break;
    case Commit::too_large:
      // Not the end of a leadership: every successor would meet the same limit. The rows are divided again.
      apply_row_size_limits(ctx_);
      ctx_.scheduler->requeue_writes(transaction.rows, too_large_pause, ctx_.now());
      break;
    case Commit::lost:
      if (transaction.rows.empty()) {
        // Notes are others' keys too: one that was written anew meanwhile says nothing of this leadership.
        const bool ours = co_await still_leads(term);
        if (ctx_.term != term) co_return;
        if (ours) requeue_cleanup(transaction);
        if (ours) break;
      }
      // Another leader, or a lost picture of the keys: both mean starting over from the store.
      step_down("a transaction's conditions failed");
      break;
  }
}

// Transactions under way at the same time touch different rows, so their order does not matter.
rt::Task<void> LeaderStore::run_writer(std::uint64_t term) {
  constexpr Duration pause = seconds(0.2);
  while (ctx_.leads(term)) {
    const bool deferrable = in_flight_ <= 1 && store_.has_unused_write_rate();
    const bool room = in_flight_ < max_under_way;
    std::vector<RowWrite> rows;
    if (room && ctx_.scheduler->has_writes(deferrable, ctx_.now())) {
      rows = ctx_.scheduler->take_writes(ctx_.limits.txn_ops() / 2, deferrable, ctx_.now());
    }
    for (auto& transaction : build_transactions(std::move(rows))) {
      ++in_flight_;
      rt::spawn(write_transaction(term, std::move(transaction)));
    }
    if (room && deferrable && !(processed_inbox_.empty() && obsolete_chunks_.empty())) {
      ++in_flight_;
      rt::spawn(write_transaction(term, build_cleanup()));
    }
    if (!ctx_.leads(term)) co_return;
    if (in_flight_ < max_under_way && ctx_.scheduler->has_writes(false, ctx_.now())) continue;
    const Time until = ctx_.now() + pause;
    co_await ctx_.writes_due.wait(until);
  }
}

rt::Task<std::optional<JobStatus>> LeaderStore::wait_final(JobId id, Duration longest) {
  const auto term = ctx_.term;
  const Time until = ctx_.now() + longest;
  while (ctx_.leads(term)) {
    auto known = ctx_.finished_jobs.find(id);
    const bool whole = known && ctx_.scheduler->is_cascade_stored(id);
    if (whole || ctx_.now() >= until) co_return known;
    co_await ctx_.write_committed.wait(until);
  }
  co_return std::nullopt;
}

}  // namespace martenwall::service
