// What the services of one node share. Everything runs on the one loop's thread.
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
  Configuration configuration;     // as far as this node knows; `policy` is its policy
  ConfigurationValidity validity;  // of it
  bool version_published = false;  // this node's version is in the store
  StoreLimits limits;
  std::uint64_t format_version = 1;  // that all nodes are known to have reached
  std::uint32_t v1_row_size;         // task indices in a row by number; once the level was raised, as stored with it
  Leadership leadership;
  LeaderReachability reachability;       // do workers reach this node?
  RedirectedWorkers redirected_workers;  // workers that were sent to the leader
  std::unique_ptr<Scheduler> scheduler;  // while this node leads
  std::uint64_t term = 0;                // changes whenever leadership begins or ends
  std::string leader;                    // node that holds the key, as far as known
  std::vector<MachineType> types;
  FinishedJobCache finished_jobs;
  Time last_renewal_sent_at{};                      // when the last renewal that was answered, or failed, was sent
  Time store_answered_at{};                         // last answer of the state service
  Time leader_answered_at{};                        // last answer of the leader to a forwarded request
  Time leader_link_failed_at{Duration::min() / 2};  // the leader did not answer over its peer link
  Time last_inbox_entry_at{Duration::min() / 2};    // another node left a note for this leader
  rt::Event cycle_due;                              // a round is due
  rt::Event writes_due;                             // changes wait for the store
  rt::Event write_committed;                        // a generation was committed
  rt::Event leader_changed;
  std::mt19937_64 random;
  metrics::Metrics metrics;

  [[nodiscard]] Time now() const { return loop.now(); }
  // The state service answered lately; followers hear of it every 2 s at least.
  [[nodiscard]] bool reaches_store() const { return now() - store_answered_at < seconds(3.5); }
  [[nodiscard]] bool leads(std::uint64_t expected_term) const { return term == expected_term && scheduler != nullptr; }
  // Read anew: the process may have stood still since the loop last looked at the clock, and what binds others must
  // not rest on the moment before.
  [[nodiscard]] bool has_valid_lease() const {
    return scheduler != nullptr && leadership.has_valid_lease(loop.update_time());
  }
  // What rests on the operators' configuration may be decided.
  [[nodiscard]] bool may_decide() const { return validity.may_decide(loop.update_time()); }
  // Tasks may be placed and started.
  [[nodiscard]] bool may_start() const { return has_valid_lease() && may_decide(); }
  // Stood still since its lease was last looked at: another node may lead by now.
  [[nodiscard]] bool resumed_after_stall() const { return last_renewal_sent_at < loop.last_stall().ended; }
  void notify_pending_work() {
    if (scheduler == nullptr) return;
    if (scheduler->has_writes(false, loop.now())) writes_due.notify();
    if (scheduler->needs_cycle()) cycle_due.notify();
  }
  [[nodiscard]] bool has_other_leader() const { return !leader.empty() && leader != settings.node; }
  static std::int64_t wall_ms();
  // As versions of level 1 reckon it, to the number: another size would give their rows another meaning.
  static std::uint32_t v1_row_size_for(std::size_t value_bytes);
};

}  // namespace martenwall::service
