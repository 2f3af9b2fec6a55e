// Incremental parser of HTTP/1.1 messages: the result does not depend on how the bytes are split.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace martenwall::rt {

// A request or a response.
struct HttpMessage {
  // request
  std::string method, target;
  // response
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
  std::string body;
  bool keep_alive = true;
  // Returns the value of the first header with this name; valid as long as the message.
  [[nodiscard]] std::optional<std::string_view> header(std::string_view lower_name) const;
};

// Parses successive messages from the bytes of a connection.
class HttpParser {
 public:
  // Kind of message to parse.
  enum class Kind { request, response };
  // Part of the message that is expected next.
  enum class State {
    start_line,
    headers,
    body,
    chunk_size,
    chunk_data,
    chunk_end,
    trailers,
    until_close,
    complete,
    failed
  };
  // Maximum sizes of a message's parts; parsing a larger message fails.
  struct Limits {
    std::size_t max_head_bytes = 16 * 1024;
    std::size_t max_body_bytes = 64 * 1024;
  };
  // Starts at the first message.
  HttpParser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

  // Parses bytes up to the end of one message and returns how many were consumed.
  std::size_t feed(std::string_view data);
  // Signals that the peer has closed the connection.
  void end_of_input();

  // Returns whether a complete message is available to `take_message`.
  [[nodiscard]] bool complete() const { return state_ == State::complete; }
  // Returns whether the bytes are malformed or exceed the limits.
  [[nodiscard]] bool failed() const { return state_ == State::failed; }
  // Returns whether any byte of the message has been read.
  [[nodiscard]] bool started() const { return head_bytes_ > 0; }
  // Returns the status with which a server should respond after a failure.
  [[nodiscard]] int error_status() const { return error_status_; }
  // Returns the complete message and starts the next one. Requires `complete()`.
  HttpMessage take_message();

 private:
  void transition_to(State next) { state_ = next; }
  void fail(int status);
  bool consume_line(std::string_view data, std::size_t& pos);
  void on_line();
  void on_request_line();
  void on_status_line();
  void on_header_line();
  void on_headers_end();
  void on_chunk_size();
  std::size_t consume_body(std::string_view data);

  Kind kind_;
  Limits limits_;
  State state_ = State::start_line;
  std::string line_;
  std::size_t head_bytes_ = 0;
  std::uint64_t remaining_bytes_ = 0;
  std::optional<std::uint64_t> content_length_;
  bool chunked_ = false;
  int error_status_ = 400;
  HttpMessage message_;
};

// Returns the bytes of a request.
std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body);
// Returns the reason phrase of an HTTP status.
std::string_view reason_phrase(int status);

}  // namespace martenwall::rt
