#include "wire/configuration_codec.hpp"

#include <array>
#include <string_view>

namespace martenwall::wire {

namespace {
constexpr std::array<std::string_view, 4> asks{"get", "apply", "history", "follow"};
constexpr std::size_t version_digits = 20;  // so that keys stand in the order of their versions
}  // namespace

std::string changes_key(ConfigurationVersion version) {
  const std::string number = std::to_string(version.value());
  return changes_prefix + std::string(version_digits - number.size(), '0') + number;
}

json encode_configuration(const ConfigurationRow& row) {
  json recorded = json::array();
  for (const auto& v : row.recorded) recorded.push_back(v.value());
  return {{"version", row.version.value()}, {"document", row.document}, {"mark", row.mark}, {"recorded", recorded}};
}

std::optional<ConfigurationRow> decode_configuration(const json& v) {
  const auto version = count(v, "version");
  const auto mark = text(v, "mark");
  const auto* document = field(v, "document");
  if (!version || *version == 0 || !mark || document == nullptr || !document->is_object()) return std::nullopt;
  ConfigurationRow row{ConfigurationVersion{*version}, *document, *mark, {}};
  for (const auto& r : list(v, "recorded")) {
    if (!r.is_number_unsigned()) return std::nullopt;
    row.recorded.emplace_back(r.get<std::uint64_t>());
  }
  return row;
}

json encode_changes(const ChangesRow& row) {
  json changes = json::array();
  for (const auto& c : row.changes) {
    changes.push_back({{"version", c.version.value()}, {"at", c.at_ms}, {"by", c.by}, {"patch", c.patch}});
  }
  return {{"mark", row.mark}, {"changes", changes}};
}

std::optional<ChangesRow> decode_changes(const json& v) {
  const auto mark = text(v, "mark");
  if (!mark) return std::nullopt;
  ChangesRow row{*mark, {}};
  for (const auto& c : list(v, "changes")) {
    const auto version = count(c, "version");
    const auto at = number(c, "at");
    const auto* patch = field(c, "patch");
    if (!version || !at || patch == nullptr) return std::nullopt;
    row.changes.push_back(
        {ConfigurationVersion{*version}, static_cast<std::int64_t>(*at), text(c, "by").value_or(""), *patch});
  }
  return row;
}

std::string encode_configuration_request(const ConfigurationRequest& r) {
  json body{{"ask", asks.at(static_cast<std::size_t>(r.ask))}, {"by", r.by}, {"dryRun", r.dry_run}};
  if (!r.patch.is_null()) body["patch"] = r.patch;
  if (r.expected) body["expected"] = r.expected->value();
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ConfigurationRequest> decode_configuration_request(const std::string& body) {
  const json o = parse(body);
  const auto ask = text(o, "ask");
  const auto known = std::ranges::find(asks, ask.value_or(""));
  if (known == asks.end()) return std::nullopt;
  ConfigurationRequest r;
  r.ask = static_cast<ConfigurationRequest::Ask>(known - asks.begin());
  r.by = text(o, "by").value_or("");
  r.dry_run = flag(o, "dryRun").value_or(false);
  if (const auto expected = count(o, "expected")) r.expected = ConfigurationVersion{*expected};
  if (const auto* patch = field(o, "patch")) r.patch = *patch;
  if (r.ask == ConfigurationRequest::Ask::apply && !r.patch.is_object()) return std::nullopt;
  return r;
}

}  // namespace martenwall::wire
