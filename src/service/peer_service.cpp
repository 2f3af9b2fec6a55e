#include "service/peer_service.hpp"

#include <algorithm>

#include "service/peer_link.hpp"

namespace martenwall::service {

namespace {
constexpr std::size_t max_connections =
    64;  // from other nodes: several for each, in addition to those of users and workers
constexpr std::size_t max_idle_connections = 8;  // to each other node
constexpr Duration idle_limit = seconds(70);     // idle connections are closed after this time
constexpr Duration reply_write_timeout = seconds(5);
constexpr Duration leader_retry_delay = seconds(1);  // users' requests go to the store meanwhile
constexpr Duration ping_interval = seconds(0.7);
constexpr Duration ping_timeout = seconds(0.6);  // ends before the next ping
constexpr Duration ping_validity = seconds(3);
}  // namespace

PeerService::PeerService(Context& ctx, Handler handler)
    : ctx_(ctx), handler_(std::move(handler)), listener_(ctx.loop, *rt::Endpoint::parse(ctx.settings.peer_listen)) {}

rt::Task<void> PeerService::serve() {
  for (;;) {
    auto socket = co_await listener_.accept();
    if (!socket || open_connections_ >= max_connections) continue;
    // Detached: owns its socket, ends when the other side closes it or is idle for too long.
    rt::spawn(serve_connection(std::move(*socket)));
  }
}

rt::Task<void> PeerService::serve_connection(rt::Socket socket) {
  ++open_connections_;
  std::string unread;
  for (;;) {
    const Time deadline = ctx_.now() + idle_limit;
    const auto payload = co_await read_frame(socket, unread, deadline);
    auto request = payload ? wire::decode_request(*payload) : std::nullopt;
    if (!request) break;
    wire::PeerReply reply = co_await handler_(std::move(*request));
    const std::string frame = wire::encode_frame(reply);
    const Time write_deadline = ctx_.now() + reply_write_timeout;
    const bool sent = co_await socket.write_all(frame, write_deadline);
    if (!sent) break;
  }
  --open_connections_;
}

std::optional<rt::Socket> PeerService::take_idle_connection(const std::string& addr) {
  auto& idle = idle_connections_[addr];
  if (idle.empty()) return std::nullopt;
  std::optional<rt::Socket> socket{std::move(idle.back())};
  idle.pop_back();
  return socket;
}

rt::Task<std::optional<rt::Socket>> PeerService::connect(std::string addr, Time deadline) {
  auto endpoint = rt::Endpoint::parse(addr);
  if (!endpoint) co_return std::nullopt;
  co_return co_await rt::Socket::connect(ctx_.loop, std::move(*endpoint), deadline);
}

rt::Task<std::optional<wire::PeerReply>> PeerService::exchange(rt::Socket& socket, const std::string& frame,
                                                               Time deadline) {
  const bool sent = co_await socket.write_all(frame, deadline);
  if (!sent) co_return std::nullopt;
  std::string unread;
  const auto payload = co_await read_frame(socket, unread, deadline);
  if (!payload) co_return std::nullopt;
  co_return wire::decode_reply(*payload);
}

rt::Task<std::optional<wire::PeerReply>> PeerService::call(std::string addr, std::string frame, Time deadline) {
  std::optional<rt::Socket> socket = take_idle_connection(addr);
  if (socket) {
    auto reply = co_await exchange(*socket, frame, deadline);
    if (reply) {
      add_idle_connection(addr, std::move(*socket));
      co_return reply;
    }
    // An idle connection may have been closed by the other side, and the other idle connections at the same time. Every
    // request over this link can be repeated.
    if (ctx_.now() >= deadline) co_return std::nullopt;
    socket.reset();
    idle_connections_[addr].clear();
  }
  socket = co_await connect(addr, deadline);
  if (!socket) co_return std::nullopt;
  auto reply = co_await exchange(*socket, frame, deadline);
  if (reply) add_idle_connection(addr, std::move(*socket));
  co_return reply;
}

void PeerService::add_idle_connection(const std::string& addr, rt::Socket socket) {
  auto& idle = idle_connections_[addr];
  if (idle.size() < max_idle_connections) idle.push_back(std::move(socket));
}

rt::Task<void> PeerService::ping(std::size_t peer) {
  // A named variable, because GCC 12 destroys an aggregate twice that is created within the co_await expression (found
  // by inc-4c3d, in which all nodes ended as soon as the state service failed).
  const wire::PeerRequest request{wire::PeerVerb::ping, "", "", {}};
  std::string addr = ctx_.settings.peers[peer].addr;
  std::string frame = wire::encode_frame(request);
  const Time deadline = ctx_.now() + ping_timeout;
  const auto reply = co_await call(std::move(addr), std::move(frame), deadline);
  if (reply) ping_results_[peer] = {ctx_.now(), reply->status == 200};
}

rt::Task<void> PeerService::run_pings() {
  ping_results_.resize(ctx_.settings.peers.size());
  for (;;) {
    co_await ctx_.loop.sleep(ping_interval);
    if (ctx_.reaches_store()) continue;
    for (std::size_t i = 0; i < ping_results_.size(); ++i) rt::spawn(ping(i));  // detached: ends at its timeout
  }
}

PeerService::Availability PeerService::availability() const {
  auto out = Availability::unreachable;
  for (const auto& result : ping_results_) {
    if (ctx_.now() - result.at > ping_validity) continue;
    if (result.reaches_store) return Availability::serving;
    out = Availability::none_reaches_store;
  }
  return out;
}

rt::Task<std::optional<wire::PeerReply>> PeerService::call_any_other(wire::PeerRequest request, Duration timeout) {
  const std::size_t peers = ctx_.settings.peers.size();
  for (std::size_t i = 0; i < peers; ++i) {
    const std::size_t peer = (last_responsive_peer_ + i) % peers;
    std::string addr = ctx_.settings.peers[peer].addr;
    std::string frame = wire::encode_frame(request);
    const Time deadline = ctx_.now() + timeout;
    auto reply = co_await call(std::move(addr), std::move(frame), deadline);
    if (!reply || reply->status == wire::status_no_response || reply->status == 421) continue;
    last_responsive_peer_ = peer;
    co_return reply;
  }
  co_return std::nullopt;
}

rt::Task<std::optional<wire::PeerReply>> PeerService::call_node(std::string node, wire::PeerRequest request,
                                                                Duration timeout) {
  const auto peer = std::ranges::find(ctx_.settings.peers, node, &config::Peer::node);
  if (peer == ctx_.settings.peers.end()) co_return std::nullopt;
  const Time deadline = ctx_.now() + timeout;
  std::string frame = wire::encode_frame(request);
  co_return co_await call(peer->addr, std::move(frame), deadline);
}

rt::Task<std::optional<wire::PeerReply>> PeerService::call_leader(wire::PeerRequest request, Duration timeout) {
  const auto peer = std::ranges::find(ctx_.settings.peers, ctx_.leader, &config::Peer::node);
  if (peer == ctx_.settings.peers.end()) co_return std::nullopt;
  if (leader_unreachable()) co_return std::nullopt;
  const std::string leader = ctx_.leader;
  const Time deadline = ctx_.now() + timeout;
  auto reply = co_await call(peer->addr, wire::encode_frame(request), deadline);
  if (!reply) {
    // Refused or no reply: the store is used instead for a while, so that users do not wait for the leader on each
    // request.
    unreachable_leader_ = leader;
    ctx_.leader_link_failed_at = ctx_.now();
    leader_retry_at_ = ctx_.now() + leader_retry_delay;
  }
  if (reply && reply->status == 421) co_return std::nullopt;
  if (reply) ctx_.leader_answered_at = ctx_.now();
  co_return reply;
}

}  // namespace martenwall::service
