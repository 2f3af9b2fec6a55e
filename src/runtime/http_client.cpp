#include "runtime/http_client.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace martenwall::rt {

namespace {

constexpr Duration max_idle_time = seconds(30);

// Returns whether an idle connection is still open. A connection that the server has closed is readable, with no data
// or with an error.
bool still_open(const Socket& socket) {
  char peeked = 0;
  const auto size = ::recv(socket.fd(), &peeked, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

HttpClient::HttpClient(Loop& loop, std::size_t max_open_requests, std::size_t max_body_bytes,
                       std::size_t max_idle_connections)
    : loop_(loop),
      max_open_requests_(max_open_requests),
      max_body_bytes_(max_body_bytes),
      max_idle_connections_(max_idle_connections) {}

std::optional<Socket> HttpClient::take_idle(const std::string& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return std::nullopt;
  auto& connections = it->second;
  while (!connections.empty()) {
    IdleConnection last = std::move(connections.back());
    connections.pop_back();
    --idle_connections_;
    if (loop_.now() - last.since < max_idle_time && still_open(last.socket)) {
      return std::move(last.socket);
    }
  }
  idle_.erase(it);
  return std::nullopt;
}

void HttpClient::store_idle(const std::string& address, Socket socket) {
  if (loop_.now() >= next_idle_sweep_) {
    next_idle_sweep_ = loop_.now() + seconds(1);
    for (auto it = idle_.begin(); it != idle_.end();) {
      idle_connections_ -= std::erase_if(
          it->second, [&](const IdleConnection& idle) { return loop_.now() - idle.since >= max_idle_time; });
      it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
  }
  if (idle_connections_ >= max_idle_connections_) return;
  idle_[address].push_back(IdleConnection{std::move(socket), loop_.now()});
  ++idle_connections_;
}

Task<HttpResult> HttpClient::request(std::string address, std::string method, std::string target, std::string body,
                                     Duration timeout) {
  if (open_requests_ >= max_open_requests_) co_return HttpResult{};
  ++open_requests_;
  std::string bytes = write_request(method, target, address, body);
  const Time deadline = loop_.now() + timeout;
  HttpResult result = co_await exchange(std::move(address), std::move(bytes), deadline);
  --open_requests_;
  co_return result;
}

Task<HttpResult> HttpClient::exchange(std::string address, std::string bytes, Time deadline) {
  auto socket = take_idle(address);
  if (!socket) {
    auto endpoint = Endpoint::parse(address);
    if (!endpoint) co_return HttpResult{};
    auto connected = co_await Socket::connect(loop_, std::move(*endpoint), deadline);
    if (!connected) co_return HttpResult{};
    socket.emplace(std::move(*connected));
  }
  bool reusable = false;
  HttpResult result = co_await send_and_receive(*socket, bytes, deadline, reusable);
  if (reusable) store_idle(address, std::move(*socket));
  co_return result;
}

Task<HttpResult> HttpClient::send_and_receive(Socket& socket, const std::string& bytes, Time deadline, bool& reusable) {
  HttpResult result{Outcome::unknown, 0, {}};
  const bool sent = co_await socket.write_all(bytes, deadline);
  if (!sent) co_return result;
  HttpParser parser{HttpParser::Kind::response, HttpParser::Limits{16 * 1024, max_body_bytes_}};
  std::array<char, 16384> buffer{};
  while (!parser.complete()) {
    const long size = co_await socket.read_some(buffer.data(), buffer.size(), deadline);
    if (size < 0) co_return result;
    if (size == 0) {
      parser.end_of_input();
    } else {
      const std::string_view received{buffer.data(), static_cast<std::size_t>(size)};
      parser.feed(received);
    }
    if (parser.failed()) co_return result;
  }
  HttpMessage message = parser.take_message();
  reusable = message.keep_alive;
  result = HttpResult{Outcome::answered, message.status, std::move(message.body)};
  co_return result;
}

}  // namespace martenwall::rt
