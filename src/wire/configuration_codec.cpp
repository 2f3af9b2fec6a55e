#include "wire/configuration_codec.hpp"

#include <array>
#include <string_view>

namespace martenwall::wire {

namespace {
constexpr std::array<std::string_view, 4> action_names{"get", "apply", "history", "follow"};
constexpr std::size_t version_digits = 20;  // fixed width, so that keys sort by version
}  // namespace

std::string changes_key(ConfigurationVersion version) {
  const std::string number = std::to_string(version.value());
  return changes_prefix + std::string(version_digits - number.size(), '0') + number;
}

json encode_configuration(const ConfigurationRow& row) {
  json recorded = json::array();
  for (const auto& version : row.recorded) recorded.push_back(version.value());
  return {{"version", row.version.value()},
          {"document", row.document},
          {"mark", row.transaction_id},
          {"recorded", recorded}};
}

std::optional<ConfigurationRow> decode_configuration(const json& value) {
  const auto version = count(value, "version");
  const auto transaction_id = text(value, "mark");
  const auto* document = field(value, "document");
  if (!version || *version == 0 || !transaction_id || document == nullptr || !document->is_object())
    return std::nullopt;
  ConfigurationRow row{ConfigurationVersion{*version}, *document, *transaction_id, {}};
  for (const auto& number : list(value, "recorded")) {
    if (!number.is_number_unsigned()) return std::nullopt;
    row.recorded.emplace_back(number.get<std::uint64_t>());
  }
  return row;
}

json encode_changes(const ChangesRow& row) {
  json changes = json::array();
  for (const auto& change : row.changes) {
    changes.push_back(
        {{"version", change.version.value()}, {"at", change.at_ms}, {"by", change.author}, {"patch", change.patch}});
  }
  return {{"mark", row.transaction_id}, {"changes", changes}};
}

std::optional<ChangesRow> decode_changes(const json& value) {
  const auto transaction_id = text(value, "mark");
  if (!transaction_id) return std::nullopt;
  ChangesRow row{*transaction_id, {}};
  for (const auto& change : list(value, "changes")) {
    const auto version = count(change, "version");
    const auto at_ms = number(change, "at");
    const auto* patch = field(change, "patch");
    if (!version || !at_ms || patch == nullptr) return std::nullopt;
    row.changes.push_back(
        {ConfigurationVersion{*version}, static_cast<std::int64_t>(*at_ms), text(change, "by").value_or(""), *patch});
  }
  return row;
}

std::string encode_configuration_request(const ConfigurationRequest& request) {
  json body{{"ask", action_names.at(static_cast<std::size_t>(request.action))},
            {"by", request.author},
            {"dryRun", request.dry_run}};
  if (!request.patch.is_null()) body["patch"] = request.patch;
  if (request.expected) body["expected"] = request.expected->value();
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ConfigurationRequest> decode_configuration_request(const std::string& body) {
  const json object = parse(body);
  const auto action = text(object, "ask");
  const auto known = std::ranges::find(action_names, action.value_or(""));
  if (known == action_names.end()) return std::nullopt;
  ConfigurationRequest request;
  request.action = static_cast<ConfigurationRequest::Action>(known - action_names.begin());
  request.author = text(object, "by").value_or("");
  request.dry_run = flag(object, "dryRun").value_or(false);
  if (const auto expected = count(object, "expected")) request.expected = ConfigurationVersion{*expected};
  if (const auto* patch = field(object, "patch")) request.patch = *patch;
  if (request.action == ConfigurationRequest::Action::apply && !request.patch.is_object()) return std::nullopt;
  return request;
}

}  // namespace martenwall::wire
