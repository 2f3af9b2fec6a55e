// Workers' heartbeats between controller nodes: many in one message (msgpack), and their answers.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/messages.hpp"

namespace martenwall::wire {

// How many workers a node holds, and would hold.
struct NodeCapacity {
  std::string node;
  std::uint64_t workers = 0, capacity = 0;
};

// What a follower sends to the leader.
struct HeartbeatBatch {
  NodeCapacity sender;
  std::vector<Heartbeat> heartbeats;
};

// What the leader replies to it.
struct HeartbeatResponses {
  FencingToken token;
  std::vector<HeartbeatResponse> responses;  // in the order of the heartbeats
  std::vector<NodeCapacity> nodes;           // that the leader heard lately, itself included
};

constexpr std::size_t max_batch_heartbeats = 64;
constexpr std::size_t max_batch_bytes = 60 * 1024;  // of heartbeats; the rest of a frame is its framing
constexpr std::size_t max_batch_response_bytes =
    60 * 1024;  // of commands; what is beyond is left for the next heartbeat

// An upper bound of what it takes in a batch, bytes.
std::size_t encoded_size(const Heartbeat& heartbeat);
// The same for an answer, within `max_batch_response_bytes`.
std::size_t encoded_size(const HeartbeatResponse& answer);

// The msgpack bytes of a request's body.
std::string encode_batch(const HeartbeatBatch& batch);
// The msgpack bytes of a reply's body.
std::string encode_responses(const HeartbeatResponses& responses);
// Nothing where it cannot be read whole: a task that is left out would be taken for absent.
std::optional<HeartbeatBatch> decode_batch(std::string_view bytes);
// Nothing where it cannot be read whole.
std::optional<HeartbeatResponses> decode_responses(std::string_view bytes);

}  // namespace martenwall::wire
