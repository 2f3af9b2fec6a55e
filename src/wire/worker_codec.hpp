// Workers' protocol: reports, orders, direct commands.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/messages.hpp"

namespace martenwall::wire {

std::optional<TaskId> parse_task_id(const std::string& text);
std::optional<Heartbeat> parse_heartbeat(const std::string& body);
std::string encode_heartbeat_response(FencingToken token, const std::vector<Command>& commands);
std::string encode_command_batch(FencingToken token, Incarnation incarnation, const std::vector<Command>& commands);
std::string encode_misdirected(const std::string& leader);

}  // namespace martenwall::wire
