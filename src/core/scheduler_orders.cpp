// What a worker is told to do: orders in answers to its reports, and commands sent straight to it.
#include <algorithm>
#include <utility>

#include "core/scheduler.hpp"

namespace martenwall {

namespace {
constexpr Duration start_takes = seconds(6);  // from an answer with a start: its way, and the start itself
constexpr std::size_t max_probes = 8;         // at once, of machines that may be deaf
constexpr std::size_t max_orders = 300;       // in one answer: a line of it may have 64 KiB
}  // namespace

std::vector<Order> Scheduler::orders_for(Machine& m, Tick tick, Time now, bool proven) {
  std::vector<Order> out;
  for (auto& p : m.placements) {
    // An answer must stay short; what is beyond comes with the next one.
    if (out.size() >= max_orders) break;
    if (!p.gone) order_for(m, p, tick, now, proven, out);
  }
  return out;
}

void Scheduler::order_for(Machine& m, Placement& p, Tick tick, Time now, bool proven, std::vector<Order>& out) {
  if (p.state() == TaskState::ended) {
    // While a direct start of it may still execute, the worker must go on knowing the attempt:
    // after a reap, a late start would run it again.
    if (is_stored(p) && proven && !p.direct_open) {
      out.push_back({Order::Verb::forget, p.task, p.attempt, 0});
    }
    return;
  }
  if (p.stop_wanted) {
    // Up to when it is surely carried out before a cancelled job's tasks have to be gone.
    const bool early = now - p.stop_since < seconds(setup_.terms.cancel_s) - start_takes;
    if (!p.seen() && p.direct_open && early && m.phase() != MachinePhase::releasing) {
      // Make the worker know the attempt, so that the late start has no effect; then end it. In grace too: an answer
      // that keeps the session alive and does not do this would leave the way open to a start that the network holds
      // for longer than cancel_s. What it starts is stored as being there, whoever leads.
      out.push_back({Order::Verb::start, p.task, p.attempt, 0});
      p.sent_tick = std::max(p.sent_tick.value_or(tick), tick);
    }
    const bool overdue = now - p.stop_since > seconds(p.stop_grace_s + setup_.terms.gang_peer_s + 4);
    const double grace = overdue ? 0 : p.stop_grace_s;
    if (p.state() != TaskState::saving || grace <= 0) {
      out.push_back({Order::Verb::stop, p.task, p.attempt, grace});
    }
    p.stop_sent = true;
    return;
  }
  if (!p.seen() && !p.inherited && proven && m.takes_starts() && jobs_.contains(p.task.job) && is_stored(p)) {
    p.enter(TaskState::sent, now);
    p.sent_tick = std::max(p.sent_tick.value_or(tick), tick);
    out.push_back({Order::Verb::start, p.task, p.attempt, 0});
  }
}

std::vector<DirectBatch> Scheduler::take_direct(Time now) {
  std::vector<DirectBatch> out;
  if (!setup_.policy.direct_starts) return out;
  std::size_t probes = 0;
  for (const auto& id : std::exchange(touched_, {})) {
    const auto it = machines_.find(id);
    if (it == machines_.end()) continue;
    Machine& m = it->second;
    if (!m.seen || m.phase() == MachinePhase::lost || m.phase() == MachinePhase::releasing) continue;
    // Only to machines that answer: a command to a silent one could be held and execute late.
    if (now - m.last_heard > seconds(setup_.terms.report_s * 1.5)) continue;
    DirectBatch batch{id, m.addr, m.session, {}};
    for (auto& p : m.placements) {
      if (p.gone || !p.occupies()) continue;
      if (p.stop_wanted) {
        if (!p.stop_sent && p.seen()) {
          batch.orders.push_back({Order::Verb::stop, p.task, p.attempt, p.stop_grace_s});
          p.stop_sent = true;
        }
      } else if (p.state() == TaskState::planned && m.takes_starts() && jobs_.contains(p.task.job) && is_stored(p)) {
        p.enter(TaskState::sent, now);
        p.direct_open = true;
        batch.orders.push_back({Order::Verb::start, p.task, p.attempt, 0});
      }
    }
    const bool probe = probes < max_probes && m.ears.takes_probe(now);
    if (probe) ++probes;
    if (probe || !batch.orders.empty()) out.push_back(std::move(batch));
  }
  return out;
}

void Scheduler::on_direct(const DirectBatch& batch, DirectOutcome outcome, Time now) {
  const auto it = machines_.find(batch.machine);
  if (it == machines_.end() || outcome == DirectOutcome::unknown) return;
  Machine& m = it->second;
  for (const auto& o : batch.orders) {
    auto* p = m.find(o.task, o.attempt);
    if (p == nullptr || p->gone) continue;
    if (o.verb == Order::Verb::start) p->direct_open = false;
    if (o.verb == Order::Verb::start && p->stop_wanted && !p->seen() && !p->in_flight() &&
        outcome != DirectOutcome::executed) {
      vacate(m, *p, now, "withdrawn");
    }
  }
  sweep(m);
}

std::vector<DirectBatch> Scheduler::announcements() const {
  std::vector<DirectBatch> out;
  for (const bool busy : {true, false}) {
    for (const auto& [id, m] : machines_) {
      if (m.empty() != busy && !m.seen && !m.addr.empty() && m.phase() == MachinePhase::up) {
        out.push_back({id, m.addr, m.session, {}});
      }
    }
  }
  return out;
}

bool Scheduler::is_stored(const Placement& p) const {
  const auto* job = find_job(p.task.job);
  if (job == nullptr || job->final_stored) return true;
  if (p.gen == Generation{0}) return true;
  const auto told = [&](const Job::Parts& parts) -> std::optional<bool> {
    const auto next = parts.upper_bound(p.task.index);
    if (next == parts.begin()) return std::nullopt;
    const auto& [first, part] = *std::prev(next);
    if (p.task.index >= first + part.size) return std::nullopt;
    return p.gen <= part.stored;
  };
  if (const auto in_span = told(job->spans)) return *in_span;
  return told(job->legacy).value_or(false);
}

}  // namespace martenwall
