// What the scheduler makes of the cloud's answers: machines found, rented, refused, gone.
#include <algorithm>

#include "core/scheduler/scheduler.hpp"

namespace martenwall {

void Scheduler::on_machine_list(const std::vector<ListedMachine>& list, Time asked, Duration lag, Time now) {
  std::set<MachineId> present;
  for (const auto& l : list) {
    present.insert(l.id);
    if (released_machines_.contains(l.id)) continue;
    auto [it, fresh] = machines_.try_emplace(l.id, l.id);
    Machine& m = it->second;
    if (fresh) {
      // Rented by an earlier leader, or by a request that was executed late: used like any other.
      m.first_known = now - seconds(l.age_s);
      m.last_report_at = m.idle_since = now;
      m.lease_renewed_at = std::max(now, options_.old_leader_until);
      log_("machine " + l.id.value() + " found in the cloud's list");
    }
    if (m.addr.empty()) {
      m.addr = l.addr;
      m.type = l.type;
      m.zone = l.zone;
      m.spot = l.spot;
    }
    if (!m.listed_at) m.listed_at = asked;
    if (l.phase == ListedMachine::Phase::failed && m.phase() != MachinePhase::releasing) {
      for (auto& p : m.placements) {
        if (p.occupies()) release_placement(m, p, now, "the machine failed");
        p.removed = true;
      }
      erase_removed(m);
      m.enter(MachinePhase::releasing, now);
    }
  }
  std::vector<MachineId> vanished;
  for (const auto& [id, m] : machines_) {
    // Listed once, it stays listed until it is gone; but a list can be older than one before it.
    if (m.listed_at && !present.contains(id) && asked - *m.listed_at > 2 * lag + seconds(2)) {
      vanished.push_back(id);
    }
  }
  for (const auto& id : vanished) drop_machine(id, now, "gone from the cloud's list");
}

void Scheduler::drop_machine(const MachineId& id, Time now, const char* why) {
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  log_("machine " + id.value() + " is gone: " + why);
  for (auto& p : it->second.placements) {
    if (p.occupies()) release_placement(it->second, p, now, "the machine is gone");
    p.removed = true;
  }
  erase_removed(it->second);
  leave_row_group(it->second, now);
  machines_.erase(it);
  released_machines_[id] = now;
  needs_cycle_ = true;
}

void Scheduler::on_scale_out_granted(const ScaleOutRequest& request, const std::vector<MachineId>& ids, Time now) {
  on_scale_out_abandoned(request);
  for (const auto& id : ids) {
    if (released_machines_.contains(id)) continue;
    auto [it, fresh] = machines_.try_emplace(id, id);
    if (!fresh) continue;
    Machine& m = it->second;
    m.type = request.type;
    m.zone = request.zone;
    m.spot = request.spot;
    m.first_known = m.last_report_at = m.idle_since = m.lease_renewed_at = now;
  }
  if (ids.size() < request.count) on_scale_out_refused(request, now);
}

void Scheduler::on_scale_out_refused(const ScaleOutRequest& request, Time now) {
  on_scale_out_abandoned(request);
  capacity_.refused_until[{request.type, request.zone, request.spot}] = now + options_.policy.capacity_retry;
  next_capacity_plan_ = now;  // the same work may be served elsewhere
  needs_cycle_ = true;
}

void Scheduler::on_scale_out_abandoned(const ScaleOutRequest& request) { pending_scale_outs_.erase(request.name); }

std::vector<ScaleOutRequest> Scheduler::take_scale_out_requests() { return std::exchange(scale_out_requests_, {}); }

std::vector<MachineId> Scheduler::take_scale_in(Time /*now*/) {
  std::vector<MachineId> out;
  for (const auto& [id, m] : machines_) {
    if (m.phase() == MachinePhase::releasing && out.size() < 100) out.push_back(id);
  }
  return out;
}

void Scheduler::on_machines_released(const std::vector<MachineId>& ids, Time now) {
  for (const auto& id : ids) drop_machine(id, now, "released");
}

}  // namespace martenwall
