#include "store.hpp"

#include <algorithm>

namespace martenwall::region {

namespace {

constexpr Duration unanswered = seconds(30);  // longer than anyone waits
constexpr Duration watch_look = seconds(0.02);
constexpr std::size_t default_page = 1000;

rt::HttpResponse reply(int status, const json& body) { return {status, body.dump(), {}, false}; }
rt::HttpResponse trouble_reply() { return reply(503, {{"error", "trouble"}}); }

std::string argument(const std::string& query, const std::string& name) {
  const auto at = ("&" + query).find("&" + name + "=");
  if (at == std::string::npos) return {};
  const auto from = at + name.size() + 1;
  return query.substr(from, query.find('&', from) - from);
}

}  // namespace

std::optional<json> Store::value(const std::string& key) const {
  const auto it = rows_.find(key);
  return it == rows_.end() ? std::nullopt : std::optional{it->second.value};
}

void Store::make_late(std::function<bool(std::size_t, const json&)> which, Duration after) {
  which_late_ = std::move(which);
  late_after_ = after;
}

bool Store::refuses(std::size_t from) { return down() || loop_.now() < troubles_[from].refuses_until; }

void Store::fail_for(Duration time) { down_until_ = loop_.now() + time; }

void Store::slow_down(Duration by, Time until) {
  for (auto& [from, trouble] : troubles_) {
    trouble.slower = by;
    trouble.slower_until = until;
  }
}

void Store::tick() {
  if (down()) {
    was_down_ = true;
    return;
  }
  if (std::exchange(was_down_, false)) {
    for (auto& [id, lease] : leases_) lease.until = loop_.now() + lease.ttl;
  }
  std::vector<std::uint64_t> over;
  for (const auto& [id, lease] : leases_) {
    if (loop_.now() > lease.until) over.push_back(id);
  }
  for (const auto id : over) end_lease(id);
}

void Store::end_lease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, row] : rows_) {
    if (row.lease == id) keys.push_back(key);
  }
  if (keys.empty()) return;
  ++revision_;
  for (const auto& key : keys) remove(key);
}

void Store::put(const std::string& key, json value, std::uint64_t lease) {
  changes_.push_back({key, value, revision_});
  rows_.insert_or_assign(key, Row{std::move(value), revision_, lease});
}

void Store::remove(const std::string& key) {
  if (rows_.erase(key) > 0) changes_.push_back({key, std::nullopt, revision_});
}

rt::Task<rt::HttpResponse> Store::handle(std::size_t from, rt::HttpMessage request) {
  tick();
  if (refuses(from)) co_return trouble_reply();
  const auto& trouble = troubles_[from];
  if (loop_.now() < trouble.slower_until) co_await loop_.sleep(trouble.slower);
  if (request.target.starts_with("/leases")) co_await loop_.sleep(trouble.leases_slower);
  tick();
  if (refuses(from)) co_return trouble_reply();
  const auto& target = request.target;
  const auto mark = target.find('?');
  const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
  if (target == "/multi") {
    json txn = json::parse(request.body);
    co_return co_await multi(from, std::move(txn));
  }
  if (target.starts_with("/leases")) co_return lease_call(request);
  if (target.starts_with("/watch")) co_return co_await watch(from, query);
  if (target.starts_with("/store?")) co_return page(query);
  const std::string key = target.substr(std::string{"/store/"}.size());
  const auto it = rows_.find(key);
  if (it == rows_.end()) co_return reply(404, {{"epoch", revision_}});
  co_return reply(200, {{"path", key}, {"data", it->second.value}, {"stamp", it->second.stamp}});
}

rt::HttpResponse Store::page(const std::string& query) const {
  const std::string prefix = argument(query, "prefix");
  const std::string after = argument(query, "after");
  const std::string size = argument(query, "page");
  const auto most = size.empty() ? default_page : std::stoul(size);
  json rows = json::array();
  bool more = false;
  for (auto it = rows_.lower_bound(prefix); it != rows_.end() && it->first.starts_with(prefix); ++it) {
    if (!after.empty() && it->first <= after) continue;
    more = rows.size() >= most;
    if (more) break;
    rows.push_back({{"path", it->first}, {"data", it->second.value}, {"stamp", it->second.stamp}});
  }
  return reply(200, {{"rows", rows}, {"more", more}, {"epoch", revision_}});
}

