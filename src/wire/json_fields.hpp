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
inline int nesting_of(const std::string& text) {
  int depth = 0;
  int deepest = 0;
  bool in_text = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_text) {
      if (c == '\\') ++i;
      if (c == '"') in_text = false;
    } else if (c == '"') {
      in_text = true;
    } else if (c == '{' || c == '[') {
      deepest = std::max(deepest, ++depth);
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return deepest;
}

inline json parse(const std::string& text) {
  // Deep nesting would exhaust the stack of a recursive reader; nothing of PROTOCOL nests deeper.
  constexpr int deepest = 12;
  if (nesting_of(text) > deepest) return {};
  auto value = json::parse(text, nullptr, false);
  return value.is_discarded() ? json{} : value;
}

inline const json* field(const json& o, const char* name) {
  if (!o.is_object()) return nullptr;
  const auto it = o.find(name);
  return it == o.end() || it->is_null() ? nullptr : &*it;
}

inline std::optional<std::string> text(const json& o, const char* name) {
  const auto* f = field(o, name);
  if (f == nullptr || !f->is_string()) return std::nullopt;
  return f->get<std::string>();
}

inline std::optional<double> number(const json& o, const char* name) {
  const auto* f = field(o, name);
  if (f == nullptr || !f->is_number()) return std::nullopt;
  const auto d = f->get<double>();
  if (!std::isfinite(d)) return std::nullopt;
  return d;
}

inline std::optional<std::uint64_t> count(const json& o, const char* name) {
  const auto* f = field(o, name);
  if (f == nullptr || !f->is_number_unsigned()) return std::nullopt;
  return f->get<std::uint64_t>();
}

inline std::optional<bool> flag(const json& o, const char* name) {
  const auto* f = field(o, name);
  if (f == nullptr || !f->is_boolean()) return std::nullopt;
  return f->get<bool>();
}

inline const json& list(const json& o, const char* name) {
  static const json empty = json::array();
  const auto* f = field(o, name);
  return f != nullptr && f->is_array() ? *f : empty;
}

}  // namespace martenwall::wire
