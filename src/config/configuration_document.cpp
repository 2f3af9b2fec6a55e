#include "config/configuration_document.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>

namespace martenwall::config {

namespace {

using nlohmann::json;

constexpr const char* teams_field = "teams";
constexpr const char* properties_field = "properties";
constexpr std::size_t max_name_bytes = 200;

struct TeamField {
  const char* name;
  double Resources::*amount;
  Resources Team::*resources;
};
constexpr std::array<TeamField, 4> team_fields{{{"cpus", &Resources::cpus, &Team::guarantee},
                                                {"gpus", &Resources::gpus, &Team::guarantee},
                                                {"cpus_max", &Resources::cpus, &Team::limit},
                                                {"gpus_max", &Resources::gpus, &Team::limit}}};

[[noreturn]] void fail(const std::string& field, const std::string& what) {
  throw SettingsError("configuration: field '" + field + "' " + what);
}

double parse_amount(const json& value, const std::string& field) {
  if (!value.is_number()) fail(field, "must be a number");
  const auto amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0) fail(field, "must not be negative");
  return amount;
}

Team parse_team(const std::string& name, const json& value) {
  const std::string field = std::string{teams_field} + "." + name;
  if (name.empty() || name.size() > max_name_bytes)
    fail(teams_field, "has a team name that is empty or longer than 200 bytes");
  if (!value.is_object()) fail(field, "must be an object");
  Team team;
  team.name = name;
  for (const auto& [key, amount] : value.items()) {
    const auto team_field = std::ranges::find(team_fields, std::string_view{key}, &TeamField::name);
    const std::string path = std::string{field}.append(".").append(key);
    if (team_field == team_fields.end()) fail(path, "is unknown");
    (team.*team_field->resources).*team_field->amount = parse_amount(amount, path);
  }
  return team;
}

}  // namespace

bool changes_at_runtime(const std::string& property) {
  return property.starts_with("scheduler.") || property.starts_with("fleet.");
}

json teams_document(const std::vector<Team>& teams) {
  json out = json::object();
  for (const auto& team : teams) {
    for (const auto& field : team_fields) out[team.name][field.name] = (team.*field.resources).*field.amount;
  }
  return out;
}

json apply_patch(const json& document, const json& patch, const Settings& settings) {
  json out = document.is_object() ? document : json::object();
  const bool adds_first_teams = patch.is_object() && patch.contains(teams_field) && patch.at(teams_field).is_object() &&
                                !out.contains(teams_field);
  if (adds_first_teams) out[teams_field] = teams_document(settings.teams);
  out.merge_patch(patch);
  return out;
}

Configuration resolve_configuration(ConfigurationVersion version, const json& document, const Settings& settings,
                                    const Policy& files) {
  if (!document.is_object()) throw SettingsError("configuration: must be an object");
  Configuration out{version, settings.teams, files};
  for (const auto& [key, value] : document.items()) {
    if (key != teams_field && key != properties_field) fail(key, "is unknown");
    if (!value.is_object()) fail(key, "must be an object");
  }
  if (document.contains(teams_field)) {
    out.teams.clear();
    for (const auto& [name, value] : document.at(teams_field).items()) out.teams.push_back(parse_team(name, value));
  }
  if (document.contains(properties_field)) {
    for (const auto& [name, value] : document.at(properties_field).items()) {
      const std::string field = std::string{properties_field} + "." + name;
      if (!changes_at_runtime(name)) fail(field, "cannot be changed while the service runs");
      set_property(name, parse_amount(value, field), out.policy);
    }
  }
  check(settings, out.policy);
  return out;
}

}  // namespace martenwall::config
