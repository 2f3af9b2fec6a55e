// Users' protocol: submissions and answers.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "core/messages.hpp"
#include "wire/json_fields.hpp"

namespace martenwall::wire {

struct BadJob {
  std::string why;
};
using ParsedJob = std::variant<JobSpec, BadJob>;

bool valid_job_id(const std::string& id);
ParsedJob parse_job(const std::string& body);
ParsedJob parse_job(const json& object);
json encode_job(const JobSpec& spec);
std::string encode_status(const JobStatus& status);
std::string encode_error(const std::string& why);
// Why jobs wait, between nodes. No reason at all is the empty text, which older versions send.
std::string encode_reasons(const std::map<JobId, std::string>& reasons);
std::map<JobId, std::string> parse_reasons(const std::string& text);

}  // namespace martenwall::wire
