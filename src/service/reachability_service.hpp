// Which nodes the workers reach, exchanged between the nodes; a leader that they do not reach gives way.
#pragma once
#include "service/context.hpp"
#include "service/leader_service.hpp"
#include "service/peer_service.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

class ReachabilityService {
 public:
  ReachabilityService(Context& ctx, StoreClient& state, LeaderService& store, PeerService& peers)
      : ctx_(ctx), store_(state), leader_service_(store), peers_(peers) {}
  rt::Task<void> run();
  wire::PeerReply on_stranded_report(const wire::PeerRequest& request);  // told by another node

 private:
  rt::Task<void> notify_leader_of_stranded(std::size_t stranded);
  void evaluate();
  void log_reconnection(std::size_t reporting);

  Context& ctx_;
  StoreClient& store_;
  LeaderService& leader_service_;
  PeerService& peers_;
  Time next_note_{};
  bool stranded_logged_ = false;  // that workers are stranded here, for the log
  // After a take-over: how long until half, nine tenths and all of the machines that were up have reported.
  struct Reconnection {
    std::uint64_t term = 0;
    Time began{};
    std::size_t machines = 0;
    std::size_t next = 0;  // of the parts that are told of
  };
  Reconnection reconnection_;
};

}  // namespace martenwall::service
