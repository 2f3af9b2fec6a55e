#include "wire/configuration_codec.hpp"

#include <array>
#include <string_view>

namespace martenwall::wire {

namespace {
constexpr std::array<std::string_view, 4> action_names{"get", "apply", "history", "follow"};
constexpr std::size_t version_digits = 20;  // so that keys stand in the order of their versions
}  // namespace

std::string changes_key(ConfigurationVersion version) {
  const std::string number = std::to_string(version.value());
  return changes_prefix + std::string(version_digits - number.size(), '0') + number;
}

json encode_configuration(const ConfigurationRow& row) {
  json recorded = json::array();
  for (const auto& v : row.recorded) recorded.push_back(v.value());
  return {{"version", row.version.value()},
          {"document", row.document},
          {"mark", row.transaction_id},
          {"recorded", recorded}};
}

std::optional<ConfigurationRow> decode_configuration(const json& v) {
  const auto version = count(v, "version");
  const auto transaction_id = text(v, "mark");
  const auto* document = field(v, "document");
  if (!version || *version == 0 || !transaction_id || document == nullptr || !document->is_object())
    return std::nullopt;
  ConfigurationRow row{ConfigurationVersion{*version}, *document, *transaction_id, {}};
  for (const auto& r : list(v, "recorded")) {
    if (!r.is_number_unsigned()) return std::nullopt;
    row.recorded.emplace_back(r.get<std::uint64_t>());
  }
  return row;
}

json encode_changes(const ChangesRow& row) {
  json changes = json::array();
  for (const auto& c : row.changes) {
    changes.push_back({{"version", c.version.value()}, {"at", c.at_ms}, {"by", c.author}, {"patch", c.patch}});
  }
  return {{"mark", row.transaction_id}, {"changes", changes}};
}

std::optional<ChangesRow> decode_changes(const json& v) {
  const auto transaction_id = text(v, "mark");
  if (!transaction_id) return std::nullopt;
  ChangesRow row{*transaction_id, {}};
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
  json body{{"ask", action_names.at(static_cast<std::size_t>(r.action))}, {"by", r.author}, {"dryRun", r.dry_run}};
  if (!r.patch.is_null()) body["patch"] = r.patch;
  if (r.expected) body["expected"] = r.expected->value();
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ConfigurationRequest> decode_configuration_request(const std::string& body) {
  const json o = parse(body);
  const auto action = text(o, "ask");
  const auto known = std::ranges::find(action_names, action.value_or(""));
  if (known == action_names.end()) return std::nullopt;
  ConfigurationRequest r;
  r.action = static_cast<ConfigurationRequest::Action>(known - action_names.begin());
  r.author = text(o, "by").value_or("");
  r.dry_run = flag(o, "dryRun").value_or(false);
  if (const auto expected = count(o, "expected")) r.expected = ConfigurationVersion{*expected};
  if (const auto* patch = field(o, "patch")) r.patch = *patch;
  if (r.action == ConfigurationRequest::Action::apply && !r.patch.is_object()) return std::nullopt;
  return r;
}

}  // namespace martenwall::wire
