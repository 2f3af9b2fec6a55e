// Workers' heartbeats at any node: a leader answers them, other nodes forward them to the leader.
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

// Receives all heartbeats of a node and distributes the workers among the nodes. Only the leader decides on a
// heartbeat: a follower delivers the leader's answer unchanged, and its only other response to a valid heartbeat is
// 421.
class HeartbeatRelay {
 public:
  // `load` returns the number of worker connections at this node and its capacity; without it no worker is redirected
  // for load balancing. It is first called after `run` or the first heartbeat.
  HeartbeatRelay(Context& ctx, PeerService& peers, WorkerService& workers, std::function<relay::NodeLoad()> load = {});

  // Handles a worker's POST /agent/beat: 200 with the leader's answer, 421, 503, or 400. Waits up to 2.8 s for a
  // leader.
  rt::Task<rt::HttpResponse> on_heartbeat(std::string body);

  // Probes the link to the leader and reports this node's load to it; runs as long as the node.
  rt::Task<void> run();

  // Answers a batch that another node forwards to this node as leader; 421 if this node does not lead.
  rt::Task<wire::PeerReply> on_heartbeats(wire::PeerRequest request);

 private:
  // A heartbeat that waits to be forwarded, or for its answer. Shared by the worker's request and the batch, since
  // either may end first.
  struct PendingHeartbeat {
    PendingHeartbeat(rt::Loop& loop, Heartbeat h) : heartbeat(std::move(h)), completion(loop) {}
    Heartbeat heartbeat;
    std::optional<HeartbeatResponse> answer;  // empty until a leader has answered
    FencingToken token;                       // of the leader that answered
    rt::Event completion;
    bool completed = false;  // its batch has ended
    bool abandoned = false;  // the worker's request has stopped waiting
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
  // Never longer than the number of worker connections: each has one heartbeat in flight.
  std::deque<std::shared_ptr<PendingHeartbeat>> queue_;
  bool sending_scheduled_ = false;
  bool probe_in_flight_ = false;
  std::size_t batches_in_flight_ = 0;
  Time load_sent_at_{};     // when this node's load was last sent to the leader
  rt::Event link_changed_;  // wakes heartbeats that wait for a leader
  relay::LinkState logged_state_ = relay::LinkState::none;
};

}  // namespace martenwall::service
