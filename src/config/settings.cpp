#include "config/settings.hpp"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Util/PropertyFileConfiguration.h>

#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "core/placement/heuristic_table.hpp"
#include "runtime/socket.hpp"

namespace martenwall::config {

namespace {

using nlohmann::json;

// Reads an object of the settings. Tracks the path, so that errors can name the field.
class Reader {
 public:
  Reader(const json& value, std::string path) : value_(value), path_(std::move(path)) {
    if (!value_.is_object()) throw SettingsError("settings: '" + path_ + "' must be an object");
  }
  [[nodiscard]] Reader object(const char* name) const { return {get(name), path_of(name)}; }
  [[nodiscard]] std::string text(const char* name) const {
    const auto& value = get(name);
    if (!value.is_string() || value.get_ref<const std::string&>().empty()) fail(name, "a non-empty string");
    return value.get<std::string>();
  }
  [[nodiscard]] double number(const char* name, double min_value) const {
    const auto& value = get(name);
    if (!value.is_number()) fail(name, "a number");
    const auto number = value.get<double>();
    if (!std::isfinite(number) || number < min_value) fail(name, "a number of at least " + std::to_string(min_value));
    return number;
  }
  [[nodiscard]] double number_or(const char* name, double fallback) const {
    return has(name) ? number(name, 0) : fallback;
  }
  [[nodiscard]] bool has(const char* name) const { return value_.contains(name) && !value_.at(name).is_null(); }
  [[nodiscard]] std::size_t count(const char* name, std::size_t min_value) const {
    return static_cast<std::size_t>(number(name, static_cast<double>(min_value)));
  }
  [[nodiscard]] std::string address(const char* name) const {
    auto endpoint = text(name);
    if (!rt::Endpoint::parse(endpoint)) fail(name, "an IPv4 address and a port");
    return endpoint;
  }
  [[nodiscard]] std::vector<Reader> list(const char* name) const {
    const auto& values = get(name);
    if (!values.is_array()) fail(name, "a list");
    std::vector<Reader> out;
    for (std::size_t i = 0; i < values.size(); ++i) {
      out.emplace_back(values.at(i), path_of(name) + "[" + std::to_string(i) + "]");
    }
    return out;
  }
  [[nodiscard]] std::string text_or(const char* name, const char* fallback) const {
    return value_.contains(name) && value_.at(name).is_string() ? value_.at(name).get<std::string>() : fallback;
  }

