#include "metrics/metrics.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/null_sink.h>

#include "service/metrics_service.hpp"

namespace martenwall {
namespace {

TEST(metrics, are_exposed_as_prometheus_reads_them) {
  metrics::Metrics m;
  m.cycles.observe(seconds(0.003));
  m.cycles.observe(seconds(0.2));
  m.count_heartbeat(metrics::HeartbeatPath::relayed, 7);
  metrics::Gauges gauges;
  gauges.leads = true;
  gauges.worker_connections = 42;
  gauges.store_queues[0] = {3, 1.5};
  m.set(gauges);
  const auto text = m.exposition();
  for (const auto* line : {"# TYPE martenwall_round_seconds histogram", "martenwall_round_seconds_count 2",
                           "martenwall_round_seconds_bucket{le=\"0.005\"} 1", "martenwall_leads 1",
                           "martenwall_reports_total{way=\"relayed\"} 7", "martenwall_worker_connections 42",
                           "martenwall_store_queue_rows{urgency=\"awaited\"} 3"}) {
    EXPECT_NE(std::string::npos, text.find(line)) << line << "\n" << text;
  }
}

TEST(metrics, service_is_exposed_by_class_and_team_with_bounded_cardinality) {
  load::ServiceRecord record;
  record.submitted("scan", "red");
  record.submitted("scan", "red");
  record.started("scan", "red", 12);
  record.missed("scan", "red");
  record.submitted("train", "blue");
  record.done("train", "blue", true);
  metrics::Metrics m;
  m.set(record.all());
  const auto text = m.exposition();
  for (const auto* line : {R"(martenwall_served_jobs{class="scan",event="taken",team="red"} 2)",
                           R"(martenwall_served_share{class="scan",team="red"} 0)",
                           R"(martenwall_served_share{class="train",team="blue"} 1)",
                           R"(martenwall_served_wait_seconds{class="scan",team="red"} 12)"}) {
    EXPECT_NE(std::string::npos, text.find(line)) << line << "\n" << text;
  }
  EXPECT_EQ("scan/red 2 taken, 1 started after 12 s, 0 done, 0.00 in time; 1 more served better",
            record.minute_line(1));
  EXPECT_EQ("", record.minute_line(12)) << "a line covers its minute only";
  // Users choose the class names, so the number of metrics must not grow with them.
  for (int i = 0; i < 500; ++i) record.submitted("class-" + std::to_string(i), "red");
  EXPECT_EQ(load::ServiceRecord::max_pairs + 1, record.all().size());
}

TEST(metrics, a_minutes_line_covers_that_minute_only) {
  metrics::Metrics m;
  m.cycles.observe(seconds(0.004));
  m.count_heartbeat(metrics::HeartbeatPath::local, 5);
  const auto first = m.minute_line({});
  EXPECT_NE(std::string::npos, first.find("rounds 1 of 4.0 ms")) << first;
  EXPECT_NE(std::string::npos, first.find("5 here")) << first;
  const auto second = m.minute_line({});
  EXPECT_NE(std::string::npos, second.find("rounds 0 of 0.0 ms")) << second;
  EXPECT_NE(std::string::npos, second.find("0 here")) << second;
}

// The listener is off unless a port is configured, so that it is never exposed by accident.
TEST(metrics_service, listens_only_where_a_port_is_set) {
  rt::Loop loop;
  auto log = std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_st>());
  config::Settings s;
  s.node = "here";
  s.state = s.cloud = "127.0.0.1:1";
  s.workers = {3, 19, 50, 4, 39};
  service::Context disabled_ctx{loop, s, Policy{}, log};
  service::StoreClient disabled_state{disabled_ctx};
  EXPECT_EQ(0, service::MetricsService(disabled_ctx, disabled_state, [] {
                 return service::MetricsService::Connections{};
               }).port());

  // A free port chosen by the system.
  const auto port = rt::Listener{loop, *rt::Endpoint::parse("127.0.0.1:0")}.port();
  Policy enabled;
  enabled.metrics_port = port;
  service::Context ctx{loop, s, enabled, log};
  service::StoreClient state{ctx};
  service::MetricsService served{ctx, state, [] { return service::MetricsService::Connections{9, 4, 100}; }};
  rt::spawn(served.run());
  rt::HttpClient client{loop, 1, 1024 * 1024, 0};
  std::optional<rt::HttpResult> result;
  const auto request_metrics = [&]() -> rt::Task<void> {
    result = co_await client.request("127.0.0.1:" + std::to_string(port), "GET", "/metrics", "", seconds(10));
  };
  rt::spawn(request_metrics());
  const Time until = loop.update_time() + seconds(20);
  while (!result && loop.now() < until) loop.step();
  ASSERT_TRUE(result);
  EXPECT_EQ(200, result->status);
  EXPECT_NE(std::string::npos, result->body.find("martenwall_connections 9"));
}

}  // namespace
}  // namespace martenwall
