// Checked access to fields of a JSON object. The functions do not throw on invalid input.
#pragma once
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace martenwall::wire {

using nlohmann::json;

// Returns the nesting depth of arrays and objects; ignores brackets within strings.
inline int nesting_depth(const std::string& text) {
  int depth = 0;
  int max_depth = 0;
  bool in_text = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_text) {
      if (c == '\\') ++i;
      if (c == '"') in_text = false;
    } else if (c == '"') {
      in_text = true;
    } else if (c == '{' || c == '[') {
      max_depth = std::max(max_depth, ++depth);
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return max_depth;
}

// Returns the parsed value, or null if the text is not valid JSON or is nested too deeply.
inline json parse(const std::string& text) {
  // Deep nesting would exhaust the stack of the recursive parser. No message of PROTOCOL is nested more deeply.
  constexpr int max_depth = 12;
  if (nesting_depth(text) > max_depth) return {};
  auto value = json::parse(text, nullptr, false);
  return value.is_discarded() ? json{} : value;
}

// Returns the field of the object; a null pointer if it is missing or its value is null.
inline const json* field(const json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(name);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}
// The result points into the object. With a temporary object it would dangle at the end of the expression; in a
// range-for, before the first element.
const json* field(const json&& object, const char* name) = delete;

// Returns the field as a string. This function and the next three return no value if the field is missing, null or of
// another type.
inline std::optional<std::string> text(const json& object, const char* name) {
  const auto* value = field(object, name);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  return value->get<std::string>();
}

// Returns the field as a finite number.
inline std::optional<double> number(const json& object, const char* name) {
  const auto* value = field(object, name);
  if (value == nullptr || !value->is_number()) return std::nullopt;
  const auto as_double = value->get<double>();
  if (!std::isfinite(as_double)) return std::nullopt;
  return as_double;
}

// Returns the field as a non-negative integer.
inline std::optional<std::uint64_t> count(const json& object, const char* name) {
  const auto* value = field(object, name);
  if (value == nullptr || !value->is_number_unsigned()) return std::nullopt;
  return value->get<std::uint64_t>();
}

// Returns the field as a Boolean.
inline std::optional<bool> flag(const json& object, const char* name) {
  const auto* value = field(object, name);
  if (value == nullptr || !value->is_boolean()) return std::nullopt;
  return value->get<bool>();
}

// Returns the elements of the field; an empty array if it is missing, null or not an array.
inline const json& list(const json& object, const char* name) {
  static const json empty = json::array();
  const auto* value = field(object, name);
  return value != nullptr && value->is_array() ? *value : empty;
}
const json& list(const json&& object, const char* name) = delete;  // see `field`

}  // namespace martenwall::wire
