// Serves HTTP/1.1 on a listener. Every connection has deadlines and bounds.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "runtime/http_parser.hpp"
#include "runtime/socket.hpp"

namespace martenwall::rt {

struct HttpResponse {
  int status = 200;
  std::string body;
  std::optional<int> retry_after_s;
  bool close = false;
  std::string content_type{"application/json"};
};

class HttpServer {
 public:
  using Handler = std::function<Task<HttpResponse>(HttpMessage)>;
  struct Bounds {
    std::size_t connections = 256;
    Duration idle = seconds(90);     // between requests
    Duration request = seconds(10);  // from a request's first byte to its last
    Duration answer = seconds(10);   // to take our response
    // Connections whose requests begin with this path are counted apart: they are many, and give way to others.
    std::string bulk_path{};
    Duration bulk_idle = seconds(90);
  };
  HttpServer(Loop& loop, const Endpoint& at, Bounds bounds, Handler handler);
  Task<void> serve();
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  [[nodiscard]] std::size_t open() const { return open_; }
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
