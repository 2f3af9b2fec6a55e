// Protocol of the users: job submissions and responses.
#pragma once
#include <map>
#include <string>

#include "core/messages.hpp"
#include "core/result.hpp"
#include "wire/json_fields.hpp"

namespace martenwall::wire {

// Returns whether the text has the form of a job id and is short enough for the store's keys.
bool valid_job_id(const std::string& id);

// Parses the body of a submission, which is also the form stored in a job row. The error is `invalid_argument`; its
// message is returned to the user and names the first field that is missing or invalid. Does not check whether the job
// can run.
Result<JobSpec> parse_job(const std::string& body);
// Parses a submission from a JSON value.
Result<JobSpec> parse_job(const json& object);

// Encodes a submission in the form that `parse_job` reads.
json encode_job(const JobSpec& spec);

// Returns the response body with the status of a job.
std::string encode_status(const JobStatus& status);

// Returns the body of a response other than 200 and 201.
std::string encode_error(const std::string& message);

// Encodes, for another node, why jobs are pending. Without any reason the result is empty, which is also what older
// versions send.
std::string encode_reasons(const std::map<JobId, std::string>& reasons);
// Parses the result of `encode_reasons`. Skips unreadable entries, since the reasons are only displayed.
std::map<JobId, std::string> parse_reasons(const std::string& encoded);

}  // namespace martenwall::wire
