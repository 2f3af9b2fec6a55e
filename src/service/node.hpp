// One controller node: its services and their routes.
#pragma once
#include "core/leadership/retry_after.hpp"
#include "runtime/http_server.hpp"
#include "service/cloud_service.hpp"
#include "service/configuration_changes.hpp"
#include "service/configuration_service.hpp"
#include "service/context.hpp"
#include "service/format_version_service.hpp"
#include "service/heartbeat_relay.hpp"
#include "service/job_row_store.hpp"
#include "service/leader_service.hpp"
#include "service/metrics_service.hpp"
#include "service/peer_service.hpp"
#include "service/reachability_service.hpp"
#include "service/store_client.hpp"
#include "service/user_service.hpp"
#include "service/worker_service.hpp"

namespace martenwall::service {

class Node {
 public:
  Node(rt::Loop& loop, config::Settings settings, Policy policy, std::shared_ptr<spdlog::logger> log);
  void start();  // its services, on the loop
  [[noreturn]] void run();
  [[nodiscard]] std::uint16_t users_port() const { return server_.port(); }
  [[nodiscard]] std::uint16_t peers_port() const { return peers_.port(); }
  [[nodiscard]] const Context& context() const { return ctx_; }

 private:
  rt::Task<rt::HttpResponse> route(rt::HttpMessage request);
  rt::Task<rt::HttpResponse> route_path(rt::HttpMessage request);
  rt::Task<wire::PeerReply> route_peer(wire::PeerRequest request);
  rt::Task<rt::HttpResponse> route_job(const std::string& method, std::string rest);

  Context ctx_;
  const std::size_t worker_room_;  // connections that workers may hold
  RetryAfterPacer retry_after_;    // of users that were refused
  StoreClient store_;
  JobRowStore job_rows_;
  FormatVersionService format_versions_;
  ConfigurationService configuration_;
  LeaderService leader_service_;
  WorkerService workers_;
  CloudService cloud_;
  UserService users_;
  PeerService peers_;
  ConfigurationChanges changes_;
  ReachabilityService reach_;
  HeartbeatRelay relay_;
  rt::HttpServer server_;
  MetricsService metrics_;
};

}  // namespace martenwall::service
