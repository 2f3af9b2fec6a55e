// The region's state service: the stand-in's store behind HTTP, with what goes wrong on the way. A transaction is
// decided from the conditions that the real code sent, whenever it is carried out.
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

// What the service does to one controller's requests.
struct StoreFaults {
  Time refuses_until{};  // 503, while the others are served
  Time late_until{};     // share of transactions that get no answer and are carried out late
  double late_share = 0;
  bool at_once = false;          // they are carried out at once, and only the answer is lost
  Duration slower{0};            // each answer takes so much longer
  Duration leases_slower{0};     // those about leases
  Duration comparisons_held{0};  // a transaction that only compares is carried out, and its answer held so long
  Time slower_until{};
};

// The key-value store over HTTP, with injectable faults per controller.
class Store {
 public:
  Store(rt::Loop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}
  rt::Task<rt::HttpResponse> handle(std::size_t from, rt::HttpMessage request);
  // For all; afterwards all leases have their full time again.
  void fail_for(Duration time) { model_.fail_until(loop_.now() + time); }
  void slow_down(Duration by, Time until);  // for all
  void tick() { model_.tick(loop_.now()); }
  StoreFaults& faults(std::size_t controller) { return faults_[controller]; }

  void write(const std::string& key, json value) { model_.write(key, std::move(value)); }  // by someone else
  [[nodiscard]] bool has(const std::string& key) const { return model_.has(key); }
  [[nodiscard]] std::optional<json> value(const std::string& key) const { return model_.value(key); }
  [[nodiscard]] bool down() const { return model_.down(loop_.now()); }
  [[nodiscard]] std::size_t late() const { return late_; }                  // carried out late, conditions held
  [[nodiscard]] std::size_t late_refused() const { return late_refused_; }  // the same, conditions did not hold
  // The next transaction that this names gets no answer and is carried out after so long.
  void make_late(std::function<bool(std::size_t from, const json& txn)> which, Duration after);
  void limit_writes(double per_second) { model_.limit_changes(per_second); }
  [[nodiscard]] std::size_t changes() const { return model_.changes(); }  // of keys
  [[nodiscard]] std::size_t refused() const { return refused_; }          // transactions, for too many changes
  [[nodiscard]] std::size_t reads_of(const std::string& key) const {      // answered or not
    const auto it = reads_.find(key);
    return it == reads_.end() ? 0 : it->second;
  }
  // Of transactions that only compare, per controller.
  [[nodiscard]] std::size_t comparisons_of(std::size_t controller) const {
    const auto it = comparisons_.find(controller);
    return it == comparisons_.end() ? 0 : it->second;
  }
  // Whether a read of one key is refused (503).
  std::function<bool(std::size_t from, const std::string& key)> refuse_read;
  // Called with each transaction that only compares; what it returns is the answer instead of the store's own.
  std::function<std::optional<rt::HttpResponse>(std::size_t from, const json& txn)> replace_comparison;
  // Called with each transaction that is carried out, `late` or at once.
  std::function<void(const json& txn, bool late)> on_commit;

 private:
  rt::Task<rt::HttpResponse> multi(std::size_t from, json txn);
  rt::Task<rt::HttpResponse> watch(std::size_t from, std::string target);
  rt::Task<rt::HttpResponse> compare(std::size_t from, json txn);
  rt::Task<void> carry_out_late(json txn, Duration after);
  rt::HttpResponse carry_out(const json& txn, bool late);
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
