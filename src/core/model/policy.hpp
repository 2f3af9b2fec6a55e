// Constants of the installation. Operators may override them in their properties file.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "core/types.hpp"

namespace martenwall {

// Defaults stand in policy.cpp; a configuration change may replace some of them while the service runs.
struct Policy {
  Policy();  // the defaults, in policy.cpp

  // Deadline curve f1 (paper: Max 10, Min 0.1). It must weigh more than any other heuristic.
  double deadline_max;
  double deadline_min;
  double deadline_k;
  double wait_weight;   // Wait minimization
  double input_weight;  // Input: images already cached
  double aging_weight;  // Anti-aging, per second waited
  double aging_cap;
  double priority_weight;      // per step of priority
  double guarantee_weight;     // work within its team's guarantee
  double packing_weight;       // fuller machines first, so that whole ones stay free
  double spot_weight;          // spot machines for those who may use them
  double begin_weight;         // arrays of which nothing began for two minutes: for one task of each; 0: off
  double shortage_weight;      // what cannot be in time, in a shortage: per time that it misses; 0: off
  double shortage_efficiency;  // part of the room freed that is counted on for running work, 0 to 1
  // Rounds and fleet
  Duration cycle_interval;
  Duration idle_release;
  Duration quiet_period;        // without a submission for so long, idle machines go back after
  Duration quiet_idle_release;  // this time already
  int warm_machines;
  double reserve_deviations;   // idle machines kept: scatter of the load's growth over a boot, times this
  Duration surplus_release;    // idle machines beyond that go back after
  double boot_timeout_factor;  // times the nominal boot time before a machine is given up
  Duration capacity_retry;
  Duration lost_timeout;           // how long a machine may be lost, and not listed as failed, until it is returned
  Duration best_effort_spot_wait;  // so long a team without guarantee keeps to spot machines
  Duration best_effort_spot_wait_without_spot;  // the same where there is no spot machine at all
  bool direct_starts;
  bool reserve_limit_headroom;  // a row that its team's limit keeps waiting is left room for one task by those after it
  bool allow_unsaved_stops;     // a lone task is stopped for others without saving where that costs less
  int error_limit;              // failures in a row of different jobs: quarantine
  int suspect_machines;         // a job that failed on so many, with nothing done, is suspect
  // Workers
  bool relay_heartbeats;       // followers take workers' heartbeats and forward them
  double relay_leader_weight;  // part of a follower's share of the workers that report to the leader itself
  int metrics_port;            // of a listener on loopback that serves /metrics; 0: none
  // Leadership
  Duration lease_ttl;
  Duration renew_interval;
  Duration lease_margin;
};

// How soon the users want work to start, from the settings' objectives.
struct StartObjectives {
  std::map<std::string, std::vector<double>> start_s_by_class;  // seconds from the submission
  double guarantee_start_s = 0;                                 // for work within its team's guarantee; 0: none asked
  std::map<std::string, std::vector<double>> deadline_multiples_by_class;  // times its deadline within which to be done
};

// The protocol's times for workers, seconds.
struct WorkerTimings {
  double heartbeat_interval_s = 3, lease_s = 20, gang_wait_s = 50, gang_peer_s = 4, cancel_s = 40;
};

}  // namespace martenwall
