// Requests between controller nodes over persistent connections.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "service/context.hpp"
#include "wire/peer_codec.hpp"

namespace martenwall::service {

// Calls other nodes and serves their calls. A call's result is empty if no reply arrived in time. The request may have
// been executed anyway, so only repeatable requests may be sent this way.
class PeerService {
 public:
  // Answers a request of another node.
  using Handler = std::function<rt::Task<wire::PeerReply>(wire::PeerRequest)>;

  // Starts listening at `cluster_listen` of the settings. `handler` answers other nodes' requests; it is first called
  // after `serve` has been started, so the objects that it refers to may be constructed later than this one.
  PeerService(Context& ctx, Handler handler);

  // Accepts other nodes' connections; runs as long as the node.
  rt::Task<void> serve();

  // Calls the leader. The result is empty if the leader is unknown or unreachable, or has lost the leadership. After a
  // failure the leader is not called for 1 s.
  rt::Task<std::optional<wire::PeerReply>> call_leader(wire::PeerRequest request, Duration timeout);

  // Returns the reply of any other node that can give one, starting with the node that replied last. `timeout` applies
  // to each node.
  rt::Task<std::optional<wire::PeerReply>> call_any_other(wire::PeerRequest request, Duration timeout);

  // Returns the reply of that node, whatever its status; does not affect later calls.
  rt::Task<std::optional<wire::PeerReply>> call_node(std::string node, wire::PeerRequest request, Duration timeout);

  // Returns whether the leader was unreachable within the last second, so that `call_leader` does not try it.
  [[nodiscard]] bool leader_unreachable() const {
    return ctx_.now() < leader_retry_at_ && unreachable_leader_ == ctx_.leader;
  }

  // Pings all other nodes while this node does not reach the store; runs as long as the node.
  rt::Task<void> run_pings();

  // Which other nodes could serve users while this node does not reach the store, by their latest pings.
  enum class Availability {
    unreachable,         // no other node answers
    none_reaches_store,  // others answer, but none reaches the store
    serving,             // another node reaches the store
  };
  // Considers only pings of the last 3 s.
  [[nodiscard]] Availability availability() const;

  // The listening port, also if the settings let the system choose it.
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
  std::size_t open_connections_ = 0;      // from other nodes to this one
  std::size_t last_responsive_peer_ = 0;  // the last one that answered `call_any_other`
  std::vector<PingResult> ping_results_;  // latest result of each peer
  std::string unreachable_leader_;        // the last leader that was unreachable
  Time leader_retry_at_{};
  std::map<std::string, std::vector<rt::Socket>> idle_connections_;  // from this node, by address
};

}  // namespace martenwall::service
