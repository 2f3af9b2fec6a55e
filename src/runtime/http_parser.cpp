#include "runtime/http_parser.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace martenwall::rt {

namespace {

constexpr std::string_view token_punctuation = "!#$%&'*+-.^_`|~";

bool is_token_char(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         token_punctuation.find(c) != std::string_view::npos;
}

bool is_token(std::string_view text) { return !text.empty() && std::ranges::all_of(text, is_token_char); }

std::string lower(std::string_view text) {
  std::string out{text};
  for (auto& c : out) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return out;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::optional<std::uint64_t> number(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value, base);
  if (text.empty() || error != std::errc{} || parsed_end != end) return std::nullopt;
  return value;
}

}  // namespace

std::optional<std::string_view> HttpMessage::header(std::string_view lower_name) const {
  for (const auto& [name, value] : headers) {
    if (name == lower_name) return value;
  }
  return std::nullopt;
}

void HttpParser::fail(int status) {
  error_status_ = status;
  transition_to(State::failed);
}

bool HttpParser::consume_line(std::string_view data, std::size_t& pos) {
  const auto end = data.find('\n', pos);
  const auto stop = end == std::string_view::npos ? data.size() : end + 1;
  head_bytes_ += stop - pos;
  if (head_bytes_ > limits_.max_head_bytes) {
    fail(431);
    return false;
  }
  line_.append(data.substr(pos, stop - pos));
  pos = stop;
  if (end == std::string_view::npos) return false;
  line_.pop_back();
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  return true;
}

std::size_t HttpParser::feed(std::string_view data) {
  std::size_t pos = 0;
  while (pos < data.size() && state_ != State::complete && state_ != State::failed) {
    if (state_ == State::body || state_ == State::chunk_data || state_ == State::until_close) {
      pos += consume_body(data.substr(pos));
    } else if (consume_line(data, pos)) {
      on_line();
      line_.clear();
    }
  }
  return pos;
}

void HttpParser::end_of_input() {
  if (state_ == State::until_close) {
    transition_to(State::complete);
  } else if (state_ != State::complete) {
    fail(400);
  }
}

void HttpParser::on_line() {
  switch (state_) {
    case State::start_line:
      if (line_.empty()) return;  // empty lines before a message are allowed
      return kind_ == Kind::request ? on_request_line() : on_status_line();
    case State::headers:
      return line_.empty() ? on_headers_end() : on_header_line();
    case State::chunk_size:
      return on_chunk_size();
    case State::chunk_end:
      return line_.empty() ? transition_to(State::chunk_size) : fail(400);
    case State::trailers:
      if (line_.empty()) transition_to(State::complete);
      return;
    default:
      return fail(400);
  }
}

void HttpParser::on_request_line() {
  const std::string_view line = line_;
  const auto first_space = line.find(' ');
  const auto last_space = line.rfind(' ');
  if (first_space == std::string_view::npos || first_space == last_space) return fail(400);
  message_.method = line.substr(0, first_space);
  message_.target = line.substr(first_space + 1, last_space - first_space - 1);
  const auto version = line.substr(last_space + 1);
  if (!is_token(message_.method) || message_.target.empty() ||
      message_.target.find_first_of(" \t") != std::string::npos) {
    return fail(400);
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return fail(version.starts_with("HTTP/") ? 505 : 400);
  }
  message_.keep_alive = version == "HTTP/1.1";
  transition_to(State::headers);
}

void HttpParser::on_status_line() {
  const std::string_view line = line_;
  if (!line.starts_with("HTTP/1.") || line.size() < 12 || line[8] != ' ') return fail(400);
  const auto status = number(line.substr(9, 3), 10);
  if (!status || *status < 100 || *status > 599) return fail(400);
  message_.status = static_cast<int>(*status);
  message_.keep_alive = line[7] == '1';
  transition_to(State::headers);
}

void HttpParser::on_header_line() {
  const std::string_view line = line_;
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return fail(400);
  if (message_.headers.size() >= 64) return fail(431);
  auto name = lower(line.substr(0, colon));
  const auto value = trim(line.substr(colon + 1));
  if (name == "content-length") {
    const auto length = number(value, 10);
    if (!length || (content_length_ && *content_length_ != *length)) return fail(400);
    content_length_ = length;
  } else if (name == "transfer-encoding") {
    if (lower(value) != "chunked") return fail(501);
    chunked_ = true;
  } else if (name == "connection") {
    const auto options = lower(value);
    if (options.find("close") != std::string::npos) message_.keep_alive = false;
    if (options.find("keep-alive") != std::string::npos) message_.keep_alive = true;
  }
  message_.headers.emplace_back(std::move(name), std::string{value});
}

void HttpParser::on_headers_end() {
  // A message with both headers may be an attempt at request smuggling.
  if (chunked_ && content_length_) return fail(400);
  if (chunked_) return transition_to(State::chunk_size);
  const bool bodiless =
      kind_ == Kind::response && (message_.status < 200 || message_.status == 204 || message_.status == 304);
  if (bodiless) return transition_to(State::complete);
  if (!content_length_ && kind_ == Kind::response) return transition_to(State::until_close);
  remaining_bytes_ = content_length_.value_or(0);
  if (remaining_bytes_ > limits_.max_body_bytes) return fail(413);
  transition_to(remaining_bytes_ == 0 ? State::complete : State::body);
}

void HttpParser::on_chunk_size() {
  const std::string_view line = line_;
  const auto size = number(trim(line.substr(0, line.find(';'))), 16);
  if (!size) return fail(400);
  if (*size > limits_.max_body_bytes || message_.body.size() + *size > limits_.max_body_bytes) return fail(413);
  remaining_bytes_ = *size;
  transition_to(remaining_bytes_ == 0 ? State::trailers : State::chunk_data);
}

std::size_t HttpParser::consume_body(std::string_view data) {
  if (state_ == State::until_close) {
    if (message_.body.size() + data.size() > limits_.max_body_bytes) {
      fail(413);
    } else {
      message_.body.append(data);
    }
    return data.size();
  }
  const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_bytes_, data.size()));
  message_.body.append(data.substr(0, size));
  remaining_bytes_ -= size;
  if (remaining_bytes_ == 0) transition_to(state_ == State::body ? State::complete : State::chunk_end);
  return size;
}

HttpMessage HttpParser::take_message() {
  auto out = std::move(message_);
  *this = HttpParser{kind_, limits_};
  return out;
}

std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view body) {
  std::string out;
  out.reserve(128 + target.size() + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
  if (!body.empty()) out.append("\r\nContent-Type: application/json");
  out.append("\r\nContent-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
  return out;
}

std::string_view reason_phrase(int status) {
  static constexpr std::array<std::pair<int, std::string_view>, 16> reasons{{{200, "OK"},
                                                                             {201, "Created"},
                                                                             {400, "Bad Request"},
                                                                             {404, "Not Found"},
                                                                             {405, "Method Not Allowed"},
                                                                             {408, "Request Timeout"},
                                                                             {413, "Content Too Large"},
                                                                             {421, "Misdirected Request"},
                                                                             {422, "Unprocessable Content"},
                                                                             {429, "Too Many Requests"},
                                                                             {431, "Request Header Fields Too Large"},
                                                                             {500, "Internal Server Error"},
                                                                             {501, "Not Implemented"},
                                                                             {503, "Service Unavailable"},
                                                                             {504, "Gateway Timeout"},
                                                                             {505, "HTTP Version Not Supported"}}};
  for (const auto& [code, text] : reasons) {
    if (code == status) return text;
  }
  return "Status";
}

}  // namespace martenwall::rt
