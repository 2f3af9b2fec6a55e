// Protocol between controller nodes: length-prefixed msgpack frames.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace martenwall::wire {

// Kinds of request between nodes. The numbers are part of the frames; older versions close the connection on a number
// that they do not know.
enum class PeerVerb : std::uint8_t {
  submit = 1,            // `job`: its id; `body`: the user's submission
  cancel = 3,            // `job`: its id
  statuses = 4,          // `jobs`: ids of the jobs whose statuses are queried
  ping = 5,              // no fields
  stranded = 6,          // `job`: the sending node; `body`: the number of its workers that do not reach the leader
  cloud = 7,             // `job`: method and target of a request to the cloud; `body`: its body
  submit_dependent = 8,  // as `submit`; a separate verb, since older versions would drop the dependencies
  heartbeats = 9,        // `body`: a batch (heartbeat_codec.hpp); only for nodes whose ping reply announces support
  configuration = 10,    // `body`: a request (configuration_codec.hpp)
};

// One request. The verb determines which fields are used.
struct PeerRequest {
  PeerVerb verb = PeerVerb::statuses;
  std::string job;
  std::string body;
  std::vector<std::string> jobs{};
};

// Status of a job from the leader's memory. If the job is not known there, the store has to be queried.
struct PeerStatus {
  bool known = false;
  std::uint8_t phase = 0;
  std::uint32_t done = 0, running = 0;
};
constexpr std::size_t max_peer_jobs = 256;

// Status of a reply to `cloud` if the forwarding node got no response from the cloud.
constexpr int status_no_response = 0;

// Reply to any request.
struct PeerReply {
  int status = status_no_response;  // HTTP status; 421: the receiving node is not the leader
  std::string body;
  std::vector<PeerStatus> statuses{};
};

// Bodies of the reply to a ping, by a leader and by a follower. Versions that do not forward heartbeats leave the body
// empty.
constexpr std::string_view accepts_heartbeats = "leads";
constexpr std::string_view forwards_heartbeats = "follows";

constexpr std::size_t max_peer_frame = 80 * 1024;
// Returns a frame: the size of the payload in four bytes (big-endian), then the payload.
std::string encode_frame(const PeerRequest& request);
// Returns the frame of a reply.
std::string encode_frame(const PeerReply& reply);

// Decodes a payload without its size prefix; returns no value if it is malformed.
std::optional<PeerRequest> decode_request(std::string_view payload);
// Decodes the payload of a reply; returns no value if it is malformed.
std::optional<PeerReply> decode_reply(std::string_view payload);

// Returns the size of the frame's payload; no value until the four-byte prefix has been received.
std::optional<std::size_t> frame_size(std::string_view data);

}  // namespace martenwall::wire
