// A value or a typed error. Stands in for std::expected, which GCC 12 lacks, with the parts of it that the code base
// uses.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace martenwall {

// Kind of failure. Callers act on the code; the message is for people.
enum class ErrorCode : std::uint8_t {
  invalid_argument,     // the input is never acceptable in its present form
  failed_precondition,  // the input is well-formed, but the system's state forbids it
  not_found,
  unavailable,  // a dependency did not respond: the same request may succeed later
  unreadable,   // stored or received data has an unexpected form
};

constexpr std::string_view name_of(ErrorCode code) {
  switch (code) {
    case ErrorCode::invalid_argument:
      return "invalid_argument";
    case ErrorCode::failed_precondition:
      return "failed_precondition";
    case ErrorCode::not_found:
      return "not_found";
    case ErrorCode::unavailable:
      return "unavailable";
    case ErrorCode::unreadable:
      return "unreadable";
  }
  return "unknown";
}

// An error code with a message.
struct Error {
  ErrorCode code = ErrorCode::unavailable;
  std::string message;  // one sentence: what failed, where, and what can be done about it
};

// Either a T or an Error. As with std::expected, `value()` and `operator*` may be called only if `has_value()` is true.
template <class T>
class [[nodiscard]] Result {
 public:
  Result(T value) : content_(std::move(value)) {}      // NOLINT(google-explicit-constructor): as std::expected
  Result(Error error) : content_(std::move(error)) {}  // NOLINT(google-explicit-constructor): as std::expected

  [[nodiscard]] bool has_value() const { return std::holds_alternative<T>(content_); }
  explicit operator bool() const { return has_value(); }
  [[nodiscard]] const T& value() const& { return std::get<T>(content_); }
  [[nodiscard]] T&& value() && { return std::get<T>(std::move(content_)); }
  [[nodiscard]] const T& operator*() const& { return value(); }
  [[nodiscard]] T&& operator*() && { return std::move(*this).value(); }
  [[nodiscard]] const T* operator->() const { return &value(); }
  [[nodiscard]] const Error& error() const { return std::get<Error>(content_); }

 private:
  std::variant<T, Error> content_;
};

}  // namespace martenwall
