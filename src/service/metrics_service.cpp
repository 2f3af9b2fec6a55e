#include "service/metrics_service.hpp"

namespace martenwall::service {

namespace {
constexpr Duration log_interval = seconds(60);
constexpr std::size_t max_scrape_connections = 8;
constexpr std::size_t max_pairs_in_line = 12;  // pairs of class and team: keeps the line readable
}  // namespace

MetricsService::MetricsService(Context& ctx, StoreClient& store, std::function<Connections()> connections)
    : ctx_(ctx), store_(store), connections_(std::move(connections)) {
  if (ctx_.policy.metrics_port == 0) return;
  rt::HttpServer::Limits limits;
  limits.max_connections = max_scrape_connections;
  // On loopback only: operators who want remote scraping put a proxy in front.
  const rt::Endpoint endpoint{"127.0.0.1", static_cast<std::uint16_t>(ctx_.policy.metrics_port)};
  server_ = std::make_unique<rt::HttpServer>(ctx_.loop, endpoint, std::move(limits),
                                             [this](rt::HttpMessage m) { return answer(std::move(m)); });
}

metrics::Gauges MetricsService::gauges() {
  metrics::Gauges out;
  const auto open = connections_();
  out.connections = open.total;
  out.worker_connections = open.workers;
  out.worker_capacity = open.worker_capacity;
  out.state_requests_used = store_.request_share_used();
  out.configuration = ctx_.configuration.version.value();
  if (ctx_.scheduler == nullptr) return out;
  out.leads = true;
  out.machines = ctx_.scheduler->machines().size();
  out.jobs = ctx_.scheduler->jobs().size();
  for (const auto priority : {WritePriority::foreground, WritePriority::best_effort, WritePriority::deferrable}) {
    const auto backlog = ctx_.scheduler->backlog(priority, ctx_.now());
    out.store_queues.at(static_cast<std::size_t>(priority)) = {backlog.rows, to_seconds(backlog.oldest)};
  }
  return out;
}

rt::Task<rt::HttpResponse> MetricsService::answer(rt::HttpMessage request) {
  if (request.target != "/metrics") co_return rt::HttpResponse{404, "{}", {}, false};
  if (request.method != "GET") co_return rt::HttpResponse{405, "{}", {}, false};
  ctx_.metrics.set(gauges());
  if (ctx_.scheduler != nullptr) ctx_.metrics.set(ctx_.scheduler->service_record().all());
  rt::HttpResponse response{200, ctx_.metrics.exposition(), {}, false};
  response.content_type = "text/plain; version=0.0.4";
  co_return response;
}

rt::Task<void> MetricsService::run() {
  if (server_) rt::spawn(server_->serve());  // detached: runs as long as the process
  for (;;) {
    co_await ctx_.loop.sleep(log_interval);
    ctx_.log->info("minute: {}", ctx_.metrics.minute_line(gauges()));
    if (ctx_.scheduler != nullptr)
      ctx_.log->info("served: {}", ctx_.scheduler->service_record().minute_line(max_pairs_in_line));
  }
}

}  // namespace martenwall::service
