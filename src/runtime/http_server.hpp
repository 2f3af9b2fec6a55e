// Serves HTTP/1.1 on a listener. Every connection has deadlines and limits.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "runtime/http_parser.hpp"
#include "runtime/socket.hpp"

namespace martenwall::rt {

// What a handler answers. `retry_after_s` and `close` become the headers of these names.
struct HttpResponse {
  int status = 200;
  std::string body;
  std::optional<int> retry_after_s;
  bool close = false;
  std::string content_type{"application/json"};
};

// Serves the connections of one listener. Its owner keeps it alive as long as the loop runs.
class HttpServer {
 public:
  using Handler = std::function<Task<HttpResponse>(HttpMessage)>;
  // Limits of connections in number and time.
  struct Limits {
    std::size_t max_connections = 256;
    Duration idle_timeout = seconds(90);      // between requests
    Duration request_timeout = seconds(10);   // from a request's first byte to its last
    Duration response_timeout = seconds(10);  // to take our response
    // Connections whose requests begin with this path are counted apart: they are many, and give way to others.
    std::string bulk_path{};
    Duration bulk_idle_timeout = seconds(90);
  };

  // Listens from here on; throws where the address cannot be bound. `handler` is called only after `serve` was started.
  HttpServer(Loop& loop, const Endpoint& at, Limits limits, Handler handler);

  // Accepts connections; never ends.
  Task<void> serve();

  // The port that it listens on.
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  // Open connections.
  [[nodiscard]] std::size_t open_connections() const { return open_connections_; }
  // Those of them that have sent a request to `Limits::bulk_path`.
  [[nodiscard]] std::size_t bulk_connections() const { return bulk_connections_; }

 private:
  Task<void> connection(Socket socket);
  Task<std::optional<HttpMessage>> read_request(Socket& socket, HttpParser& parser, std::string& unparsed,
                                                Duration idle_timeout);

  Loop& loop_;
  Listener listener_;
  Limits limits_;
  Handler handler_;
  std::size_t open_connections_ = 0;
  std::size_t bulk_connections_ = 0;  // of these, by `Limits::bulk_path`
};

}  // namespace martenwall::rt
