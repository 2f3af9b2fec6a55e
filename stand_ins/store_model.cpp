#include "stand_ins/store_model.hpp"

#include <algorithm>
#include <utility>

namespace martenwall::stand_ins {

namespace {

using nlohmann::json;

// Limits from PROTOCOL, "Controller nodes -> state service".
constexpr std::size_t default_page = 1000;
constexpr std::size_t page_bytes = 512 * 1024;
constexpr std::size_t max_history_changes = 10'000;
constexpr std::size_t txn_bytes = 64 * 1024;
constexpr std::size_t conditions_per_change = 4;

StoreReply reply(int status, const json& body) { return {status, body.dump()}; }

std::string argument(const std::string& query, const std::string& name) {
  const auto at = ("&" + query).find("&" + name + "=");
  if (at == std::string::npos) return {};
  const auto from = at + name.size() + 1;
  return query.substr(from, query.find('&', from) - from);
}

std::string query_of(const std::string& target) {
  const auto mark = target.find('?');
  return mark == std::string::npos ? "" : target.substr(mark + 1);
}

}  // namespace

StoreModel::StoreModel(StoreLimits limits)
    : limits_(limits), requests_(limits.requests_per_s), changes_rate_(limits.changes_per_s) {}

bool StoreModel::TokenBucket::try_consume(double n, Time now) {
  level_ = std::min(rate_, level_ + rate_ * to_seconds(now - refilled_at_));
  refilled_at_ = now;
  const bool enough = level_ >= n;
  if (enough) level_ -= n;
  return enough;
}

std::optional<json> StoreModel::value(const std::string& key) const {
  const auto it = rows_.find(key);
  return it == rows_.end() ? std::nullopt : std::optional{it->second.value};
}

void StoreModel::write(const std::string& key, json value) {
  ++revision_;
  put(key, std::move(value), 0);
}

// ---- rows, leases ----

void StoreModel::record(Change change) {
  ++changes_made_;
  history_.push_back(std::move(change));
  if (history_.size() <= max_history_changes) return;
  compacted_revision_ = history_.front().revision;
  history_.pop_front();
}

void StoreModel::put(const std::string& key, json value, std::uint64_t lease) {
  record({key, value, revision_});
  rows_.insert_or_assign(key, Row{std::move(value), revision_, lease});
}

void StoreModel::remove(const std::string& key) {
  if (rows_.erase(key) > 0) record({key, std::nullopt, revision_});
}

void StoreModel::tick(Time now) {
  if (down(now)) {
    was_down_ = true;
    return;
  }
  if (std::exchange(was_down_, false)) {
    for (auto& [id, lease] : leases_) lease.until = now + lease.ttl;
  }
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (now > lease.until) expired.push_back(id);
  }
  for (const auto id : expired) end_lease(id);
}

void StoreModel::end_lease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, row] : rows_) {
    if (row.lease == id) keys.push_back(key);
  }
  if (keys.empty()) return;
  ++revision_;
  for (const auto& key : keys) remove(key);
}

StoreReply StoreModel::handle_lease_request(const std::string& method, const std::string& target,
                                            const std::string& body, Time now) {
  if (target == "/leases") {
    const Duration ttl = seconds(json::parse(body).at("ttlMs").get<double>() / 1000);
    const auto id = next_lease_++;
    leases_[id] = {ttl, now + ttl};
    return reply(200, {{"tether", id}});
  }
  const auto id = std::stoull(target.substr(std::string{"/leases/"}.size()));
  const auto it = leases_.find(id);
  if (it == leases_.end()) return reply(404, json::object());
  if (method == "DELETE") {
    end_lease(id);
  } else {
    it->second.until = now + it->second.ttl;
  }
  return reply(200, {{"tether", id}});
}

// ---- reading ----

StoreReply StoreModel::answer(const std::string& method, const std::string& target, const std::string& body, Time now) {
  if (target.starts_with("/leases")) return handle_lease_request(method, target, body, now);
  if (target.starts_with("/store?")) return page(query_of(target));
  const std::string key = target.substr(std::string{"/store/"}.size());
  const auto it = rows_.find(key);
  if (it == rows_.end()) return reply(404, {{"epoch", revision_}});
  return reply(200, {{"path", key}, {"data", it->second.value}, {"stamp", it->second.stamp}});
}

