#include "service/peer_link.hpp"

#include <array>

namespace martenwall::service {

rt::Task<std::optional<std::string>> read_frame(rt::Socket& socket, std::string& unread, Time deadline) {
  std::array<char, 4096> buffer{};
  for (;;) {
    const auto size = wire::frame_size(unread);
    if (size && *size > wire::max_peer_frame) co_return std::nullopt;
    if (size && unread.size() >= *size + 4) {
      std::string payload = unread.substr(4, *size);
      unread.erase(0, *size + 4);
      co_return std::optional<std::string>{std::move(payload)};
    }
    const long bytes_read = co_await socket.read_some(buffer.data(), buffer.size(), deadline);
    if (bytes_read <= 0) co_return std::nullopt;
    unread.append(buffer.data(), static_cast<std::size_t>(bytes_read));
  }
}

rt::Task<std::optional<wire::PeerReply>> call_once(rt::Loop& loop, rt::Endpoint endpoint, std::string frame,
                                                   Time deadline) {
  auto socket = co_await rt::Socket::connect(loop, std::move(endpoint), deadline);
  if (!socket) co_return std::nullopt;
  const bool sent = co_await socket->write_all(frame, deadline);
  if (!sent) co_return std::nullopt;
  std::string unread;
  const auto payload = co_await read_frame(*socket, unread, deadline);
  if (!payload) co_return std::nullopt;
  co_return wire::decode_reply(*payload);
}

}  // namespace martenwall::service
