#include "service/heartbeat_relay.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <spdlog/sinks/null_sink.h>

#include "relay/leader_link.hpp"
#include "relay/worker_balancer.hpp"
#include "wire/heartbeat_codec.hpp"
#include "wire/worker_codec.hpp"

namespace martenwall {
namespace {

using relay::LeaderLink;
using relay::LinkState;
using relay::ProbeResult;
using relay::RoutingAdvice;

Time at(double s) { return Time{seconds(100 + s)}; }

// ---- link to the leader ----

TEST(leader_link, heartbeats_are_held_through_an_election_and_redirected_when_only_the_link_fails) {
  LeaderLink link{seconds(2)};
  link.set_leader("a", at(0));
  EXPECT_EQ(RoutingAdvice::wait, link.advice());
  link.on_probe_result(ProbeResult::leader, at(0.1));
  EXPECT_EQ(RoutingAdvice::forward, link.advice());
  link.on_batch_result(false, at(10));
  EXPECT_EQ(LinkState::suspected, link.state());
  link.on_probe_result(ProbeResult::none, at(11));
  EXPECT_EQ(RoutingAdvice::wait, link.advice()) << "a crashed leader's lease lasts this long: a new election follows";
  link.set_leader("b", at(12));
  link.on_probe_result(ProbeResult::follower, at(12.1));
  EXPECT_EQ(RoutingAdvice::wait, link.advice());
  link.on_probe_result(ProbeResult::leader, at(12.2));
  EXPECT_EQ(RoutingAdvice::forward, link.advice());
  for (const double s : {20.0, 21.0, 22.0, 23.0}) link.on_probe_result(ProbeResult::none, at(s));
  EXPECT_EQ(RoutingAdvice::redirect, link.advice())
      << "the lease would have expired: the leader is alive and only the link failed";
  link.on_probe_result(ProbeResult::leader, at(24));
  EXPECT_EQ(RoutingAdvice::forward, link.advice());
}

TEST(leader_link, workers_of_a_leader_of_an_older_version_are_redirected_to_it) {
  LeaderLink link{seconds(2)};
  link.set_leader("a", at(0));
  link.on_probe_result(ProbeResult::unsupported, at(0.1));
  EXPECT_EQ(RoutingAdvice::redirect, link.advice());
  link.probe_sent(at(0.1));
  EXPECT_FALSE(link.probe_due(at(0.5))) << "no heartbeat waits for the probe result";
  EXPECT_TRUE(link.probe_due(at(1.2))) << "the leader may be upgraded";
  link.set_leader("", at(1));
  EXPECT_EQ(RoutingAdvice::wait, link.advice());
}

// The link is used if and only if the current leader answered the last probe and no batch has failed since.
TEST(leader_link, generated_events_keep_every_invariant) {
  rc::check([] {
    LeaderLink link{seconds(2)};
    double now = 0;
    bool answered = false;
    std::string leader;
    for (const int event : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7))) {
      now += 0.1 * *rc::gen::inRange(0, 20);
      if (event < 2) {
        const std::string next = event == 0 ? "" : *rc::gen::element<std::string>("a", "b");
        if (next != leader) answered = false;
        leader = next;
        link.set_leader(leader, at(now));
      } else if (event < 6) {
        const auto result = static_cast<ProbeResult>(event - 2);
        link.on_probe_result(result, at(now));
        answered = result == ProbeResult::leader && !leader.empty();
      } else {
        link.on_batch_result(false, at(now));
        answered = false;
      }
      RC_ASSERT((link.advice() == RoutingAdvice::forward) == answered);
      RC_ASSERT(!leader.empty() || link.advice() == RoutingAdvice::wait);
    }
  });
}

// ---- balancing workers over nodes ----

struct Fleet {
  std::vector<std::string> names{"a", "b", "c"};
  std::vector<relay::WorkerBalancer> nodes;
  std::vector<std::size_t> workers, capacity;
  explicit Fleet(std::vector<std::size_t> w, std::vector<std::size_t> r)
      : workers(std::move(w)), capacity(std::move(r)) {
    for (const auto& n : names) nodes.emplace_back(n, 0.5);
    for (auto& n : nodes) n.set_leader("a");
  }
  // Simulates one second: all nodes exchange their load, and each worker sends one heartbeat.
  std::size_t second(double now, std::size_t& closed) {
    std::size_t moved = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      for (std::size_t j = 0; j < 3; ++j) nodes[i].on_node_load(names[j], {workers[j], capacity[j]}, at(now));
    }
    const auto before = workers;
    for (std::size_t i = 0; i < 3; ++i) {
      for (std::size_t w = 0; w < before[i]; ++w) {
        const auto p = nodes[i].assign(MachineId{names[i] + std::to_string(now) + std::to_string(w)},
                                       {workers[i], capacity[i]}, at(now + 0.9 * static_cast<double>(w) / 2000));
        if (p.kind == relay::Assignment::Kind::keep_and_close) ++closed;
        if (p.kind != relay::Assignment::Kind::move) continue;
        ++moved;
        --workers[i];
        ++workers[p.to == "a" ? 0 : p.to == "b" ? 1 : 2];
      }
    }
    return moved;
  }
};

