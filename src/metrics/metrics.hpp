// A node's metrics: Prometheus metrics, and a summary line per minute for the log.
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

// Repeated measurements of a duration: a histogram since the start, and the mean and maximum of the last interval.
class Timing {
 public:
  // The owner's histogram must outlive this object.
  explicit Timing(prometheus::Histogram& histogram) : histogram_(histogram) {}
  // Adds one measurement.
  void observe(Duration measured);
  // The measurements since the previous call of `consume_interval`.
  struct Interval {
    std::size_t count = 0;
    double mean_ms = 0, max_ms = 0;
  };
  // Returns the current interval and begins the next one.
  Interval consume_interval();

 private:
  prometheus::Histogram& histogram_;
  std::size_t count_ = 0;
  Duration sum_{0}, max_{0};
};

// How a worker's heartbeat was handled at this node.
enum class HeartbeatPath {
  local,       // this node leads and answered it
  relayed,     // this node forwarded it to the leader, which answered
  from_peers,  // another node forwarded it to this node, the leader
  redirected,  // the worker was redirected to another node for load balancing
  refused,     // answered with 421 or 503
};
constexpr std::size_t heartbeat_path_count = 5;

// Why a job was looked up.
enum class LookupPurpose { status_query, dependency_check };
constexpr std::size_t lookup_purpose_count = 2;

// What answered a lookup.
enum class LookupSource {
  memory,           // this node's knowledge: ended jobs, and the scheduler's jobs while its lease is valid
  leader,           // the leader's reply over its peer link
  compared_active,  // a comparison of keys: the job's active key exists
  compared_final,   // a comparison of keys, then one read of the job's final state
  single_reads,     // the job's rows, each read separately
  unanswered,       // no answer: the user has to retry
};
constexpr std::size_t lookup_source_count = 6;

// The current state of a node; filled in by MetricsService.
struct Gauges {
  bool leads = false;
  std::size_t connections = 0, worker_connections = 0, worker_capacity = 0;
  std::size_t machines = 0, jobs = 0;
  std::uint64_t configuration = 0;  // the version in force at this node
  // Rows that wait to be written to the store.
  struct Queue {
    std::size_t rows = 0;
    double oldest_s = 0;  // waiting time of the oldest row
  };
  std::array<Queue, 3> store_queues{};  // by WritePriority: foreground, best effort, deferrable
  double state_requests_used = 0;       // fraction of this node's share of the state service's rate limit, 0 to 1
};

// The source's name in metric labels and log events.
const char* name_of(LookupSource source);

// All metrics of a node, by their exported names. Not thread-safe: used on the event loop's thread only.
class Metrics {
  std::shared_ptr<prometheus::Registry> registry_;  // declared before everything that is registered with it

 public:
  // Registers all metrics.
  Metrics();

  // Times of scheduling cycles, of the leader's transactions, and of heartbeats from arrival to answer.
  Timing cycles, store_writes, heartbeats;

  // Counts heartbeats handled this way.
  void count_heartbeat(HeartbeatPath path, std::size_t n = 1);
  // Counts one looked-up job.
  void count_lookup(LookupPurpose purpose, LookupSource source);
  // Counts a failover in which this node became the leader.
  void count_takeover() { takeovers_.Increment(); }

  // Sets the gauges; called before each exposition.
  void set(const Gauges& gauges);
  // Sets the served jobs by class and team, as counted by the leader since it took over.
  void set(const std::vector<load::ServiceCounts>& served);
  // Returns the text that Prometheus scrapes (exposition format 0.0.4).
  [[nodiscard]] std::string exposition() const;
  // Returns a summary of the time since the previous line: "rounds 42 of 3.1 ms, longest 8.2 ms; ...".
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

// Returns the resident memory of this process; 0 if it cannot be determined.
std::size_t resident_bytes();

}  // namespace martenwall::metrics
