// The platform's settings file (JSON) and the operators' own properties.
#pragma once
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/model/model.hpp"
#include "core/model/policy.hpp"

namespace martenwall::config {

// Another controller node; `addr` is where it listens for peers.
struct Peer {
  std::string node, zone, addr;
};

// A service-level objective of a class of jobs.
struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0;
  double deadline_factor = 1;  // of the deadline, for the kind `deadline`
};

// The settings file of one node; rates are per second.
struct Settings {
  std::string node, zone, listen, peer_listen, cloud, state;
  std::vector<Peer> peers;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  WorkerTimings workers;
  double state_rps = 100, state_write_rps = 40;
  std::size_t state_value_bytes = 8 * 1024, state_txn_ops = 24;
  // What the state service will allow from some moment on; what is not said of it stays as it is.
  struct UpcomingLimits {
    std::optional<double> rps, write_rps;
    std::optional<std::size_t> value_bytes, txn_ops;
  };
  std::optional<UpcomingLimits> upcoming_state_limits;
  double cloud_rps = 2;
  Duration cloud_list_lag = seconds(3);
  std::size_t max_connections = 1000;
};

// Its text is one line that names the field.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws SettingsError where a field is missing, misspelt or out of its range.
Settings parse_settings(const std::string& json_text);
// The same of a file; throws also where it cannot be read.
Settings load_settings(const std::string& path);
// Java-style properties; unknown names are errors, since a misspelt setting must not pass unseen.
void apply_properties(const std::string& path, Policy& policy);
// One of them; throws where there is no such name, or the value is negative.
void set_property(const std::string& name, double value, Policy& policy);
// Throws SettingsError where settings and policy do not go together.
void check(const Settings& settings, const Policy& policy);

}  // namespace martenwall::config