TEST(worker_balancer, a_node_that_has_nearly_all_workers_redirects_until_each_has_its_share_and_then_none) {
  Fleet f{{1500, 20, 0}, {1555, 1555, 1555}};
  std::size_t closed = 0;
  std::size_t max_moved = 0;
  for (int s = 0; s < 200; ++s) max_moved = std::max(max_moved, f.second(s, closed));
  EXPECT_LE(max_moved, 62U) << "too many reconnections in one second";
  EXPECT_NEAR(304, static_cast<double>(f.workers[0]), 70);  // half a share
  EXPECT_NEAR(608, static_cast<double>(f.workers[1]), 130);
  EXPECT_NEAR(608, static_cast<double>(f.workers[2]), 130);
  std::size_t moved = 0;
  for (int s = 200; s < 230; ++s) moved += f.second(s, closed);
  EXPECT_EQ(0U, moved);
  EXPECT_EQ(0U, closed);
}

TEST(worker_balancer, full_nodes_redirect_at_once_while_others_have_capacity_and_close_connections_when_none_has) {
  Fleet f{{900, 10, 10}, {300, 300, 300}};
  std::size_t closed = 0;
  f.second(0, closed);
  EXPECT_LE(f.workers[1], 300U);
  EXPECT_LE(f.workers[2], 300U);
  EXPECT_GE(f.workers[1] + f.workers[2], 560U);
  EXPECT_GT(closed, 0U);
}

TEST(worker_balancer, no_worker_is_redirected_to_a_node_that_workers_come_back_from) {
  relay::WorkerBalancer balancer{"b", 0.5};
  balancer.on_node_load("a", {0, 1000}, at(0));
  const MachineId worker{"i-1"};
  const auto first = balancer.assign(worker, {500, 1000}, at(0));
  ASSERT_EQ(relay::Assignment::Kind::move, first.kind);
  EXPECT_EQ("a", first.to);
  balancer.on_node_load("a", {0, 1000}, at(5));
  EXPECT_EQ(relay::Assignment::Kind::keep, balancer.assign(worker, {500, 1000}, at(5)).kind);
  EXPECT_EQ(relay::Assignment::Kind::keep, balancer.assign(MachineId{"i-2"}, {500, 1000}, at(6)).kind);
  balancer.on_node_load("a", {0, 1000}, at(40));
  EXPECT_EQ(relay::Assignment::Kind::move, balancer.assign(MachineId{"i-2"}, {500, 1000}, at(40)).kind);
}

// ---- batches ----

std::string encoded(std::vector<Heartbeat> heartbeats) {
  wire::HeartbeatBatch batch;
  batch.sender.node = "node";
  batch.sender.capacity = 9;
  batch.heartbeats = std::move(heartbeats);
  return wire::encode_batch(batch);
}

rc::Gen<Heartbeat> random_heartbeat() {
  return rc::gen::exec([] {
    Heartbeat r;
    r.machine = MachineId{"i-" + std::to_string(*rc::gen::inRange(0, 99999))};
    r.addr = *rc::gen::arbitrary<std::string>();
    r.type = *rc::gen::arbitrary<std::string>();
    r.zone = "z";
    r.spot = *rc::gen::arbitrary<bool>();
    r.incarnation = Incarnation{*rc::gen::arbitrary<std::uint64_t>()};
    r.sequence = HeartbeatSequence{*rc::gen::arbitrary<std::uint64_t>()};
    r.token = FencingToken{*rc::gen::arbitrary<std::uint64_t>()};
    if (*rc::gen::arbitrary<bool>()) r.preemption_notice_s = *rc::gen::inRange(0, 100);
    const int n = *rc::gen::inRange(0, 40);
    for (int i = 0; i < n; ++i) {
      r.tasks.push_back({TaskId{JobId{"job-" + std::to_string(i)}, *rc::gen::arbitrary<std::uint32_t>()},
                         Attempt{*rc::gen::arbitrary<std::uint64_t>()}, static_cast<TaskState>(*rc::gen::inRange(2, 7)),
                         static_cast<ExitCause>(*rc::gen::inRange(0, 9)), *rc::gen::arbitrary<bool>()});
    }
    return r;
  });
}

