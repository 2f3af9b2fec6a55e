// Workers' reports, whichever node they reach: answered here by a leader, passed on to it by the others.
#pragma once
#include <deque>
#include <memory>
#include <set>

#include "relay/leader_link.hpp"
#include "relay/worker_balancer.hpp"
#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/peer_service.hpp"
#include "service/worker_service.hpp"
#include "wire/heartbeat_codec.hpp"

namespace martenwall::service {

class HeartbeatRelay {
 public:
  HeartbeatRelay(Context& ctx, PeerService& peers, WorkerService& workers);
  // Connections of workers here, and as many as there is room for.
  void count_by(std::function<relay::NodeLoad()> load) { load_ = std::move(load); }
  rt::Task<rt::HttpResponse> on_heartbeat(std::string body);
  rt::Task<void> run();  // keeps the way to the leader probed
  // Leader's side: a batch of another node.
  rt::Task<wire::PeerReply> on_heartbeats(wire::PeerRequest request);

 private:
  // A report that waits to be passed on, or for its answer. Kept until its batch is over, whether or not its worker's
  // connection still waits for it.
  struct Waiting {
    explicit Waiting(rt::Loop& loop, Heartbeat r) : heartbeat(std::move(r)), over(loop) {}
    Heartbeat heartbeat;
    std::optional<HeartbeatResponse> answer;  // nothing where no node that leads has given one
    FencingToken token;
    rt::Event over;
    bool abandoned = false;
    bool finished = false;
  };
  using Batch = std::vector<std::shared_ptr<Waiting>>;
  rt::Task<rt::HttpResponse> answered_somewhere(Heartbeat heartbeat);
  rt::HttpResponse answered_here(const HeartbeatResponse& answer);
  rt::HttpResponse refused(const Heartbeat& heartbeat);
  rt::Task<std::optional<rt::HttpResponse>> forward(const Heartbeat& heartbeat, Time until);
  rt::Task<void> send_soon();
  rt::Task<void> send(Batch batch);
  Batch take_batch();
  bool take_answers(const Batch& batch, const std::optional<wire::PeerReply>& reply);
  rt::Task<void> probe();
  rt::Task<void> send_load();
  void on_node_load(const wire::NodeRoom& node);
  void refresh_leader();
  [[nodiscard]] wire::NodeRoom own_room() const;
  [[nodiscard]] std::vector<wire::NodeRoom> rooms() const;
  void log_link();

  Context& ctx_;
  PeerService& peers_;
  WorkerService& workers_;
  relay::LeaderLink link_;
  relay::WorkerBalancer share_;
  std::function<relay::NodeLoad()> load_;
  std::deque<std::shared_ptr<Waiting>> queue_;  // no longer than workers' connections: each has one report in flight
  bool gathering_ = false;
  bool probing_ = false;
  std::size_t in_flight_ = 0;
  Time load_sent_at_{};  // when the leader last heard of this node's load
  rt::Event link_changed_;
  relay::LinkState logged_ = relay::LinkState::none;
};

}  // namespace martenwall::service
