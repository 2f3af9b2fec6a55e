// Publishes this node's metrics: a log line per minute, and /metrics if a port is set.
#pragma once
#include <functional>
#include <memory>

#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Collects the gauges from the other services. Listens on loopback only.
class MetricsService {
 public:
  // Open connections of users and workers, those of workers alone, and the maximum number of the latter.
  struct Connections {
    std::size_t total = 0, workers = 0, worker_capacity = 0;
  };

  // Starts listening if the policy sets a port; throws if the port cannot be bound. `connections` is called for each
  // exposition and log line, not before `run`.
  MetricsService(Context& ctx, StoreClient& store, std::function<Connections()> connections);

  // Serves /metrics and writes the log lines; runs as long as the node.
  rt::Task<void> run();

  // The listening port; 0 if none is set.
  [[nodiscard]] std::uint16_t port() const { return server_ ? server_->port() : std::uint16_t{0}; }

  // Returns this node's current state.
  [[nodiscard]] metrics::Gauges gauges();

 private:
  rt::Task<rt::HttpResponse> answer(rt::HttpMessage request);

  Context& ctx_;
  StoreClient& store_;
  std::function<Connections()> connections_;
  std::unique_ptr<rt::HttpServer> server_;  // null if no port is set
};

}  // namespace martenwall::service
