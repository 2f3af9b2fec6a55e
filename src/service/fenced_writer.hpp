// Writes the leader's rows in fenced transactions and resolves the outcome of those whose response was lost.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "service/cleanup_queue.hpp"
#include "service/context.hpp"
#include "service/fenced_transaction.hpp"
#include "service/format_version_service.hpp"
#include "service/key_versions.hpp"
#include "service/leader_election.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Every coroutine belongs to a term and returns without a further write once `Context::term` has changed.
class FencedWriter {
 public:
  FencedWriter(Context& ctx, StoreClient& store, KeyVersions& versions, CleanupQueue& cleanup, LeaderElection& election)
      : ctx_(ctx),
        store_(store),
        versions_(versions),
        cleanup_(cleanup),
        election_(election),
        builder_(ctx, versions) {}

  // Resets the count of transactions in flight; called before `run` of each term.
  void begin_term() { in_flight_ = 0; }
  // Writes the scheduler's pending rows, and removes obsolete keys when write capacity is unused, until `term` is over.
  // Steps down if a transaction's conditions do not hold: another node leads, or the known key versions are wrong.
  rt::Task<void> run(std::uint64_t term);

 private:
  enum class CommitOutcome { stored, not_stored, too_large };

  void start_transactions(std::uint64_t term, bool deferrable);
  void start_cleanup(std::uint64_t term);
  rt::Task<void> write_transaction(std::uint64_t term, FencedTransaction transaction);
  void on_stored(const std::vector<RowWrite>& rows);
  rt::Task<void> on_not_stored(std::uint64_t term, FencedTransaction transaction);
  rt::Task<CommitOutcome> commit(std::uint64_t term, const FencedTransaction& transaction);
  rt::Task<CommitOutcome> resolve_rejection(std::uint64_t term, const FencedTransaction& transaction, TxnOutcome answer,
                                            bool uncertain);
  rt::Task<bool> still_leads(std::uint64_t term);
  rt::Task<bool> was_applied(std::uint64_t term, const FencedTransaction& transaction);
  rt::Task<ReadResult> read_until_answered(std::uint64_t term, std::string key);
  void record_versions(const FencedTransaction& transaction, Revision revision);
  void log_uncertain(const FencedTransaction& transaction, std::string_view outcome) const;

  Context& ctx_;
  StoreClient& store_;
  KeyVersions& versions_;
  CleanupQueue& cleanup_;
  LeaderElection& election_;
  TransactionBuilder builder_;
  std::size_t in_flight_ = 0;  // transactions of the current term
};

}  // namespace martenwall::service
