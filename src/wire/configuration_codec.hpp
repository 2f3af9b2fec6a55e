// The operators' configuration in the state service, and the requests about it between their command and a node.
//   config       active configuration document and its version
//   g/<version>  changes that led to this version
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/configuration.hpp"
#include "wire/json_fields.hpp"

namespace martenwall::wire {

constexpr const char* configuration_key = "config";
constexpr const char* changes_prefix = "g/";
// Returns the key of the row with the changes that led to this version.
std::string changes_key(ConfigurationVersion version);

// The active configuration.
struct ConfigurationRow {
  ConfigurationVersion version;
  json document = json::object();
  std::string transaction_id;                  // of the transaction that wrote it
  std::vector<ConfigurationVersion> recorded;  // versions whose rows of changes exist, oldest first
};
// Encodes the value of the configuration's key.
json encode_configuration(const ConfigurationRow& row);
// Decodes the value of the configuration's key; returns no value if it has an unexpected form.
std::optional<ConfigurationRow> decode_configuration(const json& value);

// One change in the history; `patch` is a JSON merge patch.
struct ConfigurationChange {
  ConfigurationVersion version;
  std::int64_t at_ms = 0;  // wall-clock time
  std::string author;
  json patch;
};
// Changes that were committed together.
struct ChangesRow {
  std::string transaction_id;
  std::vector<ConfigurationChange> changes;
};
// Encodes a row of changes.
json encode_changes(const ChangesRow& row);
// Decodes a row of changes; returns no value if it has an unexpected form.
std::optional<ChangesRow> decode_changes(const json& value);

// Request of an operator's command, or of another node, to a node.
struct ConfigurationRequest {
  // `follow` is sent by a node that makes the first change, the other actions by the operator's command.
  enum class Action : std::uint8_t { get, apply, history, follow };
  Action action = Action::get;
  json patch{};
  std::optional<ConfigurationVersion> expected{};  // apply only if this is the latest version
  bool dry_run = false;
  std::string author{};
};
// Returns the body of a peer request.
std::string encode_configuration_request(const ConfigurationRequest& request);
// Decodes the body of a peer request; returns no value if it has an unexpected form.
std::optional<ConfigurationRequest> decode_configuration_request(const std::string& body);

}  // namespace martenwall::wire
