#include "core/model/policy.hpp"

namespace martenwall {

Policy::Policy()
    : deadline_max(10.0),
      deadline_min(0.1),
      deadline_k(1.3),
      wait_weight(2.0),
      input_weight(3.0),
      aging_weight(0.02),
      aging_cap(3.0),
      priority_weight(2.0),
      guarantee_weight(3.0),
      packing_weight(1.0),
      spot_weight(0.5),
      begin_weight(0),
      shortage_weight(0),
      shortage_efficiency(0.8),
      cycle_interval(seconds(1)),
      idle_release(seconds(80)),
      quiet_period(seconds(40)),
      quiet_idle_release(seconds(6)),
      warm_machines(1),
      reserve_deviations(2.0),
      surplus_release(seconds(15)),
      boot_timeout_factor(4.0),
      capacity_retry(seconds(12)),
      lost_timeout(seconds(45)),
      best_effort_spot_wait(seconds(600)),
      best_effort_spot_wait_without_spot(seconds(60)),
      direct_starts(true),
      reserve_limit_headroom(false),
      allow_unsaved_stops(false),
      error_limit(2),
      suspect_machines(3),
      relay_heartbeats(false),
      relay_leader_weight(0.5),
      metrics_port(0),
      lease_ttl(seconds(2)),
      renew_interval(seconds(0.5)),
      lease_margin(seconds(1)) {}

}  // namespace martenwall
