// Checks whether a job can ever run on the machine types and within the team limits that a node knows.
#pragma once
#include <optional>
#include <vector>

#include "core/model/model.hpp"
#include "core/result.hpp"

namespace martenwall::service {

// Returns why the job cannot be accepted; nothing if it can.
//   failed_precondition  the job can never run: unknown team, above the team's limit, no machine type or zone fits it
//   unavailable          the machine types are not known yet
// The message is sent to the user.
std::optional<Error> find_rejection(const JobSpec& spec, const std::vector<Team>& teams,
                                    const std::vector<MachineType>& types);

}  // namespace martenwall::service
