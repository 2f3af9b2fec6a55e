// HTTP/1.1 server. Every connection has deadlines and size limits.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "runtime/http_parser.hpp"
#include "runtime/socket.hpp"

namespace martenwall::rt {

// Response of a handler. `retry_after_s` becomes the header Retry-After; `close` becomes Connection: close.
struct HttpResponse {
  int status = 200;
  std::string body;
  std::optional<int> retry_after_s;
  bool close = false;
  std::string content_type{"application/json"};
};

// Serves the connections of one listener. Must live as long as the loop runs.
class HttpServer {
 public:
  using Handler = std::function<Task<HttpResponse>(HttpMessage)>;
  // Limits on the number of connections and on their waiting times.
  struct Limits {
    std::size_t max_connections = 256;
    Duration idle_timeout = seconds(90);      // between two requests of a connection
    Duration request_timeout = seconds(10);   // from the first to the last byte of a request
    Duration response_timeout = seconds(10);  // until the response has been sent
    // Connections with requests to paths of this prefix are counted separately and have an idle timeout of their own:
    // there are many of them, and a shorter timeout frees connections for other clients.
    std::string bulk_path{};
    Duration bulk_idle_timeout = seconds(90);
  };

  // Starts to listen; throws if the address cannot be bound. `handler` is not called before `serve` is started.
  HttpServer(Loop& loop, const Endpoint& at, Limits limits, Handler handler);

  // Accepts connections; never returns.
  Task<void> serve();

  // Returns the port on which the server listens.
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  // Returns the number of open connections.
  [[nodiscard]] std::size_t open_connections() const { return open_connections_; }
  // Returns the number of open connections that have sent a request to `Limits::bulk_path`.
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
  std::size_t bulk_connections_ = 0;  // included in `open_connections_`
};

}  // namespace martenwall::rt
