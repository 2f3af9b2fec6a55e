// Frames between controller nodes, and between an operator's command and a node, on a socket.
#pragma once
#include <optional>
#include <string>

#include "runtime/socket.hpp"
#include "wire/peer_codec.hpp"

namespace martenwall::service {

// The payload of the next frame; `unread` holds what was read beyond it. Nothing at an error, the end or the deadline.
rt::Task<std::optional<std::string>> read_frame(rt::Socket& socket, std::string& unread, Time deadline);

// One request over a connection of its own; nothing where no reply came by the deadline. The request may have been
// executed all the same.
rt::Task<std::optional<wire::PeerReply>> call_once(rt::Loop& loop, rt::Endpoint endpoint, std::string frame,
                                                   Time deadline);

}  // namespace martenwall::service
