// Typed access to the state service, within this node's share of its rates.
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

enum class ReadOutcome { found, absent, failed };
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::failed;
  wire::StoreItem item;
};

// `too_large`: malformed to the state service, which is what it calls values and transactions beyond its limits.
enum class TxnOutcome { committed, conflict, no_lease, too_large, refused /* not executed */, unknown };
struct TxnResult {
  TxnOutcome outcome = TxnOutcome::refused;
  Revision revision;
};

class StoreClient {
 public:
  explicit StoreClient(Context& ctx);
  rt::Task<ReadResult> get(std::string key, Duration timeout);
  // Goes before all that waits for this node's share; for the few reads that decisions wait for.
  rt::Task<ReadResult> get_unthrottled(std::string key, Duration timeout);
  rt::Task<std::optional<wire::StorePage>> list(std::string prefix);  // all pages
  rt::Task<std::optional<wire::StorePage>> page(std::string prefix, std::string after);
  // Users' submissions and the like go before the leader's rows, which wait in line.
  enum class Queueing { first, fifo };
  rt::Task<TxnResult> txn(std::vector<wire::Condition> when, std::vector<wire::StoreOp> then, Duration timeout,
                          Queueing turn = Queueing::first);
  // Which of the keys exist, in one request: a transaction that only compares.
  rt::Task<std::optional<std::set<std::string>>> find_existing(std::vector<std::string> keys, Duration timeout);
  // A good part of this node's share of changes is unused at the moment.
  [[nodiscard]] bool has_unused_write_rate();
  [[nodiscard]] double requests_used() { return 1 - requests_.fill_level(ctx_.now()); }  // of this node's share, 0 to 1
  rt::Task<std::optional<LeaseId>> create_lease(Duration ttl);
  enum class LeaseRenewal { renewed, ended, failed };
  rt::Task<LeaseRenewal> renew_lease(LeaseId lease, Duration timeout);
  rt::Task<void> end_lease(LeaseId lease);
  enum class WatchOutcome { events, too_old, failed };
  struct WatchResult {
    WatchOutcome outcome = WatchOutcome::failed;
    wire::StorePage page;
  };
  rt::Task<WatchResult> watch(std::string prefix, Revision after, Duration hold);

 private:
  rt::Task<ReadResult> read(std::string key, Duration timeout);
  static constexpr double renewal_reserve = 4;  // requests kept for lease renewals
  // `keep`: requests that others may need more. False where the share is so far overdrawn that the caller should not
  // wait.
  [[nodiscard]] double share_now() const;
  rt::Task<bool> admit(double writes, Duration longest, double keep = renewal_reserve);
  rt::Task<bool> admit_in_order(double writes, Duration longest);
  rt::Task<rt::HttpResult> send(std::string method, std::string target, std::string body, Duration timeout);

  Context& ctx_;
  rt::HttpClient http_;
  TokenBucket requests_;
  TokenBucket writes_;
  std::deque<std::uint64_t> line_;  // transactions that wait for their turn
  std::uint64_t next_ticket_ = 0;
  rt::Event line_moved_;
};

}  // namespace martenwall::service