TEST(heartbeat_codec, a_forwarded_batch_is_decoded_unchanged_and_fits_its_bound) {
  rc::check([] {
    const auto heartbeats = *rc::gen::container<std::vector<Heartbeat>>(random_heartbeat());
    const auto bytes = encoded(heartbeats);
    const auto decoded = wire::decode_batch(bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->sender.capacity == 9U);
    RC_ASSERT(decoded->heartbeats.size() == heartbeats.size());
    std::size_t bound = 64;
    for (std::size_t i = 0; i < heartbeats.size(); ++i) {
      const auto& a = heartbeats[i];
      const auto& b = decoded->heartbeats[i];
      bound += wire::encoded_size(a);
      RC_ASSERT(a.machine == b.machine && a.addr == b.addr && a.type == b.type && a.spot == b.spot);
      RC_ASSERT(a.incarnation == b.incarnation && a.sequence == b.sequence && a.token == b.token &&
                a.preemption_notice_s == b.preemption_notice_s);
      RC_ASSERT(a.tasks.size() == b.tasks.size());
      for (std::size_t t = 0; t < a.tasks.size(); ++t) {
        RC_ASSERT(a.tasks[t].task == b.tasks[t].task && a.tasks[t].attempt == b.tasks[t].attempt);
        RC_ASSERT(a.tasks[t].state == b.tasks[t].state && a.tasks[t].cause == b.tasks[t].cause);
        RC_ASSERT(a.tasks[t].saved == b.tasks[t].saved);
      }
    }
    RC_ASSERT(bytes.size() <= bound);
  });
}

// A missing task counts as absent: a truncated or altered batch must not decode as a shorter heartbeat.
TEST(heartbeat_codec, a_batch_that_cannot_be_read_whole_is_not_read) {
  rc::check([] {
    const auto bytes = encoded({*random_heartbeat(), *random_heartbeat()});
    const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!wire::decode_batch(std::string_view{bytes}.substr(0, cut)));
    RC_ASSERT(!wire::decode_batch(bytes + "x"));
    wire::decode_batch(*rc::gen::arbitrary<std::string>());  // terminates for any input
    wire::decode_responses(*rc::gen::arbitrary<std::string>());
  });
}

TEST(heartbeat_codec, responses_keep_their_commands_and_starts_that_no_worker_reports_are_refused) {
  const wire::HeartbeatResponses in{
      FencingToken{7},
      {{HeartbeatResponse::Kind::commands, {{Command::Verb::stop, {JobId{"job-1"}, 4}, Attempt{9}, 2.5}}},
       {HeartbeatResponse::Kind::released, {}}},
      {{"a", 1, 2}}};
  const auto out = wire::decode_responses(wire::encode_responses(in));
  ASSERT_TRUE(out);
  EXPECT_EQ(FencingToken{7}, out->token);
  ASSERT_EQ(2U, out->responses.size());
  ASSERT_EQ(1U, out->responses[0].commands.size());
  EXPECT_EQ(2.5, out->responses[0].commands[0].grace_s);
  EXPECT_EQ(4U, out->responses[0].commands[0].task.index);
  EXPECT_EQ(HeartbeatResponse::Kind::released, out->responses[1].kind);
  ASSERT_EQ(1U, out->nodes.size());
  EXPECT_EQ(2U, out->nodes[0].capacity);
  Heartbeat r;
  r.machine = MachineId{"i-1"};
  r.tasks.push_back({TaskId{JobId{"job-1"}, 0}, Attempt{1}, TaskState::sent, ExitCause::none, false});
  EXPECT_FALSE(wire::decode_batch(encoded({r})));
}

}  // namespace

// ---- two nodes on loopback ----

