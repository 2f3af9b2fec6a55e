// Settings file of the platform (JSON) and properties file of the operators.
#pragma once
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/model/model.hpp"
#include "core/model/policy.hpp"

namespace martenwall::config {

// Another controller node; `addr` is the address on which it listens for other controllers.
struct Peer {
  std::string node, zone, addr;
};

// Service-level objective of a class of jobs.
struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0;
  double deadline_factor = 1;  // multiple of the deadline, for the kind `deadline`
};

// Settings of one node; rates are per second.
struct Settings {
  std::string node, zone, listen, peer_listen, cloud, state;
  std::vector<Peer> peers;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  WorkerTimings workers;
  double state_rps = 100, state_write_rps = 40;
  std::size_t state_value_bytes = 8 * 1024, state_txn_ops = 24;
  // Announced future limits of the state service; a limit without a value does not change.
  struct UpcomingLimits {
    std::optional<double> rps, write_rps;
    std::optional<std::size_t> value_bytes, txn_ops;
  };
  std::optional<UpcomingLimits> upcoming_state_limits;
  double cloud_rps = 2;
  Duration cloud_list_lag = seconds(3);
  std::size_t max_connections = 1000;
};

// Invalid settings or properties. The message is one line that names the field.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses the settings. Throws SettingsError if a field is missing, misspelled or out of range.
Settings parse_settings(const std::string& json_text);
// Parses a settings file. Throws SettingsError also if the file cannot be read.
Settings load_settings(const std::string& path);
// Applies a file of Java-style properties to the policy. Throws SettingsError for unknown names, so that a misspelled
// property does not go unnoticed.
void apply_properties(const std::string& path, Policy& policy);
// Sets one property. Throws SettingsError if the name is unknown or the value is negative.
void set_property(const std::string& name, double value, Policy& policy);
// Throws SettingsError if the policy is out of range or inconsistent with the settings.
void check(const Settings& settings, const Policy& policy);

}  // namespace martenwall::config
