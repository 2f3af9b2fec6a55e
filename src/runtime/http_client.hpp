// HTTP/1.1 client with kept connections. A result says whether the request may have been executed.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runtime/http_parser.hpp"
#include "runtime/socket.hpp"

namespace martenwall::rt {

enum class Outcome {
  answered,
  not_sent,  // never reached the other side, and will not
  unknown,   // may have been executed, or may be later
};

struct HttpResult {
  Outcome outcome = Outcome::not_sent;
  int status = 0;
  std::string body;
  [[nodiscard]] bool ok() const { return outcome == Outcome::answered && status == 200; }
};

class HttpClient {
 public:
  // At most `max_open` requests at once; `max_idle` connections are kept between requests.
  HttpClient(Loop& loop, std::size_t max_open, std::size_t max_body, std::size_t max_idle)
      : loop_(loop), max_open_(max_open), max_body_(max_body), max_idle_(max_idle) {}
  Task<HttpResult> request(std::string to, std::string method, std::string target, std::string body, Duration timeout);

 private:
  struct Idle {
    Socket socket;
    Time since;
  };
  Task<HttpResult> exchange(std::string to, std::string bytes, Time deadline);
  Task<HttpResult> talk(Socket& socket, const std::string& bytes, Time deadline, bool& reusable);
  std::optional<Socket> take_idle(const std::string& to);
  void keep(const std::string& to, Socket socket);

  Loop& loop_;
  std::size_t max_open_;
  std::size_t max_body_;
  std::size_t max_idle_;
  std::size_t open_ = 0;
  std::size_t kept_ = 0;
  Time next_sweep_{};
  std::map<std::string, std::vector<Idle>> idle_;
};

}  // namespace martenwall::rt
