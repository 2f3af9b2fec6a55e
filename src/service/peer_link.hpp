// Frames on a socket, between controller nodes and between an operator's command and a node.
#pragma once
#include <optional>
#include <string>

#include "runtime/socket.hpp"
#include "wire/peer_codec.hpp"

namespace martenwall::service {

// Returns the payload of the next frame; `unread` holds bytes that were read beyond it. Nothing on an error, at the end
// of the stream, or at the deadline.
rt::Task<std::optional<std::string>> read_frame(rt::Socket& socket, std::string& unread, Time deadline);

// Sends one request over a connection of its own; nothing if no reply arrived by the deadline. The request may have
// been executed anyway.
rt::Task<std::optional<wire::PeerReply>> call_once(rt::Loop& loop, rt::Endpoint endpoint, std::string frame,
                                                   Time deadline);

}  // namespace martenwall::service
