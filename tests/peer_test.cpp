#include <gtest/gtest.h>
#include <spdlog/sinks/null_sink.h>

#include "service/peer_service.hpp"

namespace martenwall::service {
namespace {

config::Settings settings_with(std::vector<config::Peer> peers) {
  config::Settings s;
  s.node = "here";
  s.peer_listen = "127.0.0.1:0";
  s.peers = std::move(peers);
  s.workers = {3, 19, 50, 4, 39};
  return s;
}

// A node and the one other node that it knows, on loopback.
struct Pair {
  rt::Loop loop;
  std::shared_ptr<spdlog::logger> log =
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_st>());
  int status = 503;
  Context other_ctx{loop, settings_with({}), Policy{}, log};
  PeerService other{other_ctx, [this](wire::PeerRequest) { return answer(status); }};
  Context ctx{loop, settings_with({{"other", "a", "127.0.0.1:" + std::to_string(other.port())}}), Policy{}, log};
  PeerService here{ctx, [](wire::PeerRequest) { return answer(421); }};

  static rt::Task<wire::PeerReply> answer(int status) {
    const wire::PeerReply reply{status, "", {}};
    co_return reply;
  }
  void run_until(PeerService::Others wanted) {
    const Time until = loop.refresh() + seconds(20);
    while (here.others() != wanted && loop.now() < until) loop.step();
  }
};

// Found by inc-4c3d: the first ping, sent once the state service fails, ended the process.
TEST(peer_service, a_stuck_node_learns_whether_others_are_better_off) {
  Pair p;
  rt::spawn(p.here.watch_others());
  EXPECT_EQ(PeerService::Others::unreachable, p.here.others());
  rt::spawn(p.other.serve());
  p.run_until(PeerService::Others::as_stuck);
  EXPECT_EQ(PeerService::Others::as_stuck, p.here.others());
  p.status = 200;
  p.run_until(PeerService::Others::serving);
  EXPECT_EQ(PeerService::Others::serving, p.here.others());
}

}  // namespace
}  // namespace martenwall::service
