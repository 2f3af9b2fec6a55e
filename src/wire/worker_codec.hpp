// Workers' protocol: heartbeats and their answers, direct commands.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/messages.hpp"

namespace martenwall::wire {

// "job-000412/3"; nothing where the text is anything else.
std::optional<TaskId> parse_task_id(const std::string& text);

// A worker's heartbeat, also as the reply to a direct command. Nothing where any part of it cannot be read: a task that
// is left out would be taken for absent.
std::optional<Heartbeat> parse_heartbeat(const std::string& body);

// The body of a 200 to a heartbeat.
std::string encode_heartbeat_response(FencingToken token, const std::vector<Command>& commands);

// The body of a direct command, for the worker's agent epoch `incarnation` only.
std::string encode_command_batch(FencingToken token, Incarnation incarnation, const std::vector<Command>& commands);

// The body of a 421: names the node to report to. Empty: no name, and the worker tries the next node.
std::string encode_redirect(const std::string& leader);

}  // namespace martenwall::wire
