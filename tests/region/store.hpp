// Stand-in for the state service as PROTOCOL describes it: conditions, revisions, leases, watches. It decides what a
// transaction does from the conditions that the real code sent, whenever it is carried out.
#pragma once
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "runtime/http_server.hpp"

namespace martenwall::region {

using nlohmann::json;

// What the service does to one controller's requests.
struct StoreTrouble {
  Time refuses_until{};  // 503, while the others are served
  Time late_until{};     // share of transactions that get no answer and are carried out late
  double late_share = 0;
  bool at_once = false;       // they are carried out at once, and only the answer is lost
  Duration slower{0};         // each answer takes so much longer
  Duration leases_slower{0};  // those about leases
  Time slower_until{};
};

class Store {
 public:
  Store(rt::Loop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}
  rt::Task<rt::HttpResponse> handle(std::size_t from, rt::HttpMessage request);
  void fail_for(Duration time);             // for all; afterwards all leases have their full time again
  void slow_down(Duration by, Time until);  // for all
  void tick();                              // leases end, outages end
  StoreTrouble& trouble(std::size_t controller) { return troubles_[controller]; }

  void write(const std::string& key, json value) {  // by someone else
    ++revision_;
    put(key, std::move(value), 0);
  }
  [[nodiscard]] bool has(const std::string& key) const { return rows_.contains(key); }
  [[nodiscard]] std::optional<json> value(const std::string& key) const;
  [[nodiscard]] bool down() const { return loop_.now() < down_until_; }
  [[nodiscard]] std::size_t late() const { return late_; }                  // carried out late, conditions held
  [[nodiscard]] std::size_t late_refused() const { return late_refused_; }  // the same, conditions did not hold
  // The next transaction that this names gets no answer and is carried out after so long.
  void make_late(std::function<bool(std::size_t from, const json& txn)> which, Duration after);
  void limit_writes(double per_second) { write_rps_ = spare_writes_ = per_second; }
  [[nodiscard]] std::size_t changes() const { return changes_.size(); }  // of keys
  [[nodiscard]] std::size_t refused() const { return refused_; }         // transactions, for too many changes
  // Called with each transaction that is carried out, `late` or at once.
  std::function<void(const json& txn, bool late)> on_commit;

 private:
  struct Row {
    json value;
    std::uint64_t stamp = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::optional<json> value;
    std::uint64_t revision = 0;
  };
  struct Lease {
    Duration ttl{0};
    Time until{};
  };
  rt::Task<rt::HttpResponse> multi(std::size_t from, json txn);
  rt::Task<rt::HttpResponse> watch(std::size_t from, std::string query);
  rt::Task<void> carry_out_late(json txn, Duration after);
  rt::HttpResponse carry_out(const json& txn, bool late);
  rt::HttpResponse lease_call(const rt::HttpMessage& request);
  [[nodiscard]] rt::HttpResponse page(const std::string& query) const;
  [[nodiscard]] bool refuses(std::size_t from);
  [[nodiscard]] bool takes_writes(std::size_t n);
  void put(const std::string& key, json value, std::uint64_t lease);
  void remove(const std::string& key);
  void end_lease(std::uint64_t id);

  rt::Loop& loop_;
  std::mt19937_64 random_;
  std::map<std::string, Row> rows_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> changes_;
  std::map<std::size_t, StoreTrouble> troubles_;
  std::uint64_t revision_ = 0, next_lease_ = 1;
  Time down_until_{};
  bool was_down_ = false;
  std::size_t late_ = 0, late_refused_ = 0, refused_ = 0;
  double write_rps_ = 1e9, spare_writes_ = 1e9;  // a burst of one second's worth
  Time writes_counted_{};
  std::function<bool(std::size_t, const json&)> which_late_;
  Duration late_after_{0};
};

}  // namespace martenwall::region
