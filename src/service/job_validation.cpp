#include "service/job_validation.hpp"

#include <algorithm>
#include <set>
#include <string>

#include "core/placement/heuristics.hpp"

namespace martenwall::service {

namespace {

constexpr double rounding_tolerance = 1e-6;  // sums of decimal amounts are inexact in binary

Error never_runs(const char* message) { return {ErrorCode::failed_precondition, message}; }

bool exceeds_limit(double limit, double amount) { return limit > 0 && amount > limit + rounding_tolerance; }

// Returns the zones in which an allowed machine type fits a task of the job.
std::set<std::string> allowed_zones(const JobSpec& spec, const std::vector<MachineType>& types) {
  std::set<std::string> zones;
  for (const auto& type : types) {
    if (type_allows(spec, type)) zones.insert(type.zones.begin(), type.zones.end());
  }
  if (spec.zone) std::erase_if(zones, [&](const std::string& zone) { return zone != *spec.zone; });
  return zones;
}

}  // namespace

std::optional<Error> find_rejection(const JobSpec& spec, const std::vector<Team>& teams,
                                    const std::vector<MachineType>& types) {
  const auto team = std::ranges::find(teams, spec.team, &Team::name);
  if (team == teams.end()) return never_runs("unknown team");
  // For an array one task has to fit the limit; the tasks of a gang or a service all run at the same time.
  const auto needed = spec.need.times(spec.kind == JobKind::array ? 1 : spec.tasks);
  if (exceeds_limit(team->limit.cpus, needed.cpus) || exceeds_limit(team->limit.gpus, needed.gpus)) {
    return never_runs("needs more than the team's limit");
  }
  if (types.empty()) return Error{ErrorCode::unavailable, "machine types are not known yet"};
  const auto zones = allowed_zones(spec, types);
  if (zones.empty()) return never_runs("a task fits no allowed machine type, in an allowed zone");
  const bool one_zone = spec.one_zone || zones.size() == 1;
  const bool all_at_once = spec.kind != JobKind::array && spec.tasks > 1;
  if (spec.spread && one_zone && all_at_once) return never_runs("all tasks at a time cannot be spread over one zone");
  return std::nullopt;
}

}  // namespace martenwall::service
