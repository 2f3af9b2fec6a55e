// The operators' configuration in the state service, and what their command and a node say to each other about it.
//   config       the document in force and its version      g/<version>  the changes that led to it
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
// The row of the changes that led to this version.
std::string changes_key(ConfigurationVersion version);

// The configuration that is in force.
struct ConfigurationRow {
  ConfigurationVersion version;
  json document = json::object();
  std::string transaction_id;                  // of the transaction that wrote it
  std::vector<ConfigurationVersion> recorded;  // rows of changes that are there, oldest first
};
// The value of the configuration's key.
json encode_configuration(const ConfigurationRow& row);
// Nothing where the form is another.
std::optional<ConfigurationRow> decode_configuration(const json& value);

// One change as the history keeps it; `patch` is a JSON merge patch.
struct ConfigurationChange {
  ConfigurationVersion version;
  std::int64_t at_ms = 0;  // time of day
  std::string author;
  json patch;
};
// Changes that were committed together.
struct ChangesRow {
  std::string transaction_id;
  std::vector<ConfigurationChange> changes;
};
// The value of a row of changes.
json encode_changes(const ChangesRow& row);
// Nothing where the form is another.
std::optional<ChangesRow> decode_changes(const json& value);

// What an operator's command, or another node, asks a node.
struct ConfigurationRequest {
  // `follow` is asked by a node that makes the first change, the others by the command.
  enum class Action : std::uint8_t { get, apply, history, follow };
  Action action = Action::get;
  json patch{};
  std::optional<ConfigurationVersion> expected{};  // apply only where this one is the newest
  bool dry_run = false;
  std::string author{};
};
// The body of a peer request.
std::string encode_configuration_request(const ConfigurationRequest& request);
// Nothing where the form is another.
std::optional<ConfigurationRequest> decode_configuration_request(const std::string& body);

}  // namespace martenwall::wire
