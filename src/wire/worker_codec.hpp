// Protocol of the workers: heartbeats, the responses to them, and direct commands.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/messages.hpp"

namespace martenwall::wire {

// Parses a task id such as "job-000412/3"; returns no value for text of any other form.
std::optional<TaskId> parse_task_id(const std::string& text);

// Parses a worker's heartbeat, which is also the response to a direct command. Returns no value if any part is
// malformed: a skipped task would be treated as absent.
std::optional<Heartbeat> parse_heartbeat(const std::string& body);

// Returns the body of a response with status 200 to a heartbeat.
std::string encode_heartbeat_response(FencingToken token, const std::vector<Command>& commands);

// Returns the body of a request with direct commands. They apply only to this incarnation of the worker's agent.
std::string encode_command_batch(FencingToken token, Incarnation incarnation, const std::vector<Command>& commands);

// Returns the body of a response with status 421, which names the node to which the worker should send its heartbeats.
// If `leader` is empty, the body names no node and the worker tries the next one.
std::string encode_redirect(const std::string& leader);

}  // namespace martenwall::wire
