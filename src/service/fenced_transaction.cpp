#include "service/fenced_transaction.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace martenwall::service {

namespace {
constexpr std::size_t max_txn_bytes = 48 * 1024;       // of 64 KiB; the rest is for conditions and framing
constexpr std::size_t operation_overhead_bytes = 100;  // framing of one operation and its condition

// Counts each key twice: it occurs in the operation and in its condition.
std::size_t estimated_bytes(const std::vector<wire::StoreOp>& operations) {
  std::size_t bytes = 0;
  for (const auto& op : operations) {
    bytes += 2 * op.key.size() + operation_overhead_bytes + (op.value ? op.value->dump().size() : 0);
  }
  return bytes;
}
}  // namespace

std::vector<FencedTransaction> TransactionBuilder::build(std::vector<RowWrite> rows) {
  std::vector<FencedTransaction> transactions;
  for (auto& row : rows) {
    auto operations = operations_of(row);
    if (!fits_value(row, operations)) continue;
    const auto bytes = estimated_bytes(operations);
    if (transactions.empty() || !fits_transaction(transactions.back(), operations.size(), bytes)) {
      transactions.push_back(new_transaction());
    }
    auto& transaction = transactions.back();
    transaction.bytes += bytes;
    append(transaction, std::move(operations));
    transaction.rows.push_back(std::move(row));
  }
  for (auto& transaction : transactions) stamp_transaction_id(transaction);
  return transactions;
}

FencedTransaction TransactionBuilder::build_cleanup(CleanupQueue& queue) const {
  FencedTransaction transaction = new_transaction();
  auto& operations = transaction.operations;
  const auto limit = ctx_.limits.txn_ops();
  while (operations.size() < limit) {
    const auto key = queue.pop_inbox_key();
    if (key.empty()) break;
    const bool already_added = std::ranges::any_of(operations, [&](const auto& op) { return op.key == key; });
    if (versions_.contains(key) && !already_added) append(transaction, {{key, std::nullopt, std::nullopt}});
  }
  while (operations.size() < limit) {
    auto key = queue.pop_chunk_key();
    if (key.empty()) break;
    operations.push_back({std::move(key), std::nullopt, std::nullopt});
  }
  return transaction;
}

FencedTransaction TransactionBuilder::new_transaction() const {
  FencedTransaction transaction;
  transaction.conditions.push_back({wire::leader_key, KeyVersion{ctx_.leadership.token().value()}});
  return transaction;
}

bool TransactionBuilder::fits_transaction(const FencedTransaction& transaction, std::size_t operations,
                                          std::size_t bytes) const {
  return transaction.operations.size() + operations <= ctx_.limits.txn_ops() &&
         transaction.bytes + bytes <= max_txn_bytes;
}

// Measures the encoded value: names may be longer than the estimate behind the row size assumes.
bool TransactionBuilder::fits_value(const RowWrite& row, const std::vector<wire::StoreOp>& operations) {
  const auto limit = ctx_.limits.value_bytes();
  const bool fits = std::ranges::all_of(
      operations, [&](const wire::StoreOp& op) { return !op.value || op.value->dump().size() <= limit; });
  if (fits) return true;
  if (!ctx_.scheduler->split_row(row, ctx_.now())) {
    ctx_.log->error("row too large for the store, not divisible key={}", wire::key_of(row.key));
  }
  return false;
}

std::vector<wire::StoreOp> TransactionBuilder::operations_of(const RowWrite& row) const {
  std::vector<wire::StoreOp> operations;
  const auto key = wire::key_of(row.key);
  if (row.final_job) {
    operations.push_back({wire::job_key(row.final_job->id, row.final_job->dependent), std::nullopt, std::nullopt});
    operations.push_back({key, wire::encode_final(*row.final_job), std::nullopt});
  } else if (row.tasks) {
    operations.push_back({key, wire::encode_tasks(*row.tasks), std::nullopt});
  } else if (!row.machines.empty()) {
    operations.push_back({key, encode_machines_row(row.machines), std::nullopt});
  } else if (versions_.contains(key)) {
    operations.push_back({key, std::nullopt, std::nullopt});
  }
  return operations;
}

// Machine records are not essential, so records that do not fit are truncated: cached images first, then machines.
wire::json TransactionBuilder::encode_machines_row(std::vector<MachineRecord> records) const {
  for (;;) {
    auto row = wire::encode_machines(records);
    if (row.dump().size() <= ctx_.limits.value_bytes() || records.empty()) return row;
    bool has_images = false;
    for (auto& record : records) {
      has_images = has_images || !record.images.empty();
      record.images.resize(record.images.size() / 2);
    }
    if (!has_images) records.resize(records.size() / 2);
  }
}

void TransactionBuilder::append(FencedTransaction& transaction, std::vector<wire::StoreOp> operations) const {
  for (auto& op : operations) {
    transaction.conditions.push_back({op.key, versions_.version_of(op.key)});
    transaction.operations.push_back(std::move(op));
  }
}

// Adds the transaction's ID to each value, so that a transaction whose response was lost can be recognized in the
// store.
void TransactionBuilder::stamp_transaction_id(FencedTransaction& transaction) {
  const auto id = std::to_string(ctx_.leadership.token().value()) + "." + std::to_string(++last_serial_);
  for (auto& op : transaction.operations) {
    if (op.value) (*op.value)[wire::transaction_id_field] = id;
  }
}

}  // namespace martenwall::service
