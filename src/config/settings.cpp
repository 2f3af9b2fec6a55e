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

// Walks the settings and remembers the path, so that an error can name the field.
class Reader {
 public:
  Reader(const json& value, std::string path) : value_(value), path_(std::move(path)) {
    if (!value_.is_object()) throw SettingsError("settings: '" + path_ + "' must be an object");
  }
  [[nodiscard]] Reader object(const char* name) const { return {get(name), path_of(name)}; }
  [[nodiscard]] std::string text(const char* name) const {
    const auto& v = get(name);
    if (!v.is_string() || v.get_ref<const std::string&>().empty()) fail(name, "a non-empty string");
    return v.get<std::string>();
  }
  [[nodiscard]] double number(const char* name, double min_value) const {
    const auto& v = get(name);
    if (!v.is_number()) fail(name, "a number");
    const auto d = v.get<double>();
    if (!std::isfinite(d) || d < min_value) fail(name, "a number of at least " + std::to_string(min_value));
    return d;
  }
  [[nodiscard]] double number_or(const char* name, double fallback) const {
    return has(name) ? number(name, 0) : fallback;
  }
  [[nodiscard]] bool has(const char* name) const { return value_.contains(name) && !value_.at(name).is_null(); }
  [[nodiscard]] std::size_t count(const char* name, std::size_t min_value) const {
    return static_cast<std::size_t>(number(name, static_cast<double>(min_value)));
  }
  [[nodiscard]] std::string address(const char* name) const {
    auto t = text(name);
    if (!rt::Endpoint::parse(t)) fail(name, "an IPv4 address and a port");
    return t;
  }
  [[nodiscard]] std::vector<Reader> list(const char* name) const {
    const auto& v = get(name);
    if (!v.is_array()) fail(name, "a list");
    std::vector<Reader> out;
    for (std::size_t i = 0; i < v.size(); ++i) {
      out.emplace_back(v.at(i), path_of(name) + "[" + std::to_string(i) + "]");
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

void read_platform_facts(const Reader& facts, Settings& s) {
  for (const auto& t : facts.list("teams")) {
    s.teams.push_back({t.text("name"),
                       {t.number_or("cpus", 0), t.number_or("gpus", 0), 0},
                       {t.number_or("cpus_max", 0), t.number_or("gpus_max", 0), 0}});
  }
  for (const auto& o : facts.list("objectives")) {
    s.objectives.push_back({o.text("kind"), o.text_or("class", ""), o.number_or("within_s", 0), o.number_or("share", 0),
                            o.number_or("times", 1)});
  }
  const auto w = facts.object("workers");
  s.workers = {w.number("report_s", 0.1), w.number("lease_s", 1), w.number("gang_wait_s", 1),
               w.number("gang_peer_s", 0.1), w.number("cancel_s", 1)};
  const auto state = facts.object("state");
  s.state_rps = state.number("rps", 1);
  s.state_write_rps = state.number("write_rps", 1);
  s.state_value_bytes = static_cast<std::size_t>(state.number("value_kb", 1) * 1024);
  s.state_txn_ops = state.count("txn_ops", 4);
  if (state.has("next")) {
    const auto next = state.object("next");
    Settings::UpcomingLimits n;
    if (next.has("rps")) n.rps = next.number("rps", 1);
    if (next.has("write_rps")) n.write_rps = next.number("write_rps", 1);
    if (next.has("value_kb")) n.value_bytes = static_cast<std::size_t>(next.number("value_kb", 1) * 1024);
    if (next.has("txn_ops")) n.txn_ops = next.count("txn_ops", 4);
    s.upcoming_state_limits = n;
  }
  const auto cloud = facts.object("cloud");
  s.cloud_rps = cloud.number("rps", 0.01);
  s.cloud_list_lag = seconds(cloud.number("list_lag_s", 0));
  s.max_connections = facts.object("resources").count("max_connections", 32);
}

}  // namespace

Settings parse_settings(const std::string& json_text) {
  const auto parsed = json::parse(json_text, nullptr, false);
  if (parsed.is_discarded()) throw SettingsError("settings: not valid JSON");
  const Reader root{parsed, ""};
  Settings s;
  s.node = root.text("member");
  s.zone = root.text("domain");
  s.listen = root.address("bind");
  s.peer_listen = root.address("cluster_listen");
  for (const auto& p : root.list("others")) {
    s.peers.push_back({p.text("member"), p.text("domain"), p.address("endpoint")});
  }
  const auto external = root.object("external");
  s.cloud = external.address("cloud");
  s.state = external.address("state");
  read_platform_facts(root.object("facts"), s);
  return s;
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

std::map<std::string, Setter> setters(Policy& p) {
  const auto number = [](double& to) { return [&to](double v) { to = v; }; };
  const auto duration = [](Duration& to) { return [&to](double v) { to = seconds(v); }; };
  const auto count = [](int& to) { return [&to](double v) { to = static_cast<int>(v); }; };
  std::map<std::string, Setter> out{
      {"scheduler.round.seconds", duration(p.cycle_interval)},
      {"scheduler.limits.leave", [&p](double v) { p.reserve_limit_headroom = v != 0; }},
      {"scheduler.unsaved.stops", [&p](double v) { p.allow_unsaved_stops = v != 0; }},
      {"scheduler.direct.starts", [&p](double v) { p.direct_starts = v != 0; }},
      {"scheduler.error.limit", count(p.error_limit)},
      {"scheduler.suspect.machines", count(p.suspect_machines)},
      {"scheduler.shortage.efficiency", number(p.shortage_efficiency)},
      {"fleet.idle.seconds", duration(p.idle_release)},
      {"fleet.quiet.after.seconds", duration(p.quiet_period)},
      {"fleet.quiet.idle.seconds", duration(p.quiet_idle_release)},
      {"fleet.warm.machines", count(p.warm_machines)},
      {"fleet.reserve.deviations", number(p.reserve_deviations)},
      {"fleet.surplus.idle.seconds", duration(p.surplus_release)},
      {"fleet.boot.patience", number(p.boot_timeout_factor)},
      {"fleet.capacity.retry.seconds", duration(p.capacity_retry)},
      {"fleet.lost.patience.seconds", duration(p.lost_timeout)},
      {"fleet.guest.patience.seconds", duration(p.best_effort_spot_wait)},
      {"fleet.guest.patience.without.spot.seconds", duration(p.best_effort_spot_wait_without_spot)},
      {"metrics.port", count(p.metrics_port)},
      {"workers.relay", [&p](double v) { p.relay_heartbeats = v != 0; }},
      {"workers.relay.leader.weight", number(p.relay_leader_weight)},
      {"leader.lease.seconds", duration(p.lease_ttl)},
      {"leader.renew.seconds", duration(p.renew_interval)}};
  for (const auto& h : heuristic_table()) {
    for (const auto& w : h.weights) out.emplace(w.property, number(p.*w.value));
  }
  return out;
}

}  // namespace

void set_property(const std::string& name, double value, Policy& policy) {
  const auto known = setters(policy);
  const auto it = known.find(name);
  if (it == known.end()) throw SettingsError("properties: unknown name '" + name + "'");
  if (!std::isfinite(value) || value < 0) throw SettingsError("properties: '" + name + "' must not be negative");
  it->second(value);
}

void apply_properties(const std::string& path, Policy& policy) {
  try {
    const Poco::AutoPtr<Poco::Util::PropertyFileConfiguration> file{new Poco::Util::PropertyFileConfiguration(path)};
    std::function<void(const std::string&)> walk = [&](const std::string& base) {
      Poco::Util::AbstractConfiguration::Keys keys;
      file->keys(base, keys);
      for (const auto& k : keys) walk(base.empty() ? k : std::string{base}.append(".").append(k));
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
  const auto& w = settings.workers;
  if (w.cancel_s <= w.lease_s + to_seconds(policy.lease_ttl + policy.lease_margin) + 1) {
    throw SettingsError(
        "settings: field 'facts.workers.cancel_s' must exceed lease_s plus the leader's lease and margin");
  }
}

}  // namespace martenwall::config
