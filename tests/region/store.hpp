// The region's state service: the store model behind HTTP, with injected faults. A transaction succeeds or fails by the
// conditions that the production code sent, evaluated when it is applied.
#pragma once
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>

#include "runtime/http_server.hpp"
#include "stand_ins/store_model.hpp"

namespace martenwall::region {

using nlohmann::json;

// Faults injected into one controller's requests.
struct StoreFaults {
  Time refuses_until{};  // responds 503 to this controller only
  Time late_until{};     // until then `late_share` of transactions get no response and are applied late
  double late_share = 0;
  bool apply_at_once = false;    // such transactions are applied at once; only the response is lost
  Duration response_delay{0};    // added delay of each response
  Duration lease_delay{0};       // added delay of responses to lease requests
  Duration comparison_delay{0};  // delay of responses to compare-only transactions
  Time delayed_until{};
};

// The key-value store over HTTP, with injectable faults per controller.
class Store {
 public:
  Store(rt::Loop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}
  rt::Task<rt::HttpResponse> handle(std::size_t from, rt::HttpMessage request);
  // Outage for all controllers; afterwards all leases have their full TTL again.
  void fail_for(Duration time) { model_.fail_until(loop_.now() + time); }
  void slow_down(Duration by, Time until);  // delays responses to all controllers
  void tick() { model_.tick(loop_.now()); }
  StoreFaults& faults(std::size_t controller) { return faults_[controller]; }

  void write(const std::string& key, json value) { model_.write(key, std::move(value)); }  // writes as another client
  [[nodiscard]] bool has(const std::string& key) const { return model_.has(key); }
  [[nodiscard]] std::optional<json> value(const std::string& key) const { return model_.value(key); }
  [[nodiscard]] bool down() const { return model_.down(loop_.now()); }
  [[nodiscard]] std::size_t late() const { return late_; }                  // applied late, conditions held
  [[nodiscard]] std::size_t late_refused() const { return late_refused_; }  // late, conditions failed
  // The next transaction for which `which` returns true gets no response and is applied after `after`.
  void make_late(std::function<bool(std::size_t from, const json& txn)> which, Duration after);
  void limit_writes(double per_second) { model_.limit_changes(per_second); }
  [[nodiscard]] std::size_t changes() const { return model_.changes(); }  // key changes
  [[nodiscard]] std::size_t refused() const { return refused_; }          // transactions refused with 429
  [[nodiscard]] std::size_t reads_of(const std::string& key) const {      // including refused reads
    const auto it = reads_.find(key);
    return it == reads_.end() ? 0 : it->second;
  }
  // Returns the number of compare-only transactions of a controller.
  [[nodiscard]] std::size_t comparisons_of(std::size_t controller) const {
    const auto it = comparisons_.find(controller);
    return it == comparisons_.end() ? 0 : it->second;
  }
  // Decides whether a read of one key is refused (503).
  std::function<bool(std::size_t from, const std::string& key)> refuse_read;
  // Decides whether a read of the keys with a prefix is refused (503); called before each of its pages.
  std::function<bool(std::size_t from, const std::string& prefix)> refuse_page;
  // Called with each compare-only transaction; a returned response replaces the store's own.
  std::function<std::optional<rt::HttpResponse>(std::size_t from, const json& txn)> replace_comparison;
  // Called with each applied transaction that changes keys; `late` if its response was lost or it was delayed.
  std::function<void(const json& txn, bool late)> on_commit;

 private:
  rt::Task<rt::HttpResponse> multi(std::size_t from, json txn);
  rt::Task<rt::HttpResponse> watch(std::size_t from, std::string target);
  rt::Task<rt::HttpResponse> compare(std::size_t from, json txn);
  rt::Task<void> commit_late(json txn, Duration after);
  rt::HttpResponse commit(const json& txn, bool late);
  [[nodiscard]] bool refuses(std::size_t from);

  rt::Loop& loop_;
  std::mt19937_64 random_;
  stand_ins::StoreModel model_;
  std::map<std::size_t, StoreFaults> faults_;
  std::map<std::string, std::size_t> reads_;
  std::map<std::size_t, std::size_t> comparisons_;
  std::size_t late_ = 0, late_refused_ = 0, refused_ = 0;
  std::function<bool(std::size_t, const json&)> which_late_;
  Duration late_after_{0};
};

}  // namespace martenwall::region
