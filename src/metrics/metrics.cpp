#include "metrics/metrics.hpp"

#include <prometheus/text_serializer.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <utility>

namespace martenwall::metrics {

namespace {

// Seconds: from a scheduling cycle of a small fleet to a delay at which workers time out.
prometheus::Histogram::BucketBoundaries bucket_bounds() {
  return {0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};
}

constexpr std::array<const char*, heartbeat_path_count> path_names{"here", "relayed", "by_others", "sent_on",
                                                                   "refused"};
constexpr std::array<const char*, lookup_purpose_count> purpose_names{"status_query", "dependency_check"};
constexpr std::array<const char*, lookup_source_count> source_names{"memory",         "leader",       "compared_active",
                                                                    "compared_final", "single_reads", "unanswered"};
constexpr std::array<const char*, 3> priority_names{"awaited", "borrowed", "spare"};

prometheus::Histogram& histogram(prometheus::Registry& r, const char* name, const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(r).Add({}, bucket_bounds());
}

}  // namespace

void Timing::observe(Duration measured) {
  histogram_.Observe(to_seconds(measured));
  ++count_;
  sum_ += measured;
  max_ = std::max(max_, measured);
}

Timing::Interval Timing::consume_interval() {
  Interval interval{count_, count_ > 0 ? to_seconds(sum_) * 1000 / static_cast<double>(count_) : 0,
                    to_seconds(max_) * 1000};
  count_ = 0;
  sum_ = max_ = Duration{0};
  return interval;
}

prometheus::Gauge& Metrics::gauge(const char* name, const char* help, const prometheus::Labels& labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add(labels);
}

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      cycles(histogram(*registry_, "martenwall_round_seconds", "Duration of a scheduling cycle.")),
      store_writes(histogram(*registry_, "martenwall_store_write_seconds",
                             "Time from a transaction's turn to its answer, including failed attempts.")),
      heartbeats(histogram(*registry_, "martenwall_report_seconds",
                           "Time from a worker's heartbeat to its answer at this node.")),
      takeovers_(prometheus::BuildCounter()
                     .Name("martenwall_takeovers_total")
                     .Help("Number of times that this node became the leader.")
                     .Register(*registry_)
                     .Add({})),
      served_jobs_(prometheus::BuildGauge()
                       .Name("martenwall_served_jobs")
                       .Help("Jobs by class, team and outcome, since this leader took over.")
                       .Register(*registry_)),
      served_share_(prometheus::BuildGauge()
                        .Name("martenwall_served_share")
                        .Help("Fraction of the jobs done or past their last target that were done in time, 0 to 1.")
                        .Register(*registry_)),
      served_wait_(prometheus::BuildGauge()
                       .Name("martenwall_served_wait_seconds")
                       .Help("Mean time from a job's release until all its tasks were placed.")
                       .Register(*registry_)),
      leads_(gauge("martenwall_leads", "1 while this node leads, otherwise 0.")),
      connections_(gauge("martenwall_connections", "Open connections of users and workers.")),
      worker_connections_(gauge("martenwall_worker_connections", "Open connections of workers.")),
      worker_capacity_(gauge("martenwall_worker_room", "Maximum number of worker connections at this node.")),
      machines_(gauge("martenwall_machines", "Machines known to the leader.")),
      jobs_(gauge("martenwall_jobs", "Unfinished jobs known to the leader.")),
      memory_(gauge("process_resident_memory_bytes", "Resident memory of this process.")),
      state_requests_used_(gauge("martenwall_state_rate_used",
                                 "Used fraction of this node's share of the state service's rate limit, 0 to 1.")),
      configuration_(gauge("martenwall_configuration_version", "Version of the configuration in force at this node.")) {
  auto& family = prometheus::BuildCounter()
                     .Name("martenwall_reports_total")
                     .Help(
                         "Workers' heartbeats: answered here, relayed to the leader, received from other nodes, "
                         "redirected, refused.")
                     .Register(*registry_);
  for (std::size_t i = 0; i < heartbeat_path_count; ++i)
    heartbeats_by_path_.at(i) = &family.Add({{"way", path_names.at(i)}});
  auto& lookups = prometheus::BuildCounter()
                      .Name("martenwall_lookups_total")
                      .Help("Job lookups by purpose and answering source.")
                      .Register(*registry_);
  for (std::size_t purpose = 0; purpose < lookup_purpose_count; ++purpose) {
    for (std::size_t source = 0; source < lookup_source_count; ++source) {
      lookups_.at(purpose).at(source) =
          &lookups.Add({{"purpose", purpose_names.at(purpose)}, {"source", source_names.at(source)}});
    }
  }
  for (std::size_t i = 0; i < priority_names.size(); ++i) {
    const prometheus::Labels labels{{"urgency", priority_names.at(i)}};
    queue_rows_.at(i) = &gauge("martenwall_store_queue_rows", "Rows that are due to be written.", labels);
    queue_oldest_.at(i) =
        &gauge("martenwall_store_queue_oldest_seconds", "Waiting time of the oldest due row.", labels);
  }
}

void Metrics::count_heartbeat(HeartbeatPath path, std::size_t n) {
  heartbeats_by_path_.at(static_cast<std::size_t>(path))->Increment(static_cast<double>(n));
  heartbeats_this_minute_.at(static_cast<std::size_t>(path)) += n;
}

void Metrics::count_lookup(LookupPurpose purpose, LookupSource source) {
  lookups_.at(static_cast<std::size_t>(purpose)).at(static_cast<std::size_t>(source))->Increment();
}

const char* name_of(LookupSource source) { return source_names.at(static_cast<std::size_t>(source)); }

void Metrics::set(const Gauges& gauges) {
  leads_.Set(gauges.leads ? 1 : 0);
  connections_.Set(static_cast<double>(gauges.connections));
  worker_connections_.Set(static_cast<double>(gauges.worker_connections));
  worker_capacity_.Set(static_cast<double>(gauges.worker_capacity));
  machines_.Set(static_cast<double>(gauges.machines));
  jobs_.Set(static_cast<double>(gauges.jobs));
  memory_.Set(static_cast<double>(resident_bytes()));
  state_requests_used_.Set(gauges.state_requests_used);
  configuration_.Set(static_cast<double>(gauges.configuration));
  for (std::size_t i = 0; i < gauges.store_queues.size(); ++i) {
    queue_rows_.at(i)->Set(static_cast<double>(gauges.store_queues.at(i).rows));
    queue_oldest_.at(i)->Set(gauges.store_queues.at(i).oldest_s);
  }
}

void Metrics::set(const std::vector<load::ServiceCounts>& served) {
  for (const auto& counts : served) {
    const auto set = [&](prometheus::Family<prometheus::Gauge>& family, prometheus::Labels labels, double value) {
      labels.insert({{"class", counts.job_class}, {"team", counts.team}});
      family.Add(labels).Set(value);
    };
    set(served_jobs_, {{"event", "taken"}}, static_cast<double>(counts.submitted));
    set(served_jobs_, {{"event", "started"}}, static_cast<double>(counts.started));
    set(served_jobs_, {{"event", "done"}}, static_cast<double>(counts.done));
    set(served_jobs_, {{"event", "late"}}, static_cast<double>(counts.late));
    set(served_share_, {}, counts.share());
    set(served_wait_, {}, counts.started == 0 ? 0 : counts.wait_s / static_cast<double>(counts.started));
  }
}

std::string Metrics::exposition() const { return prometheus::TextSerializer{}.Serialize(registry_->Collect()); }

std::string Metrics::minute_line(const Gauges& gauges) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  const auto print_timing = [&](const char* name, const Timing::Interval& interval) {
    out << name << " " << interval.count << " of " << interval.mean_ms << " ms, longest " << interval.max_ms << "; ";
  };
  out << (gauges.leads ? "leads; " : "");
  print_timing("rounds", cycles.consume_interval());
  print_timing("store writes", store_writes.consume_interval());
  print_timing("reports", heartbeats.consume_interval());
  out << "of them";
  for (std::size_t i = 0; i < heartbeat_path_count; ++i) {
    out << " " << std::exchange(heartbeats_this_minute_.at(i), 0) << " " << path_names.at(i);
  }
  out << "; queues";
  for (const auto& q : gauges.store_queues) out << " " << q.rows << " (" << q.oldest_s << " s)";
  out << "; state rate used " << gauges.state_requests_used << "; connections " << gauges.connections << ", workers'"
      << " " << gauges.worker_connections << " of " << gauges.worker_capacity << "; " << gauges.machines
      << " machines, " << gauges.jobs << " jobs; " << static_cast<double>(resident_bytes()) / 1e6 << " MB";
  return out.str();
}

std::size_t resident_bytes() {
  std::ifstream in{"/proc/self/statm"};
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  if (!(in >> total_pages >> resident_pages)) return 0;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace martenwall::metrics
