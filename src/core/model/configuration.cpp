#include "core/model/configuration.hpp"

#include <algorithm>

namespace martenwall {

namespace {
constexpr double drift_allowance = 0.999;  // of clocks, twice PROTOCOL's bound
}  // namespace

std::string_view name_of(ConfigurationState s) {
  switch (s) {
    case ConfigurationState::unknown:
      return "unknown";
    case ConfigurationState::unused:
      return "unused";
    case ConfigurationState::followed:
      break;
  }
  return "followed";
}

// Once followed it stays so: a configuration is never taken away.
void ConfigurationValidity::enter(ConfigurationState next) {
  if (state_ != ConfigurationState::followed) state_ = next;
}

void ConfigurationValidity::found_none(Time sent, bool none_can_come) {
  confirmed_ = std::max(confirmed_.value_or(sent), sent);
  if (none_can_come) enter(ConfigurationState::unused);
}

void ConfigurationValidity::found(Time sent) {
  confirmed_ = std::max(confirmed_.value_or(sent), sent);
  enter(ConfigurationState::followed);
}

void ConfigurationValidity::follow() { enter(ConfigurationState::followed); }

bool ConfigurationValidity::may_decide(Time now) const {
  if (state_ == ConfigurationState::unused) return true;
  if (state_ == ConfigurationState::unknown || !confirmed_) return false;
  return now - *confirmed_ <= seconds(to_seconds(configuration_validity) * drift_allowance);
}

}  // namespace martenwall
