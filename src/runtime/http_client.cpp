#include "runtime/http_client.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace martenwall::rt {

namespace {

constexpr Duration idle_limit = seconds(30);

// A kept connection that the other side has closed meanwhile is readable (with nothing, or an error).
bool still_open(const Socket& s) {
  char c = 0;
  const auto n = ::recv(s.fd(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

HttpClient::HttpClient(Loop& loop, std::size_t max_open, std::size_t max_body, std::size_t max_idle)
    : loop_(loop), max_open_(max_open), max_body_(max_body), max_idle_(max_idle) {}

std::optional<Socket> HttpClient::take_idle(const std::string& to) {
  const auto it = idle_.find(to);
  if (it == idle_.end()) return std::nullopt;
  auto& list = it->second;
  while (!list.empty()) {
    Idle last = std::move(list.back());
    list.pop_back();
    --kept_;
    if (loop_.now() - last.since < idle_limit && still_open(last.socket)) {
      return std::move(last.socket);
    }
  }
  idle_.erase(it);
  return std::nullopt;
}

void HttpClient::keep(const std::string& to, Socket socket) {
  if (loop_.now() >= next_sweep_) {
    next_sweep_ = loop_.now() + seconds(1);
    for (auto it = idle_.begin(); it != idle_.end();) {
      kept_ -= std::erase_if(it->second, [&](const Idle& i) { return loop_.now() - i.since >= idle_limit; });
      it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
  }
  if (kept_ >= max_idle_) return;
  idle_[to].push_back(Idle{std::move(socket), loop_.now()});
  ++kept_;
}

Task<HttpResult> HttpClient::request(std::string to, std::string method, std::string target, std::string body,
                                     Duration timeout) {
  if (open_ >= max_open_) co_return HttpResult{};
  ++open_;
  std::string bytes = write_request(method, target, to, body);
  const Time deadline = loop_.now() + timeout;
  HttpResult result = co_await exchange(std::move(to), std::move(bytes), deadline);
  --open_;
  co_return result;
}

Task<HttpResult> HttpClient::exchange(std::string to, std::string bytes, Time deadline) {
  auto socket = take_idle(to);
  if (!socket) {
    auto endpoint = Endpoint::parse(to);
    if (!endpoint) co_return HttpResult{};
    auto fresh = co_await Socket::connect(loop_, std::move(*endpoint), deadline);
    if (!fresh) co_return HttpResult{};
    socket.emplace(std::move(*fresh));
  }
  bool reusable = false;
  HttpResult result = co_await talk(*socket, bytes, deadline, reusable);
  if (reusable) keep(to, std::move(*socket));
  co_return result;
}

Task<HttpResult> HttpClient::talk(Socket& socket, const std::string& bytes, Time deadline, bool& reusable) {
  HttpResult result{Outcome::unknown, 0, {}};
  const bool sent = co_await socket.write_all(bytes, deadline);
  if (!sent) co_return result;
  HttpParser parser{HttpParser::Kind::response, HttpParser::Limits{16 * 1024, max_body_}};
  std::array<char, 16384> buffer{};
  while (!parser.complete()) {
    const long n = co_await socket.read_some(buffer.data(), buffer.size(), deadline);
    if (n < 0) co_return result;
    if (n == 0) {
      parser.end_of_input();
    } else {
      const std::string_view got{buffer.data(), static_cast<std::size_t>(n)};
      parser.feed(got);
    }
    if (parser.failed()) co_return result;
  }
  HttpMessage message = parser.take();
  reusable = message.keep_alive;
  result = HttpResult{Outcome::answered, message.status, std::move(message.body)};
  co_return result;
}

}  // namespace martenwall::rt