namespace service {
namespace {

config::Settings settings_of(const std::string& node, std::vector<config::Peer> peers) {
  config::Settings s;
  s.node = node;
  s.peer_listen = "127.0.0.1:0";
  s.state = s.cloud = "127.0.0.1:1";
  s.peers = std::move(peers);
  s.workers = {3, 19, 50, 4, 39};
  return s;
}

Policy relaying() {
  Policy p;
  p.relay_heartbeats = true;
  return p;
}

// The parts of a node that handle heartbeats.
struct RelayNode {
  Context ctx;
  StoreClient state{ctx};
  JobRowStore rows{ctx, state};
  FormatVersionService levels{ctx, state};
  ConfigurationService configuration{ctx, state};
  LeaderService store{ctx, state, rows, levels, configuration};
  WorkerService workers{ctx, store};
  bool refuses = false;  // responds 503 to its peers' requests
  bool old_version = false;
  PeerService peers;
  HeartbeatRelay relay{ctx, peers, workers};
  RelayNode(rt::Loop& loop, const config::Settings& s, const std::shared_ptr<spdlog::logger>& log)
      : ctx(loop, s, relaying(), log), peers(ctx, [this](wire::PeerRequest r) { return serve(std::move(r)); }) {}
  rt::Task<wire::PeerReply> serve(wire::PeerRequest r) {
    wire::PeerReply reply{503, "", {}};
    if (refuses) co_return reply;
    if (r.verb == wire::PeerVerb::heartbeats) co_return co_await relay.on_heartbeats(std::move(r));
    reply.status = 200;
    if (!old_version) {
      reply.body = ctx.scheduler != nullptr ? wire::accepts_heartbeats : wire::forwards_heartbeats;
    }
    co_return reply;
  }
  void lead(std::uint64_t token) {
    ctx.leadership.acquired(FencingToken{token}, ctx.loop.update_time());
    Scheduler::Options options;
    options.timings = ctx.settings.workers;
    options.token = FencingToken{token};
    ctx.scheduler = std::make_unique<Scheduler>(options, [](const std::string&) {});
    ctx.leadership.loaded(ctx.loop.now());
    ctx.last_renewal_sent_at = ctx.loop.now();
    ctx.leader = ctx.settings.node;
  }
};

struct RelayPair {
  rt::Loop loop;
  std::shared_ptr<spdlog::logger> log =
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_st>());
  RelayNode leader{loop, settings_of("lead", {}), log};
  RelayNode other{loop, settings_of("other", {{"lead", "a", "127.0.0.1:" + std::to_string(leader.peers.port())}}), log};
  RelayPair() {
    rt::spawn(leader.peers.serve());
    rt::spawn(other.relay.run());
  }
  static std::string report(int machine, int sequence, int token) {
    return R"({"host":"i-)" + std::to_string(machine) +
           R"(","endpoint":"127.0.0.1:9","breed":"g8","yard":"a","tenure":1,"tick":)" + std::to_string(sequence) +
           R"(,"baton":)" + std::to_string(token) + R"(,"shards":[]})";
  }
  rt::Task<void> send_heartbeat(std::string body, std::optional<rt::HttpResponse>& out) {
    out = co_await other.relay.on_heartbeat(std::move(body));
  }
  rt::HttpResponse response_to(std::string body) {
    std::optional<rt::HttpResponse> out;
    rt::spawn(send_heartbeat(std::move(body), out));
    const Time until = loop.update_time() + seconds(30);
    while (!out && loop.now() < until) loop.step();
    return out.value_or(rt::HttpResponse{0, "", {}, false});
  }
};

TEST(heartbeat_relay, a_follower_passes_on_the_leaders_responses_under_the_leaders_token) {
  RelayPair t;
  t.leader.lead(12);
  t.other.ctx.leader = "lead";
  std::vector<std::optional<rt::HttpResponse>> out(150);
  for (int i = 0; i < 150; ++i)
    rt::spawn(t.send_heartbeat(RelayPair::report(i, 1, 0), out[static_cast<std::size_t>(i)]));
  const auto missing = [&] { return std::ranges::any_of(out, [](const auto& r) { return !r.has_value(); }); };
  const Time until = t.loop.update_time() + seconds(30);
  while (missing() && t.loop.now() < until) t.loop.step();
  for (const auto& r : out) {
    ASSERT_TRUE(r.has_value());
    EXPECT_EQ(200, r->status);
    EXPECT_NE(std::string::npos, r->body.find("\"baton\":12"));
  }
  EXPECT_EQ(150U, t.leader.ctx.scheduler->machines().size());
}

// A follower must never respond 200 itself: the worker would stay with it while its lease expires.
TEST(heartbeat_relay, workers_are_redirected_while_no_leader_accepts_them) {
  RelayPair t;
  t.other.ctx.leader = "lead";  // this node does not lead, which the follower learns only from its responses
  EXPECT_EQ(421, t.response_to(RelayPair::report(1, 1, 0)).status);
  t.leader.lead(12);
  t.leader.refuses = true;  // refuses heartbeats although the link works
  const auto r = t.response_to(RelayPair::report(1, 2, 0));
  EXPECT_EQ(421, r.status);
  EXPECT_NE(std::string::npos, r.body.find("lead")) << "the worker may reach a node that this node cannot";
  EXPECT_GE(t.other.ctx.redirected_workers.stranded(t.loop.now()), 1U);
}

TEST(heartbeat_relay, workers_of_a_leader_of_an_older_version_are_redirected_at_once) {
  RelayPair t;
  t.leader.lead(12);
  t.leader.old_version = true;
  t.other.ctx.leader = "lead";
  EXPECT_EQ(421, t.response_to(RelayPair::report(1, 1, 0)).status);
  EXPECT_TRUE(t.leader.ctx.scheduler->machines().empty());
}

TEST(heartbeat_relay, a_relayed_newer_token_ends_the_older_leader) {
  RelayPair t;
  t.leader.lead(12);
  t.other.ctx.leader = "lead";
  EXPECT_EQ(421, t.response_to(RelayPair::report(1, 1, 13)).status);
  EXPECT_EQ(nullptr, t.leader.ctx.scheduler);
}

}  // namespace
}  // namespace service
}  // namespace martenwall
