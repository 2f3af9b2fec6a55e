// Non-blocking TCP on the loop. Every wait has a deadline.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "runtime/loop.hpp"
#include "runtime/task.hpp"

namespace martenwall::rt {

// An address to connect to or listen at.
struct Endpoint {
  std::string host;  // an IPv4 number: there is no name look-up
  std::uint16_t port = 0;
  // "10.1.0.232:9000"; nothing where the text is anything else.
  static std::optional<Endpoint> parse(std::string_view text);
};

// A connection; owns its descriptor.
class Socket {
 public:
  // Takes the descriptor.
  Socket(Loop& loop, int fd);
  // No coroutine may wait on a socket that is moved or destroyed.
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket();  // closes it

  // The descriptor, -1 once closed.
  [[nodiscard]] int fd() const { return fd_; }
  // May be called again.
  void close();
  // The other side has closed, so that no one waits for an answer any more.
  [[nodiscard]] bool peer_closed() const;
  // Bytes read; 0 at the other side's end; -1 at an error or the deadline.
  Task<long> read_some(char* to, std::size_t size, Time deadline);
  // False at an error or the deadline; some bytes may have been sent then. `data` must stand until it ends.
  Task<bool> write_all(std::string_view data, Time deadline);

  // Nothing at an error or the deadline.
  static Task<std::optional<Socket>> connect(Loop& loop, Endpoint to, Time deadline);

 private:
  Loop* loop_;
  int fd_;
};

// Accepts connections at an address.
class Listener {
 public:
  // Throws where the address cannot be bound.
  Listener(Loop& loop, const Endpoint& at);
  // The next connection; nothing at an error, after which the caller tries again.
  Task<std::optional<Socket>> accept();
  [[nodiscard]] std::uint16_t port() const;  // the one given by the system where 0 was asked for

 private:
  Loop& loop_;
  Socket socket_;
};

}  // namespace martenwall::rt
