// A controller node: its services and the routing of requests to them.
#pragma once
#include "core/leadership/retry_after.hpp"
#include "runtime/http_server.hpp"
#include "service/cancellation_service.hpp"
#include "service/cloud_service.hpp"
#include "service/configuration_changes.hpp"
#include "service/configuration_service.hpp"
#include "service/context.hpp"
#include "service/dependency_checker.hpp"
#include "service/format_version_service.hpp"
#include "service/health_check.hpp"
#include "service/heartbeat_relay.hpp"
#include "service/inbox_writer.hpp"
#include "service/job_reader.hpp"
#include "service/job_row_store.hpp"
#include "service/leader_service.hpp"
#include "service/metrics_service.hpp"
#include "service/peer_request_handler.hpp"
#include "service/peer_service.hpp"
#include "service/reachability_service.hpp"
#include "service/status_query_service.hpp"
#include "service/store_client.hpp"
#include "service/submission_service.hpp"
#include "service/worker_service.hpp"

namespace martenwall::service {

// Constructs the services in order of their dependencies and connects them to the listeners for users and for peers.
// Everything runs on the thread of the given loop.
class Node {
 public:
  // The settings and the policy must have passed config::check. Throws if a listener's address cannot be bound.
  Node(rt::Loop& loop, config::Settings settings, Policy policy, std::shared_ptr<spdlog::logger> log);
  // Starts the services and returns immediately; the loop then runs them. Must be called only once.
  void start();
  // Starts the services and runs the loop.
  [[noreturn]] void run();
  // Returns the port for users and workers; the one that the system chose if the settings specify port 0.
  [[nodiscard]] std::uint16_t users_port() const { return server_.port(); }
  // Returns the port for other nodes.
  [[nodiscard]] std::uint16_t peers_port() const { return peers_.port(); }
  // Returns the node's state, for tests and the scale run.
  [[nodiscard]] const Context& context() const { return ctx_; }

 private:
  rt::Task<rt::HttpResponse> route(rt::HttpMessage request);
  rt::Task<rt::HttpResponse> route_path(rt::HttpMessage request);
  rt::Task<wire::PeerReply> route_peer(wire::PeerRequest request);
  rt::Task<rt::HttpResponse> route_job(const std::string& method, std::string job_path);

  Context ctx_;
  const std::size_t max_worker_connections_;  // connections available to workers
  RetryAfterPacer retry_after_;               // spreads the retries of rejected users
  StoreClient store_;
  JobRowStore job_rows_;
  FormatVersionService format_versions_;
  ConfigurationService configuration_;
  LeaderService leader_service_;
  WorkerService workers_;
  PeerService peers_;  // its handler uses services declared below and is not called before `start`
  CloudService cloud_;
  JobReader job_reader_;
  InboxWriter inbox_writer_;
  DependencyChecker dependency_checker_;
  SubmissionService submissions_;
  StatusQueryService status_queries_;
  CancellationService cancellations_;
  PeerRequestHandler peer_requests_;
  HealthCheck health_check_;
  ConfigurationChanges configuration_changes_;
  ReachabilityService reachability_;
  HeartbeatRelay heartbeat_relay_;
  rt::HttpServer server_;
  MetricsService metrics_;
};

}  // namespace martenwall::service
