// Non-blocking TCP sockets on the event loop. Every wait has a deadline.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "runtime/loop.hpp"
#include "runtime/task.hpp"

namespace martenwall::rt {

// An address to connect to or listen at.
struct Endpoint {
  std::string host;  // IPv4 address; host names are not resolved
  std::uint16_t port = 0;
  // Parses "10.1.0.232:9000"; returns no value for text of any other form.
  static std::optional<Endpoint> parse(std::string_view text);
};

// TCP connection; owns its descriptor.
class Socket {
 public:
  // Takes ownership of the descriptor.
  Socket(Loop& loop, int fd);
  // No coroutine may be waiting on a socket that is moved or destroyed.
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket();  // closes it

  // Returns the descriptor; -1 once closed.
  [[nodiscard]] int fd() const { return fd_; }
  // Closes the descriptor. Repeated calls have no effect.
  void close();
  // Returns whether the peer has closed the connection and does not wait for a response.
  [[nodiscard]] bool peer_closed() const;
  // Returns the number of bytes read; 0 if the peer has closed the connection; -1 on an error or at the deadline.
  Task<long> read_some(char* to, std::size_t size, Time deadline);
  // Writes all of `data`, which must stay valid until the task ends. Returns false on an error or at the deadline; part
  // of the data may have been sent.
  Task<bool> write_all(std::string_view data, Time deadline);

  // Opens a connection; returns no value on an error or at the deadline.
  static Task<std::optional<Socket>> connect(Loop& loop, Endpoint to, Time deadline);

 private:
  Loop* loop_;
  int fd_;
};

// Accepts connections at an address.
class Listener {
 public:
  // Starts to listen; throws if the address cannot be bound.
  Listener(Loop& loop, const Endpoint& at);
  // Returns the next connection; no value on an error, after which the caller should retry.
  Task<std::optional<Socket>> accept();
  // Returns the port; if port 0 was requested, the one that the system assigned.
  [[nodiscard]] std::uint16_t port() const;

 private:
  Loop& loop_;
  Socket socket_;
};

}  // namespace martenwall::rt
