// HTTP/1.1 messages, read incrementally: any split of the bytes gives the same messages.
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
  // The first header of that name; valid as long as the message.
  [[nodiscard]] std::optional<std::string_view> header(std::string_view lower_name) const;
};

// Reads one message after the other from the bytes of a connection.
class HttpParser {
 public:
  // What the other side sends.
  enum class Kind { request, response };
  // What is read next.
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
  // Bytes of a message; a longer one fails.
  struct Limits {
    std::size_t max_head_bytes = 16 * 1024;
    std::size_t max_body_bytes = 64 * 1024;
  };
  // Ready for the first message.
  HttpParser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

  // Takes bytes up to the end of one message and returns how many it took.
  std::size_t feed(std::string_view data);
  void end_of_input();  // the other side closed

  // A whole message is there, for `take`.
  [[nodiscard]] bool complete() const { return state_ == State::complete; }
  // The bytes are no message within the limits.
  [[nodiscard]] bool failed() const { return state_ == State::failed; }
  // Some byte of the message was read.
  [[nodiscard]] bool started() const { return head_bytes_ > 0; }
  [[nodiscard]] int error_status() const { return error_status_; }  // what a server should answer
  HttpMessage take_message();                                       // after complete(); ready for the next message then

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

// The bytes of a request with a body, and what is written after a status.
std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body);
std::string_view reason_phrase(int status);

}  // namespace martenwall::rt