 private:
  [[nodiscard]] std::string path_of(const char* name) const { return path_.empty() ? name : path_ + "." + name; }
  [[nodiscard]] const json& get(const char* name) const {
    const auto it = value_.find(name);
    if (it == value_.end()) throw SettingsError("settings: field '" + path_of(name) + "' is missing");
    return *it;
  }
  [[noreturn]] void fail(const char* name, const std::string& what) const {
    throw SettingsError("settings: field '" + path_of(name) + "' must be " + what);
  }
  const json& value_;
  std::string path_;
};

void read_platform_facts(const Reader& facts, Settings& settings) {
  for (const auto& team : facts.list("teams")) {
    settings.teams.push_back({team.text("name"),
                              {team.number_or("cpus", 0), team.number_or("gpus", 0), 0},
                              {team.number_or("cpus_max", 0), team.number_or("gpus_max", 0), 0}});
  }
  for (const auto& objective : facts.list("objectives")) {
    settings.objectives.push_back({objective.text("kind"), objective.text_or("class", ""),
                                   objective.number_or("within_s", 0), objective.number_or("share", 0),
                                   objective.number_or("times", 1)});
  }
  const auto workers = facts.object("workers");
  settings.workers = {workers.number("report_s", 0.1), workers.number("lease_s", 1), workers.number("gang_wait_s", 1),
                      workers.number("gang_peer_s", 0.1), workers.number("cancel_s", 1)};
  const auto state = facts.object("state");
  settings.state_rps = state.number("rps", 1);
  settings.state_write_rps = state.number("write_rps", 1);
  settings.state_value_bytes = static_cast<std::size_t>(state.number("value_kb", 1) * 1024);
  settings.state_txn_ops = state.count("txn_ops", 4);
  if (state.has("next")) {
    const auto next = state.object("next");
    Settings::UpcomingLimits limits;
    if (next.has("rps")) limits.rps = next.number("rps", 1);
    if (next.has("write_rps")) limits.write_rps = next.number("write_rps", 1);
    if (next.has("value_kb")) limits.value_bytes = static_cast<std::size_t>(next.number("value_kb", 1) * 1024);
    if (next.has("txn_ops")) limits.txn_ops = next.count("txn_ops", 4);
    settings.upcoming_state_limits = limits;
  }
  const auto cloud = facts.object("cloud");
  settings.cloud_rps = cloud.number("rps", 0.01);
  settings.cloud_list_lag = seconds(cloud.number("list_lag_s", 0));
  settings.max_connections = facts.object("resources").count("max_connections", 32);
}

}  // namespace

Settings parse_settings(const std::string& json_text) {
  const auto parsed = json::parse(json_text, nullptr, false);
  if (parsed.is_discarded()) throw SettingsError("settings: not valid JSON");
  const Reader root{parsed, ""};
  Settings settings;
  settings.node = root.text("member");
  settings.zone = root.text("domain");
  settings.listen = root.address("bind");
  settings.peer_listen = root.address("cluster_listen");
  for (const auto& peer : root.list("others")) {
    settings.peers.push_back({peer.text("member"), peer.text("domain"), peer.address("endpoint")});
  }
  const auto external = root.object("external");
  settings.cloud = external.address("cloud");
  settings.state = external.address("state");
  read_platform_facts(root.object("facts"), settings);
  return settings;
}

Settings load_settings(const std::string& path) {
  std::ifstream in{path};
  if (!in) throw SettingsError("settings: cannot read '" + path + "'");
  std::ostringstream text;
  text << in.rdbuf();
  return parse_settings(text.str());
}

namespace {

using Setter = std::function<void(double)>;

std::map<std::string, Setter> setters(Policy& policy) {
  const auto number = [](double& target) { return [&target](double value) { target = value; }; };
  const auto duration = [](Duration& target) { return [&target](double value) { target = seconds(value); }; };
  const auto count = [](int& target) { return [&target](double value) { target = static_cast<int>(value); }; };
  std::map<std::string, Setter> out{
      {"scheduler.round.seconds", duration(policy.cycle_interval)},
      {"scheduler.limits.leave", [&policy](double value) { policy.reserve_limit_headroom = value != 0; }},
      {"scheduler.unsaved.stops", [&policy](double value) { policy.allow_unsaved_stops = value != 0; }},
      {"scheduler.direct.starts", [&policy](double value) { policy.direct_starts = value != 0; }},
      {"scheduler.error.limit", count(policy.error_limit)},
      {"scheduler.suspect.machines", count(policy.suspect_machines)},
      {"scheduler.shortage.efficiency", number(policy.shortage_efficiency)},
      {"fleet.idle.seconds", duration(policy.idle_release)},
      {"fleet.quiet.after.seconds", duration(policy.quiet_period)},
      {"fleet.quiet.idle.seconds", duration(policy.quiet_idle_release)},
      {"fleet.warm.machines", count(policy.warm_machines)},
      {"fleet.reserve.deviations", number(policy.reserve_deviations)},
      {"fleet.surplus.idle.seconds", duration(policy.surplus_release)},
      {"fleet.boot.patience", number(policy.boot_timeout_factor)},
      {"fleet.capacity.retry.seconds", duration(policy.capacity_retry)},
      {"fleet.lost.patience.seconds", duration(policy.lost_timeout)},
      {"fleet.guest.patience.seconds", duration(policy.best_effort_spot_wait)},
      {"fleet.guest.patience.without.spot.seconds", duration(policy.best_effort_spot_wait_without_spot)},
      {"metrics.port", count(policy.metrics_port)},
      {"workers.relay", [&policy](double value) { policy.relay_heartbeats = value != 0; }},
      {"workers.relay.leader.weight", number(policy.relay_leader_weight)},
      {"leader.lease.seconds", duration(policy.lease_ttl)},
      {"leader.renew.seconds", duration(policy.renew_interval)}};
  for (const auto& heuristic : heuristic_table()) {
    for (const auto& weight : heuristic.weights) out.emplace(weight.property, number(policy.*weight.value));
  }
  return out;
}

}  // namespace

void set_property(const std::string& name, double value, Policy& policy) {
  const auto known_setters = setters(policy);
  const auto it = known_setters.find(name);
  if (it == known_setters.end()) throw SettingsError("properties: unknown name '" + name + "'");
  if (!std::isfinite(value) || value < 0) throw SettingsError("properties: '" + name + "' must not be negative");
  it->second(value);
}

void apply_properties(const std::string& path, Policy& policy) {
  try {
    const Poco::AutoPtr<Poco::Util::PropertyFileConfiguration> file{new Poco::Util::PropertyFileConfiguration(path)};
    std::function<void(const std::string&)> walk = [&](const std::string& base) {
      Poco::Util::AbstractConfiguration::Keys keys;
      file->keys(base, keys);
      for (const auto& key : keys) walk(base.empty() ? key : std::string{base}.append(".").append(key));
      if (base.empty() || !file->has(base)) return;
      set_property(base, file->getDouble(base), policy);
    };
    walk("");
  } catch (const Poco::Exception& e) {
    throw SettingsError("properties: " + path + ": " + e.displayText());
  }
}

void check(const Settings& settings, const Policy& policy) {
  if (policy.lease_ttl < seconds(0.1)) throw SettingsError("properties: 'leader.lease.seconds' must be at least 0.1");
  if (policy.renew_interval * 2 > policy.lease_ttl) {
    throw SettingsError("properties: 'leader.renew.seconds' must be at most half of 'leader.lease.seconds'");
  }
  if (policy.cycle_interval < seconds(0.05))
    throw SettingsError("properties: 'scheduler.round.seconds' must be at least 0.05");
  if (policy.metrics_port > 65535) throw SettingsError("properties: 'metrics.port' must be at most 65535");
  if (policy.shortage_efficiency <= 0 || policy.shortage_efficiency > 1) {
    throw SettingsError("properties: 'scheduler.shortage.efficiency' must be above 0 and at most 1");
  }
  if (policy.suspect_machines < 1) throw SettingsError("properties: 'scheduler.suspect.machines' must be at least 1");
  const auto& workers = settings.workers;
  if (workers.cancel_s <= workers.lease_s + to_seconds(policy.lease_ttl + policy.lease_margin) + 1) {
    throw SettingsError(
        "settings: field 'facts.workers.cancel_s' must exceed lease_s plus the leader's lease and margin");
  }
}

}  // namespace martenwall::config
