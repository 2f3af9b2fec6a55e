// What this node measures of itself: a line a minute in the log, and /metrics where a port is set for it.
#pragma once
#include <functional>
#include <memory>

#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Gathers the gauges from the other services. The listener is on loopback only.
class MetricsService {
 public:
  // Open connections of users and workers, those of workers, and as many of these as there is room for.
  struct Connections {
    std::size_t total = 0, workers = 0, worker_capacity = 0;
  };

  // Listens from here on where the policy sets a port; throws where that cannot be bound. `connections` is called with
  // each exposition and line, not before `run`.
  MetricsService(Context& ctx, StoreClient& store, std::function<Connections()> connections);

  // Serves /metrics and writes the lines; runs as long as the node.
  rt::Task<void> run();

  // The port that it listens on, 0 where none is set.
  [[nodiscard]] std::uint16_t port() const { return server_ ? server_->port() : std::uint16_t{0}; }

  // This node's state now.
  [[nodiscard]] metrics::Gauges gauges();

 private:
  rt::Task<rt::HttpResponse> answer(rt::HttpMessage request);

  Context& ctx_;
  StoreClient& store_;
  std::function<Connections()> connections_;
  std::unique_ptr<rt::HttpServer> server_;  // nothing where no port is set
};

}  // namespace martenwall::service
