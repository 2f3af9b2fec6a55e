// Typed access to the store (the state service), within this node's share of its rates.
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

// `absent` is the store's own word; `failed`: no answer, or none that can be read.
enum class ReadOutcome { found, absent, failed };
// The item is there where the outcome is `found`.
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::failed;
  wire::StoreItem item;  // where it was found
};

// `conflict`: a condition does not hold. `lease_ended`: the lease that an operation names has ended. `too_large`:
// malformed to the store, which is what it calls values and transactions beyond its limits. `refused`: not executed,
// and never will be. `unknown`: no answer; it may have been executed, or may be later.
enum class TxnOutcome { committed, conflict, lease_ended, too_large, refused, unknown };
// The revision is there where the outcome is `committed`.
struct TxnResult {
  TxnOutcome outcome = TxnOutcome::refused;
  Revision revision;  // of what was committed: the version of every key that was written
};

// What a transaction that only compares told of the keys that it names.
struct KeyComparison {
  enum class Outcome {
    answered,             // of each key it is known whether it exists
    unreadable_conflict,  // a conflict that does not say at which of the keys: nothing is known of any of them
    too_many_keys,        // the store takes fewer than it did; fewer may be asked for at once
    unanswered,           // no answer, or none now
  };
  Outcome outcome = Outcome::unanswered;
  std::set<std::string> existing;  // where it was answered

  [[nodiscard]] bool answered() const { return outcome == Outcome::answered; }
  [[nodiscard]] bool contains(const std::string& key) const { return existing.contains(key); }
};

// Every request of this node to the store goes through the one client. Where nothing else is said, a request waits for
// this node's share of the store's rates first, at most for its timeout, and counts as failed or refused where the
// share is overdrawn for longer. Timeouts are for the answer. Nothing is retried here.
class StoreClient {
 public:
  // `ctx` outlives the client, and is where it notes when the store answered last.
  explicit StoreClient(Context& ctx);
  // The item at one key.
  rt::Task<ReadResult> get(std::string key, Duration timeout);
  // Does not wait for the share; for the few reads that decisions wait for.
  rt::Task<ReadResult> get_unthrottled(std::string key, Duration timeout);
  // All items whose keys begin with `prefix`, page by page; nothing where a page could not be read. The revision is the
  // first page's: a watch from there on misses nothing.
  rt::Task<std::optional<wire::StorePage>> list(std::string prefix);
  // One page of them, after the key `after`; nothing where it could not be read.
  rt::Task<std::optional<wire::StorePage>> page(std::string prefix, std::string after);
  // Users' submissions and the like go first; the leader's rows wait for their turn behind each other.
  enum class Queueing { priority, fifo };
  // A compare-and-swap: all operations, where all conditions hold.
  rt::Task<TxnResult> txn(std::vector<wire::Condition> conditions, std::vector<wire::StoreOp> operations,
                          Duration timeout, Queueing queueing = Queueing::priority);
  // Which of the keys exist, all at one moment: a transaction that only compares.
  rt::Task<KeyComparison> find_existing(std::vector<std::string> keys, Duration timeout);
  // Whether a good part of this node's share of writes is unused at the moment.
  [[nodiscard]] bool has_unused_write_rate();
  // Of this node's share of requests, 0 to 1.
  [[nodiscard]] double request_share_used() { return 1 - requests_.fill_level(ctx_.now()); }
  // These three do not wait for the share. A lease that is not renewed for `ttl` ends, and its keys with it.
  rt::Task<std::optional<LeaseId>> create_lease(Duration ttl);
  // `ended` is the store's own word.
  enum class LeaseRenewal { renewed, ended, failed /* no answer that tells */ };
  // Counts against the share, but goes at once.
  rt::Task<LeaseRenewal> renew_lease(LeaseId lease, Duration timeout);
  // Whatever the answer is, the lease ends by itself at the latest.
  rt::Task<void> end_lease(LeaseId lease);
  // `too_old`: the store no longer knows all changes after that revision.
  enum class WatchOutcome { events, too_old, failed };
  // The page is there where the outcome is `events`.
  struct WatchResult {
    WatchOutcome outcome = WatchOutcome::failed;
    wire::StorePage page;  // the changes, removals included; none where nothing changed within the hold
  };
  // The changes of keys that begin with `prefix` after the revision `after`; answered after `hold` at the latest.
  rt::Task<WatchResult> watch(std::string prefix, Revision after, Duration hold);

 private:
  rt::Task<ReadResult> read(std::string key, Duration timeout);
  static constexpr double renewal_reserve_requests = 4;  // requests kept for lease renewals
  // This node's part of the store's rates, 0 to 1.
  [[nodiscard]] double current_share() const;
  // Waits for the share. `reserve`: requests that are left for others that may need them more. False where the share is
  // so far overdrawn that the caller should not wait.
  rt::Task<bool> admit(double writes, Duration timeout, double reserve = renewal_reserve_requests);
  rt::Task<bool> admit_in_order(double writes, Duration timeout);
  rt::Task<rt::HttpResult> send(std::string method, std::string target, std::string body, Duration timeout);
  KeyComparison parse_conflict(const std::string& body, const std::vector<wire::Condition>& conditions);
  TxnOutcome classify_bad_request(const std::string& message, std::size_t operations, std::size_t bytes);

  Context& ctx_;
  rt::HttpClient http_;
  TokenBucket requests_;
  TokenBucket writes_;
  std::deque<std::uint64_t> queue_;  // tickets of transactions that wait for their turn
  std::uint64_t next_ticket_ = 0;
  rt::Event queue_advanced_;
};

}  // namespace martenwall::service
