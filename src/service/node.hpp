// One controller node: its services and their routes.
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

// Constructs the services, each after those that it works with, and connects them to the two listeners. Everything runs
// on the thread of the given loop.
class Node {
 public:
  // The settings and the policy must have passed config::check. Throws where a listener's address cannot be bound.
  Node(rt::Loop& loop, config::Settings settings, Policy policy, std::shared_ptr<spdlog::logger> log);
  // Starts the services; returns at once. Called once; the loop runs them then.
  void start();
  // Starts the services and runs the loop.
  [[noreturn]] void run();
  // The port for users and workers, also where the settings leave the choice to the system.
  [[nodiscard]] std::uint16_t users_port() const { return server_.port(); }
  // The port for other nodes.
  [[nodiscard]] std::uint16_t peers_port() const { return peers_.port(); }
  // For tests and the scale run, which look at the node's state.
  [[nodiscard]] const Context& context() const { return ctx_; }

 private:
  rt::Task<rt::HttpResponse> route(rt::HttpMessage request);
  rt::Task<rt::HttpResponse> route_path(rt::HttpMessage request);
  rt::Task<wire::PeerReply> route_peer(wire::PeerRequest request);
  rt::Task<rt::HttpResponse> route_job(const std::string& method, std::string rest);

  Context ctx_;
  const std::size_t max_worker_connections_;  // connections that workers may hold
  RetryAfterPacer retry_after_;               // of users that were refused
  StoreClient store_;
  JobRowStore job_rows_;
  FormatVersionService format_versions_;
  ConfigurationService configuration_;
  LeaderService leader_service_;
  WorkerService workers_;
  PeerService peers_;  // its handler refers to services below, and is not called before `start`
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
