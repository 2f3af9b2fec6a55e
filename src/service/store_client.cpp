#include "service/store_client.hpp"

namespace martenwall::service {

namespace {
constexpr std::size_t max_response = 16 * 1024 * 1024;
// Shares of the state service's rates. Mostly the leader does all the work; where others have to write for
// their users, it leaves them room.
constexpr double leader_share = 0.86;
constexpr double sharing_leader_share = 0.62;
constexpr double follower_share = 0.06;         // the leader takes what users want
constexpr double lonely_follower_share = 0.18;  // it cannot be reached
constexpr double leaderless_share = 0.3;        // there is none
constexpr Duration sharing_time = seconds(10);  // after the last sign that others write
constexpr double poll_reserve = 0.4;            // of this node's share of requests: polls leave it for submissions
}  // namespace

StoreClient::StoreClient(Context& ctx)
    : ctx_(ctx),
      http_(ctx.loop, 24, max_response, 12),
      requests_(ctx.limits.rps() * follower_share),
      writes_(ctx.limits.write_rps() * follower_share),
      line_moved_(ctx.loop) {}

double StoreClient::share_now() const {
  if (ctx_.scheduler != nullptr) {
    return ctx_.now() - ctx_.peers_wrote_at < sharing_time ? sharing_leader_share : leader_share;
  }
  if (!ctx_.has_other_leader()) return leaderless_share;
  return ctx_.now() - ctx_.leader_link_failed_at < sharing_time ? lonely_follower_share : follower_share;
}

rt::Task<bool> StoreClient::admit(double writes, Duration longest, double keep) {
  const Time until = ctx_.now() + longest;
  for (;;) {
    const double share = share_now();
    requests_.set(ctx_.limits.rps() * share);
    writes_.set(ctx_.limits.write_rps() * share);
    Duration wait = writes > 0 ? writes_.take(writes, 0, ctx_.now()) : Duration{0};
    if (wait.count() == 0) {
      writes = 0;
      wait = requests_.take(1, keep, ctx_.now());
    }
    if (wait.count() == 0) co_return true;
    if (ctx_.now() + wait > until) co_return false;
    co_await ctx_.loop.sleep(wait);
  }
}

// Of transactions that each took what there was whenever there was some, one of many changes would never find enough
// at once, as long as small ones come (rows waited up to 53 s in inc-d2ba).
rt::Task<bool> StoreClient::admit_in_order(double writes, Duration longest) {
  const Time until = ctx_.now() + longest;
  const auto ticket = next_ticket_++;
  line_.push_back(ticket);
  while (line_.front() != ticket && ctx_.now() < until) co_await line_moved_.wait(until);
  bool admitted = false;
  if (line_.front() == ticket) {
    const Duration left = std::max(Duration{0}, until - ctx_.now());
    admitted = co_await admit(writes, left);
  }
  std::erase(line_, ticket);
  line_moved_.notify();
  co_return admitted;
}

rt::Task<rt::HttpResult> StoreClient::send(std::string method, std::string target, std::string body, Duration timeout) {
  rt::HttpResult r =
      co_await http_.request(ctx_.settings.state, std::move(method), std::move(target), std::move(body), timeout);
  if (r.outcome == rt::Outcome::answered && r.status != 503) ctx_.store_answered_at = ctx_.now();
  if (r.outcome == rt::Outcome::answered && r.status == 429 && ctx_.limits.refused_rate(ctx_.now())) {
    ctx_.log->info(
        "the state service refuses requests beyond lower rates: {} requests and {} changes a second from now on",
        ctx_.limits.rps(), ctx_.limits.write_rps());
  }
  co_return r;
}

rt::Task<ReadResult> StoreClient::get(std::string key, Duration timeout) {
  const bool admitted = co_await admit(0, timeout);
  if (!admitted) co_return ReadResult{};
  co_return co_await read(std::move(key), timeout);
}

rt::Task<ReadResult> StoreClient::get_unthrottled(std::string key, Duration timeout) {
  requests_.take(1, 0, ctx_.now());
  co_return co_await read(std::move(key), timeout);
}

rt::Task<ReadResult> StoreClient::read(std::string key, Duration timeout) {
  ReadResult out;
  const rt::HttpResult r = co_await send("GET", "/store/" + key, "", timeout);
  if (r.outcome != rt::Outcome::answered) co_return out;
  if (r.status == 404) out.outcome = ReadOutcome::absent;
  if (r.status != 200) co_return out;
  auto item = wire::parse_item(r.body);
  if (!item) co_return out;
  out.outcome = ReadOutcome::found;
  out.item = std::move(*item);
  co_return out;
}

rt::Task<std::optional<wire::StorePage>> StoreClient::page(std::string prefix, std::string after) {
  const bool admitted = co_await admit(0, seconds(2));
  if (!admitted) co_return std::nullopt;
  std::string target = "/store?prefix=" + prefix + "&page=1000";
  if (!after.empty()) target += "&after=" + after;
  const rt::HttpResult r = co_await send("GET", std::move(target), "", seconds(2));
  if (!r.ok()) co_return std::nullopt;
  co_return wire::parse_page(r.body);
}

rt::Task<std::optional<wire::StorePage>> StoreClient::list(std::string prefix) {
  std::optional<wire::StorePage> all;
  std::string after;
  for (;;) {
    auto page = co_await this->page(prefix, after);
    if (!page) co_return std::nullopt;
    const bool more = page->more && !page->items.empty();
    if (more) after = page->items.back().key;
    if (!all) {
      all = std::move(page);  // the oldest page's revision: a watch from it misses nothing
    } else {
      for (auto& i : page->items) all->items.push_back(std::move(i));
    }
    if (!more) co_return all;
  }
}

rt::Task<TxnResult> StoreClient::txn(std::vector<wire::Condition> when, std::vector<wire::StoreOp> then,
                                     Duration timeout, Queueing turn) {
  TxnResult out;
  const auto writes = static_cast<double>(then.size());
  const bool admitted =
      turn == Queueing::fifo ? co_await admit_in_order(writes, timeout) : co_await admit(writes, timeout);
  if (!admitted) co_return out;
  std::string body = wire::encode_txn(when, then);
  const auto size = body.size();
  const rt::HttpResult r = co_await send("POST", "/multi", std::move(body), timeout);
  if (r.outcome == rt::Outcome::unknown) out.outcome = TxnOutcome::unknown;
  if (r.outcome != rt::Outcome::answered) co_return out;
  if (r.status == 409) out.outcome = TxnOutcome::conflict;
  if (r.status == 400) {
    const bool lease = r.body.find("lease") != std::string::npos;
    out.outcome = lease ? TxnOutcome::no_lease : TxnOutcome::too_large;
    ctx_.log->info("the state service refuses a transaction of {} changes and {} bytes: {}", writes, size, r.body);
    if (!lease && ctx_.limits.refused_size()) {
      ctx_.log->info("its limits are taken to be lower: values of {} bytes, {} changes a transaction, {} a second",
                     ctx_.limits.value_bytes(), ctx_.limits.txn_ops(), ctx_.limits.write_rps());
    }
  }
  if (r.status != 200) co_return out;
  out.outcome = TxnOutcome::committed;
  out.revision = wire::parse_revision(r.body).value_or(Revision{});
  co_return out;
}

rt::Task<std::optional<std::set<std::string>>> StoreClient::find_existing(std::vector<std::string> keys,
                                                                          Duration timeout) {
  const Time until = ctx_.now() + timeout;
  const double keep = ctx_.limits.rps() * share_now() * poll_reserve;
  const bool admitted = co_await admit(0, timeout, keep);
  if (!admitted) co_return std::nullopt;
  std::vector<wire::Condition> when;
  when.reserve(keys.size());
  for (auto& key : keys) when.push_back({std::move(key), KeyVersion{0}});
  std::string body = wire::encode_txn(when, {});
  const Duration left = std::max(Duration{10000}, until - ctx_.now());
  const rt::HttpResult r = co_await send("POST", "/multi", std::move(body), left);
  std::set<std::string> out;
  if (r.ok()) co_return out;
  // More conditions than it takes now.
  if (r.outcome == rt::Outcome::answered && r.status == 400) (void)ctx_.limits.refused_size();
  if (r.outcome != rt::Outcome::answered || r.status != 409) co_return std::nullopt;
  for (auto& key : wire::parse_failed(r.body)) out.insert(std::move(key));
  co_return out;
}

bool StoreClient::has_unused_write_rate() { return writes_.fill_level(ctx_.now()) > 0.3; }

rt::Task<std::optional<LeaseId>> StoreClient::create_lease(Duration ttl) {
  const rt::HttpResult r = co_await send("POST", "/leases", wire::encode_lease(ttl), seconds(1));
  if (!r.ok()) co_return std::nullopt;
  co_return wire::parse_lease(r.body);
}

rt::Task<StoreClient::LeaseRenewal> StoreClient::renew_lease(LeaseId lease, Duration timeout) {
  requests_.take(1, 0, ctx_.now());
  const rt::HttpResult r = co_await send("POST", "/leases/" + std::to_string(lease.value()) + "/touch", "{}", timeout);
  if (r.ok()) co_return LeaseRenewal::renewed;
  co_return r.outcome == rt::Outcome::answered&& r.status == 404 ? LeaseRenewal::ended : LeaseRenewal::failed;
}

rt::Task<void> StoreClient::end_lease(LeaseId lease) {
  co_await send("DELETE", "/leases/" + std::to_string(lease.value()), "", seconds(1));
}

rt::Task<StoreClient::WatchResult> StoreClient::watch(std::string prefix, Revision after, Duration hold) {
  WatchResult out;
  const bool admitted = co_await admit(0, seconds(2));
  if (!admitted) co_return out;
  std::string target = "/watch?prefix=" + prefix + "&after=" + std::to_string(after.value()) +
                       "&holdMs=" + std::to_string(hold.count() / 1000);
  const rt::HttpResult r = co_await send("GET", std::move(target), "", hold + seconds(1.5));
  if (r.outcome != rt::Outcome::answered) co_return out;
  if (r.status == 410) out.outcome = WatchOutcome::too_old;
  if (r.status != 200) co_return out;
  auto page = wire::parse_events(r.body);
  if (!page) co_return out;
  out.outcome = WatchOutcome::events;
  out.page = std::move(*page);
  co_return out;
}

}  // namespace martenwall::service
