// The leader's transactions: which rows go together, and under which conditions.
#pragma once
#include <cstdint>
#include <vector>

#include "service/cleanup_queue.hpp"
#include "service/context.hpp"
#include "service/key_versions.hpp"
#include "wire/store_codec.hpp"

namespace martenwall::service {

// A compare-and-swap whose first condition is that the leader key stands at this leader's fencing token, and which
// names the version of every key that it writes.
struct FencedTransaction {
  std::vector<wire::Condition> conditions;
  std::vector<wire::StoreOp> operations;
  std::vector<RowWrite> rows;  // what the scheduler is told once it is committed
  std::size_t bytes = 0;       // estimated size of the operations
};

// Builds transactions within the store's limits. Used only while this node leads; nothing here suspends.
class TransactionBuilder {
 public:
  // Both outlive this object.
  TransactionBuilder(Context& ctx, const KeyVersions& versions) : ctx_(ctx), versions_(versions) {}

  // All rows, in as few transactions as the limits allow. Rows that do not fit a value are handed back to the scheduler
  // to be split, and left out.
  std::vector<FencedTransaction> build(std::vector<RowWrite> rows);
  // Removes as many of the queued keys as fit into one transaction.
  FencedTransaction build_cleanup(CleanupQueue& queue) const;

 private:
  [[nodiscard]] FencedTransaction new_transaction() const;
  [[nodiscard]] bool fits_transaction(const FencedTransaction& transaction, std::size_t operations,
                                      std::size_t bytes) const;
  [[nodiscard]] bool fits_value(const RowWrite& row, const std::vector<wire::StoreOp>& operations);
  [[nodiscard]] std::vector<wire::StoreOp> operations_of(const RowWrite& row) const;
  [[nodiscard]] wire::json encode_machines_row(std::vector<MachineRecord> records) const;
  void append(FencedTransaction& transaction, std::vector<wire::StoreOp> operations) const;
  void stamp_transaction_id(FencedTransaction& transaction);

  Context& ctx_;
  const KeyVersions& versions_;
  std::uint64_t last_serial_ = 0;  // of transaction ids; never starts anew while the process lives
};

}  // namespace martenwall::service
