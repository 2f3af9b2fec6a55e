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
std::string changes_key(ConfigurationVersion version);

struct ConfigurationRow {
  ConfigurationVersion version;
  json document = json::object();
  std::string mark;                            // of the transaction that wrote it
  std::vector<ConfigurationVersion> recorded;  // rows of changes that are there, oldest first
};
json encode_configuration(const ConfigurationRow& row);
std::optional<ConfigurationRow> decode_configuration(const json& value);

struct ConfigurationChange {
  ConfigurationVersion version;
  std::int64_t at_ms = 0;  // time of day
  std::string by;
  json patch;
};
// Changes that were committed together.
struct ChangesRow {
  std::string mark;
  std::vector<ConfigurationChange> changes;
};
json encode_changes(const ChangesRow& row);
std::optional<ChangesRow> decode_changes(const json& value);

// What an operator's command, or another node, asks a node.
struct ConfigurationRequest {
  enum class Ask : std::uint8_t { get, apply, history, follow };
  Ask ask = Ask::get;
  json patch{};
  std::optional<ConfigurationVersion> expected{};  // apply only where this one is the newest
  bool dry_run = false;
  std::string by{};
};
std::string encode_configuration_request(const ConfigurationRequest& request);
std::optional<ConfigurationRequest> decode_configuration_request(const std::string& body);

}  // namespace martenwall::wire
