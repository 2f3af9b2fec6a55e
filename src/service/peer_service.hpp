// Between controller nodes: followers hand users' requests to the leader.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "service/context.hpp"
#include "wire/peer_codec.hpp"

namespace martenwall::service {

class PeerService {
 public:
  using Handler = std::function<rt::Task<wire::PeerReply>(wire::PeerRequest)>;
  PeerService(Context& ctx, Handler handler);
  rt::Task<void> serve();
  // Nothing where the leader is unknown, unreachable or does not lead any more.
  rt::Task<std::optional<wire::PeerReply>> ask_leader(wire::PeerRequest request, Duration timeout);
  // The answer of any other node that gives one other than 503; the one that did last is asked first.
  rt::Task<std::optional<wire::PeerReply>> ask_others(wire::PeerRequest request, Duration timeout);
  // That node's answer, whatever it is; nothing of this is remembered.
  rt::Task<std::optional<wire::PeerReply>> ask_node(std::string node, wire::PeerRequest request, Duration timeout);
  // The leader could not be reached a moment ago, so that it is not asked now.
  [[nodiscard]] bool leader_unreachable() const {
    return ctx_.now() < link_down_until_ && link_down_to_ == ctx_.leader;
  }
  // While this node cannot serve by itself: asks the others whether they can.
  rt::Task<void> watch_others();
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  enum class Others { unreachable, equally_cut_off, serving };
  [[nodiscard]] Others others() const;

 private:
  rt::Task<void> ping(std::size_t peer);
  rt::Task<void> connection(rt::Socket socket);
  rt::Task<std::optional<wire::PeerReply>> ask(std::string addr, std::string frame, Time deadline);

  Context& ctx_;
  Handler handler_;
  rt::Listener listener_;
  std::size_t open_ = 0;
  struct Seen {
    Time at{};
    bool serving = false;
  };
  std::size_t helpful_ = 0;   // the peer that answered last
  std::vector<Seen> seen_;    // by peer: its last answer to a ping
  std::string link_down_to_;  // the leader that could not be reached lately
  Time link_down_until_{};
  std::map<std::string, std::vector<rt::Socket>> idle_;
};

}  // namespace martenwall::service
