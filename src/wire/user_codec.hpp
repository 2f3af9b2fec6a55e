// Users' protocol: submissions and answers.
#pragma once
#include <map>
#include <string>

#include "core/messages.hpp"
#include "core/result.hpp"
#include "wire/json_fields.hpp"

namespace martenwall::wire {

// Whether the text has the form of a job id and is short enough for the store's keys.
bool valid_job_id(const std::string& id);

// A submission's body, or the same as stored in a job's row. The error is `invalid_argument`; its message, which the
// user gets, names the first field that is missing or invalid. Whether the job can run is not looked at.
Result<JobSpec> parse_job(const std::string& body);
// The same, of a value that was read already.
Result<JobSpec> parse_job(const json& object);

// The submission that `parse_job` reads.
json encode_job(const JobSpec& spec);

// The body of a job's state.
std::string encode_status(const JobStatus& status);

// The body of a response other than 200 and 201.
std::string encode_error(const std::string& message);

// Why jobs wait, between nodes. No reason at all is the empty text, which older versions send.
std::string encode_reasons(const std::map<JobId, std::string>& reasons);
// What cannot be read is left out: the reasons are for display.
std::map<JobId, std::string> parse_reasons(const std::string& text);

}  // namespace martenwall::wire
