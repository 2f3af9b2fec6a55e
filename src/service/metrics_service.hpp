// What this node measures of itself: a line a minute in the log, and /metrics where a port is set for it.
#pragma once
#include <functional>
#include <memory>

#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

class MetricsService {
 public:
  struct Connections {
    std::size_t all = 0, workers = 0, worker_room = 0;
  };
  MetricsService(Context& ctx, StoreClient& state, std::function<Connections()> connections);
  rt::Task<void> run();
  [[nodiscard]] std::uint16_t port() const { return server_ ? server_->port() : std::uint16_t{0}; }
  [[nodiscard]] metrics::Gauges gauges();

 private:
  rt::Task<rt::HttpResponse> answer(rt::HttpMessage request);

  Context& ctx_;
  StoreClient& store_;
  std::function<Connections()> connections_;
  std::unique_ptr<rt::HttpServer> server_;  // nothing where no port is set
};

}  // namespace martenwall::service
