// Whether a job can ever run, by the teams and machine types that a node knows.
#pragma once
#include <optional>
#include <vector>

#include "core/model/model.hpp"
#include "core/result.hpp"

namespace martenwall::service {

// Why the job cannot be accepted; nothing where it can.
//   failed_precondition  it can never run: unknown team, more than the team's limit, no machine type or zone for it
//   unavailable          the machine types are not known yet
// The message is the text that the user gets.
std::optional<Error> find_rejection(const JobSpec& spec, const std::vector<Team>& teams,
                                    const std::vector<MachineType>& types);

}  // namespace martenwall::service
