#include "simulation.hpp"

namespace martenwall::sim {

namespace {
constexpr double relay_hold_s = 2.8;   // how long a node holds a heartbeat that it cannot relay
constexpr double relay_retry_s = 1.2;  // delay between relay attempts
}  // namespace

void World::receive_heartbeat(std::size_t node, const Heartbeat& report, std::uint64_t no) {
  Node& n = nodes_.at(node);
  if (now_ < n.down_until) return;
  if (now_ < n.frozen_until) {
    at(n.frozen_until + seconds(min_network_delay_s),
       [this, node, report, no] { receive_heartbeat(node, report, no); });
    return;
  }
  if (faults_.relays && n.scheduler == nullptr) {
    RelayedHeartbeat r{node, report, no, now_ + seconds(relay_hold_s)};
    at(r.until, [this, r] { deliver_response(r, {}); });  // redirects the worker when the hold time is over
    return relay(r);
  }
  const Response a = response_to(n, report);
  if (faulty_ && roll() < faults_.lost_response) return;
  const Time back = now_ + seconds(between(min_network_delay_s, max_network_delay_s));
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
    at(n.frozen_until + seconds(min_network_delay_s), [this, r] { relay(r); });
    return;
  }
  if (n.scheduler != nullptr) {
    // This node has become the leader meanwhile.
    const Response a = response_to(n, r.report);
    if (a.ok) return deliver_response(r, a);
  }
  const int times = faulty_ && roll() < faults_.repeated_batch ? 2 : 1;
  for (int i = 0; i < times && n.scheduler == nullptr; ++i) {
    if (faulty_ && (now_ < link_cut_until_ || roll() < faults_.lost_batch)) continue;
    at(now_ + seconds(faulty_ ? link_delay() : min_network_delay_s), [this, r] { receive_relayed_heartbeat(r); });
  }
  at(now_ + seconds(relay_retry_s), [this, r] { relay(r); });
}

void World::receive_relayed_heartbeat(const RelayedHeartbeat& r) {
  Node& n = nodes_.at(1 - r.by);
  if (now_ < n.down_until) return;
  if (now_ < n.frozen_until) {
    at(n.frozen_until + seconds(min_network_delay_s), [this, r] { receive_relayed_heartbeat(r); });
    return;
  }
  const Response a = response_to(n, r.report);
  if (!a.ok || (faulty_ && (now_ < link_cut_until_ || roll() < faults_.lost_batch))) return;
  at(now_ + seconds(faulty_ ? link_delay() : min_network_delay_s), [this, r, a] { deliver_response(r, a); });
}

// Delivers at most one response per heartbeat. A frozen node delivers held responses on resume, whatever their age.
void World::deliver_response(const RelayedHeartbeat& r, const Response& a) {
  Node& n = nodes_.at(r.by);
  if (now_ < n.down_until) return;
  if (now_ < n.frozen_until) {
    at(n.frozen_until + seconds(min_network_delay_s), [this, r, a] { deliver_response(r, a); });
    return;
  }
  if (!delivered_.emplace(r.report.machine, r.no).second) return;
  if (a.ok) ++relayed_;
  receive_response(r.report.machine, r.no, r.report.incarnation, a.ok, a.token, a.commands);
}

}  // namespace martenwall::sim
