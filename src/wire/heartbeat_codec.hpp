// Batches of worker heartbeats that one controller node forwards to another, and the responses (msgpack).
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/messages.hpp"

namespace martenwall::wire {

// Number of workers connected to a node, and the number for which it has capacity.
struct NodeCapacity {
  std::string node;
  std::uint64_t workers = 0, capacity = 0;
};

// Message from a follower to the leader.
struct HeartbeatBatch {
  NodeCapacity sender;
  std::vector<Heartbeat> heartbeats;
};

// The leader's reply to a batch.
struct HeartbeatResponses {
  FencingToken token;
  std::vector<HeartbeatResponse> responses;  // in the order of the heartbeats
  std::vector<NodeCapacity> nodes;           // nodes that the leader heard from recently, including itself
};

constexpr std::size_t max_batch_heartbeats = 64;
constexpr std::size_t max_batch_bytes = 60 * 1024;           // heartbeats only; the rest of a frame is for its framing
constexpr std::size_t max_batch_response_bytes = 60 * 1024;  // further commands wait for the next heartbeat

// Returns an upper bound of the size of a heartbeat in a batch, in bytes.
std::size_t encoded_size(const Heartbeat& heartbeat);
// Returns an upper bound of the size of a response in a reply, in bytes; counts toward `max_batch_response_bytes`.
std::size_t encoded_size(const HeartbeatResponse& response);

// Returns the msgpack bytes of a request body.
std::string encode_batch(const HeartbeatBatch& batch);
// Returns the msgpack bytes of a reply body.
std::string encode_responses(const HeartbeatResponses& responses);
// Decodes a batch. Returns no value if any part is malformed: a skipped task would be treated as absent.
std::optional<HeartbeatBatch> decode_batch(std::string_view bytes);
// Decodes a reply. Returns no value if any part is malformed.
std::optional<HeartbeatResponses> decode_responses(std::string_view bytes);

}  // namespace martenwall::wire
