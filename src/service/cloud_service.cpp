#include "service/cloud_service.hpp"

#include "wire/cloud_codec.hpp"

namespace martenwall::service {

namespace {
constexpr double follower_share = 0.15;  // of the cloud's rate, for the first look at the types
constexpr double leader_share = 0.7;
constexpr Duration direct_again = seconds(10);  // the cloud is tried directly after so long
constexpr Duration pass_limit = seconds(5);
constexpr Duration list_every = seconds(3);
constexpr Duration types_every = seconds(60);
constexpr std::uint64_t for_all = 0;  // in place of a term: what any node may ask
}  // namespace

CloudService::CloudService(Context& ctx, StoreClient& state)
    : ctx_(ctx),
      store_(state),
      http_(ctx.loop, 8, 4 * 1024 * 1024, 4),
      rate_(ctx.settings.cloud_rps * follower_share) {}

rt::Task<void> CloudService::admit() {
  const bool for_leader = passed_on_at_ != Time{} && ctx_.now() - passed_on_at_ < seconds(20);
  rate_.set(ctx_.settings.cloud_rps * (ctx_.scheduler != nullptr || for_leader ? leader_share : follower_share));
  for (;;) {
    const Duration wait = rate_.take(1, 0, ctx_.now());
    if (wait.count() == 0) break;
    co_await ctx_.loop.sleep(wait);
  }
}

rt::Task<rt::HttpResult> CloudService::call(std::string method, std::string target, std::string body, Duration timeout,
                                            std::uint64_t term) {
  co_await admit();
  // What changes the fleet is the leader's alone, and may have waited here for its turn: also for so long that this
  // node lost its leadership and has another by now, which knows nothing of it.
  const auto may_send = [&] { return term == for_all || (ctx_.leads(term) && ctx_.has_valid_lease()); };
  if (!may_send()) co_return rt::HttpResult{};
  if (ctx_.now() < by_others_until_) {
    rt::HttpResult passed = co_await pass_on(method, target, body);
    if (passed.outcome == rt::Outcome::answered) co_return passed;
  }
  std::string direct_target = target;
  std::string direct_body = body;
  std::string verb = method;
  rt::HttpResult r = co_await http_.request(ctx_.settings.cloud, std::move(verb), std::move(direct_target),
                                            std::move(direct_body), timeout);
  if (r.outcome == rt::Outcome::answered || !may_send()) co_return r;
  // Names of hires and lists of machines to release may be sent twice, by whichever way.
  rt::HttpResult passed = co_await pass_on(method, std::move(target), std::move(body));
  if (passed.outcome != rt::Outcome::answered) co_return r;
  if (ctx_.now() >= by_others_until_) ctx_.log->info("the cloud does not answer this node: others pass requests on");
  by_others_until_ = ctx_.now() + direct_again;
  co_return passed;
}

rt::Task<rt::HttpResult> CloudService::pass_on(const std::string& method, std::string target, std::string body) {
  rt::HttpResult out;
  if (peers_ == nullptr) co_return out;
  // A page must fit a peer's frame.
  if (const auto at = target.find("page=500"); at != std::string::npos) target.replace(at, 8, "page=300");
  wire::PeerRequest request{wire::PeerVerb::cloud, method + " " + target, std::move(body), {}};
  const auto reply = co_await peers_->ask_others(std::move(request), pass_limit);
  if (reply) out = rt::HttpResult{rt::Outcome::answered, reply->status, reply->body};
  co_return out;
}

rt::Task<wire::PeerReply> CloudService::on_peer_request(wire::PeerRequest request) {
  passed_on_at_ = ctx_.now();
  const auto space = request.job.find(' ');
  if (space == std::string::npos) co_return wire::PeerReply{400, "{}", {}};
  co_await admit();
  std::string method = request.job.substr(0, space);
  std::string target = request.job.substr(space + 1);
  rt::HttpResult r = co_await http_.request(ctx_.settings.cloud, std::move(method), std::move(target),
                                            std::move(request.body), seconds(3));
  const int status = r.outcome == rt::Outcome::answered ? r.status : 0;
  co_return wire::PeerReply{status, std::move(r.body), {}};
}

rt::Task<bool> CloudService::fetch_types() {
  const rt::HttpResult r = co_await call("GET", "/flavors", "", seconds(3), for_all);
  auto types = r.ok() ? wire::parse_types(r.body) : std::nullopt;
  if (!types && ctx_.types.empty()) {
    // The cloud may be out just when this node starts: another node has kept what it said.
    const ReadResult kept = co_await store_.get(wire::types_key, seconds(1));
    if (kept.outcome == ReadOutcome::found) types = wire::parse_types(kept.item.value.dump());
  }
  if (!types) co_return false;
  ctx_.types = std::move(*types);
  if (ctx_.scheduler != nullptr) ctx_.scheduler->set_types(ctx_.types);
  co_return r.ok();
}

rt::Task<void> CloudService::store_types() {
  auto row = wire::json::parse(wire::encode_types(ctx_.types));
  if (row.dump().size() > ctx_.limits.value_bytes()) {
    // It only helps a node that starts while the cloud is out; half of it would have jobs refused for good.
    ctx_.log->info("{} machine types do not fit a value of the state service: they are not kept there",
                   ctx_.types.size());
    types_stored_ = true;
    co_return;
  }
  std::vector<wire::StoreOp> then;
  then.push_back({wire::types_key, std::move(row), std::nullopt});
  std::vector<wire::Condition> when{{wire::leader_key, KeyVersion{ctx_.leadership.token().value()}}};
  const TxnResult r = co_await store_.txn(std::move(when), std::move(then), seconds(1));
  types_stored_ = r.outcome == TxnOutcome::committed;
}

rt::Task<void> CloudService::run_types() {
  for (;;) {
    const bool fresh = co_await fetch_types();
    if (fresh) ctx_.cycle_due.notify();
    if (fresh && ctx_.has_valid_lease() && !types_stored_) co_await store_types();
    const bool leads = ctx_.scheduler != nullptr;
    co_await ctx_.loop.sleep(fresh && (leads || types_stored_) ? types_every : fresh ? seconds(10) : seconds(2));
  }
}

rt::Task<void> CloudService::list_once(std::uint64_t term) {
  std::vector<ListedMachine> all;
  std::string after;
  const Time asked = ctx_.now();
  for (;;) {
    std::string target = "/machines?page=500" + (after.empty() ? std::string{} : "&after=" + after);
    const rt::HttpResult r = co_await call("GET", std::move(target), "", seconds(4), for_all);
    if (!ctx_.leads(term)) co_return;
    auto page = r.ok() ? wire::parse_machines(r.body) : std::nullopt;
    if (!page) co_return;
    const bool more = page->more && !page->machines.empty();
    if (more) after = page->machines.back().id.value();
    for (auto& m : page->machines) all.push_back(std::move(m));
    if (!more) break;
  }
  ctx_.scheduler->on_machine_list(all, asked, ctx_.settings.cloud_lag, ctx_.now());
  ctx_.notify_pending_work();
}

rt::Task<void> CloudService::run_list() {
  for (;;) {
    if (ctx_.has_valid_lease()) co_await list_once(ctx_.term);
    const Time until = ctx_.now() + list_every;
    while (ctx_.now() < until) {
      co_await ctx_.leader_changed.wait(until);
      if (ctx_.scheduler != nullptr) break;
    }
    co_await ctx_.loop.sleep(seconds(0.05));
    if (ctx_.now() < until) co_await ctx_.loop.sleep(std::min(until - ctx_.now(), list_every));
  }
}

rt::Task<void> CloudService::run_fleet() {
  for (;;) {
    const Time until = ctx_.now() + seconds(0.25);
    co_await ctx_.write_committed.wait(until);
    if (!ctx_.has_valid_lease()) continue;
    const auto term = ctx_.term;
    // Several kinds and zones at once: one that the cloud is slow to answer must not hold up the others.
    for (auto& request : ctx_.scheduler->take_scale_out_requests()) rt::spawn(hire(term, std::move(request)));
    if (releasing_) continue;
    auto ids = ctx_.scheduler->take_scale_in(ctx_.now());
    if (!ids.empty()) rt::spawn(release(term, std::move(ids)));
  }
}

// The same name is sent until the answer is known: a repeat rents nothing again.
rt::Task<void> CloudService::hire(std::uint64_t term, ScaleOutRequest request) {
  const std::string body = wire::encode_scale_out(request);
  for (int i = 0; i < 6; ++i) {
    std::string copy = body;
    const rt::HttpResult r = co_await call("POST", "/machines", std::move(copy), seconds(4), term);
    if (!ctx_.leads(term)) co_return;
    if (r.ok()) {
      const auto ids = wire::parse_scale_out_response(r.body).value_or(std::vector<MachineId>{});
      ctx_.log->info("{}: got {} of {}", request.name, ids.size(), request.count);
      ctx_.scheduler->on_scale_out_granted(request, ids, ctx_.now());
      co_return;
    }
    const bool no_capacity = r.status == 503 && r.body.find("no capacity") != std::string::npos;
    if (no_capacity || r.status == 400) {
      ctx_.log->info("{}: refused: {}", request.name, r.body);
      ctx_.scheduler->on_scale_out_refused(request, ctx_.now());
      co_return;
    }
    co_await ctx_.loop.sleep(seconds(1));
    if (!ctx_.leads(term)) co_return;
  }
  // Given up: should it have been executed after all, its machines appear in the list.
  ctx_.scheduler->on_scale_out_abandoned(request);
}

rt::Task<void> CloudService::release(std::uint64_t term, std::vector<MachineId> ids) {
  releasing_ = true;
  const rt::HttpResult r = co_await call("POST", "/machines/release", wire::encode_release(ids), seconds(4), term);
  if (ctx_.leads(term) && r.ok()) {
    ctx_.scheduler->on_machines_released(ids, ctx_.now());
    ctx_.notify_pending_work();
  } else if (!r.ok()) {
    co_await ctx_.loop.sleep(seconds(1));
  }
  releasing_ = false;
}

}  // namespace martenwall::service
