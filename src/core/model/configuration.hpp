// The operators' configuration that may change while the service runs, and whether a node knows it well enough to
// decide by it.
#pragma once
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/model/model.hpp"
#include "core/model/policy.hpp"

namespace martenwall {

using ConfigurationVersion = StrongType<struct ConfigurationVersionTag, std::uint64_t>;

// Version 0 is what the settings and properties files say.
struct Configuration {
  ConfigurationVersion version;
  std::vector<Team> teams;
  Policy policy;
};

// How long a version may be decided by after the last read that showed it to be the newest was sent. A change is in
// force everywhere once this has passed since its commit: whoever has not read it decides nothing by then.
constexpr Duration configuration_validity = seconds(5);

// What this node knows of the configuration in the store.
enum class ConfigurationState {
  unknown,   // not read since the process began
  unused,    // there is none, and none can come without this node's word
  followed,  // read again and again
};
std::string_view name_of(ConfigurationState s);

// Until when the known version may be decided by.
class ConfigurationValidity {
 public:
  [[nodiscard]] ConfigurationState state() const { return state_; }
  // A read that was sent then found none. Only of the reads that say so (docs/safety.md) it follows that none can come
  // without this node's word.
  void on_none_found(Time sent, bool creation_excluded);
  // A read that was sent then found the known version to be the newest.
  void on_version_confirmed(Time sent);
  void start_following();  // this node gave its word
  [[nodiscard]] bool is_following() const { return state_ == ConfigurationState::followed; }
  // Whether what rests on the configuration may be decided now.
  [[nodiscard]] bool may_decide(Time now) const;

 private:
  void transition_to(ConfigurationState next);
  ConfigurationState state_ = ConfigurationState::unknown;
  std::optional<Time> confirmed_;  // the sending of the last read that was answered
};

}  // namespace martenwall
