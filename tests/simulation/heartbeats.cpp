#include "simulation.hpp"

namespace martenwall::sim {

namespace {
constexpr double hold_s = 2.8;   // how long a node keeps a report that it cannot pass on
constexpr double retry_s = 1.2;  // until it is passed on again
}  // namespace

void World::receive_heartbeat(std::size_t node, const Heartbeat& report, std::uint64_t no) {
  Node& n = nodes_.at(node);
  if (now_ < n.down_until) return;
  if (now_ < n.frozen_until) {
    at(n.frozen_until + seconds(wire_low), [this, node, report, no] { receive_heartbeat(node, report, no); });
    return;
  }
  if (faults_.relays && n.scheduler == nullptr) {
    RelayedHeartbeat r{node, report, no, now_ + seconds(hold_s)};
    at(r.until, [this, r] { deliver_response(r, {}); });  // by then the worker is told to go elsewhere
    return relay(r);
  }
  const Response a = response_to(n, report);
  if (faulty_ && roll() < faults_.lost_response) return;
  const Time back = now_ + seconds(between(wire_low, wire_high));
  at(back, [this, id = report.machine, no, incarnation = report.incarnation, a] {
    receive_response(id, no, incarnation, a.ok, a.token, a.commands);
  });
}

World::Response World::response_to(Node& n, const Heartbeat& report) {
  Response a;
  if (n.scheduler != nullptr && report.token > n.leadership->token()) step_down(n);
  if (n.scheduler != nullptr && n.leadership->serves_workers(now_) && !n.scheduler->is_released(report.machine)) {
    a.commands = n.scheduler->on_heartbeat(report, StatusSource::heartbeat, now_, n.leadership->has_valid_lease(now_));
    if (n.scheduler->must_withhold_response(report.machine)) return {};
    n.scheduler->on_heartbeat_answered(report.machine, now_);
    record_decision(Decision::response, report.machine, a.commands);
    a.token = n.leadership->token();
    a.ok = true;
  }
  return a;
}

void World::relay(const RelayedHeartbeat& r) {
  Node& n = nodes_.at(r.by);
  if (now_ < n.down_until || now_ >= r.until || delivered_.contains({r.report.machine, r.no})) return;
  if (now_ < n.frozen_until) {
    at(n.frozen_until + seconds(wire_low), [this, r] { relay(r); });
    return;
  }
  if (n.scheduler != nullptr) {
    // It took over itself meanwhile.
    const Response a = response_to(n, r.report);
    if (a.ok) return deliver_response(r, a);
  }
  const int times = faulty_ && roll() < faults_.repeated_batch ? 2 : 1;
  for (int i = 0; i < times && n.scheduler == nullptr; ++i) {
    if (faulty_ && (now_ < link_cut_until_ || roll() < faults_.lost_batch)) continue;
    at(now_ + seconds(faulty_ ? link_delay() : wire_low), [this, r] { receive_relayed_heartbeat(r); });
  }
  at(now_ + seconds(retry_s), [this, r] { relay(r); });
}

void World::receive_relayed_heartbeat(const RelayedHeartbeat& r) {
  Node& n = nodes_.at(1 - r.by);
  if (now_ < n.down_until) return;
  if (now_ < n.frozen_until) {
    at(n.frozen_until + seconds(wire_low), [this, r] { receive_relayed_heartbeat(r); });
    return;
  }
  const Response a = response_to(n, r.report);
  if (!a.ok || (faulty_ && (now_ < link_cut_until_ || roll() < faults_.lost_batch))) return;
  at(now_ + seconds(faulty_ ? link_delay() : wire_low), [this, r, a] { deliver_response(r, a); });
}

// One answer a report at most. What a frozen node holds is handed out when it wakes, however old it is.
void World::deliver_response(const RelayedHeartbeat& r, const Response& a) {
  Node& n = nodes_.at(r.by);
  if (now_ < n.down_until) return;
  if (now_ < n.frozen_until) {
    at(n.frozen_until + seconds(wire_low), [this, r, a] { deliver_response(r, a); });
    return;
  }
  if (!delivered_.emplace(r.report.machine, r.no).second) return;
  if (a.ok) ++relayed_;
  receive_response(r.report.machine, r.no, r.report.incarnation, a.ok, a.token, a.commands);
}

}  // namespace martenwall::sim
