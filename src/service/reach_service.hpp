// Which nodes the workers reach, exchanged between the nodes; a leader that they do not reach gives way.
#pragma once
#include "service/context.hpp"
#include "service/leader_store.hpp"
#include "service/peer_service.hpp"
#include "service/state_client.hpp"

namespace martenwall::service {

class ReachService {
 public:
  ReachService(Context& ctx, StateClient& state, LeaderStore& store, PeerService& peers)
      : ctx_(ctx), state_(state), store_(store), peers_(peers) {}
  rt::Task<void> run();
  wire::PeerReply on_claim(const wire::PeerRequest& request);  // told by another node

 private:
  rt::Task<void> tell_leader(std::size_t stranded);
  void judge();
  void follow_return(std::size_t heard);

  Context& ctx_;
  StateClient& state_;
  LeaderStore& store_;
  PeerService& peers_;
  Time next_note_{};
  bool told_ = false;  // that workers are stranded here, for the log
  // After a take-over: how long until half, nine tenths and all of the machines that were up have reported.
  struct Return {
    std::uint64_t term = 0;
    Time began{};
    std::size_t machines = 0;
    std::size_t next = 0;  // of the parts that are told of
  };
  Return return_;
};

}  // namespace martenwall::service
