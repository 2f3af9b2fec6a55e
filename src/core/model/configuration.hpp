// Configuration that operators may change while the service runs, and the time until which a node may act on its view
// of it.
#pragma once
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/model/model.hpp"
#include "core/model/policy.hpp"

namespace martenwall {

using ConfigurationVersion = StrongType<struct ConfigurationVersionTag, std::uint64_t>;

// Version 0 holds the values of the settings and properties files.
struct Configuration {
  ConfigurationVersion version;
  std::vector<Team> teams;
  Policy policy;
};

// Time for which a node may act on a version, counted from when it sent the last read that confirmed the version as the
// newest. A change is in force on all nodes once this time has passed since its commit: a node that has not read the
// change no longer makes decisions by then.
constexpr Duration configuration_validity = seconds(5);

// This node's knowledge of the configuration in the store.
enum class ConfigurationState {
  unknown,   // not read since the process started
  unused,    // no configuration is stored, and none can be created without this node's acknowledgement
  followed,  // read periodically
};
// Returns the name for log lines.
std::string_view name_of(ConfigurationState s);

// Tracks until when this node may act on the version it knows.
class ConfigurationValidity {
 public:
  [[nodiscard]] ConfigurationState state() const { return state_; }
  // Records that a read sent at `sent` found no configuration. `creation_excluded`: the read also guarantees that none
  // can be created without this node's acknowledgement; docs/safety.md says which reads do.
  void on_none_found(Time sent, bool creation_excluded);
  // Records that a read sent at `sent` confirmed the known version as the newest.
  void on_version_confirmed(Time sent);
  void start_following();  // this node acknowledged the start of configuration changes
  [[nodiscard]] bool is_following() const { return state_ == ConfigurationState::followed; }
  // Returns whether this node may make decisions that depend on the configuration.
  [[nodiscard]] bool may_decide(Time now) const;

 private:
  void transition_to(ConfigurationState next);
  ConfigurationState state_ = ConfigurationState::unknown;
  std::optional<Time> confirmed_;  // sending time of the last read that was answered
};

}  // namespace martenwall
