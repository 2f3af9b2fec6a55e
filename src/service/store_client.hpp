// Typed client of the store (the state service) that limits itself to this node's share of the store's rates.
#pragma once
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "service/context.hpp"
#include "service/token_bucket.hpp"
#include "wire/store_codec.hpp"

namespace martenwall::service {

// `absent`: the store reported that the key does not exist. `failed`: no response, or one that cannot be parsed.
enum class ReadOutcome { found, absent, failed };
// The result of reading one key.
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::failed;
  wire::StoreItem item;  // set if the outcome is `found`
};

// `conflict`: a condition does not hold. `lease_ended`: the lease that an operation names has ended. `too_large`: the
// store rejected the transaction as malformed, its response to values and transactions that exceed its limits.
// `refused`: not executed and never will be. `unknown`: no response; the transaction may have been executed or may be
// later.
enum class TxnOutcome { committed, conflict, lease_ended, too_large, refused, unknown };
// The result of a transaction; the revision is set if the outcome is `committed`.
struct TxnResult {
  TxnOutcome outcome = TxnOutcome::refused;
  Revision revision;  // of the commit: the new version of each written key
};

// The result of a transaction that consists of conditions only: which of its keys exist.
struct KeyComparison {
  enum class Outcome {
    answered,             // for each key it is known whether it exists
    unreadable_conflict,  // a conflict that does not identify its keys: nothing is known about any of them
    too_many_keys,        // the store's limit is lower than assumed; the caller may retry at once with fewer keys
    unanswered,           // no response, or not admitted within the timeout
  };
  Outcome outcome = Outcome::unanswered;
  std::set<std::string> existing;  // set if the outcome is `answered`

  [[nodiscard]] bool answered() const { return outcome == Outcome::answered; }
  [[nodiscard]] bool contains(const std::string& key) const { return existing.contains(key); }
};

// Returns how many keys one compare-only transaction may name: by PROTOCOL four times as many as it may change.
inline std::size_t max_compared_keys(const StoreLimits& limits) { return limits.txn_ops() * 4; }

// All requests of this node to the store go through a single client. Unless stated otherwise, a request first waits for
// this node's share of the store's rates, for at most its timeout, and fails or is refused if the share does not
// suffice by then. Timeouts limit the wait for the response. Nothing is retried here.
class StoreClient {
 public:
  // `ctx` must outlive the client, which records the time of the store's last response in it.
  explicit StoreClient(Context& ctx);
  // Reads one key.
  rt::Task<ReadResult> get(std::string key, Duration timeout);
  // Reads one key without waiting for the share; for the few reads that block decisions.
  rt::Task<ReadResult> get_unthrottled(std::string key, Duration timeout);
  // Returns all items whose keys begin with `prefix`, read page by page, or nothing if a page could not be read. The
  // revision is that of the first page: a watch from there on misses no change.
  rt::Task<std::optional<wire::StorePage>> list(std::string prefix);
  // Returns one page of these items, beginning after the key `after`, or nothing if it could not be read.
  rt::Task<std::optional<wire::StorePage>> page(std::string prefix, std::string after);
  // `priority`: waits only for the share, as users' submissions do. `fifo`: also waits for the earlier `fifo`
  // transactions, as the leader's rows do.
  enum class Queueing { priority, fifo };
  // Executes a compare-and-swap: all operations if all conditions hold, otherwise none.
  rt::Task<TxnResult> txn(std::vector<wire::Condition> conditions, std::vector<wire::StoreOp> operations,
                          Duration timeout, Queueing queueing = Queueing::priority);
  // Determines which of the keys exist at a single revision, by a transaction that consists of conditions only.
  rt::Task<KeyComparison> find_existing(std::vector<std::string> keys, Duration timeout);
  // Determines the same for any number of keys, by as many transactions as the store's limit requires. The keys are
  // grouped by `group_size`, such as all keys of one job; the keys of a group are compared at a single revision.
  // `timeout` applies to each transaction.
  rt::Task<KeyComparison> find_existing_in_batches(std::vector<std::string> keys, std::size_t group_size,
                                                   Duration timeout);
  // Returns whether enough of this node's share of writes is unused for deferrable writes.
  [[nodiscard]] bool has_unused_write_rate();
  // Returns the used part of this node's share of requests, 0 to 1.
  [[nodiscard]] double request_share_used() { return 1 - requests_.fill_level(ctx_.now()); }
  // Creates a lease. A lease that is not renewed for `ttl` ends and its keys are removed. The three lease requests do
  // not wait for the share.
  rt::Task<std::optional<LeaseId>> create_lease(Duration ttl);
  // `ended`: the store reported that the lease does not exist.
  enum class LeaseRenewal { renewed, ended, failed /* no response, or an inconclusive one */ };
  // Renews a lease. Counts against the share, but is sent immediately.
  rt::Task<LeaseRenewal> renew_lease(LeaseId lease, Duration timeout);
  // Ends a lease. The response is ignored, since the lease expires in any case.
  rt::Task<void> end_lease(LeaseId lease);
  // `too_old`: the store has discarded changes after the requested revision.
  enum class WatchOutcome { events, too_old, failed };
  // The result of a watch; the page is set if the outcome is `events`.
  struct WatchResult {
    WatchOutcome outcome = WatchOutcome::failed;
    wire::StorePage page;  // the changes, including removals; empty if nothing changed within the hold time
  };
  // Returns the changes after revision `after` of keys that begin with `prefix`. The store responds after `hold` at the
  // latest.
  rt::Task<WatchResult> watch(std::string prefix, Revision after, Duration hold);

 private:
  rt::Task<ReadResult> read(std::string key, Duration timeout);
  static constexpr double renewal_reserve_requests = 4;  // kept available for lease renewals
  // Returns this node's share of the store's rates, 0 to 1.
  [[nodiscard]] double current_share() const;
  // Waits until the share suffices. `reserve`: requests that stay available for more urgent callers. Returns false if
  // the share does not suffice within `timeout`.
  rt::Task<bool> admit(double writes, Duration timeout, double reserve = renewal_reserve_requests);
  rt::Task<bool> admit_in_order(double writes, Duration timeout);
  rt::Task<rt::HttpResult> send(std::string method, std::string target, std::string body, Duration timeout);
  KeyComparison parse_conflict(const std::string& body, const std::vector<wire::Condition>& conditions);
  TxnOutcome classify_bad_request(const std::string& message, std::size_t operations, std::size_t bytes);

  Context& ctx_;
  rt::HttpClient http_;
  TokenBucket requests_;
  TokenBucket writes_;
  std::deque<std::uint64_t> queue_;  // tickets of the waiting `fifo` transactions
  std::uint64_t next_ticket_ = 0;
  rt::Event queue_advanced_;
};

}  // namespace martenwall::service
