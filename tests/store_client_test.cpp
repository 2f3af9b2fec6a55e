#include "service/store_client.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/null_sink.h>

#include "runtime/http_server.hpp"

namespace martenwall::service {
namespace {

struct Store {
  rt::Loop loop;
  std::vector<std::size_t> sizes;  // change counts of the received transactions, in order
  int refusal_status = 0;
  rt::HttpServer server{
      loop, *rt::Endpoint::parse("127.0.0.1:0"), {}, [this](rt::HttpMessage m) -> rt::Task<rt::HttpResponse> {
        sizes.push_back(nlohmann::json::parse(m.body).at("then").size());
        if (refusal_status != 0)
          co_return rt::HttpResponse{refusal_status, R"({"error":"value too large"})", {}, false};
        co_return rt::HttpResponse{200, R"({"epoch":7})", {}, false};
      }};
  Context ctx{loop, settings(), Policy{},
              std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_st>())};
  StoreClient client{ctx};

  config::Settings settings() const {
    config::Settings s;
    s.node = "here";
    s.state = "127.0.0.1:" + std::to_string(server.port());
    s.state_rps = 1000;
    s.state_write_rps = 40;  // a node may use 0.3 of it while there is no leader
    s.workers = {3, 19, 50, 4, 39};
    s.state_value_bytes = 8192;
    s.state_txn_ops = 24;
    s.upcoming_state_limits = config::Settings::UpcomingLimits{{}, 28.0, 2048, 8};
    return s;
  }
  rt::Task<void> expect_outcome(TxnOutcome expected, std::size_t& done) {
    std::vector<wire::StoreOp> then;
    then.push_back({"k", wire::json::object(), std::nullopt});
    const TxnResult r = co_await client.txn({}, std::move(then), seconds(60));
    EXPECT_EQ(expected, r.outcome);
    ++done;
  }
  rt::Task<void> write(std::size_t n, std::size_t& done) {
    std::vector<wire::StoreOp> then;
    for (std::size_t i = 0; i < n; ++i) then.push_back({"k" + std::to_string(i), wire::json::object(), std::nullopt});
    const TxnResult r = co_await client.txn({}, std::move(then), seconds(60), StoreClient::Queueing::fifo);
    EXPECT_EQ(TxnOutcome::committed, r.outcome);
    ++done;
  }
};

// inc-d2ba: small transactions used all changes that the rate limit allowed, so a large transaction never got enough of
// them.
TEST(store_client, a_large_transaction_does_not_starve) {
  Store s;
  rt::spawn(s.server.serve());
  std::size_t done = 0;
  rt::spawn(s.write(11, done));
  rt::spawn(s.write(10, done));
  for (int i = 0; i < 6; ++i) rt::spawn(s.write(1, done));
  const Time until = s.loop.update_time() + seconds(60);
  while (done < 8 && s.loop.now() < until) s.loop.step();
  ASSERT_EQ(8U, s.sizes.size());
  EXPECT_EQ(11U, s.sizes[0]);
  EXPECT_EQ(10U, s.sizes[1]) << "it was queued before the small ones";
}

// The store answers 400 both for an expired lease and for an exceeded limit. If the latter is taken for a lost lease, a
// row that is too large makes each leader in turn step down, endlessly.
TEST(store_client, a_lowered_limit_is_distinguished_from_a_lost_lease_and_adopted) {
  Store s;
  rt::spawn(s.server.serve());
  s.refusal_status = 400;
  std::size_t done = 0;
  EXPECT_EQ(24U, s.ctx.limits.txn_ops());
  rt::spawn(s.expect_outcome(TxnOutcome::too_large, done));
  const Time until = s.loop.update_time() + seconds(60);
  while (done < 1 && s.loop.now() < until) s.loop.step();
  ASSERT_EQ(1U, done);
  EXPECT_EQ(StoreLimits::Stage::lowered_limits, s.ctx.limits.stage());
  EXPECT_EQ(8U, s.ctx.limits.txn_ops());
  EXPECT_LE(s.ctx.limits.value_bytes(), 2048U);
  EXPECT_EQ(28.0, s.ctx.limits.write_rps());
}

TEST(store_limits, sizes_are_respected_in_advance_and_rates_after_refusals) {
  const Store s;
  StoreLimits limits{s.settings()};
  limits.use_announced_sizes();
  EXPECT_EQ(8U, limits.txn_ops());
  EXPECT_EQ(40.0, limits.write_rps());
  EXPECT_FALSE(limits.on_rate_refused(Time{seconds(100)}));
  EXPECT_FALSE(limits.on_rate_refused(Time{seconds(120)}));  // a single refusal may result from a burst
  EXPECT_FALSE(limits.on_rate_refused(Time{seconds(121)}));
  EXPECT_TRUE(limits.on_rate_refused(Time{seconds(122)}));
  EXPECT_EQ(28.0, limits.write_rps());
}

// If no limits were announced, or the actual limits are lower, the limits are halved after each refusal, down to a size
// at which any row fits.
TEST(store_limits, limits_that_were_not_announced_are_found_out) {
  const Store s;
  auto settings = s.settings();
  settings.upcoming_state_limits.reset();
  StoreLimits limits{settings};
  EXPECT_TRUE(limits.on_size_refused());
  EXPECT_EQ(12U, limits.txn_ops());
  for (int i = 0; i < 10; ++i) (void)limits.on_size_refused();
  EXPECT_FALSE(limits.on_size_refused());
  EXPECT_EQ(4U, limits.txn_ops());
  EXPECT_GT(limits.value_bytes(), 900U);
}

}  // namespace
}  // namespace martenwall::service
