#include <sys/socket.h>

#include <array>

#include "addresses.hpp"
#include "region.hpp"
#include "service/peer_link.hpp"

namespace martenwall::region {

bool Region::linked(std::size_t a, std::size_t b) const {
  const auto whole = [&](std::size_t c) {
    const auto& n = controllers_.at(c);
    return n.process != nullptr && now_ >= n.links_cut_until;
  };
  return whole(a) && whole(b);
}

rt::Task<void> Region::accept_links(std::size_t from, std::size_t to, rt::Listener& listener) {
  for (;;) {
    auto socket = co_await listener.accept();
    if (socket && linked(from, to)) rt::spawn(forward_connection(std::move(*socket), from, to));
  }
}

rt::Task<void> Region::forward_connection(rt::Socket from, std::size_t a, std::size_t b) {
  rt::Endpoint to = *rt::Endpoint::parse(at_port(controllers_.at(b).process->node->peers_port()));
  auto there = co_await rt::Socket::connect(loop_, std::move(to), loop_.now() + seconds(1));
  if (!there) co_return;
  auto here = std::make_shared<rt::Socket>(std::move(from));
  auto other = std::make_shared<rt::Socket>(std::move(*there));
  rt::spawn(forward_bytes(here, other, a, b));
  rt::spawn(forward_bytes(other, here, a, b));
}

// Closes both sockets once either is closed or the link is cut.
rt::Task<void> Region::forward_bytes(std::shared_ptr<rt::Socket> from, std::shared_ptr<rt::Socket> to, std::size_t a,
                                     std::size_t b) {
  std::array<char, 16384> buffer{};
  while (linked(a, b) && from->fd() >= 0) {
    const Time next_check = loop_.now() + poll_interval;
    const long n = co_await from->read_some(buffer.data(), buffer.size(), next_check);
    if (n == 0 || (n < 0 && from->peer_closed())) break;
    if (n < 0) continue;
    if (!linked(a, b) || to->fd() < 0) break;
    const std::string_view got{buffer.data(), static_cast<std::size_t>(n)};
    const bool sent = co_await to->write_all(got, loop_.now() + seconds(5));
    if (!sent) break;
  }
  // The opposite direction may be waiting on these sockets: shutdown wakes it.
  if (to->fd() >= 0) ::shutdown(to->fd(), SHUT_RDWR);
  if (from->fd() >= 0) ::shutdown(from->fd(), SHUT_RDWR);
}

rt::Task<void> Region::call_peer(std::size_t at, wire::ConfigurationRequest request,
                                 std::shared_ptr<PeerResponse> response) {
  constexpr double timeout_s = 12;
  const wire::PeerRequest frame{wire::PeerVerb::configuration, "", wire::encode_configuration_request(request), {}};
  rt::Endpoint to = *rt::Endpoint::parse(at_port(controllers_.at(at).process->node->peers_port()));
  const Time deadline = loop_.now() + seconds(timeout_s);
  response->reply = co_await service::call_once(loop_, std::move(to), wire::encode_frame(frame), deadline);
  response->ended = true;
}

void Region::configure_later(std::size_t at, wire::ConfigurationRequest request) {
  rt::spawn(call_peer(at, std::move(request), std::make_shared<PeerResponse>()));
}

std::optional<wire::PeerReply> Region::configure(std::size_t at, wire::ConfigurationRequest request) {
  const auto response = std::make_shared<PeerResponse>();
  rt::spawn(call_peer(at, std::move(request), response));
  run_until(13, [&] { return response->ended; });
  return response->reply;
}

}  // namespace martenwall::region
