#include "service/peer_service.hpp"

#include <algorithm>

#include "service/peer_link.hpp"

namespace martenwall::service {

namespace {
constexpr std::size_t max_connections = 64;
constexpr std::size_t max_idle = 8;
constexpr Duration idle_limit = seconds(60);
constexpr Duration link_pause = seconds(1);
constexpr Duration ping_every = seconds(0.7);
constexpr Duration ping_limit = seconds(0.6);
constexpr Duration ping_valid = seconds(3);
}  // namespace

PeerService::PeerService(Context& ctx, Handler handler)
    : ctx_(ctx), handler_(std::move(handler)), listener_(ctx.loop, *rt::Endpoint::parse(ctx.settings.peer_listen)) {}

rt::Task<void> PeerService::serve() {
  for (;;) {
    auto socket = co_await listener_.accept();
    if (!socket || open_ >= max_connections) continue;
    rt::spawn(connection(std::move(*socket)));
  }
}

rt::Task<void> PeerService::connection(rt::Socket socket) {
  ++open_;
  std::string spare;
  for (;;) {
    const Time deadline = ctx_.now() + idle_limit + seconds(10);
    const auto payload = co_await read_frame(socket, spare, deadline);
    auto request = payload ? wire::decode_request(*payload) : std::nullopt;
    if (!request) break;
    wire::PeerReply reply = co_await handler_(std::move(*request));
    const std::string frame = wire::encode_frame(reply);
    const Time write_by = ctx_.now() + seconds(5);
    const bool sent = co_await socket.write_all(frame, write_by);
    if (!sent) break;
  }
  --open_;
}

rt::Task<std::optional<wire::PeerReply>> PeerService::ask(std::string addr, std::string frame, Time deadline) {
  for (bool kept = true;;) {
    std::optional<rt::Socket> socket;
    auto& idle = idle_[addr];
    if (kept && !idle.empty()) {
      socket.emplace(std::move(idle.back()));
      idle.pop_back();
    } else {
      kept = false;
      auto endpoint = rt::Endpoint::parse(addr);
      if (!endpoint) co_return std::nullopt;
      auto fresh = co_await rt::Socket::connect(ctx_.loop, std::move(*endpoint), deadline);
      if (!fresh) co_return std::nullopt;
      socket.emplace(std::move(*fresh));
    }
    std::string spare;
    const bool sent = co_await socket->write_all(frame, deadline);
    std::optional<std::string> payload;
    if (sent) payload = co_await read_frame(*socket, spare, deadline);
    auto reply = payload ? wire::decode_reply(*payload) : std::nullopt;
    if (reply) {
      auto& list = idle_[addr];
      if (list.size() < max_idle) list.push_back(std::move(*socket));
      co_return reply;
    }
    // A kept connection may have died meanwhile; every request of this link can be repeated.
    if (!kept || ctx_.now() >= deadline) co_return std::nullopt;
    idle_[addr].clear();
  }
}

rt::Task<void> PeerService::ping(std::size_t peer) {
  // Named, not made within the co_await: GCC 12 destroys an aggregate made there twice (found by inc-4c3d,
  // in which all nodes ended as soon as the state service failed).
  const wire::PeerRequest request{wire::PeerVerb::ping, "", "", {}};
  std::string addr = ctx_.settings.peers[peer].addr;
  std::string frame = wire::encode_frame(request);
  const Time deadline = ctx_.now() + ping_limit;
  const auto reply = co_await ask(std::move(addr), std::move(frame), deadline);
  if (reply) seen_[peer] = {ctx_.now(), reply->status == 200};
}

rt::Task<void> PeerService::watch_others() {
  seen_.resize(ctx_.settings.peers.size());
  for (;;) {
    co_await ctx_.loop.sleep(ping_every);
    if (ctx_.reaches_store()) continue;
    for (std::size_t i = 0; i < seen_.size(); ++i) rt::spawn(ping(i));
  }
}

PeerService::Others PeerService::others() const {
  auto out = Others::unreachable;
  for (const auto& s : seen_) {
    if (ctx_.now() - s.at > ping_valid) continue;
    if (s.serving) return Others::serving;
    out = Others::equally_cut_off;
  }
  return out;
}

rt::Task<std::optional<wire::PeerReply>> PeerService::ask_others(wire::PeerRequest request, Duration timeout) {
  const std::size_t n = ctx_.settings.peers.size();
  for (std::size_t i = 0; i < n; ++i) {
    const std::size_t peer = (helpful_ + i) % n;
    std::string addr = ctx_.settings.peers[peer].addr;
    std::string frame = wire::encode_frame(request);
    const Time deadline = ctx_.now() + timeout;
    auto reply = co_await ask(std::move(addr), std::move(frame), deadline);
    if (!reply || reply->status == 0 || reply->status == 421) continue;
    helpful_ = peer;
    co_return reply;
  }
  co_return std::nullopt;
}

rt::Task<std::optional<wire::PeerReply>> PeerService::ask_node(std::string node, wire::PeerRequest request,
                                                               Duration timeout) {
  const auto peer = std::ranges::find(ctx_.settings.peers, node, &config::Peer::node);
  if (peer == ctx_.settings.peers.end()) co_return std::nullopt;
  const Time deadline = ctx_.now() + timeout;
  std::string frame = wire::encode_frame(request);
  co_return co_await ask(peer->addr, std::move(frame), deadline);
}

rt::Task<std::optional<wire::PeerReply>> PeerService::ask_leader(wire::PeerRequest request, Duration timeout) {
  const auto peer = std::ranges::find(ctx_.settings.peers, ctx_.leader, &config::Peer::node);
  if (peer == ctx_.settings.peers.end()) co_return std::nullopt;
  if (leader_unreachable()) co_return std::nullopt;
  const std::string leader = ctx_.leader;
  const Time deadline = ctx_.now() + timeout;
  auto reply = co_await ask(peer->addr, wire::encode_frame(request), deadline);
  if (!reply) {
    // Refused or silent: for a moment the store is asked instead, so that users need not wait for it each time.
    link_down_to_ = leader;
    ctx_.leader_link_failed_at = ctx_.now();
    link_down_until_ = ctx_.now() + link_pause;
  }
  if (reply && reply->status == 421) co_return std::nullopt;
  if (reply) ctx_.leader_answered_at = ctx_.now();
  co_return reply;
}

}  // namespace martenwall::service
