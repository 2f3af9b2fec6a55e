// Between controller nodes: length-prefixed msgpack frames.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace martenwall::wire {

// What a node asks of another. The numbers are part of the frames; older versions close the connection on one that they
// do not know.
enum class PeerVerb : std::uint8_t {
  submit = 1,            // `job`: its id; `body`: the user's submission
  cancel = 3,            // `job`: its id
  statuses = 4,          // `jobs`: many questions in one frame
  ping = 5,              // nothing
  stranded = 6,          // `job`: the asking node; `body`: the number of workers that it redirects in vain
  cloud = 7,             // `job`: method and target of a request to the cloud; `body`: its body
  submit_dependent = 8,  // as `submit`; a verb of its own since older versions would drop the dependencies
  heartbeats =
      9,  // `body`: a batch (heartbeat_codec.hpp); only to a node whose reply to a ping says that it takes them
  configuration = 10,  // `body`: a request of configuration_codec.hpp
};

// One request; which fields are used depends on the verb.
struct PeerRequest {
  PeerVerb verb = PeerVerb::statuses;
  std::string job;
  std::string body;
  std::vector<std::string> jobs{};
};

// What the leader knows of a job from memory; not known: the store has to be asked.
struct PeerStatus {
  bool known = false;
  std::uint8_t phase = 0;
  std::uint32_t done = 0, running = 0;
};
constexpr std::size_t max_peer_jobs = 256;

// The status of a reply to `cloud` where the cloud did not answer the node that passed the request on.
constexpr int status_no_response = 0;

// The reply to any request.
struct PeerReply {
  int status = status_no_response;  // of HTTP; 421: the node asked does not lead
  std::string body;
  std::vector<PeerStatus> statuses{};
};

// The body of the reply to a ping; versions that do not forward heartbeats leave it empty.
constexpr std::string_view accepts_heartbeats = "leads";
constexpr std::string_view forwards_heartbeats = "follows";

constexpr std::size_t max_peer_frame = 80 * 1024;
// A frame: the payload's size in four bytes, then the payload.
std::string encode_frame(const PeerRequest& request);
// The same for a reply.
std::string encode_frame(const PeerReply& reply);

// From a payload without its prefix; nothing where it cannot be read.
std::optional<PeerRequest> decode_request(std::string_view payload);
// The same for a reply.
std::optional<PeerReply> decode_reply(std::string_view payload);

// Size of the frame's payload once its four-byte prefix is there.
std::optional<std::size_t> frame_size(std::string_view data);

}  // namespace martenwall::wire
