#include <gtest/gtest.h>
#include <spdlog/sinks/null_sink.h>

#include "runtime/http_server.hpp"
#include "service/cloud_service.hpp"
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

// A node and its only peer, on loopback.
struct NodePair {
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
  void run_until(PeerService::Availability expected) {
    const Time until = loop.update_time() + seconds(20);
    while (here.availability() != expected && loop.now() < until) loop.step();
  }
};

// Found by inc-4c3d: the first ping, sent when the store fails, ended the process.
TEST(peer_service, an_isolated_node_learns_whether_others_are_better_connected) {
  NodePair p;
  rt::spawn(p.here.run_pings());
  EXPECT_EQ(PeerService::Availability::unreachable, p.here.availability());
  rt::spawn(p.other.serve());
  p.run_until(PeerService::Availability::none_reaches_store);
  EXPECT_EQ(PeerService::Availability::none_reaches_store, p.here.availability());
  p.status = 200;
  p.run_until(PeerService::Availability::serving);
  EXPECT_EQ(PeerService::Availability::serving, p.here.availability());
}

// A leader that is the only node cut off from the cloud could otherwise neither start nor return machines.
TEST(cloud_service, asks_another_node_to_forward_requests) {
  rt::Loop loop;
  auto log = std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_st>());
  int requests = 0;
  rt::HttpServer cloud{
      loop, *rt::Endpoint::parse("127.0.0.1:0"), {}, [&](rt::HttpMessage m) -> rt::Task<rt::HttpResponse> {
        ++requests;
        const bool is_expected = m.method == "GET" && m.target == "/flavors";
        std::string body = R"({"breeds":[{"sku":"g8","cpus":96,"accelerators":8,"memGb":768,"cacheGb":200,)"
                           R"("pullGbPerS":1.0,"hourly":12.0,"spotPrice":4.5,"readyS":45,"yards":["a"]}]})";
        co_return rt::HttpResponse{is_expected ? 200 : 400, std::move(body), {}, false};
      }};
  rt::spawn(cloud.serve());
  auto other_settings = settings_with({});
  other_settings.cloud = "127.0.0.1:" + std::to_string(cloud.port());
  Context other_ctx{loop, other_settings, Policy{}, log};
  StoreClient other_state{other_ctx};
  std::optional<CloudService> other_cloud;
  PeerService other{other_ctx, [&](wire::PeerRequest r) { return other_cloud->on_peer_request(std::move(r)); }};
  other_cloud.emplace(other_ctx, other_state, other);
  rt::spawn(other.serve());
  auto settings = settings_with({{"other", "a", "127.0.0.1:" + std::to_string(other.port())}});
  settings.cloud = "127.0.0.1:1";  // refuses connections
  Context ctx{loop, settings, Policy{}, log};
  StoreClient state{ctx};
  PeerService peers{ctx, [](wire::PeerRequest) { return NodePair::answer(421); }};
  CloudService here{ctx, state, peers};
  rt::spawn(here.run_types());
  const Time until = loop.update_time() + seconds(20);
  while (ctx.types.empty() && loop.now() < until) loop.step();
  ASSERT_EQ(1U, ctx.types.size());
  EXPECT_EQ("g8", ctx.types[0].name);
  EXPECT_EQ(1, requests);
}

}  // namespace
}  // namespace martenwall::service
