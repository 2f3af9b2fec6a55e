// Model of the state service as PROTOCOL describes it: conditions, revisions, leases, watches, limits. No I/O, no
// clock.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/types.hpp"

namespace martenwall::stand_ins {

// Limits of the store. The defaults are practically unlimited.
struct StoreLimits {
  double requests_per_s = 1e9, changes_per_s = 1e9;  // token buckets that hold one second's quota
  std::size_t value_bytes = 1U << 30U, txn_changes = 1U << 20U;
};

// An HTTP response.
struct StoreReply {
  int status = 200;
  std::string body;
};

// The key-value store in memory, with leases and a bounded history for watches.
class StoreModel {
 public:
  explicit StoreModel(StoreLimits limits = {});
  void tick(Time now);  // expires leases; renews all leases at the end of an outage
  void fail_until(Time until) { down_until_ = until; }
  [[nodiscard]] bool down(Time now) const { return now < down_until_; }

  // Handles all requests except transactions and watches.
  StoreReply answer(const std::string& method, const std::string& target, const std::string& body, Time now);
  // Applies a transaction if its conditions hold; 409 lists the failed ones.
  StoreReply commit(const nlohmann::json& txn, Time now);
  // A long poll for changes of keys with a prefix, after a revision.
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    Duration hold{0};
  };
  static Watch parse_watch(const std::string& target);
  // Returns the response to a watch, or nothing if there are no events and the hold time is not over.
  [[nodiscard]] std::optional<StoreReply> poll_watch(const Watch& watch, bool hold_over) const;

  [[nodiscard]] bool admit_request(Time now) { return requests_.try_consume(1, now); }
  [[nodiscard]] bool admit_changes(std::size_t n, Time now) {
    return changes_rate_.try_consume(static_cast<double>(n), now);
  }
  void limit_changes(double per_second) { changes_rate_ = TokenBucket{per_second}; }

  void write(const std::string& key, nlohmann::json value);  // writes as another client
  [[nodiscard]] bool has(const std::string& key) const { return rows_.contains(key); }
  [[nodiscard]] std::optional<nlohmann::json> value(const std::string& key) const;
  [[nodiscard]] std::size_t rows() const { return rows_.size(); }
  [[nodiscard]] std::uint64_t changes() const { return changes_made_; }  // key changes so far

 private:
  class TokenBucket {
   public:
    explicit TokenBucket(double per_second) : rate_(per_second), level_(per_second) {}
    bool try_consume(double n, Time now);

   private:
    double rate_, level_;
    Time refilled_at_{};
  };
  struct Row {
    nlohmann::json value;
    std::uint64_t stamp = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::optional<nlohmann::json> value;
    std::uint64_t revision = 0;
  };
  struct Lease {
    Duration ttl{0};
    Time until{};
  };
  [[nodiscard]] StoreReply page(const std::string& query) const;
  StoreReply handle_lease_request(const std::string& method, const std::string& target, const std::string& body,
                                  Time now);
  [[nodiscard]] std::optional<std::string> limit_error(const nlohmann::json& txn) const;
  void put(const std::string& key, nlohmann::json value, std::uint64_t lease);
  void remove(const std::string& key);
  void record(Change change);
  void end_lease(std::uint64_t id);

  StoreLimits limits_;
  TokenBucket requests_, changes_rate_;
  std::map<std::string, Row> rows_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> history_;
  std::uint64_t revision_ = 0, next_lease_ = 1, changes_made_ = 0;
  std::uint64_t compacted_revision_ = 0;  // newest revision dropped from the history
  Time down_until_{};
  bool was_down_ = false;
};

}  // namespace martenwall::stand_ins
