// What a node measures of itself: Prometheus metrics, and one line a minute for those who read logs.
#pragma once
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "core/types.hpp"
#include "load/service_record.hpp"

namespace martenwall::metrics {

// A time that is measured again and again: a histogram since the start, and mean and longest of the last minute.
class Timing {
 public:
  // The histogram stays its owner's and must outlive this.
  explicit Timing(prometheus::Histogram& histogram) : histogram_(histogram) {}
  // One measured time.
  void observe(Duration measured);
  // What was observed since the call before.
  struct Interval {
    std::size_t count = 0;
    double mean_ms = 0, max_ms = 0;
  };
  // Begins the next interval.
  Interval consume_interval();

 private:
  prometheus::Histogram& histogram_;
  std::size_t count_ = 0;
  Duration sum_{0}, max_{0};
};

// What became of a worker's heartbeat at this node.
enum class HeartbeatPath {
  local,       // this node leads and answered it
  relayed,     // the leader answered it through this node
  from_peers,  // another node forwarded it to this one, which leads
  redirected,  // the worker was sent to another node for the sake of balance
  refused,     // 421 or 503
};
constexpr std::size_t heartbeat_path_count = 5;

// For what a job was looked up beyond this node's memory and the leader's word.
enum class LookupPurpose { status_query, dependency_check };
constexpr std::size_t lookup_purpose_count = 2;

// What a lookup was answered from.
enum class LookupSource {
  memory,           // what this node knows: ends, and jobs of the scheduler while its lease is valid
  leader,           // the leader's reply over its peer link
  compared_active,  // a comparison of keys: the job's own key is there
  compared_final,   // a comparison of keys, then one read of the job's end
  single_reads,     // its rows, each read by itself
  unanswered,       // nothing: the user has to ask again
};
constexpr std::size_t lookup_source_count = 6;

// The present state of a node; MetricsService fills it in.
struct Gauges {
  bool leads = false;
  std::size_t connections = 0, worker_connections = 0, worker_capacity = 0;
  std::size_t machines = 0, jobs = 0;
  std::uint64_t configuration = 0;  // the version in force here
  // Rows that wait to be written to the store.
  struct Queue {
    std::size_t rows = 0;
    double oldest_s = 0;  // how long the first has waited
  };
  std::array<Queue, 3> store_queues{};  // by WritePriority: foreground, best effort, deferrable
  double state_requests_used = 0;       // part of this node's share of the state service's rate, 0 to 1
};

// The source's name, as the metric's label and log events have it.
const char* name_of(LookupSource source);

// All metrics of a node, by their exported names. Not thread-safe: it belongs to the loop's thread.
class Metrics {
  std::shared_ptr<prometheus::Registry> registry_;  // before all that is registered with it

 public:
  // Registers all of them.
  Metrics();

  // Scheduling cycles, transactions of the leader, and heartbeats from their arrival to their answer.
  Timing cycles, store_writes, heartbeats;

  // Heartbeats that went this way.
  void count_heartbeat(HeartbeatPath path, std::size_t n = 1);
  // One job that was looked up.
  void count_lookup(LookupPurpose purpose, LookupSource source);
  // A failover: this node began to lead.
  void count_takeover() { takeovers_.Increment(); }

  // Before each exposition.
  void set(const Gauges& gauges);
  // Who is served, by class and team, as the leader counts it since it took over.
  void set(const std::vector<load::ServiceCounts>& served);
  // The text that Prometheus scrapes (exposition format 0.0.4).
  [[nodiscard]] std::string exposition() const;
  // "rounds 42, 3.1 ms, longest 8.2 ms; ...": what happened since the line before.
  std::string minute_line(const Gauges& gauges);

 private:
  prometheus::Gauge& gauge(const char* name, const char* help, const prometheus::Labels& labels = {});
  std::array<prometheus::Counter*, heartbeat_path_count> heartbeats_by_path_{};
  std::array<std::size_t, heartbeat_path_count> heartbeats_this_minute_{};
  std::array<std::array<prometheus::Counter*, lookup_source_count>, lookup_purpose_count> lookups_{};
  prometheus::Counter& takeovers_;
  prometheus::Family<prometheus::Gauge>&served_jobs_, &served_share_, &served_wait_;
  prometheus::Gauge &leads_, &connections_, &worker_connections_, &worker_capacity_, &machines_, &jobs_, &memory_,
      &state_requests_used_, &configuration_;
  std::array<prometheus::Gauge*, 3> queue_rows_{}, queue_oldest_{};
};

// Bytes that this process holds in memory; 0 where that cannot be told.
std::size_t resident_bytes();

}  // namespace martenwall::metrics
