#include "service/worker_service.hpp"

#include <algorithm>

#include "wire/worker_codec.hpp"

namespace martenwall::service {

namespace {
constexpr Duration min_round_gap = seconds(0.1);
constexpr int round_share = 5;  // a round may take one part in so many of the time between rounds
constexpr int announcers = 24;  // announcements at once
}  // namespace

rt::HttpResponse WorkerService::misdirected() const {
  const bool other = ctx_.leader != ctx_.settings.node;
  return {421, wire::encode_misdirected(other ? ctx_.leader : ""), {}, false};
}

rt::Task<void> WorkerService::settled() {
  // A leader that is still reading the store will know in a moment.
  for (int i = 0; i < 30 && ctx_.leadership.state() == LeaderState::loading; ++i) {
    co_await ctx_.loop.sleep(seconds(0.05));
  }
  // One that stood still learns first whether another leads by now: its 200 would keep the worker here, without
  // renewing its lease.
  for (int i = 0; i < 25 && ctx_.scheduler != nullptr && ctx_.just_woke(); ++i) co_await ctx_.loop.sleep(seconds(0.05));
}

ReportAnswer WorkerService::answer(const WorkerReport& report) {
  const Time now = ctx_.loop.refresh();
  if (ctx_.scheduler == nullptr || !ctx_.leadership.serves_workers(now)) return {};
  if (report.token > ctx_.leadership.token()) {
    store_.step_down("a worker has seen a higher token");
    return {};
  }
  if (ctx_.scheduler->is_gone(report.machine)) return {ReportAnswer::Kind::gone, {}};
  ReportAnswer out{ReportAnswer::Kind::orders, {}};
  out.orders = ctx_.scheduler->on_report(report, ReportSource::beat, now, ctx_.may_start());
  if (ctx_.scheduler->leaves_unanswered(report.machine)) return {ReportAnswer::Kind::gone, {}};
  // From here its lease may be renewed. It counts from the sending of the report, which lies before this moment,
  // however long the answer takes and whichever node hands it over.
  ctx_.scheduler->answered(report.machine, ctx_.loop.refresh());
  return out;
}

rt::HttpResponse WorkerService::response_to(const ReportAnswer& answer, Token token) const {
  switch (answer.kind) {
    case ReportAnswer::Kind::orders:
      return {200, wire::encode_orders(token, answer.orders), {}, false};
    case ReportAnswer::Kind::gone:
    case ReportAnswer::Kind::later:
      return {503, "{}", {}, false};
    case ReportAnswer::Kind::misdirected:
      break;
  }
  return misdirected();
}

rt::Task<void> WorkerService::run() {
  for (;;) {
    const bool stale = ctx_.scheduler != nullptr && ctx_.scheduler->stale();
    const Time until = ctx_.now() + ctx_.policy.round;
    if (!stale) co_await ctx_.wake.wait(until);
    ctx_.leadership.tick(ctx_.now());
    if (ctx_.scheduler == nullptr) {
      co_await ctx_.loop.sleep(min_round_gap);
      continue;
    }
    const Time before = ctx_.loop.refresh();
    const bool rounds = ctx_.may_start();
    if (rounds) ctx_.scheduler->round(ctx_.now());
    const Duration spent = ctx_.loop.refresh() - before;
    if (rounds) ctx_.metrics.rounds.observe(spent);
    if (ctx_.scheduler->has_writes(false, ctx_.now())) ctx_.flush.notify();
    ctx_.flushed.notify();  // stops need no commit: let the sender look
    // Where rounds are slow, reports, renewals and users come first.
    co_await ctx_.loop.sleep(std::max(min_round_gap, spent * round_share));
  }
}

rt::Task<void> WorkerService::send_loop() {
  std::uint64_t announced = 0;
  for (;;) {
    const Time until = ctx_.now() + seconds(0.5);
    co_await ctx_.flushed.wait(until);
    if (!ctx_.may_start()) continue;
    if (announced != ctx_.term) {
      announced = ctx_.term;
      rt::spawn(announce_all(ctx_.term));
    }
    for (auto& batch : ctx_.scheduler->take_direct(ctx_.now())) rt::spawn(send(ctx_.term, std::move(batch)));
  }
}

rt::Task<void> WorkerService::send(std::uint64_t term, DirectBatch batch) {
  std::string body = wire::encode_commands(ctx_.leadership.token(), batch.session, batch.orders);
  const rt::HttpResult r = co_await http_.request(batch.addr, "POST", "/commands", std::move(body), seconds(2));
  if (!ctx_.leads(term)) co_return;
  auto outcome = DirectOutcome::unknown;
  if (r.outcome == rt::Outcome::not_sent) outcome = DirectOutcome::not_sent;
  std::optional<WorkerReport> report;
  if (r.outcome == rt::Outcome::answered) {
    report = wire::parse_report(r.body);
    if (r.status == 200 && report) outcome = DirectOutcome::executed;
    if (r.status == 409 || r.status == 400) outcome = DirectOutcome::refused;
  }
  ctx_.scheduler->on_direct(batch, outcome, ctx_.now());
  if (outcome == DirectOutcome::unknown && !batch.orders.empty()) {
    ctx_.log->info("direct command to {} unanswered: it may still be executed", batch.machine.value());
  }
  if (report && report->token <= ctx_.leadership.token()) {
    ctx_.scheduler->on_report(*report, ReportSource::direct, ctx_.now(), ctx_.may_start());
  }
  ctx_.kick();
}

// A few at a time, those with work first: reports of all workers arrive in the same moments.
rt::Task<void> WorkerService::announce_all(std::uint64_t term) {
  auto left = std::make_shared<std::vector<DirectBatch>>(ctx_.scheduler->announcements());
  std::ranges::reverse(*left);
  for (int i = 0; i < announcers; ++i) rt::spawn(announce_some(term, left));
  co_return;
}

rt::Task<void> WorkerService::announce_some(std::uint64_t term, std::shared_ptr<std::vector<DirectBatch>> left) {
  while (ctx_.leads(term) && !left->empty()) {
    DirectBatch batch = std::move(left->back());
    left->pop_back();
    const auto m = ctx_.scheduler->machines().find(batch.machine);
    if (m == ctx_.scheduler->machines().end() || m->second.seen) continue;
    co_await announce(term, std::move(batch));
  }
}

// Makes a worker know the new token, which fences the old leader's commands, and learns its tasks.
rt::Task<void> WorkerService::announce(std::uint64_t term, DirectBatch batch) {
  for (int attempt = 0; attempt < 3 && ctx_.leads(term); ++attempt) {
    std::string body = wire::encode_commands(ctx_.leadership.token(), batch.session, batch.orders);
    const rt::HttpResult r = co_await http_.request(batch.addr, "POST", "/commands", std::move(body), seconds(2));
    if (!ctx_.leads(term)) co_return;
    const auto report = r.outcome == rt::Outcome::answered ? wire::parse_report(r.body) : std::nullopt;
    if (!report) {
      co_await ctx_.loop.sleep(seconds(1));
      continue;
    }
    if (report->token > ctx_.leadership.token()) {
      store_.step_down("a worker has seen a higher token");
      co_return;
    }
    ctx_.scheduler->on_report(*report, ReportSource::direct, ctx_.now(), ctx_.may_start());
    ctx_.kick();
    if (r.status == 200) co_return;
    batch.session = report->session;  // 409: it has begun another session meanwhile
  }
}

}  // namespace martenwall::service
