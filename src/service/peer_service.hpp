// Requests between controller nodes, over kept connections.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "service/context.hpp"
#include "wire/peer_codec.hpp"

namespace martenwall::service {

// Calls other nodes and serves their calls. A call's result is empty where no reply came in time; the request may have
// been executed all the same, so that only requests that can be repeated go this way.
class PeerService {
 public:
  using Handler = std::function<rt::Task<wire::PeerReply>(wire::PeerRequest)>;

  // Listens at `cluster_listen` of the settings from here on. `handler` answers other nodes' requests; it is called
  // only after `serve` was started, so that what it refers to may be constructed after this.
  PeerService(Context& ctx, Handler handler);

  // Accepts other nodes' connections; runs as long as the node.
  rt::Task<void> serve();

  // Nothing where the leader is unknown, unreachable or does not lead any more. After a failure the leader is not
  // called for a second.
  rt::Task<std::optional<wire::PeerReply>> call_leader(wire::PeerRequest request, Duration timeout);

  // The reply of any other node that is able to give one; the node that was last time is called first. `timeout` counts
  // for each node.
  rt::Task<std::optional<wire::PeerReply>> call_any_other(wire::PeerRequest request, Duration timeout);

  // That node's reply, whatever it is; nothing of this is remembered.
  rt::Task<std::optional<wire::PeerReply>> call_node(std::string node, wire::PeerRequest request, Duration timeout);

  // The leader could not be reached a moment ago, so that `call_leader` does not try now.
  [[nodiscard]] bool leader_unreachable() const {
    return ctx_.now() < leader_retry_at_ && unreachable_leader_ == ctx_.leader;
  }

  // Pings all others while this node does not reach the store; runs as long as the node.
  rt::Task<void> run_pings();

  // Where others could serve users while this node does not reach the store, by their latest pings.
  enum class Availability {
    unreachable,         // no other node answers
    none_reaches_store,  // others answer, and none reaches the store
    serving,             // another node reaches the store
  };
  // Looks at the pings of the last seconds only.
  [[nodiscard]] Availability availability() const;

  // The port that it listens on, also where the settings leave the choice to the system.
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

 private:
  struct PingResult {
    Time at{};
    bool reaches_store = false;
  };

  rt::Task<void> ping(std::size_t peer);
  rt::Task<void> serve_connection(rt::Socket socket);
  rt::Task<std::optional<wire::PeerReply>> call(std::string addr, std::string frame, Time deadline);
  rt::Task<std::optional<rt::Socket>> connect(std::string addr, Time deadline);
  rt::Task<std::optional<wire::PeerReply>> exchange(rt::Socket& socket, const std::string& frame, Time deadline);
  std::optional<rt::Socket> take_idle_connection(const std::string& addr);
  void add_idle_connection(const std::string& addr, rt::Socket socket);

  Context& ctx_;
  Handler handler_;
  rt::Listener listener_;
  std::size_t open_connections_ = 0;      // of other nodes to this one
  std::size_t last_responsive_peer_ = 0;  // that answered `call_any_other`
  std::vector<PingResult> ping_results_;  // latest, by peer
  std::string unreachable_leader_;        // the leader that could not be reached lately
  Time leader_retry_at_{};
  std::map<std::string, std::vector<rt::Socket>> idle_connections_;  // from this node, by address
};

}  // namespace martenwall::service
