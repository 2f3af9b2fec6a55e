// Checked access to fields of a JSON object; nothing here throws on foreign input.
#pragma once
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace martenwall::wire {

using nlohmann::json;

// How deep arrays and objects nest, brackets within texts apart.
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

// The value, or null where the text is no JSON or nests too deeply.
inline json parse(const std::string& text) {
  // Deep nesting would exhaust the stack of a recursive reader; nothing of PROTOCOL nests deeper.
  constexpr int max_depth = 12;
  if (nesting_depth(text) > max_depth) return {};
  auto value = json::parse(text, nullptr, false);
  return value.is_discarded() ? json{} : value;
}

// The object's field; null where there is none, or where its value is null.
inline const json* field(const json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(name);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}
// What is returned is part of the object: of a temporary it would be gone at the end of the expression, in a range-for
// before the first element.
const json* field(const json&& object, const char* name) = delete;

// The field as a string; nothing where it is missing, null, or of another type. So are the next three.
inline std::optional<std::string> text(const json& object, const char* name) {
  const auto* value = field(object, name);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  return value->get<std::string>();
}

// A finite number.
inline std::optional<double> number(const json& object, const char* name) {
  const auto* value = field(object, name);
  if (value == nullptr || !value->is_number()) return std::nullopt;
  const auto as_double = value->get<double>();
  if (!std::isfinite(as_double)) return std::nullopt;
  return as_double;
}

// An integer of 0 or more.
inline std::optional<std::uint64_t> count(const json& object, const char* name) {
  const auto* value = field(object, name);
  if (value == nullptr || !value->is_number_unsigned()) return std::nullopt;
  return value->get<std::uint64_t>();
}

// True or false.
inline std::optional<bool> flag(const json& object, const char* name) {
  const auto* value = field(object, name);
  if (value == nullptr || !value->is_boolean()) return std::nullopt;
  return value->get<bool>();
}

// The field's elements; none where it is missing, null, or no array.
inline const json& list(const json& object, const char* name) {
  static const json empty = json::array();
  const auto* value = field(object, name);
  return value != nullptr && value->is_array() ? *value : empty;
}
const json& list(const json&& object, const char* name) = delete;  // as `field`

}  // namespace martenwall::wire
