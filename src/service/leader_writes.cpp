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

LeaderStore::Chunk LeaderStore::new_chunk() const {
  Chunk chunk;
  chunk.when.push_back({wire::leader_key, Stamp{ctx_.leadership.token().value()}});
  return chunk;
}

void LeaderStore::append(Chunk& chunk, std::vector<wire::StoreOp> ops) {
  for (auto& op : ops) {
    const auto it = versions_.find(op.key);
    chunk.when.push_back({op.key, it == versions_.end() ? Stamp{0} : it->second});
    chunk.then.push_back(std::move(op));
  }
}

// Nothing rests on facts of machines: what does not fit is left out, cached images first.
wire::json LeaderStore::facts_row(std::vector<MachineFacts> facts) const {
  for (;;) {
    auto row = wire::encode_machines(facts);
    if (row.dump().size() <= ctx_.limits.value_bytes() || facts.empty()) return row;
    bool images = false;
    for (auto& m : facts) {
      images = images || !m.images.empty();
      m.images.resize(m.images.size() / 2);
    }
    if (!images) facts.resize(facts.size() / 2);
  }
}

std::vector<wire::StoreOp> LeaderStore::ops_of(const RowWrite& row) {
  std::vector<wire::StoreOp> ops;
  const auto key = wire::key_of(row.key);
  if (row.final_job) {
    ops.push_back({wire::job_key(row.final_job->id, row.final_job->chained), std::nullopt, std::nullopt});
    ops.push_back({key, wire::encode_final(*row.final_job), std::nullopt});
  } else if (row.tasks) {
    ops.push_back({key, wire::encode_tasks(*row.tasks), std::nullopt});
  } else if (!row.facts.empty()) {
    ops.push_back({key, facts_row(row.facts), std::nullopt});
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
  if (!ctx_.scheduler->divide(row, ctx_.now())) {
    ctx_.log->error("row {} is too large for the state service and cannot be divided", wire::key_of(row.key));
  }
  return false;
}

std::vector<LeaderStore::Chunk> LeaderStore::chunks_of(std::vector<RowWrite> rows) {
  std::vector<Chunk> chunks;
  for (auto& row : rows) {
    auto ops = ops_of(row);
    if (!fits_value(row, ops)) continue;
    std::size_t bytes = 0;
    for (const auto& op : ops) bytes += 2 * op.key.size() + 100 + (op.value ? op.value->dump().size() : 0);
    const bool fits = !chunks.empty() && chunks.back().then.size() + ops.size() <= ctx_.limits.txn_ops() &&
                      chunks.back().bytes + bytes <= max_txn_bytes;
    if (!fits) chunks.push_back(new_chunk());
    auto& chunk = chunks.back();
    chunk.bytes += bytes;
    append(chunk, std::move(ops));
    chunk.rows.push_back(std::move(row));
  }
  for (auto& chunk : chunks) sign(chunk);
  return chunks;
}

// Notes that were taken, and pieces of rows of jobs that are over; what no one reads any more.
LeaderStore::Chunk LeaderStore::note_removals() {
  Chunk chunk = new_chunk();
  const auto most = ctx_.limits.txn_ops();
  while (!inbox_done_.empty() && chunk.then.size() < most) {
    const auto key = wire::inbox_key(inbox_done_.back());
    inbox_done_.pop_back();
    const bool listed = std::ranges::any_of(chunk.then, [&](const auto& op) { return op.key == key; });
    if (versions_.contains(key) && !listed) append(chunk, {{key, std::nullopt, std::nullopt}});
  }
  for (; !leftover_pieces_.empty() && chunk.then.size() < most; leftover_pieces_.pop_back()) {
    chunk.then.push_back({leftover_pieces_.back(), std::nullopt, std::nullopt});
  }
  return chunk;
}

void LeaderStore::return_notes(const Chunk& chunk) {
  for (const auto& op : chunk.then) {
    if (op.key.starts_with("i/")) {
      inbox_done_.emplace_back(op.key.substr(2));
    } else {
      leftover_pieces_.push_back(op.key);
    }
  }
}

// Every value carries its writer, so that a transaction whose answer was lost can be recognised.
void LeaderStore::sign(Chunk& chunk) {
  const auto by = std::to_string(ctx_.leadership.token().value()) + "." + std::to_string(++write_serial_);
  for (auto& op : chunk.then) {
    if (op.value) (*op.value)["by"] = by;
  }
}

void LeaderStore::remember(const Chunk& chunk, Revision revision) {
  for (const auto& op : chunk.then) {
    if (op.value) {
      versions_[op.key] = Stamp{revision.value()};
    } else {
      versions_.erase(op.key);
    }
  }
}

// A read that is repeated until the store answers, or this leadership is over.
rt::Task<ReadResult> LeaderStore::read_surely(std::uint64_t term, std::string key) {
  ReadResult r;
  while (ctx_.term == term) {
    std::string copy = key;
    r = co_await state_.get(std::move(copy), seconds(1));
    if (r.outcome != ReadOutcome::failed) break;
    co_await ctx_.loop.sleep(read_again);
  }
  co_return r;
}

rt::Task<bool> LeaderStore::holds_lead(std::uint64_t term) {
  const ReadResult lead = co_await read_surely(term, wire::leader_key);
  co_return ctx_.term == term&& lead.outcome == ReadOutcome::found&& lead.item.version.value() ==
      ctx_.leadership.token().value();
}

// Whether a transaction whose answer was lost was applied after all; if so its versions are taken over. That a key is
// gone proves nothing: a later leader may have removed it, and ended the job in another way.
rt::Task<bool> LeaderStore::recognise(std::uint64_t term, const Chunk& chunk) {
  const bool ours = co_await holds_lead(term);
  if (!ours) co_return false;
  const auto written = std::ranges::find_if(chunk.then, [](const auto& op) { return op.value.has_value(); });
  const auto& telling = written == chunk.then.end() ? chunk.then.front() : *written;
  const ReadResult r = co_await read_surely(term, telling.key);
  if (ctx_.term != term) co_return false;
  const bool applied = telling.value
                           ? r.outcome == ReadOutcome::found && r.item.value.value("by", "") == (*telling.value)["by"]
                           : r.outcome == ReadOutcome::absent;
  if (applied) remember(chunk, Revision{r.item.version.value()});
  co_return applied;
}

// Once for each transaction: that its outcome is not known, and what became of it.
void LeaderStore::log_doubt(const Chunk& chunk, const char* what) const {
  ctx_.log->info("transaction on {} and {} further keys {}", chunk.then.front().key, chunk.then.size() - 1, what);
}

// Tries until the outcome is known. The same conditions hold each time, so at most one try is applied. One that was
// called too large is not applied later either, since limits do not rise; but an earlier try may have been.
rt::Task<LeaderStore::Commit> LeaderStore::commit(std::uint64_t term, const Chunk& chunk) {
  bool doubtful = false;
  const Time began = ctx_.now();
  while (ctx_.term == term) {
    std::vector<wire::Condition> when = chunk.when;
    std::vector<wire::StoreOp> then = chunk.then;
    const TxnResult r = co_await state_.txn(std::move(when), std::move(then), seconds(1.5), StateClient::Turn::in_line);
    if (ctx_.term != term) break;
    switch (r.outcome) {
      case TxnOutcome::committed:
        if (doubtful) log_doubt(chunk, "is stored");
        remember(chunk, r.revision);
        ctx_.metrics.store_writes.observe(ctx_.now() - began);
        co_return Commit::stored;
      case TxnOutcome::conflict:
      case TxnOutcome::no_lease:
      case TxnOutcome::too_large: {
        const bool applied = doubtful && co_await recognise(term, chunk);
        if (doubtful) log_doubt(chunk, applied ? "was stored by an earlier try" : "was not stored");
        if (applied) co_return Commit::stored;
        co_return r.outcome == TxnOutcome::too_large&& ctx_.term == term ? Commit::too_large : Commit::lost;
      }
      case TxnOutcome::unknown:
        if (!std::exchange(doubtful, true)) log_doubt(chunk, "is in doubt: no answer");
        break;
      case TxnOutcome::refused:
        break;
    }
    co_await ctx_.loop.sleep(seconds(0.1));
  }
  if (doubtful) log_doubt(chunk, "stays in doubt: this leadership is over");
  co_return Commit::lost;
}

void LeaderStore::told(const std::vector<RowWrite>& rows) {
  for (const auto& row : rows) {
    if (!row.final_job) continue;
    const auto& f = *row.final_job;
    ctx_.finals.add({f.id, f.phase, f.done, 0});
    leftover_pieces_.insert(leftover_pieces_.end(), row.pieces.begin(), row.pieces.end());
  }
  ctx_.scheduler->stored(rows, ctx_.now());
  ctx_.flushed.notify();
}

rt::Task<void> LeaderStore::write_chunk(std::uint64_t term, Chunk chunk) {
  Commit outcome = Commit::stored;
  if (!chunk.then.empty()) outcome = co_await commit(term, chunk);
  if (ctx_.term != term) co_return;
  --under_way_;
  switch (outcome) {
    case Commit::stored:
      told(chunk.rows);
      ctx_.flush.notify();
      ctx_.kick();  // the end of one job lets others start
      break;
    case Commit::too_large:
      // Not the end of a leadership: every successor would meet the same limit. The rows are divided again.
      apply_limits(ctx_);
      ctx_.scheduler->put_back(chunk.rows, too_large_pause, ctx_.now());
      break;
    case Commit::lost:
      if (chunk.rows.empty()) {
        // Notes are others' keys too: one that was written anew meanwhile says nothing of this leadership.
        const bool ours = co_await holds_lead(term);
        if (ctx_.term != term) co_return;
        if (ours) return_notes(chunk);
        if (ours) break;
      }
      // Another leader, or a lost picture of the keys: both mean starting over from the store.
      step_down("a transaction's conditions failed");
      break;
  }
}

// Transactions under way at the same time touch different rows, so their order does not matter.
rt::Task<void> LeaderStore::write(std::uint64_t term) {
  constexpr Duration pause = seconds(0.2);
  while (ctx_.leads(term)) {
    const bool spare = under_way_ <= 1 && state_.has_spare_writes();
    const bool room = under_way_ < max_under_way;
    std::vector<RowWrite> rows;
    if (room && ctx_.scheduler->has_writes(spare, ctx_.now())) {
      rows = ctx_.scheduler->take_writes(ctx_.limits.txn_ops() / 2, spare, ctx_.now());
    }
    for (auto& chunk : chunks_of(std::move(rows))) {
      ++under_way_;
      rt::spawn(write_chunk(term, std::move(chunk)));
    }
    if (room && spare && !(inbox_done_.empty() && leftover_pieces_.empty())) {
      ++under_way_;
      rt::spawn(write_chunk(term, note_removals()));
    }
    if (!ctx_.leads(term)) co_return;
    if (under_way_ < max_under_way && ctx_.scheduler->has_writes(false, ctx_.now())) continue;
    const Time until = ctx_.now() + pause;
    co_await ctx_.flush.wait(until);
  }
}

rt::Task<std::optional<JobStatus>> LeaderStore::wait_final(JobId id, Duration longest) {
  const auto term = ctx_.term;
  const Time until = ctx_.now() + longest;
  while (ctx_.leads(term)) {
    auto known = ctx_.finals.find(id);
    const bool whole = known && ctx_.scheduler->cascade_stored(id);
    if (whole || ctx_.now() >= until) co_return known;
    co_await ctx_.flushed.wait(until);
  }
  co_return std::nullopt;
}

}  // namespace martenwall::service
