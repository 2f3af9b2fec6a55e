// Workers' heartbeats, whichever node they reach: answered here by a leader, forwarded to the leader by other nodes.
#pragma once
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "relay/leader_link.hpp"
#include "relay/worker_balancer.hpp"
#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/peer_service.hpp"
#include "service/worker_service.hpp"
#include "wire/heartbeat_codec.hpp"

namespace martenwall::service {

// Takes all heartbeats of a node and shares the workers out among the nodes. Only the leader decides on a heartbeat:
// a follower hands its answer over unchanged, and gives none of its own but 421.
class HeartbeatRelay {
 public:
  // `load` gives the workers' connections at this node and how many it has room for; without it no worker is sent to
  // another node for the sake of balance. It is first called after `run` or the first heartbeat.
  HeartbeatRelay(Context& ctx, PeerService& peers, WorkerService& workers, std::function<relay::NodeLoad()> load = {});

  // A worker's POST /agent/beat: 200 by the leader's word, 421, 503, or 400. Waits up to 2.8 s for a leader.
  rt::Task<rt::HttpResponse> on_heartbeat(std::string body);

  // Keeps the link to the leader probed, and the leader informed of this node's load; runs as long as the node.
  rt::Task<void> run();

  // The leader's side: a batch that another node forwards. 421 where this node does not lead.
  rt::Task<wire::PeerReply> on_heartbeats(wire::PeerRequest request);

 private:
  // A heartbeat that waits to be forwarded, or for its answer. Shared by the worker's request and the batch, since
  // either may end first.
  struct PendingHeartbeat {
    PendingHeartbeat(rt::Loop& loop, Heartbeat h) : heartbeat(std::move(h)), completion(loop) {}
    Heartbeat heartbeat;
    std::optional<HeartbeatResponse> answer;  // nothing where no node that leads has given one
    FencingToken token;                       // of the leader that answered
    rt::Event completion;
    bool completed = false;  // its batch has ended
    bool abandoned = false;  // the worker's request does not wait any more
  };
  using Batch = std::vector<std::shared_ptr<PendingHeartbeat>>;

  rt::Task<rt::HttpResponse> answer_or_forward(Heartbeat heartbeat);
  rt::HttpResponse answer_as_leader(const HeartbeatResponse& answer);
  rt::HttpResponse redirect(const Heartbeat& heartbeat);
  rt::Task<std::optional<rt::HttpResponse>> forward(const Heartbeat& heartbeat, Time deadline);
  void schedule_sending();
  rt::Task<void> send_queue();
  rt::Task<void> send(Batch batch);
  Batch dequeue_batch();
  bool assign_answers(const Batch& batch, const std::optional<wire::PeerReply>& reply);
  rt::Task<void> probe();
  void on_node_load(const wire::NodeCapacity& node);
  void refresh_leader();
  void publish_link_state();
  [[nodiscard]] wire::NodeCapacity own_load() const;
  [[nodiscard]] std::vector<wire::NodeCapacity> known_loads() const;

  Context& ctx_;
  PeerService& peers_;
  WorkerService& workers_;
  relay::LeaderLink link_;
  relay::WorkerBalancer balancer_;
  std::function<relay::NodeLoad()> load_;
  // No longer than the workers' connections: each has one heartbeat in flight.
  std::deque<std::shared_ptr<PendingHeartbeat>> queue_;
  bool sending_scheduled_ = false;
  bool probe_in_flight_ = false;
  std::size_t batches_in_flight_ = 0;
  Time load_sent_at_{};     // when the leader was last told this node's load
  rt::Event link_changed_;  // heartbeats that wait for a leader look again
  relay::LinkState logged_state_ = relay::LinkState::none;
};

}  // namespace martenwall::service
