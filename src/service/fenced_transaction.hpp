// Composes the leader's transactions: which rows they combine and under which conditions they commit.
#pragma once
#include <cstdint>
#include <vector>

#include "service/cleanup_queue.hpp"
#include "service/context.hpp"
#include "service/key_versions.hpp"
#include "wire/store_codec.hpp"

namespace martenwall::service {

// A compare-and-swap transaction. Its first condition is that the version of the leader key equals this leader's
// fencing token; further conditions state the expected version of each key that it writes, except for chunks removed by
// cleanup.
struct FencedTransaction {
  std::vector<wire::Condition> conditions;
  std::vector<wire::StoreOp> operations;
  std::vector<RowWrite> rows;  // reported to the scheduler after the commit
  std::size_t bytes = 0;       // estimated size of the operations
};

// Builds transactions within the store's limits. Used only while this node leads; no member function suspends.
class TransactionBuilder {
 public:
  // Both must outlive this object.
  TransactionBuilder(Context& ctx, const KeyVersions& versions) : ctx_(ctx), versions_(versions) {}

  // Packs the rows into transactions in their order, as many per transaction as the limits allow. Omits rows that
  // exceed the value size and makes the scheduler split them.
  std::vector<FencedTransaction> build(std::vector<RowWrite> rows);
  // Takes as many keys from the queue as fit into one transaction that removes them.
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
  std::uint64_t last_serial_ = 0;  // of transaction IDs; never reset during the lifetime of the process
};

}  // namespace martenwall::service
