#include "runtime/socket.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <system_error>

namespace martenwall::rt {

namespace {

[[noreturn]] void fail(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

std::optional<sockaddr_in> address_of(const Endpoint& e) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(e.port);
  if (::inet_pton(AF_INET, e.host.c_str(), &a.sin_addr) != 1) return std::nullopt;
  return a;
}

int open_socket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void disable_nagle(int fd) {
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

bool is_would_block_error() { return errno == EAGAIN || errno == EWOULDBLOCK; }

int open_listener(const Endpoint& at) {
  const auto a = address_of(at);
  if (!a) throw std::invalid_argument("not an IPv4 address: " + at.host);
  const int fd = open_socket();
  if (fd < 0) fail("socket");
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the socket API's own way
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&*a), sizeof *a) != 0) fail("bind");
  if (::listen(fd, 512) != 0) fail("listen");
  return fd;
}

}  // namespace

std::optional<Endpoint> Endpoint::parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Endpoint e{std::string{text.substr(0, colon)}, 0};
  const auto port = text.substr(colon + 1);
  const auto [end, err] = std::from_chars(port.data(), port.data() + port.size(), e.port);
  if (err != std::errc{} || end != port.data() + port.size() || !address_of(e)) return std::nullopt;
  return e;
}

Socket::Socket(Loop& loop, int fd) : loop_(&loop), fd_(fd) { loop_->add(fd_); }
Socket::Socket(Socket&& other) noexcept : loop_(other.loop_), fd_(std::exchange(other.fd_, -1)) {}
Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    close();
    loop_ = other.loop_;
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}
Socket::~Socket() { close(); }

void Socket::close() {
  if (fd_ < 0) return;
  loop_->remove(fd_);
  ::close(fd_);
  fd_ = -1;
}

bool Socket::peer_closed() const {
  char c = 0;
  const auto n = ::recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && !is_would_block_error() && errno != EINTR);
}

Task<long> Socket::read_some(char* to, std::size_t size, Time deadline) {
  for (;;) {
    const auto n = ::recv(fd_, to, size, 0);
    if (n >= 0) co_return n;
    if (errno == EINTR) continue;
    if (!is_would_block_error()) co_return -1;
    const bool ready = co_await loop_->wait_io(fd_, Loop::Direction::read, deadline);
    if (!ready) co_return -1;
  }
}

Task<bool> Socket::write_all(std::string_view data, Time deadline) {
  while (!data.empty()) {
    const auto n = ::send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    if (n > 0) {
      data.remove_prefix(static_cast<std::size_t>(n));
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && !is_would_block_error()) co_return false;
    const bool ready = co_await loop_->wait_io(fd_, Loop::Direction::write, deadline);
    if (!ready) co_return false;
  }
  co_return true;
}

Task<std::optional<Socket>> Socket::connect(Loop& loop, Endpoint to, Time deadline) {
  const auto a = address_of(to);
  const int fd = a ? open_socket() : -1;
  if (fd < 0) co_return std::nullopt;
  Socket s{loop, fd};
  disable_nagle(fd);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the socket API's own way
  const int rc = ::connect(fd, reinterpret_cast<const sockaddr*>(&*a), sizeof *a);
  if (rc != 0 && errno != EINPROGRESS) co_return std::nullopt;
  if (rc != 0) {
    const bool ready = co_await loop.wait_io(fd, Loop::Direction::write, deadline);
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (!ready || error != 0) co_return std::nullopt;
  }
  co_return std::optional<Socket>{std::move(s)};
}

Listener::Listener(Loop& loop, const Endpoint& at) : loop_(loop), socket_(loop, open_listener(at)) {}

std::uint16_t Listener::port() const {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the socket API's own way
  if (::getsockname(socket_.fd(), reinterpret_cast<sockaddr*>(&a), &size) != 0) fail("getsockname");
  return ntohs(a.sin_port);
}

Task<std::optional<Socket>> Listener::accept() {
  for (;;) {
    const int fd = ::accept4(socket_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      disable_nagle(fd);
      co_return std::optional<Socket>{Socket{loop_, fd}};
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    if (!is_would_block_error()) {
      // Out of descriptors: wait for some to be freed instead of spinning.
      co_await loop_.sleep(seconds(0.1));
      co_return std::nullopt;
    }
    const Time until = loop_.now() + seconds(1);
    // Ready or not, the next try tells.
    [[maybe_unused]] const bool ready = co_await loop_.wait_io(socket_.fd(), Loop::Direction::read, until);
  }
}

}  // namespace martenwall::rt
