// The state service as PROTOCOL describes it: conditions, revisions, leases, watches, limits. No I/O and no clock.
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

// What it takes. The defaults are no limits.
struct StoreLimits {
  double requests_per_s = 1e9, changes_per_s = 1e9;  // bursts of one second's worth
  std::size_t value_bytes = 1U << 30U, txn_changes = 1U << 20U;
};

// A response as it goes over HTTP.
struct StoreReply {
  int status = 200;
  std::string body;
};

// The key-value store in memory, with leases and a bounded history for watches.
class StoreModel {
 public:
  explicit StoreModel(StoreLimits limits = {});
  void tick(Time now);  // leases end, outages end
  void fail_until(Time until) { down_until_ = until; }
  [[nodiscard]] bool down(Time now) const { return now < down_until_; }

  // Everything but transactions and watches.
  StoreReply answer(const std::string& method, const std::string& target, const std::string& body, Time now);
  // Carries a transaction out, if its conditions hold.
  StoreReply commit(const nlohmann::json& txn, Time now);
  // A long poll for changes of keys with a prefix, after a revision.
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    Duration hold{0};
  };
  static Watch parse_watch(const std::string& target);
  // Nothing where the watch has nothing to tell; `over`: it may wait no longer.
  [[nodiscard]] std::optional<StoreReply> look(const Watch& watch, bool over) const;

  [[nodiscard]] bool takes_request(Time now) { return requests_.take(1, now); }
  [[nodiscard]] bool takes_changes(std::size_t n, Time now) { return changes_rate_.take(static_cast<double>(n), now); }
  void limit_changes(double per_second) { changes_rate_ = Bucket{per_second}; }

  void write(const std::string& key, nlohmann::json value);  // by someone else
  [[nodiscard]] bool has(const std::string& key) const { return rows_.contains(key); }
  [[nodiscard]] std::optional<nlohmann::json> value(const std::string& key) const;
  [[nodiscard]] std::size_t rows() const { return rows_.size(); }
  [[nodiscard]] std::uint64_t changes() const { return changes_made_; }  // of keys

 private:
  class Bucket {
   public:
    explicit Bucket(double per_second) : rate_(per_second), level_(per_second) {}
    bool take(double n, Time now);

   private:
    double rate_, level_;
    Time counted_{};
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
  StoreReply lease_call(const std::string& method, const std::string& target, const std::string& body, Time now);
  [[nodiscard]] std::optional<std::string> beyond_limits(const nlohmann::json& txn) const;
  void put(const std::string& key, nlohmann::json value, std::uint64_t lease);
  void remove(const std::string& key);
  void record(Change change);
  void end_lease(std::uint64_t id);

  StoreLimits limits_;
  Bucket requests_, changes_rate_;
  std::map<std::string, Row> rows_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> history_;
  std::uint64_t revision_ = 0, next_lease_ = 1, changes_made_ = 0;
  std::uint64_t forgotten_ = 0;  // the newest revision that the history lacks
  Time down_until_{};
  bool was_down_ = false;
};

}  // namespace martenwall::stand_ins
