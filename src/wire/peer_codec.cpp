#include "wire/peer_codec.hpp"

#include <msgpack.hpp>

namespace martenwall::wire {

namespace {

constexpr std::size_t prefix_bytes = 4;
using StatusTuple = std::tuple<bool, std::uint8_t, std::uint32_t, std::uint32_t>;

std::string frame(const msgpack::sbuffer& buffer) {
  std::string out;
  const auto size = static_cast<std::uint32_t>(buffer.size());
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>((size >> shift) & 0xFFU));
  out.append(buffer.data(), buffer.size());
  return out;
}

// Bounds on the memory that unpacking a frame may allocate.
msgpack::unpack_limit limits() { return {max_peer_jobs, 8, max_peer_frame, max_peer_frame, 0, 4}; }

template <class Tuple>
std::optional<Tuple> unpack(std::string_view payload) {
  try {
    const auto handle = msgpack::unpack(payload.data(), payload.size(), nullptr, nullptr, limits());
    return handle.get().as<Tuple>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string encode_frame(const PeerRequest& request) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer,
                std::make_tuple(static_cast<std::uint8_t>(request.verb), request.job, request.body, request.jobs));
  return frame(buffer);
}

std::string encode_frame(const PeerReply& reply) {
  msgpack::sbuffer buffer;
  std::vector<StatusTuple> statuses;
  for (const auto& status : reply.statuses)
    statuses.emplace_back(status.known, status.phase, status.done, status.running);
  msgpack::pack(buffer, std::make_tuple(reply.status, reply.body, statuses));
  return frame(buffer);
}

std::optional<PeerRequest> decode_request(std::string_view payload) {
  auto fields = unpack<std::tuple<std::uint8_t, std::string, std::string, std::vector<std::string>>>(payload);
  if (!fields) return std::nullopt;
  auto& [verb, job, body, jobs] = *fields;
  if (verb < 1 || verb > static_cast<std::uint8_t>(PeerVerb::configuration) || verb == 2)
    return std::nullopt;  // 2: status query for a single job, sent by older versions
  return PeerRequest{static_cast<PeerVerb>(verb), std::move(job), std::move(body), std::move(jobs)};
}

std::optional<PeerReply> decode_reply(std::string_view payload) {
  auto fields = unpack<std::tuple<int, std::string, std::vector<StatusTuple>>>(payload);
  if (!fields) return std::nullopt;
  PeerReply reply{std::get<0>(*fields), std::move(std::get<1>(*fields)), {}};
  for (const auto& [known, phase, done, running] : std::get<2>(*fields)) {
    if (phase > 3) return std::nullopt;
    reply.statuses.push_back({known, phase, done, running});
  }
  return reply;
}

std::optional<std::size_t> frame_size(std::string_view data) {
  if (data.size() < prefix_bytes) return std::nullopt;
  std::size_t size = 0;
  for (std::size_t i = 0; i < prefix_bytes; ++i) size = (size << 8U) | static_cast<unsigned char>(data[i]);
  return size;
}

}  // namespace martenwall::wire
