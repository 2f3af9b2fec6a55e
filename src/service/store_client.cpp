#include "service/store_client.hpp"

#include <algorithm>
#include <utility>

namespace martenwall::service {

namespace {
constexpr std::size_t max_response_bytes = 16 * 1024 * 1024;  // larger than a page of the largest rows
constexpr std::size_t max_connections = 24;
constexpr std::size_t max_idle_connections = 12;
constexpr std::size_t max_logged_answer_bytes = 200;  // of an unreadable response
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;  // the store has discarded the requested changes
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
constexpr Duration admission_timeout = seconds(2);
constexpr Duration page_timeout = seconds(2);
constexpr Duration lease_timeout = seconds(1);
constexpr Duration watch_answer_allowance = seconds(1.5);  // in addition to the time that the store holds the request
constexpr Duration min_request_timeout{10000};  // us; applies if waiting for admission took the whole timeout
// Shares of the state service's rates. The leader usually does all the work; if other nodes have to write for their
// users, it reduces its share.
constexpr double leader_share = 0.86;
constexpr double sharing_leader_share = 0.62;
constexpr double follower_share = 0.06;              // the leader accepts the users' requests
constexpr double isolated_follower_share = 0.18;     // a follower that cannot reach the leader
constexpr double leaderless_share = 0.3;             // no node leads
constexpr Duration peer_write_window = seconds(10);  // after the last sign that other nodes write
constexpr double poll_reserve = 0.4;       // part of this node's share of requests that polls leave for submissions
constexpr double unused_write_fill = 0.3;  // fill level of the bucket above which deferrable writes are allowed

bool has_status(const rt::HttpResult& answer, int status) {
  return answer.outcome == rt::Outcome::answered && answer.status == status;
}

// Returns the parsed body of a response with status 200. Returns nothing for any other response, if there is none, or
// if the body cannot be parsed.
template <class T>
std::optional<T> parse_if_ok(const rt::HttpResult& answer, std::optional<T> (*parse)(const std::string& body)) {
  if (!answer.ok()) return std::nullopt;
  return parse(answer.body);
}
}  // namespace

StoreClient::StoreClient(Context& ctx)
    : ctx_(ctx),
      http_(ctx.loop, max_connections, max_response_bytes, max_idle_connections),
      requests_(ctx.limits.rps() * follower_share),
      writes_(ctx.limits.write_rps() * follower_share),
      queue_advanced_(ctx.loop) {}

double StoreClient::current_share() const {
  if (ctx_.scheduler != nullptr) {
    return ctx_.now() - ctx_.last_inbox_entry_at < peer_write_window ? sharing_leader_share : leader_share;
  }
  if (!ctx_.has_other_leader()) return leaderless_share;
  return ctx_.now() - ctx_.leader_link_failed_at < peer_write_window ? isolated_follower_share : follower_share;
}

rt::Task<bool> StoreClient::admit(double writes, Duration timeout, double reserve) {
  const Time until = ctx_.now() + timeout;
  for (;;) {
    const double share = current_share();
    requests_.set_rate(ctx_.limits.rps() * share);
    writes_.set_rate(ctx_.limits.write_rps() * share);
    Duration wait = writes > 0 ? writes_.try_consume(writes, 0, ctx_.now()) : Duration{0};
    if (wait.count() == 0) {
      writes = 0;
      wait = requests_.try_consume(1, reserve, ctx_.now());
    }
    if (wait.count() == 0) co_return true;
    if (ctx_.now() + wait > until) co_return false;
    co_await ctx_.loop.sleep(wait);
  }
}

// Admits `fifo` transactions in their order of arrival. If each transaction took tokens as soon as enough were
// available for it, small ones would starve one with many changes (rows waited up to 53 s in inc-d2ba).
rt::Task<bool> StoreClient::admit_in_order(double writes, Duration timeout) {
  const Time until = ctx_.now() + timeout;
  const auto ticket = next_ticket_++;
  queue_.push_back(ticket);
  while (queue_.front() != ticket && ctx_.now() < until) co_await queue_advanced_.wait(until);
  bool admitted = false;
  if (queue_.front() == ticket) {
    const Duration remaining = std::max(Duration{0}, until - ctx_.now());
    admitted = co_await admit(writes, remaining);
  }
  std::erase(queue_, ticket);
  queue_advanced_.notify();
  co_return admitted;
}

rt::Task<rt::HttpResult> StoreClient::send(std::string method, std::string target, std::string body, Duration timeout) {
  rt::HttpResult answer =
      co_await http_.request(ctx_.settings.state, std::move(method), std::move(target), std::move(body), timeout);
  if (answer.outcome == rt::Outcome::answered && answer.status != status_unavailable) {
    ctx_.store_answered_at = ctx_.now();
  }
  if (has_status(answer, status_too_many_requests) && ctx_.limits.on_rate_refused(ctx_.now())) {
    ctx_.log->info("store rate limits lowered requests_per_second={} writes_per_second={}", ctx_.limits.rps(),
                   ctx_.limits.write_rps());
  }
  co_return answer;
}

rt::Task<ReadResult> StoreClient::get(std::string key, Duration timeout) {
  const bool admitted = co_await admit(0, timeout);
  if (!admitted) co_return ReadResult{};
  co_return co_await read(std::move(key), timeout);
}

rt::Task<ReadResult> StoreClient::get_unthrottled(std::string key, Duration timeout) {
  requests_.try_consume(1, 0, ctx_.now());
  co_return co_await read(std::move(key), timeout);
}

rt::Task<ReadResult> StoreClient::read(std::string key, Duration timeout) {
  const rt::HttpResult answer = co_await send("GET", wire::item_target(key), "", timeout);
  if (has_status(answer, status_not_found)) co_return ReadResult{ReadOutcome::absent, {}};
  auto item = parse_if_ok(answer, wire::parse_item);
  if (!item) co_return ReadResult{};
  co_return ReadResult{ReadOutcome::found, std::move(*item)};
}

rt::Task<std::optional<wire::StorePage>> StoreClient::page(std::string prefix, std::string after) {
  const bool admitted = co_await admit(0, admission_timeout);
  if (!admitted) co_return std::nullopt;
  const rt::HttpResult answer = co_await send("GET", wire::page_target(prefix, after), "", page_timeout);
  co_return parse_if_ok(answer, wire::parse_page);
}

rt::Task<std::optional<wire::StorePage>> StoreClient::list(std::string prefix) {
  std::optional<wire::StorePage> merged;
  std::string after;
  for (;;) {
    auto page = co_await this->page(prefix, after);
    if (!page) co_return std::nullopt;
    const bool more = page->more && !page->items.empty();
    if (more) after = page->items.back().key;
    if (!merged) {
      merged = std::move(page);  // with the first page's revision: a watch from it misses no change
    } else {
      for (auto& item : page->items) merged->items.push_back(std::move(item));
    }
    if (!more) co_return merged;
  }
}

rt::Task<TxnResult> StoreClient::txn(std::vector<wire::Condition> conditions, std::vector<wire::StoreOp> operations,
                                     Duration timeout, Queueing queueing) {
  const auto writes = static_cast<double>(operations.size());
  const bool admitted =
      queueing == Queueing::fifo ? co_await admit_in_order(writes, timeout) : co_await admit(writes, timeout);
  if (!admitted) co_return TxnResult{};
  std::string body = wire::encode_txn(conditions, operations);
  const auto size = body.size();
  const rt::HttpResult answer = co_await send("POST", wire::transaction_target, std::move(body), timeout);
  if (answer.outcome == rt::Outcome::unknown) co_return TxnResult{TxnOutcome::unknown, {}};
  if (has_status(answer, status_conflict)) co_return TxnResult{TxnOutcome::conflict, {}};
  if (has_status(answer, status_bad_request)) {
    const TxnOutcome outcome = classify_bad_request(answer.body, operations.size(), size);
    co_return TxnResult{outcome, {}};
  }
  if (!has_status(answer, status_ok)) co_return TxnResult{};
  co_return TxnResult{TxnOutcome::committed, wire::parse_revision(answer.body).value_or(Revision{})};
}

// The store rejects as malformed both transactions that name an ended lease and those that exceed its limits.
TxnOutcome StoreClient::classify_bad_request(const std::string& message, std::size_t operations, std::size_t bytes) {
  ctx_.log->info("transaction refused operations={} bytes={} answer={}", operations, bytes, message);
  if (message.find("lease") != std::string::npos) return TxnOutcome::lease_ended;
  if (ctx_.limits.on_size_refused()) {
    ctx_.log->info("store size limits lowered value_bytes={} txn_operations={} writes_per_second={}",
                   ctx_.limits.value_bytes(), ctx_.limits.txn_ops(), ctx_.limits.write_rps());
  }
  return TxnOutcome::too_large;
}

rt::Task<KeyComparison> StoreClient::find_existing(std::vector<std::string> keys, Duration timeout) {
  using Outcome = KeyComparison::Outcome;
  const Time until = ctx_.now() + timeout;
  const double reserve = ctx_.limits.rps() * current_share() * poll_reserve;
  const bool admitted = co_await admit(0, timeout, reserve);
  if (!admitted) co_return KeyComparison{};
  std::vector<wire::Condition> conditions;
  conditions.reserve(keys.size());
  for (auto& key : keys) conditions.push_back({std::move(key), KeyVersion{0}});
  std::string body = wire::encode_txn(conditions, {});
  const Duration remaining = std::max(min_request_timeout, until - ctx_.now());
  const rt::HttpResult answer = co_await send("POST", wire::transaction_target, std::move(body), remaining);
  if (answer.ok()) co_return KeyComparison{Outcome::answered, {}};
  if (has_status(answer, status_conflict)) co_return parse_conflict(answer.body, conditions);
  const bool limits_lowered = has_status(answer, status_bad_request) && ctx_.limits.on_size_refused();
  co_return KeyComparison{limits_lowered ? Outcome::too_many_keys : Outcome::unanswered, {}};
}

// The store's limit may shrink between transactions.
rt::Task<KeyComparison> StoreClient::find_existing_in_batches(std::vector<std::string> keys, std::size_t group_size,
                                                              Duration timeout) {
  KeyComparison merged{KeyComparison::Outcome::answered, {}};
  auto next = keys.cbegin();
  while (next != keys.cend()) {
    const auto remaining = static_cast<std::size_t>(keys.cend() - next);
    const auto groups = std::max<std::size_t>(1, max_compared_keys(ctx_.limits) / group_size);
    const auto end = next + static_cast<std::ptrdiff_t>(std::min(groups * group_size, remaining));
    std::vector<std::string> batch{next, end};
    KeyComparison compared = co_await find_existing(std::move(batch), timeout);
    if (compared.outcome == KeyComparison::Outcome::too_many_keys) continue;
    if (!compared.answered()) co_return compared;
    merged.existing.merge(compared.existing);
    next = end;
  }
  co_return merged;
}

// A conflict response names the keys that exist. One that names no key, or keys that were not queried, is unusable and
// must not be interpreted as "none exists".
KeyComparison StoreClient::parse_conflict(const std::string& body, const std::vector<wire::Condition>& conditions) {
  std::set<std::string> queried_keys;
  for (const auto& condition : conditions) queried_keys.insert(condition.key);
  const auto failed = wire::parse_failed_keys(body);
  const bool understood = failed && !failed->empty() &&
                          std::ranges::all_of(*failed, [&](const auto& key) { return queried_keys.contains(key); });
  if (!understood) {
    ctx_.log->error("conflict not understood keys={} answer={}", queried_keys.size(),
                    body.substr(0, max_logged_answer_bytes));
    return {KeyComparison::Outcome::unreadable_conflict, {}};
  }
  return {KeyComparison::Outcome::answered, {failed->begin(), failed->end()}};
}

bool StoreClient::has_unused_write_rate() { return writes_.fill_level(ctx_.now()) > unused_write_fill; }

rt::Task<std::optional<LeaseId>> StoreClient::create_lease(Duration ttl) {
  const rt::HttpResult answer =
      co_await send("POST", wire::create_lease_target, wire::encode_lease(ttl), lease_timeout);
  co_return parse_if_ok(answer, wire::parse_lease);
}

rt::Task<StoreClient::LeaseRenewal> StoreClient::renew_lease(LeaseId lease, Duration timeout) {
  requests_.try_consume(1, 0, ctx_.now());
  const rt::HttpResult answer = co_await send("POST", wire::renew_lease_target(lease), "{}", timeout);
  if (answer.ok()) co_return LeaseRenewal::renewed;
  co_return has_status(answer, status_not_found) ? LeaseRenewal::ended : LeaseRenewal::failed;
}

rt::Task<void> StoreClient::end_lease(LeaseId lease) {
  co_await send("DELETE", wire::lease_target(lease), "", lease_timeout);
}

rt::Task<StoreClient::WatchResult> StoreClient::watch(std::string prefix, Revision after, Duration hold) {
  const bool admitted = co_await admit(0, admission_timeout);
  if (!admitted) co_return WatchResult{};
  const rt::HttpResult answer =
      co_await send("GET", wire::watch_target(prefix, after, hold), "", hold + watch_answer_allowance);
  if (has_status(answer, status_gone)) co_return WatchResult{WatchOutcome::too_old, {}};
  auto page = parse_if_ok(answer, wire::parse_events);
  if (!page) co_return WatchResult{};
  co_return WatchResult{WatchOutcome::events, std::move(*page)};
}

}  // namespace martenwall::service
