// Serves HTTP/1.1 on a listener. Every connection has deadlines and bounds.
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
  struct Bounds {
    std::size_t connections = 256;
    Duration idle = seconds(90);     // between requests
    Duration request = seconds(10);  // from a request's first byte to its last
    Duration answer = seconds(10);   // to take our response
    // Connections whose requests begin with this path are counted apart: they are many, and give way to others.
    std::string bulk_path{};
    Duration bulk_idle = seconds(90);
  };

  // Listens from here on; throws where the address cannot be bound. `handler` is called only after `serve` was started.
  HttpServer(Loop& loop, const Endpoint& at, Bounds bounds, Handler handler);

  // Accepts connections; never ends.
  Task<void> serve();

  // The port that it listens on.
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  // Open connections.
  [[nodiscard]] std::size_t open() const { return open_; }
  // Those of them that have sent a request to `Bounds::bulk_path`.
  [[nodiscard]] std::size_t bulk() const { return bulk_; }

 private:
  Task<void> connection(Socket socket);
  Task<std::optional<HttpMessage>> read_request(Socket& socket, HttpParser& parser, std::string& spare, Duration idle);

  Loop& loop_;
  Listener listener_;
  Bounds bounds_;
  Handler handler_;
  std::size_t open_ = 0;
  std::size_t bulk_ = 0;  // of these, by `Bounds::bulk_path`
};

}  // namespace martenwall::rt
