// What the scheduler makes of the cloud's answers: machines found, rented, refused, gone.
#include <algorithm>

#include "core/scheduler.hpp"

namespace martenwall {

void Scheduler::on_list(const std::vector<ListedMachine>& list, Time asked, Duration lag, Time now) {
  std::set<MachineId> present;
  for (const auto& l : list) {
    present.insert(l.id);
    if (gone_.contains(l.id)) continue;
    auto [it, fresh] = machines_.try_emplace(l.id, l.id);
    Machine& m = it->second;
    if (fresh) {
      // Rented by an earlier leader, or by a request that was executed late: used like any other.
      m.first_known = now - seconds(l.age_s);
      m.last_heard = m.idle_since = now;
      m.last_ok = std::max(now, setup_.old_leader_until);
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
        if (p.occupies()) vacate(m, p, now, "the machine failed");
        p.gone = true;
      }
      sweep(m);
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
    if (p.occupies()) vacate(it->second, p, now, "the machine is gone");
    p.gone = true;
  }
  sweep(it->second);
  leave_group(it->second, now);
  machines_.erase(it);
  gone_[id] = now;
  stale_ = true;
}

void Scheduler::on_hired(const HireRequest& request, const std::vector<MachineId>& ids, Time now) {
  on_given_up(request);
  for (const auto& id : ids) {
    if (gone_.contains(id)) continue;
    auto [it, fresh] = machines_.try_emplace(id, id);
    if (!fresh) continue;
    Machine& m = it->second;
    m.type = request.type;
    m.zone = request.zone;
    m.spot = request.spot;
    m.first_known = m.last_heard = m.idle_since = m.last_ok = now;
  }
  if (ids.size() < request.count) on_refused(request, now);
}

void Scheduler::on_refused(const HireRequest& request, Time now) {
  on_given_up(request);
  capacity_.refused_until[{request.type, request.zone, request.spot}] = now + setup_.policy.capacity_retry;
  next_fleet_ = now;  // the same work may be served elsewhere
  stale_ = true;
}

void Scheduler::on_given_up(const HireRequest& request) { open_hires_.erase(request.name); }

std::vector<HireRequest> Scheduler::take_hires() { return std::exchange(hires_, {}); }

std::vector<MachineId> Scheduler::take_releases(Time /*now*/) {
  std::vector<MachineId> out;
  for (const auto& [id, m] : machines_) {
    if (m.phase() == MachinePhase::releasing && out.size() < 100) out.push_back(id);
  }
  return out;
}

void Scheduler::on_released(const std::vector<MachineId>& ids, Time now) {
  for (const auto& id : ids) drop_machine(id, now, "released");
}

}  // namespace martenwall
