#include "store.hpp"

namespace martenwall::region {

namespace {

constexpr Duration no_response_delay = seconds(30);  // longer than any client's timeout
constexpr Duration watch_poll_interval = seconds(0.02);
constexpr std::string_view row_path = "/store/";
constexpr std::string_view pages_path = "/store?prefix=";

rt::HttpResponse to_http(stand_ins::StoreReply reply) { return {reply.status, std::move(reply.body), {}, false}; }
rt::HttpResponse unavailable_reply() { return {503, R"({"error":"unavailable"})", {}, false}; }

}  // namespace

void Store::make_late(std::function<bool(std::size_t, const json&)> which, Duration after) {
  which_late_ = std::move(which);
  late_after_ = after;
}

bool Store::refuses(std::size_t from) { return down() || loop_.now() < faults_[from].refuses_until; }

void Store::slow_down(Duration by, Time until) {
  for (auto& [from, faults] : faults_) {
    faults.response_delay = by;
    faults.delayed_until = until;
  }
}

rt::Task<rt::HttpResponse> Store::handle(std::size_t from, rt::HttpMessage request) {
  tick();
  if (request.target.starts_with(row_path)) {
    const std::string key = request.target.substr(row_path.size());
    ++reads_[key];
    if (refuse_read && refuse_read(from, key)) co_return unavailable_reply();
  }
  if (request.target.starts_with(pages_path)) {
    const auto begin = pages_path.size();
    const std::string prefix = request.target.substr(begin, request.target.find('&') - begin);
    if (refuse_page && refuse_page(from, prefix)) co_return unavailable_reply();
  }
  if (refuses(from)) co_return unavailable_reply();
  const auto& faults = faults_[from];
  if (loop_.now() < faults.delayed_until) co_await loop_.sleep(faults.response_delay);
  if (request.target.starts_with("/leases")) co_await loop_.sleep(faults.lease_delay);
  tick();
  if (refuses(from)) co_return unavailable_reply();
  if (request.target == "/multi") {
    json txn = json::parse(request.body);
    co_return co_await multi(from, std::move(txn));
  }
  if (request.target.starts_with("/watch")) co_return co_await watch(from, std::move(request.target));
  co_return to_http(model_.answer(request.method, request.target, request.body, loop_.now()));
}

rt::HttpResponse Store::commit(const json& txn, bool late) {
  auto reply = model_.commit(txn, loop_.now());
  if (late && reply.status != 400) ++(reply.status == 200 ? late_ : late_refused_);
  if (reply.status == 200 && on_commit && !txn.at("then").empty()) on_commit(txn, late);
  return to_http(std::move(reply));
}

rt::Task<void> Store::commit_late(json txn, Duration after) {
  co_await loop_.sleep(after);
  while (down()) co_await loop_.sleep(watch_poll_interval);
  tick();
  commit(txn, true);
}

rt::Task<rt::HttpResponse> Store::compare(std::size_t from, json txn) {
  ++comparisons_[from];
  std::optional<rt::HttpResponse> replaced;
  if (replace_comparison) replaced = replace_comparison(from, txn);
  rt::HttpResponse answer = replaced ? std::move(*replaced) : commit(txn, false);
  if (faults_[from].comparison_delay > Duration{0}) co_await loop_.sleep(faults_[from].comparison_delay);
  co_return answer;
}

rt::Task<rt::HttpResponse> Store::multi(std::size_t from, json txn) {
  if (txn.at("then").empty()) co_return co_await compare(from, std::move(txn));
  if (!model_.admit_changes(txn.at("then").size(), loop_.now())) {
    ++refused_;
    co_return rt::HttpResponse{429, R"({"error":"too many changes"})", {}, false};
  }
  const auto& faults = faults_[from];
  const bool drawn =
      loop_.now() < faults.late_until && std::uniform_real_distribution<>{0, 1}(random_) < faults.late_share;
  const bool named = which_late_ && which_late_(from, txn);
  if (!drawn && !named) co_return commit(txn, false);
  const Duration drawn_after = seconds(std::uniform_real_distribution<>{2, 12}(random_));
  const Duration after = named ? late_after_ : faults.apply_at_once ? Duration{0} : drawn_after;
  if (named) which_late_ = nullptr;
  if (after > Duration{0}) {
    rt::spawn(commit_late(std::move(txn), after));
  } else {
    commit(txn, true);
  }
  co_await loop_.sleep(no_response_delay);
  co_return unavailable_reply();
}

rt::Task<rt::HttpResponse> Store::watch(std::size_t from, std::string target) {
  const auto watch = stand_ins::StoreModel::parse_watch(target);
  const Time until = loop_.now() + watch.hold;
  for (;;) {
    tick();
    auto response = refuses(from) ? std::nullopt : model_.poll_watch(watch, loop_.now() >= until);
    if (response) co_return to_http(std::move(*response));
    if (loop_.now() > until + no_response_delay) co_return unavailable_reply();
    co_await loop_.sleep(watch_poll_interval);
  }
}

}  // namespace martenwall::region
