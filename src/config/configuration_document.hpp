// Configuration document (JSON) that operators change while the service runs. It overrides the settings and properties
// files.
//
//   {"teams": {"red": {"cpus": 0, "cpus_max": 0, "gpus": 32, "gpus_max": 72}},
//    "properties": {"scheduler.aging.weight": 0.05}}
//
// Without `teams`, the teams of the settings apply; with it, the document lists all teams. A change is a JSON merge
// patch (RFC 7386) of the document: null removes a field.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "core/model/configuration.hpp"

namespace martenwall::config {

// Returns whether a property may change while the service runs: the properties of the scheduler and of the fleet may.
bool changes_at_runtime(const std::string& property);

// Returns the document with the patch applied. If the patch changes teams and the document has none, the patch is
// applied to the teams of the settings.
nlohmann::json apply_patch(const nlohmann::json& document, const nlohmann::json& patch, const Settings& settings);

// Returns the configuration that results from the document and a node's files. Throws SettingsError, which names the
// invalid field.
Configuration resolve_configuration(ConfigurationVersion version, const nlohmann::json& document,
                                    const Settings& settings, const Policy& files);

// Returns the teams as the value of the document's `teams` field.
nlohmann::json teams_document(const std::vector<Team>& teams);

}  // namespace martenwall::config
