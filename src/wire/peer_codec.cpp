#include "wire/peer_codec.hpp"

#include <msgpack.hpp>

namespace martenwall::wire {

namespace {

constexpr std::size_t prefix_bytes = 4;
using StatusTuple = std::tuple<bool, std::uint8_t, std::uint32_t, std::uint32_t>;

std::string frame(const msgpack::sbuffer& buffer) {
  std::string out;
  const auto n = static_cast<std::uint32_t>(buffer.size());
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>((n >> shift) & 0xFFU));
  out.append(buffer.data(), buffer.size());
  return out;
}

// Bounds on what a frame may make us allocate.
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

std::string encode_frame(const PeerRequest& r) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, std::make_tuple(static_cast<std::uint8_t>(r.verb), r.job, r.body, r.jobs));
  return frame(buffer);
}

std::string encode_frame(const PeerReply& r) {
  msgpack::sbuffer buffer;
  std::vector<StatusTuple> statuses;
  for (const auto& x : r.statuses) statuses.emplace_back(x.known, x.phase, x.done, x.running);
  msgpack::pack(buffer, std::make_tuple(r.status, r.body, statuses));
  return frame(buffer);
}

std::optional<PeerRequest> decode_request(std::string_view payload) {
  auto t = unpack<std::tuple<std::uint8_t, std::string, std::string, std::vector<std::string>>>(payload);
  if (!t) return std::nullopt;
  auto& [verb, job, body, jobs] = *t;
  if (verb < 1 || verb > static_cast<std::uint8_t>(PeerVerb::configuration) || verb == 2)
    return std::nullopt;  // 2: single questions, no longer asked
  return PeerRequest{static_cast<PeerVerb>(verb), std::move(job), std::move(body), std::move(jobs)};
}

std::optional<PeerReply> decode_reply(std::string_view payload) {
  auto t = unpack<std::tuple<int, std::string, std::vector<StatusTuple>>>(payload);
  if (!t) return std::nullopt;
  PeerReply r{std::get<0>(*t), std::move(std::get<1>(*t)), {}};
  for (const auto& [known, phase, done, running] : std::get<2>(*t)) {
    if (phase > 3) return std::nullopt;
    r.statuses.push_back({known, phase, done, running});
  }
  return r;
}

std::optional<std::size_t> frame_size(std::string_view data) {
  if (data.size() < prefix_bytes) return std::nullopt;
  std::size_t n = 0;
  for (std::size_t i = 0; i < prefix_bytes; ++i) n = (n << 8U) | static_cast<unsigned char>(data[i]);
  return n;
}

}  // namespace martenwall::wire
