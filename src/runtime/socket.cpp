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

std::optional<sockaddr_in> address_of(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (::inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1) return std::nullopt;
  return address;
}

int open_socket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void disable_nagle(int fd) {
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

bool is_would_block_error() { return errno == EAGAIN || errno == EWOULDBLOCK; }

int open_listener(const Endpoint& at) {
  const auto address = address_of(at);
  if (!address) throw std::invalid_argument("not an IPv4 address: " + at.host);
  const int fd = open_socket();
  if (fd < 0) fail("socket");
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): required by the socket API
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0) fail("bind");
  if (::listen(fd, 512) != 0) fail("listen");
  return fd;
}

}  // namespace

std::optional<Endpoint> Endpoint::parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Endpoint endpoint{std::string{text.substr(0, colon)}, 0};
  const auto port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (error != std::errc{} || end != port.data() + port.size() || !address_of(endpoint)) return std::nullopt;
  return endpoint;
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
  char peeked = 0;
  const auto size = ::recv(fd_, &peeked, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && !is_would_block_error() && errno != EINTR);
}

Task<long> Socket::read_some(char* to, std::size_t size, Time deadline) {
  for (;;) {
    const auto received = ::recv(fd_, to, size, 0);
    if (received >= 0) co_return received;
    if (errno == EINTR) continue;
    if (!is_would_block_error()) co_return -1;
    const bool ready = co_await loop_->wait_io(fd_, Loop::Direction::read, deadline);
    if (!ready) co_return -1;
  }
}

Task<bool> Socket::write_all(std::string_view data, Time deadline) {
  while (!data.empty()) {
    const auto sent = ::send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      data.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && !is_would_block_error()) co_return false;
    const bool ready = co_await loop_->wait_io(fd_, Loop::Direction::write, deadline);
    if (!ready) co_return false;
  }
  co_return true;
}

Task<std::optional<Socket>> Socket::connect(Loop& loop, Endpoint to, Time deadline) {
  const auto address = address_of(to);
  const int fd = address ? open_socket() : -1;
  if (fd < 0) co_return std::nullopt;
  Socket socket{loop, fd};
  disable_nagle(fd);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): required by the socket API
  const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address);
  if (result != 0 && errno != EINPROGRESS) co_return std::nullopt;
  if (result != 0) {
    const bool ready = co_await loop.wait_io(fd, Loop::Direction::write, deadline);
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (!ready || error != 0) co_return std::nullopt;
  }
  co_return std::optional<Socket>{std::move(socket)};
}

Listener::Listener(Loop& loop, const Endpoint& at) : loop_(loop), socket_(loop, open_listener(at)) {}

std::uint16_t Listener::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): required by the socket API
  if (::getsockname(socket_.fd(), reinterpret_cast<sockaddr*>(&address), &size) != 0) fail("getsockname");
  return ntohs(address.sin_port);
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
      // Probably out of descriptors: waits for some to be freed instead of spinning.
      co_await loop_.sleep(seconds(0.1));
      co_return std::nullopt;
    }
    const Time until = loop_.now() + seconds(1);
    // The next call of accept4 shows whether a connection is ready.
    [[maybe_unused]] const bool ready = co_await loop_.wait_io(socket_.fd(), Loop::Direction::read, until);
  }
}

}  // namespace martenwall::rt
