#include "runtime/http_server.hpp"

#include <array>

namespace martenwall::rt {

namespace {

constexpr Duration stall_recovery_window = seconds(0.5);

std::string write_response(const HttpResponse& response, bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
  out.append(reason_phrase(response.status))
      .append("\r\nContent-Type: ")
      .append(response.content_type)
      .append("\r\nContent-Length: ");
  out.append(std::to_string(response.body.size()));
  if (response.retry_after_s) out.append("\r\nRetry-After: ").append(std::to_string(*response.retry_after_s));
  if (close) out.append("\r\nConnection: close");
  out.append("\r\n\r\n").append(response.body);
  return out;
}

}  // namespace

HttpServer::HttpServer(Loop& loop, const Endpoint& at, Limits limits, Handler handler)
    : loop_(loop), listener_(loop, at), limits_(std::move(limits)), handler_(std::move(handler)) {}

Task<void> HttpServer::serve() {
  for (;;) {
    auto socket = co_await listener_.accept();
    // Above the limit, the connection is closed immediately, so that the client tries another node.
    if (!socket || open_connections_ >= limits_.max_connections) continue;
    spawn(connection(std::move(*socket)));
  }
}

Task<std::optional<HttpMessage>> HttpServer::read_request(Socket& socket, HttpParser& parser, std::string& unparsed,
                                                          Duration idle_timeout) {
  Time deadline = loop_.now() + idle_timeout;
  std::array<char, 8192> buffer{};
  for (;;) {
    const bool was_started = parser.started();
    unparsed.erase(0, parser.feed(unparsed));
    if (!was_started && parser.started()) deadline = loop_.now() + limits_.request_timeout;
    if (parser.complete()) co_return std::optional<HttpMessage>{parser.take_message()};
    if (parser.failed()) co_return std::nullopt;
    const long size = co_await socket.read_some(buffer.data(), buffer.size(), deadline);
    if (size <= 0) co_return std::nullopt;
    unparsed.append(buffer.data(), static_cast<std::size_t>(size));
  }
}

Task<void> HttpServer::connection(Socket socket) {
  ++open_connections_;
  HttpParser parser{HttpParser::Kind::request, HttpParser::Limits{}};
  std::string unparsed;
  bool bulk = false;
  for (;;) {
    auto request =
        co_await read_request(socket, parser, unparsed, bulk ? limits_.bulk_idle_timeout : limits_.idle_timeout);
    const bool is_bulk = request && !limits_.bulk_path.empty() && request->target.starts_with(limits_.bulk_path);
    if (is_bulk && !std::exchange(bulk, true)) ++bulk_connections_;
    // After a stall, requests may be older than their clients' timeouts. Work for clients that have disconnected would
    // only delay the others.
    const bool after_stall = loop_.now() - loop_.last_stall().ended < stall_recovery_window;
    if (request && after_stall && socket.peer_closed()) break;
    HttpResponse response;
    bool close = true;
    if (request) {
      close = !request->keep_alive;
      try {
        response = co_await handler_(std::move(*request));
      } catch (const std::exception&) {
        // An error in one request must not affect the others.
        response = HttpResponse{500, R"({"error":"internal"})", 1, true};
      }
    } else if (parser.failed()) {
      response = HttpResponse{parser.error_status(), R"({"error":"malformed request"})", {}, true};
    } else {
      break;
    }
    close = close || response.close;
    const std::string bytes = write_response(response, close);
    const Time deadline = loop_.now() + limits_.response_timeout;
    const bool sent = co_await socket.write_all(bytes, deadline);
    if (!sent || close) break;
  }
  if (bulk) --bulk_connections_;
  --open_connections_;
}

}  // namespace martenwall::rt
