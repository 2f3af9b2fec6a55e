#include <algorithm>

#include "simulation.hpp"

namespace martenwall::sim {

Heartbeat World::make_heartbeat(Worker& w) {
  w.sequence = HeartbeatSequence{w.sequence.value() + 1};
  Heartbeat r;
  r.machine = w.id;
  r.addr = "10.0.0.1:1";
  r.type = "big";
  r.zone = w.zone;
  r.spot = w.spot;
  r.incarnation = w.incarnation;
  r.sequence = w.sequence;
  r.token = w.token;
  for (const auto& [key, t] : w.tasks) r.tasks.push_back({key.first, key.second, t.state, t.cause, false});
  return r;
}

void World::step_worker(Worker& w) {
  if (now_ - w.lease_renewed_at > seconds(timings_.lease_s)) {
    w.tasks.clear();
    w.incarnation = Incarnation{w.incarnation.value() + 1};
    w.lease_renewed_at = now_;
    w.waiting_since.reset();
  }
  if (w.waiting_since && now_ - *w.waiting_since > seconds(4)) {
    w.waiting_since.reset();
    w.target = 1 - w.target;
    w.next_heartbeat = now_ + seconds(1);
  }
  if (!w.waiting_since && now_ >= w.next_heartbeat) send_heartbeat(w);
  step_tasks(w);
}

void World::send_heartbeat(Worker& w) {
  w.waiting_since = now_;
  w.next_heartbeat = now_ + seconds(between(0.75, 1.25) * timings_.heartbeat_interval_s);
  const auto no = ++w.heartbeat_no;
  const auto report = make_heartbeat(w);
  const bool delayed = faulty_ && roll() < faults_.delayed_heartbeat;
  if (now_ < w.cut_until && !delayed) return;
  const Time arrives = std::max(now_, w.cut_until) +
                       seconds(delayed ? between(1, 90) : between(min_network_delay_s, max_network_delay_s));
  at(arrives, [this, target = w.target, report, no] { receive_heartbeat(target, report, no); });
  if (!faulty_ || faults_.late_duplicate <= 0 || roll() >= faults_.late_duplicate) return;
  const auto other = random_() % nodes_.size();
  at(now_ + seconds(between(1, 3 * timings_.lease_s)),
     [this, other, report, no] { receive_heartbeat(other, report, no); });
}

void World::receive_response(const MachineId& id, std::uint64_t no, Incarnation incarnation, bool ok,
                             FencingToken token, const std::vector<Command>& commands) {
  const auto it = workers_.find(id);
  if (it == workers_.end()) return;
  Worker& w = it->second;
  if (!w.alive || !w.waiting_since || no != w.heartbeat_no || incarnation != w.incarnation || now_ < w.cut_until ||
      now_ < w.downlink_lost_until) {
    return;
  }
  const Time sent = *w.waiting_since;
  w.waiting_since.reset();
  if (!ok) {
    w.target = 1 - w.target;
    w.next_heartbeat = std::min(w.next_heartbeat, now_ + seconds(1));
    return;
  }
  if (token < w.token) return;
  if (token > w.token) w.next_heartbeat = std::min(w.next_heartbeat, now_ + seconds(0.5));
  w.token = token;
  w.lease_renewed_at = sent;
  execute(w, commands);
}

std::optional<CommandOutcome> World::deliver_direct(FencingToken token, const CommandBatch& batch, Heartbeat& report) {
  const auto it = workers_.find(batch.machine);
  if (it == workers_.end() || !it->second.alive || now_ < it->second.boots || now_ < it->second.cut_until ||
      now_ < it->second.downlink_lost_until) {
    return std::nullopt;
  }
  Worker& w = it->second;
  const bool needs_cycle = token < w.token || batch.incarnation != w.incarnation;
  w.token = std::max(w.token, token);
  if (!needs_cycle) execute(w, batch.commands);
  report = make_heartbeat(w);
  return needs_cycle ? CommandOutcome::refused : CommandOutcome::executed;
}

void World::execute(Worker& w, const std::vector<Command>& commands) {
  for (const auto& o : commands) {
    const TaskKey key{o.task, o.attempt};
    const auto it = w.tasks.find(key);
    if (o.verb == Command::Verb::forget) {
      if (it != w.tasks.end() && it->second.state == TaskState::ended) w.tasks.erase(it);
    } else if (o.verb == Command::Verb::stop) {
      if (it == w.tasks.end() || it->second.state == TaskState::ended) continue;
      execute_stop(it->second, o.grace_s);
    } else if (it == w.tasks.end()) {
      execute_start(w, key);
    }
  }
}

void World::execute_stop(SimulatedTask& t, double grace_s) {
  if (t.state == TaskState::running && grace_s >= 3) {
    t.state = TaskState::saving;
    t.until = now_ + seconds(3);
  } else if (t.state != TaskState::saving || grace_s == 0) {
    t.state = TaskState::ended;
    t.cause = ExitCause::stopped;
  }
}

// The machine refuses a second run of a task, and tasks that exceed its capacity.
void World::execute_start(Worker& w, const TaskKey& key) {
  const auto& task = key.first;
  const bool busy = std::ranges::any_of(
      w.tasks, [&](const auto& t) { return t.first.first == task && t.second.state != TaskState::ended; });
  const auto [other, inserted] = attempts_.emplace(key, w.id);
  if (!inserted && other->second != w.id) report_violation("attempt reused: " + to_string(task));
  SimulatedTask t;
  t.until = now_ + seconds(between(0, 6));
  t.since = now_;
  double gpus = spec_of(task.job).need.gpus;
  for (const auto& [k, x] : w.tasks) {
    if (x.state != TaskState::ended) gpus += spec_of(k.first.job).need.gpus;
  }
  if (busy || gpus > types_[0].capacity.gpus + 1e-9) {
    t.state = TaskState::ended;
    t.cause = busy ? ExitCause::busy : ExitCause::no_capacity;
  }
  w.tasks.emplace(key, t);
}

}  // namespace martenwall::sim
