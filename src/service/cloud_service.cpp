#include "service/cloud_service.hpp"

#include "wire/cloud_codec.hpp"

namespace martenwall::service {

namespace {
constexpr double follower_share =
    0.15;  // fraction of the cloud's rate limit: followers share what exceeds `leader_share`, for the machine types
constexpr double leader_share = 0.7;
constexpr Duration forwarding_period = seconds(20);   // since the last request forwarded for a leader
constexpr Duration direct_retry_delay = seconds(10);  // before the cloud is tried directly again
constexpr Duration peer_timeout =
    seconds(5);  // per node: the forwarded request may take 3 s, plus the node's wait for the rate limit
constexpr Duration forwarded_timeout = seconds(3);
constexpr Duration read_timeout = seconds(3);
constexpr Duration change_timeout = seconds(4);  // also for a page of the machine list, which is long
constexpr Duration store_timeout = seconds(1);
constexpr Duration list_interval = seconds(3);
constexpr Duration new_term_delay = seconds(0.05);  // lets more urgent requests of a new leader go first
constexpr Duration types_interval = seconds(60);    // spot prices change slowly
constexpr Duration unstored_types_interval = seconds(10);
constexpr Duration types_retry_delay = seconds(2);  // without the machine types this node cannot serve users
constexpr Duration scaling_interval = seconds(0.25);
constexpr Duration retry_delay = seconds(1);
constexpr int max_scale_out_attempts = 6;  // after that the machine list shows whether the request was executed
constexpr std::size_t max_open_requests = 8;
constexpr std::size_t max_idle_connections = 4;
constexpr std::size_t max_response_bytes = 4 * 1024 * 1024;
constexpr std::uint64_t any_term = 0;  // passed as the term of requests that any node may send
}  // namespace

CloudService::CloudService(Context& ctx, StoreClient& store, PeerService& peers)
    : ctx_(ctx),
      store_(store),
      peers_(peers),
      http_(ctx.loop, max_open_requests, max_response_bytes, max_idle_connections),
      rate_(ctx.settings.cloud_rps * follower_share) {}

rt::Task<void> CloudService::wait_for_rate() {
  const bool for_leader =
      forwarded_for_leader_at_ != Time{} && ctx_.now() - forwarded_for_leader_at_ < forwarding_period;
  rate_.set_rate(ctx_.settings.cloud_rps * (ctx_.scheduler != nullptr || for_leader ? leader_share : follower_share));
  for (;;) {
    const Duration wait = rate_.try_consume(1, 0, ctx_.now());
    if (wait.count() == 0) break;
    co_await ctx_.loop.sleep(wait);
  }
}

rt::Task<rt::HttpResult> CloudService::request(std::string method, std::string target, std::string body,
                                               Duration timeout, std::uint64_t term) {
  co_await wait_for_rate();
  // A change of the fleet may wait here for the rate limit until this node has lost its leadership and gained another,
  // whose scheduler does not know the request.
  const auto may_send = [this, term] { return term == any_term || (ctx_.leads(term) && ctx_.has_valid_lease()); };
  if (!may_send()) co_return rt::HttpResult{};
  if (ctx_.now() < direct_retry_at_) {
    rt::HttpResult peer_result = co_await request_through_peer(method, target, body);
    if (peer_result.outcome == rt::Outcome::answered) co_return peer_result;
  }
  std::string direct_target = target;
  std::string direct_body = body;
  std::string direct_method = method;
  rt::HttpResult result = co_await http_.request(ctx_.settings.cloud, std::move(direct_method),
                                                 std::move(direct_target), std::move(direct_body), timeout);
  if (result.outcome == rt::Outcome::answered || !may_send()) co_return result;
  // Scale-out requests are identified by name, and scale-in requests list the machines, so both may be sent twice over
  // either path.
  rt::HttpResult peer_result = co_await request_through_peer(method, std::move(target), std::move(body));
  if (peer_result.outcome != rt::Outcome::answered) co_return result;
  if (ctx_.now() >= direct_retry_at_) ctx_.log->info("cloud unreachable, requests go through other nodes");
  direct_retry_at_ = ctx_.now() + direct_retry_delay;
  co_return peer_result;
}

rt::Task<rt::HttpResult> CloudService::request_through_peer(const std::string& method, std::string target,
                                                            std::string body) {
  // A page must fit into a peer frame.
  if (const auto at = target.find("page=500"); at != std::string::npos) target.replace(at, 8, "page=300");
  wire::PeerRequest request{wire::PeerVerb::cloud, method + " " + target, std::move(body), {}};
  const auto reply = co_await peers_.call_any_other(std::move(request), peer_timeout);
  if (!reply) co_return rt::HttpResult{};
  co_return rt::HttpResult{rt::Outcome::answered, reply->status, reply->body};
}

rt::Task<wire::PeerReply> CloudService::on_peer_request(wire::PeerRequest request) {
  forwarded_for_leader_at_ = ctx_.now();
  const auto space = request.job.find(' ');
  if (space == std::string::npos) co_return wire::PeerReply{400, "{}", {}};
  co_await wait_for_rate();
  std::string method = request.job.substr(0, space);
  std::string target = request.job.substr(space + 1);
  rt::HttpResult result = co_await http_.request(ctx_.settings.cloud, std::move(method), std::move(target),
                                                 std::move(request.body), forwarded_timeout);
  const int status = result.outcome == rt::Outcome::answered ? result.status : wire::status_no_response;
  co_return wire::PeerReply{status, std::move(result.body), {}};
}

rt::Task<bool> CloudService::fetch_types() {
  const rt::HttpResult result = co_await request("GET", "/flavors", "", read_timeout, any_term);
  auto types = result.ok() ? wire::parse_types(result.body) : std::nullopt;
  if (!types && ctx_.types.empty()) {
    // The cloud may be down when this node starts: another node has stored the types that it received.
    const ReadResult stored = co_await store_.get(wire::types_key, store_timeout);
    if (stored.outcome == ReadOutcome::found) types = wire::parse_types(stored.item.value.dump());
  }
  if (!types) co_return false;
  ctx_.types = std::move(*types);
  if (ctx_.scheduler != nullptr) ctx_.scheduler->set_types(ctx_.types);
  co_return result.ok();
}

rt::Task<void> CloudService::store_types() {
  auto row = wire::json::parse(wire::encode_types(ctx_.types));
  if (row.dump().size() > ctx_.limits.value_bytes()) {
    // The stored types only help a node that starts during a cloud outage. A truncated list would cause valid jobs to
    // be rejected permanently.
    ctx_.log->info("machine types not stored, too large for one value types={}", ctx_.types.size());
    types_stored_ = true;
    co_return;
  }
  std::vector<wire::StoreOp> operations;
  operations.push_back({wire::types_key, std::move(row), std::nullopt});
  std::vector<wire::Condition> conditions{{wire::leader_key, KeyVersion{ctx_.leadership.token().value()}}};
  const TxnResult written = co_await store_.txn(std::move(conditions), std::move(operations), store_timeout);
  types_stored_ = written.outcome == TxnOutcome::committed;
}

rt::Task<void> CloudService::run_types() {
  for (;;) {
    const bool types_fetched = co_await fetch_types();
    if (types_fetched) ctx_.cycle_due.notify();
    if (types_fetched && ctx_.has_valid_lease() && !types_stored_) co_await store_types();
    const bool leads = ctx_.scheduler != nullptr;
    co_await ctx_.loop.sleep(types_fetched ? (leads || types_stored_ ? types_interval : unstored_types_interval)
                                           : types_retry_delay);
  }
}

rt::Task<void> CloudService::fetch_list(std::uint64_t term) {
  std::vector<ListedMachine> machines;
  std::string after;
  const Time requested_at = ctx_.now();
  for (;;) {
    std::string target = "/machines?page=500" + (after.empty() ? std::string{} : "&after=" + after);
    const rt::HttpResult result = co_await request("GET", std::move(target), "", change_timeout, any_term);
    if (!ctx_.leads(term)) co_return;
    auto page = result.ok() ? wire::parse_machines(result.body) : std::nullopt;
    if (!page) co_return;
    const bool more = page->more && !page->machines.empty();
    if (more) after = page->machines.back().id.value();
    for (auto& machine : page->machines) machines.push_back(std::move(machine));
    if (!more) break;
  }
  ctx_.scheduler->on_machine_list(machines, requested_at, ctx_.settings.cloud_list_lag, ctx_.now());
  ctx_.notify_pending_work();
}

rt::Task<void> CloudService::run_list() {
  for (;;) {
    if (ctx_.has_valid_lease()) co_await fetch_list(ctx_.term);
    const Time next_list_at = ctx_.now() + list_interval;
    while (ctx_.now() < next_list_at) {
      co_await ctx_.leader_changed.wait(next_list_at);
      if (ctx_.scheduler != nullptr) break;
    }
    co_await ctx_.loop.sleep(new_term_delay);
    if (ctx_.now() < next_list_at) co_await ctx_.loop.sleep(std::min(next_list_at - ctx_.now(), list_interval));
  }
}

rt::Task<void> CloudService::run_scaling() {
  for (;;) {
    const Time deadline = ctx_.now() + scaling_interval;
    co_await ctx_.write_committed.wait(deadline);
    if (!ctx_.has_valid_lease()) continue;
    const auto term = ctx_.term;
    // Requests for several types and zones run concurrently, so that a slow answer to one does not delay the others.
    // Detached: each ends after its attempts, or when this leadership ends.
    for (auto& scale_request : ctx_.scheduler->take_scale_out_requests())
      rt::spawn(scale_out(term, std::move(scale_request)));
    if (scale_in_in_flight_) continue;
    auto machines = ctx_.scheduler->scale_in_candidates(ctx_.now());
    if (!machines.empty()) rt::spawn(scale_in(term, std::move(machines)));  // detached: ends after one attempt
  }
}

// Repeats the request under the same name until the answer is known: a repetition starts no further machines.
rt::Task<void> CloudService::scale_out(std::uint64_t term, ScaleOutRequest scale_request) {
  const std::string body = wire::encode_scale_out(scale_request);
  for (int attempt = 0; attempt < max_scale_out_attempts; ++attempt) {
    std::string copy = body;
    const rt::HttpResult result = co_await request("POST", "/machines", std::move(copy), change_timeout, term);
    if (!ctx_.leads(term)) co_return;
    if (result.ok()) {
      const auto machines = wire::parse_scale_out_response(result.body).value_or(std::vector<MachineId>{});
      ctx_.log->info("scale-out granted request={} machines={} of={}", scale_request.name, machines.size(),
                     scale_request.count);
      ctx_.scheduler->on_scale_out_granted(scale_request, machines, ctx_.now());
      co_return;
    }
    const bool no_capacity = result.status == 503 && result.body.find("no capacity") != std::string::npos;
    if (no_capacity || result.status == 400) {
      ctx_.log->info("scale-out refused request={} response={}", scale_request.name, result.body);
      ctx_.scheduler->on_scale_out_refused(scale_request, ctx_.now());
      co_return;
    }
    co_await ctx_.loop.sleep(retry_delay);
    if (!ctx_.leads(term)) co_return;
  }
  // Gives up. If the request was executed after all, its machines appear in the machine list.
  ctx_.scheduler->on_scale_out_abandoned(scale_request);
}

rt::Task<void> CloudService::scale_in(std::uint64_t term, std::vector<MachineId> machines) {
  scale_in_in_flight_ = true;
  const rt::HttpResult result =
      co_await request("POST", "/machines/release", wire::encode_release(machines), change_timeout, term);
  if (ctx_.leads(term) && result.ok()) {
    ctx_.scheduler->on_machines_released(machines, ctx_.now());
    ctx_.notify_pending_work();
  } else if (!result.ok()) {
    co_await ctx_.loop.sleep(retry_delay);
  }
  scale_in_in_flight_ = false;
}

}  // namespace martenwall::service
