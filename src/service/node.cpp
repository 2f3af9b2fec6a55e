#include "service/node.hpp"

#include <string_view>

namespace martenwall::service {

namespace {

constexpr std::string_view jobs_path = "/api/jobs";

rt::HttpServer::Limits connection_limits(const config::Settings& settings) {
  rt::HttpServer::Limits limits;
  // Reserves sockets for the state service, the cloud, workers and the other nodes.
  const std::size_t reserved = std::min<std::size_t>(150 + settings.max_connections / 10, settings.max_connections / 3);
  limits.max_connections = settings.max_connections - reserved;
  // A healthy worker sends its next heartbeat within `bulk_idle_timeout`. A connection that is idle for longer is
  // closed to free capacity for another one.
  limits.bulk_path = "/agent/";
  limits.bulk_idle_timeout = std::max(seconds(15), seconds(settings.workers.heartbeat_interval_s * 2.5));
  return limits;
}

// Returns the number of connections available to workers. A sixth of all connections, and at least 16, are reserved for
// users.
std::size_t max_worker_connections(const rt::HttpServer::Limits& limits) {
  return limits.max_connections -
         std::min(limits.max_connections, std::max<std::size_t>(16, limits.max_connections / 6));
}

// Users give up after 60 s and retry after the time that a response states, so several retries must fit into that time.
constexpr int max_retry_after_s = 8;

// Returns the retries per second that this node can accept. Each submission costs one change of the state service,
// whose write rate all nodes share.
double retries_per_second(const config::Settings& settings) {
  return settings.state_write_rps / static_cast<double>(settings.peers.size() + 1);
}

rt::HttpResponse empty_response(int status) { return {status, "{}", {}, false}; }

}  // namespace

Node::Node(rt::Loop& loop, config::Settings settings, Policy policy, std::shared_ptr<spdlog::logger> log)
    : ctx_(loop, std::move(settings), policy, std::move(log)),
      max_worker_connections_(max_worker_connections(connection_limits(ctx_.settings))),
      retry_after_(retries_per_second(ctx_.settings), max_retry_after_s),
      store_(ctx_),
      job_rows_(ctx_, store_),
      format_versions_(ctx_, store_),
      configuration_(ctx_, store_),
      leader_service_(ctx_, store_, job_rows_, format_versions_, configuration_),
      workers_(ctx_, leader_service_),
      peers_(ctx_, [this](wire::PeerRequest request) { return route_peer(std::move(request)); }),
      cloud_(ctx_, store_, peers_),
      job_reader_(ctx_, store_, leader_service_, job_rows_),
      inbox_writer_(ctx_, store_),
      dependency_checker_(ctx_, store_, job_rows_, job_reader_),
      submissions_(ctx_, {peers_, leader_service_, job_rows_, job_reader_, dependency_checker_, inbox_writer_}),
      status_queries_(ctx_, store_, peers_, job_reader_, inbox_writer_),
      cancellations_(ctx_, peers_, leader_service_, job_rows_, job_reader_, inbox_writer_),
      peer_requests_(ctx_, job_reader_, submissions_, cancellations_),
      health_check_(ctx_, peers_),
      configuration_changes_(ctx_, store_, peers_, configuration_),
      reachability_(ctx_, store_, leader_service_, peers_),
      heartbeat_relay_(ctx_, peers_, workers_,
                       [this] {
                         return relay::NodeLoad{server_.bulk_connections(), max_worker_connections_};
                       }),
      server_(loop, *rt::Endpoint::parse(ctx_.settings.listen), connection_limits(ctx_.settings),
              [this](rt::HttpMessage message) { return route(std::move(message)); }),
      metrics_(ctx_, store_, [this] {
        return MetricsService::Connections{server_.open_connections(), server_.bulk_connections(),
                                           max_worker_connections_};
      }) {}

void Node::start() {
  ctx_.loop.on_stall([this](const rt::Loop::Stall& stall) {
    ctx_.log->info("process stalled seconds={:.1f} state={}", to_seconds(stall.length),
                   name_of(ctx_.leadership.state()));
  });
  // Detached: these coroutines run for the lifetime of the process; the node owns the objects they use.
  rt::spawn(format_versions_.run());
  rt::spawn(configuration_.run());
  rt::spawn(configuration_changes_.run());
  rt::spawn(leader_service_.run());
  rt::spawn(workers_.run_cycles());
  rt::spawn(workers_.run_command_sender());
  rt::spawn(cloud_.run_types());
  rt::spawn(cloud_.run_list());
  rt::spawn(cloud_.run_scaling());
  rt::spawn(peers_.serve());
  rt::spawn(peers_.run_pings());
  rt::spawn(status_queries_.run());
  rt::spawn(reachability_.run());
  rt::spawn(heartbeat_relay_.run());
  rt::spawn(metrics_.run());
  rt::spawn(server_.serve());
  ctx_.log->info("node started node={} listen={} grace_s={}", ctx_.settings.node, ctx_.settings.listen,
                 to_seconds(ctx_.leadership.grace()));
}

void Node::run() {
  start();
  ctx_.loop.run();
}

rt::Task<rt::HttpResponse> Node::route(rt::HttpMessage request) {
  rt::HttpResponse response = co_await route_path(std::move(request));
  // Without pacing, all users that were rejected during an outage would retry within the same second.
  if (response.retry_after_s) response.retry_after_s = retry_after_.next(ctx_.loop.update_time());
  co_return response;
}

rt::Task<rt::HttpResponse> Node::route_path(rt::HttpMessage request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/agent/beat") {
    if (request.method != "POST") co_return empty_response(405);
    co_return co_await heartbeat_relay_.on_heartbeat(std::move(request.body));
  }
  if (path == "/up") {
    if (request.method != "GET") co_return empty_response(405);
    co_return empty_response(health_check_.healthy() ? 200 : 503);
  }
  if (path == jobs_path) {
    if (request.method != "POST") co_return empty_response(405);
    co_return co_await submissions_.submit(std::move(request.body));
  }
  if (path.starts_with("/api/jobs/")) {
    std::string job_path = path.substr(jobs_path.size() + 1);
    co_return co_await route_job(request.method, std::move(job_path));
  }
  co_return empty_response(404);
}

rt::Task<wire::PeerReply> Node::route_peer(wire::PeerRequest request) {
  if (request.verb == wire::PeerVerb::stranded) co_return reachability_.on_stranded_report(request);
  if (request.verb == wire::PeerVerb::heartbeats) co_return co_await heartbeat_relay_.on_heartbeats(std::move(request));
  if (request.verb == wire::PeerVerb::configuration)
    co_return co_await configuration_changes_.on_peer_request(std::move(request));
  if (request.verb == wire::PeerVerb::cloud) co_return co_await cloud_.on_peer_request(std::move(request));
  co_return co_await peer_requests_.handle(std::move(request));
}

rt::Task<rt::HttpResponse> Node::route_job(const std::string& method, std::string job_path) {
  constexpr std::string_view suffix = "/cancel";
  if (job_path.ends_with(suffix)) {
    if (method != "POST") co_return empty_response(405);
    job_path.resize(job_path.size() - suffix.size());
    co_return co_await cancellations_.cancel(std::move(job_path));
  }
  if (method != "GET") co_return empty_response(405);
  co_return co_await status_queries_.status(std::move(job_path));
}

}  // namespace martenwall::service
