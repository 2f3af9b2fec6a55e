// Which nodes the workers reach, exchanged between the nodes; a leader that they do not reach steps down.
#pragma once
#include "service/context.hpp"
#include "service/leader_service.hpp"
#include "service/peer_service.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// A worker is stranded where the nodes that it reaches send it to a leader that it does not reach. A follower counts
// the stranded workers that it sees and tells the leader; the leader weighs them against those that report to it.
class ReachabilityService {
 public:
  // What it is given belongs to the node and outlives it.
  ReachabilityService(Context& ctx, StoreClient& store, LeaderService& leader_service, PeerService& peers);

  // Both sides, by this node's role; runs as long as the node.
  rt::Task<void> run();

  // The leader's side: another node's count. 421 where this node does not lead, 400 where it cannot be read.
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
  bool stranded_logged_ = false;  // one line for as long as workers are stranded here
  // How many of the machines that were up have reported since this node began to lead.
  struct Failover {
    std::uint64_t term = 0;
    Time began{};
    std::size_t machines = 0;
    std::size_t next_fraction = 0;  // of those that are logged
  };
  Failover failover_;
};

}  // namespace martenwall::service
