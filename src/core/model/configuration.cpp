#include "core/model/configuration.hpp"

#include <algorithm>

namespace martenwall {

namespace {
constexpr double drift_allowance = 0.999;  // clock drift of 0.1%, twice the protocol's bound
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

// `followed` is final: a stored configuration is never removed.
void ConfigurationValidity::transition_to(ConfigurationState next) {
  if (state_ != ConfigurationState::followed) state_ = next;
}

void ConfigurationValidity::on_none_found(Time sent, bool creation_excluded) {
  confirmed_ = std::max(confirmed_.value_or(sent), sent);
  if (creation_excluded) transition_to(ConfigurationState::unused);
}

void ConfigurationValidity::on_version_confirmed(Time sent) {
  confirmed_ = std::max(confirmed_.value_or(sent), sent);
  transition_to(ConfigurationState::followed);
}

void ConfigurationValidity::start_following() { transition_to(ConfigurationState::followed); }

bool ConfigurationValidity::may_decide(Time now) const {
  if (state_ == ConfigurationState::unused) return true;
  if (state_ == ConfigurationState::unknown || !confirmed_) return false;
  return now - *confirmed_ <= seconds(to_seconds(configuration_validity) * drift_allowance);
}

}  // namespace martenwall
