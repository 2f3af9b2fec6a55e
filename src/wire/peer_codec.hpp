// Between controller nodes: length-prefixed msgpack frames.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace martenwall::wire {

enum class PeerVerb : std::uint8_t {
  submit = 1,
  cancel = 3,
  statuses = 4,
  ping = 5,
  stranded = 6,
  cloud = 7,
  submit_dependent = 8,
  heartbeats = 9,
  configuration = 10
};

struct PeerRequest {
  PeerVerb verb = PeerVerb::statuses;
  std::string job;
  std::string body;
  std::vector<std::string> jobs{};  // `statuses`: many questions in one frame
                                    // `stranded`: `job` is the node, `body` the number of workers
                                    // `submit_chained`: as `submit`, which versions of level 1 would take without
                                    // what the job awaits; they close the connection instead
                                    // `cloud`: `job` is method and target of a request to be passed on
                                    // `reports`: `body` is a batch of workers' reports (report_codec.hpp); only sent
                                    // to a node whose answer to a ping says that it takes them
                                    // `configuration`: `body` is a request of configuration_codec.hpp; older versions
                                    // close the connection
};

// What the leader knows of a job from memory; not known: the store has to be asked.
struct PeerStatus {
  bool known = false;
  std::uint8_t phase = 0;
  std::uint32_t done = 0, running = 0;
};
constexpr std::size_t max_peer_jobs = 256;

// The status of a reply to `cloud` where the cloud did not answer the node that passed the request on.
constexpr int status_no_answer = 0;

struct PeerReply {
  int status = status_no_answer;  // of HTTP; 421: the node asked does not lead
  std::string body;
  std::vector<PeerStatus> statuses{};
};

// In the answer to a ping; versions that do not pass reports on say nothing there.
constexpr std::string_view accepts_heartbeats = "leads";
constexpr std::string_view forwards_heartbeats = "follows";

constexpr std::size_t max_peer_frame = 80 * 1024;
std::string encode_frame(const PeerRequest& request);
std::string encode_frame(const PeerReply& reply);
std::optional<PeerRequest> decode_request(std::string_view payload);
std::optional<PeerReply> decode_reply(std::string_view payload);
// Size of the frame's payload once its four-byte prefix is there.
std::optional<std::size_t> frame_size(std::string_view data);

}  // namespace martenwall::wire
