// Exchanges between the nodes which of them the workers reach; a leader that workers do not reach steps down.
#pragma once
#include "service/context.hpp"
#include "service/leader_service.hpp"
#include "service/peer_service.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// A worker is stranded if the nodes that it reaches redirect it to a leader that it does not reach. A follower counts
// the stranded workers that it sees and reports them to the leader, which compares them with the workers that report to
// it.
class ReachabilityService {
 public:
  // All references belong to the node and outlive this service.
  ReachabilityService(Context& ctx, StoreClient& store, LeaderService& leader_service, PeerService& peers);

  // Runs the follower's or the leader's side, by this node's role; runs as long as the node.
  rt::Task<void> run();

  // Handles another node's count at the leader: 421 if this node does not lead, 400 if the count cannot be parsed.
  wire::PeerReply on_stranded_report(const wire::PeerRequest& request);

 private:
  rt::Task<void> notify_leader_of_stranded(std::size_t stranded);
  void evaluate();
  void log_failover_progress(std::size_t reporting);

  Context& ctx_;
  StoreClient& store_;
  LeaderService& leader_service_;
  PeerService& peers_;
  Time next_inbox_write_{};
  bool stranded_logged_ = false;  // logged once while workers are stranded here
  // How many of the machines that were up have reported since this node became the leader.
  struct Failover {
    std::uint64_t term = 0;
    Time began{};
    std::size_t machines = 0;
    std::size_t next_fraction = 0;  // index of the next fraction to log
  };
  Failover failover_;
};

}  // namespace martenwall::service
