// Tuning parameters of an installation. Operators may override them in their properties file.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "core/types.hpp"

namespace martenwall {

// The defaults are set in policy.cpp; a configuration change may replace some of the values while the service runs.
struct Policy {
  Policy();  // sets the defaults

  // Deadline curve f1 (the paper uses Max 10, Min 0.1). Its maximum must exceed the weight of any other heuristic.
  double deadline_max;
  double deadline_min;
  double deadline_k;
  double wait_weight;   // wait minimization
  double input_weight;  // machines that have the image cached
  double aging_weight;  // anti-aging, per second waited
  double aging_cap;
  double priority_weight;      // per priority level
  double guarantee_weight;     // work within its team's guarantee
  double packing_weight;       // prefers fuller machines, so that whole machines stay free
  double spot_weight;          // spot machines, for jobs that may use them
  double begin_weight;         // the first task of an array of which no task began for two minutes; 0: off
  double shortage_weight;      // penalty in a shortage for each target that a job is expected to miss; 0: off
  double shortage_efficiency;  // fraction of the freed capacity that is counted on for running work, 0 to 1
  // Scheduling cycles and fleet
  Duration cycle_interval;
  Duration idle_release;
  Duration quiet_period;        // time without a submission after which `quiet_idle_release` applies
  Duration quiet_idle_release;  // idle machines are released after this time while no jobs are submitted
  int warm_machines;
  double reserve_deviations;   // idle reserve: standard deviation of the load's growth during a boot, times this factor
  Duration surplus_release;    // idle machines beyond the reserve are released after this time
  double boot_timeout_factor;  // multiple of the nominal boot time after which a machine is abandoned
  Duration capacity_retry;
  Duration lost_timeout;           // a lost machine that is not listed as failed is released after this time
  Duration best_effort_spot_wait;  // time for which work of a team without guarantee is restricted to spot machines
  Duration best_effort_spot_wait_without_spot;  // the same if there is no spot machine
  bool direct_starts;
  bool reserve_limit_headroom;  // jobs after one that waits for its team's limit leave it headroom for one task
  bool allow_unsaved_stops;     // a task that is not in a gang is preempted without saving if that costs less
  int error_limit;              // consecutive failures of different jobs after which a machine is quarantined
  int suspect_machines;         // a job that failed on this many machines, with no task done, is suspect
  // Workers
  bool relay_heartbeats;       // followers accept workers' heartbeats and forward them
  double relay_leader_weight;  // the leader's share of directly reporting workers, as a fraction of a follower's share
  int metrics_port;            // port of the loopback listener that serves /metrics; 0: none
  // Leadership
  Duration lease_ttl;
  Duration renew_interval;
  Duration lease_margin;
};

// Start and completion objectives for jobs, from the settings.
struct StartObjectives {
  std::map<std::string, std::vector<double>> start_s_by_class;  // seconds from the submission
  double guarantee_start_s = 0;                                 // for work within its team's guarantee; 0: no objective
  std::map<std::string, std::vector<double>> deadline_multiples_by_class;  // multiples of the deadline for completion
};

// Time limits of the worker protocol, in seconds.
struct WorkerTimings {
  double heartbeat_interval_s = 3, lease_s = 20, gang_wait_s = 50, gang_peer_s = 4, cancel_s = 40;
};

}  // namespace martenwall
