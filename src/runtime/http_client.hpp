// HTTP/1.1 client with kept connections. A result says whether the request may have been executed.
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
  answered,  // a whole response came
  not_sent,  // never reached the other side, and will not
  unknown,   // may have been executed, or may be later
};

// What a request gave; status and body are meaningful for `answered` only.
struct HttpResult {
  Outcome outcome = Outcome::not_sent;
  int status = 0;
  std::string body;
  // Answered with 200.
  [[nodiscard]] bool ok() const { return outcome == Outcome::answered && status == 200; }
};

// Requests to any number of addresses. Its owner keeps it alive until every request has ended.
class HttpClient {
 public:
  // At most `max_open_requests` requests at once, further ones are `not_sent`; `max_idle_connections` connections are
  // kept between requests. A response whose body is longer than `max_body_bytes` bytes fails.
  HttpClient(Loop& loop, std::size_t max_open_requests, std::size_t max_body_bytes, std::size_t max_idle_connections);

  // One request to the address `to` ("10.1.0.232:9000"). Ends at the timeout at the latest.
  Task<HttpResult> request(std::string to, std::string method, std::string target, std::string body, Duration timeout);

 private:
  struct Idle {
    Socket socket;
    Time since;
  };
  Task<HttpResult> exchange(std::string to, std::string bytes, Time deadline);
  Task<HttpResult> send_and_receive(Socket& socket, const std::string& bytes, Time deadline, bool& reusable);
  std::optional<Socket> take_idle(const std::string& to);
  void store_idle(const std::string& to, Socket socket);

  Loop& loop_;
  std::size_t max_open_requests_;
  std::size_t max_body_bytes_;
  std::size_t max_idle_connections_;
  std::size_t open_requests_ = 0;
  std::size_t idle_connections_ = 0;
  Time next_idle_sweep_{};
  std::map<std::string, std::vector<Idle>> idle_;
};

}  // namespace martenwall::rt
