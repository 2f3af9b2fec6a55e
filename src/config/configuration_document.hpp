// The document that operators change while the service runs (JSON): what it says beyond the settings and properties
// files.
//
//   {"teams": {"red": {"cpus": 0, "cpus_max": 0, "gpus": 32, "gpus_max": 72}},
//    "properties": {"scheduler.aging.weight": 0.05}}
//
// Without `teams` those of the settings hold; where it is there, it names all. A change is a JSON merge patch (RFC
// 7386) of the document: null takes away.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "core/model/configuration.hpp"

namespace martenwall::config {

// Whether a property may change while the service runs: what scheduler and fleet weigh by.
bool changes_at_runtime(const std::string& property);

// The document with the patch applied. A patch that names teams begins with those of the settings where the document
// has none of its own.
nlohmann::json apply_patch(const nlohmann::json& document, const nlohmann::json& patch, const Settings& settings);

// What the document means beside a node's own files. Throws SettingsError, which names the field.
Configuration resolve_configuration(ConfigurationVersion version, const nlohmann::json& document,
                                    const Settings& settings, const Policy& files);

// The document in which all of a configuration's teams stand, for operators to read.
nlohmann::json teams_document(const std::vector<Team>& teams);

}  // namespace martenwall::config
