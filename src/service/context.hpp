// State shared by the services of one node. Everything runs on the thread of the node's event loop.
#pragma once
#include <spdlog/logger.h>

#include <memory>
#include <optional>
#include <random>
#include <string>

#include "config/settings.hpp"
#include "core/leadership/leadership.hpp"
#include "core/model/configuration.hpp"
#include "core/reachability/leader_reachability.hpp"
#include "core/scheduler/scheduler.hpp"
#include "metrics/metrics.hpp"
#include "runtime/http_client.hpp"
#include "runtime/loop.hpp"
#include "service/finished_job_cache.hpp"
#include "service/store_limits.hpp"
#include "wire/store_codec.hpp"

namespace martenwall::service {

// Owned by the node; outlives all services, which hold a reference to it.
struct Context {
  Context(rt::Loop& event_loop, config::Settings node_settings, Policy initial_policy,
          std::shared_ptr<spdlog::logger> logger)
      : loop(event_loop),
        settings(std::move(node_settings)),
        policy(initial_policy),
        log(std::move(logger)),
        configuration{ConfigurationVersion{0}, settings.teams, policy},
        limits(settings),
        v1_row_size(v1_row_size_for(settings.state_value_bytes)),
        leadership(policy, settings.workers),
        reachability(settings.workers),
        cycle_due(event_loop),
        writes_due(event_loop),
        write_committed(event_loop),
        leader_changed(event_loop),
        random(std::random_device{}()) {}

  rt::Loop& loop;
  config::Settings settings;
  Policy policy;
  std::shared_ptr<spdlog::logger> log;
  Configuration configuration;     // latest version known to this node; `policy` is its policy
  ConfigurationValidity validity;  // of `configuration`
  bool version_published = false;  // this node's version is recorded in the store
  StoreLimits limits;
  std::uint64_t format_version = 1;  // in force: all nodes are known to support it
  std::uint32_t v1_row_size;         // task indices per v1 row; once the format version is raised, as stored with it
  Leadership leadership;
  LeaderReachability reachability;       // whether workers reach this node
  RedirectedWorkers redirected_workers;  // workers that were redirected to the leader
  std::unique_ptr<Scheduler> scheduler;  // set while this node leads
  std::uint64_t term = 0;                // incremented when a leadership begins or ends
  std::string leader;                    // last known holder of the leader key; empty if none
  std::vector<MachineType> types;
  FinishedJobCache finished_jobs;
  Time last_renewal_sent_at{};                      // send time of the last completed lease renewal, successful or not
  Time store_answered_at{};                         // last response of the state service
  Time leader_answered_at{};                        // last response of the leader to a forwarded request
  Time leader_link_failed_at{Duration::min() / 2};  // last failed request over the leader's peer link
  Time last_inbox_entry_at{Duration::min() / 2};    // last inbox entry of another node, if this node leads
  rt::Event cycle_due;                              // a scheduling cycle is due
  rt::Event writes_due;                             // changes are ready to be written to the store
  rt::Event write_committed;                        // a transaction was committed
  rt::Event leader_changed;
  std::mt19937_64 random;
  metrics::Metrics metrics;

  [[nodiscard]] Time now() const { return loop.now(); }
  // Returns whether the state service responded within the last 3.5 s. Followers receive a response at least every 2 s,
  // the time after which an open watch is answered at the latest.
  [[nodiscard]] bool reaches_store() const { return now() - store_answered_at < seconds(3.5); }
  // Returns whether this node leads and `expected_term` is still the current term.
  [[nodiscard]] bool leads(std::uint64_t expected_term) const { return term == expected_term && scheduler != nullptr; }
  // Returns whether this node leads with a lease that is valid at this moment. Updates the loop's clock: the process
  // may have stalled since the last reading, and decisions that bind other nodes must not rely on a stale time.
  [[nodiscard]] bool has_valid_lease() const {
    return scheduler != nullptr && leadership.has_valid_lease(loop.update_time());
  }
  // Returns whether decisions that depend on the operators' configuration are allowed.
  [[nodiscard]] bool may_decide() const { return validity.may_decide(loop.update_time()); }
  // Returns whether tasks may be placed and started.
  [[nodiscard]] bool may_start() const { return has_valid_lease() && may_decide(); }
  // Returns whether the process stalled after the last lease renewal was sent: another node may have become the leader.
  [[nodiscard]] bool resumed_after_stall() const { return last_renewal_sent_at < loop.last_stall().ended; }
  // Wakes the writer and the scheduling cycle if the scheduler has work for them.
  void notify_pending_work() {
    if (scheduler == nullptr) return;
    if (scheduler->has_writes(false, loop.now())) writes_due.notify();
    if (scheduler->needs_cycle()) cycle_due.notify();
  }
  // Returns whether another node is known to hold the leader key.
  [[nodiscard]] bool has_other_leader() const { return !leader.empty() && leader != settings.node; }
  // Returns the wall-clock time in milliseconds since the Unix epoch.
  static std::int64_t wall_ms();
  // Returns the number of task indices per v1 row, exactly as releases with format version 1 compute it: v1 rows are
  // keyed by number, so a different size would assign their contents to other tasks.
  static std::uint32_t v1_row_size_for(std::size_t value_bytes);
};

}  // namespace martenwall::service