rt::HttpResponse Store::lease_call(const rt::HttpMessage& request) {
  if (request.target == "/leases") {
    const Duration ttl = seconds(json::parse(request.body).at("ttlMs").get<double>() / 1000);
    const auto id = next_lease_++;
    leases_[id] = {ttl, loop_.now() + ttl};
    return reply(200, {{"tether", id}});
  }
  const auto id = std::stoull(request.target.substr(std::string{"/leases/"}.size()));
  const auto it = leases_.find(id);
  if (it == leases_.end()) return reply(404, json::object());
  if (request.method == "DELETE") {
    end_lease(id);
  } else {
    it->second.until = loop_.now() + it->second.ttl;
  }
  return reply(200, {{"tether", id}});
}

rt::HttpResponse Store::carry_out(const json& txn, bool late) {
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
  if (late) ++(failed.empty() ? late_ : late_refused_);
  if (!failed.empty()) return reply(409, {{"failed", failed}, {"epoch", revision_}});
  if (!txn.at("then").empty()) ++revision_;
  for (const auto& op : txn.at("then")) {
    if (op.contains("remove")) {
      remove(op.at("remove"));
    } else {
      put(op.at("set"), op.at("data"), op.value("tether", std::uint64_t{0}));
    }
  }
  if (on_commit && !txn.at("then").empty()) on_commit(txn, late);
  return reply(200, {{"epoch", revision_}});
}

rt::Task<void> Store::carry_out_late(json txn, Duration after) {
  co_await loop_.sleep(after);
  while (down()) co_await loop_.sleep(watch_look);
  tick();
  carry_out(txn, true);
}

bool Store::takes_writes(std::size_t n) {
  const Time now = loop_.now();
  spare_writes_ = std::min(write_rps_, spare_writes_ + write_rps_ * to_seconds(now - writes_counted_));
  writes_counted_ = now;
  const bool enough = spare_writes_ >= static_cast<double>(n);
  if (enough) spare_writes_ -= static_cast<double>(n);
  return enough;
}

rt::Task<rt::HttpResponse> Store::multi(std::size_t from, json txn) {
  if (!takes_writes(txn.at("then").size())) {
    ++refused_;
    co_return reply(429, {{"error", "too many changes"}});
  }
  const auto& trouble = troubles_[from];
  const bool writes = !txn.at("then").empty();
  const bool drawn = writes && loop_.now() < trouble.late_until &&
                     std::uniform_real_distribution<>{0, 1}(random_) < trouble.late_share;
  const bool named = writes && which_late_ && which_late_(from, txn);
  if (!drawn && !named) co_return carry_out(txn, false);
  const Duration drawn_after = seconds(std::uniform_real_distribution<>{2, 12}(random_));
  const Duration after = named ? late_after_ : trouble.at_once ? Duration{0} : drawn_after;
  if (named) which_late_ = nullptr;
  if (after > Duration{0}) {
    rt::spawn(carry_out_late(std::move(txn), after));
  } else {
    carry_out(txn, true);
  }
  co_await loop_.sleep(unanswered);
  co_return trouble_reply();
}

rt::Task<rt::HttpResponse> Store::watch(std::size_t from, std::string query) {
  const std::string prefix = argument(query, "prefix");
  const auto after = std::stoull(argument(query, "after"));
  const Time until = loop_.now() + seconds(std::stod(argument(query, "holdMs")) / 1000);
  for (;;) {
    tick();
    json events = json::array();
    for (auto c = std::ranges::upper_bound(changes_, after, {}, &Change::revision); c != changes_.end(); ++c) {
      if (!c->key.starts_with(prefix)) continue;
      if (c->value) {
        events.push_back({{"set", c->key}, {"data", *c->value}, {"stamp", c->revision}});
      } else {
        events.push_back({{"remove", c->key}, {"stamp", c->revision}});
      }
    }
    const bool waits = refuses(from) || (events.empty() && loop_.now() < until);
    if (!waits) co_return reply(200, {{"epoch", revision_}, {"events", events}});
    if (loop_.now() > until + unanswered) co_return trouble_reply();
    co_await loop_.sleep(watch_look);
  }
}

}  // namespace martenwall::region