StoreReply StoreModel::page(const std::string& query) const {
  const std::string prefix = argument(query, "prefix");
  const std::string after = argument(query, "after");
  const std::string size = argument(query, "page");
  const auto max_rows =
      size.empty() ? default_page : std::min(default_page, static_cast<std::size_t>(std::stoul(size)));
  json rows = json::array();
  bool more = false;
  std::size_t bytes = 0;
  for (auto it = rows_.lower_bound(prefix); it != rows_.end() && it->first.starts_with(prefix); ++it) {
    if (!after.empty() && it->first <= after) continue;
    bytes += it->first.size() + it->second.value.dump().size();
    more = rows.size() >= max_rows || (bytes > page_bytes && !rows.empty());
    if (more) break;
    rows.push_back({{"path", it->first}, {"data", it->second.value}, {"stamp", it->second.stamp}});
  }
  return reply(200, {{"rows", rows}, {"more", more}, {"epoch", revision_}});
}

StoreModel::Watch StoreModel::parse_watch(const std::string& target) {
  const std::string query = query_of(target);
  const std::string hold = argument(query, "holdMs");
  return {argument(query, "prefix"), std::stoull(argument(query, "after")),
          seconds(hold.empty() ? 0 : std::stod(hold) / 1000)};
}

std::optional<StoreReply> StoreModel::poll_watch(const Watch& watch, bool hold_over) const {
  if (watch.after < compacted_revision_) return reply(410, json::object());
  json events = json::array();
  for (auto c = std::ranges::upper_bound(history_, watch.after, {}, &Change::revision); c != history_.end(); ++c) {
    if (!c->key.starts_with(watch.prefix)) continue;
    if (c->value) {
      events.push_back({{"set", c->key}, {"data", *c->value}, {"stamp", c->revision}});
    } else {
      events.push_back({{"remove", c->key}, {"stamp", c->revision}});
    }
  }
  if (events.empty() && !hold_over) return std::nullopt;
  return reply(200, {{"epoch", revision_}, {"events", events}});
}

// ---- transactions ----

std::optional<std::string> StoreModel::limit_error(const json& txn) const {
  if (txn.at("then").size() > limits_.txn_changes) return "too many changes";
  if (txn.at("when").size() > conditions_per_change * limits_.txn_changes) return "too many conditions";
  for (const auto& op : txn.at("then")) {
    if (op.contains("data") && op.at("data").dump().size() > limits_.value_bytes) return "value too long";
  }
  return txn.dump().size() > txn_bytes ? std::optional<std::string>{"transaction too long"} : std::nullopt;
}

StoreReply StoreModel::commit(const json& txn, Time now) {
  tick(now);
  if (const auto error = limit_error(txn)) return reply(400, {{"error", *error}});
  for (const auto& op : txn.at("then")) {
    const bool dead = op.contains("tether") && !leases_.contains(op.at("tether").get<std::uint64_t>());
    if (dead) return reply(400, {{"error", "no such lease"}});
  }
  json failed = json::array();
  for (const auto& c : txn.at("when")) {
    const auto it = rows_.find(c.at("path").get<std::string>());
    const std::uint64_t stamp = it == rows_.end() ? 0 : it->second.stamp;
    if (stamp != c.at("stamp").get<std::uint64_t>()) failed.push_back(c.at("path"));
  }
  if (!failed.empty()) return reply(409, {{"failed", failed}, {"epoch", revision_}});
  if (!txn.at("then").empty()) ++revision_;
  for (const auto& op : txn.at("then")) {
    if (op.contains("remove")) {
      remove(op.at("remove"));
    } else {
      put(op.at("set"), op.at("data"), op.value("tether", std::uint64_t{0}));
    }
  }
  return reply(200, {{"epoch", revision_}});
}

}  // namespace martenwall::stand_ins
