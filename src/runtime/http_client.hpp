// HTTP/1.1 client with a pool of idle connections. The result of a request tells whether it may have been executed.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runtime/http_parser.hpp"
#include "runtime/socket.hpp"

namespace martenwall::rt {

// How a request ended.
enum class Outcome {
  answered,  // a complete response was received
  not_sent,  // the request did not reach the server and never will
  unknown,   // the request may have been executed, or may be executed later
};

// Result of a request; status and body are meaningful for `answered` only.
struct HttpResult {
  Outcome outcome = Outcome::not_sent;
  int status = 0;
  std::string body;
  // Returns whether the server responded with status 200.
  [[nodiscard]] bool ok() const { return outcome == Outcome::answered && status == 200; }
};

// Sends requests to any number of addresses. Must live until every request has ended.
class HttpClient {
 public:
  // Allows at most `max_open_requests` concurrent requests; further ones are `not_sent`. Keeps at most
  // `max_idle_connections` connections open between requests. A response with a body of more than `max_body_bytes`
  // fails.
  HttpClient(Loop& loop, std::size_t max_open_requests, std::size_t max_body_bytes, std::size_t max_idle_connections);

  // Sends one request to an address ("10.1.0.232:9000"). Ends at the timeout at the latest.
  Task<HttpResult> request(std::string address, std::string method, std::string target, std::string body,
                           Duration timeout);

 private:
  struct IdleConnection {
    Socket socket;
    Time since;
  };
  Task<HttpResult> exchange(std::string address, std::string bytes, Time deadline);
  Task<HttpResult> send_and_receive(Socket& socket, const std::string& bytes, Time deadline, bool& reusable);
  std::optional<Socket> take_idle(const std::string& address);
  void store_idle(const std::string& address, Socket socket);

  Loop& loop_;
  std::size_t max_open_requests_;
  std::size_t max_body_bytes_;
  std::size_t max_idle_connections_;
  std::size_t open_requests_ = 0;
  std::size_t idle_connections_ = 0;
  Time next_idle_sweep_{};
  std::map<std::string, std::vector<IdleConnection>> idle_;
};

}  // namespace martenwall::rt
