#include "core/scheduler.hpp"

#include <algorithm>
#include <cmath>

#include "core/matcher.hpp"

namespace martenwall {

namespace {
constexpr double drift_allowance = 1.001;
constexpr Duration tombstone_life = seconds(600);
}  // namespace

Scheduler::Scheduler(Setup setup, Log log) : setup_(std::move(setup)), log_(std::move(log)), used_(teams_) {
  for (const auto& t : setup_.teams) teams_[t.name] = t;
}

// ---- sums ----

// The one place where room, team use and running tasks are counted.
void Scheduler::settle(Machine& m, Placement& p) {
  const bool counts = p.occupies();
  if (counts != p.counted) {
    const double sign = counts ? 1 : -1;
    m.used.add(p.need, sign);
    m.held = counts ? m.held + 1 : m.held - 1;
    if (m.held == 0) m.used = {};  // no rounding error outlives the tasks that made it
    used_.add(p.team, p.need, sign);
    p.counted = counts;
    stale_ = true;
  }
  const bool runs = counts && p.state() == TaskState::running;
  if (runs == p.counted_running) return;
  p.counted_running = runs;
  const auto it = jobs_.find(p.task.job);
  if (it == jobs_.end()) return;
  it->second.running = runs ? it->second.running + 1 : it->second.running - std::min(1U, it->second.running);
}

Placement& Scheduler::add(Machine& m, Placement p) {
  m.placements.push_back(std::move(p));
  settle(m, m.placements.back());
  return m.placements.back();
}

ImageId Scheduler::image_id(const std::string& name) {
  const auto [it, fresh] = images_.try_emplace(name, ImageId{static_cast<std::uint32_t>(image_names_.size())});
  if (fresh) image_names_.push_back(name);
  return it->second;
}

// ---- users ----

void Scheduler::add_job(Job job, Time now) {
  if (jobs_.contains(job.spec.id) || over_.contains(job.spec.id)) return;
  job.waiting_since = now;
  job.released = job.spec.awaits.empty() ? job.submitted : now;
  job.set_own_urgency();
  job.image = image_id(job.spec.image);
  stale_ = true;
  if (last_submission_ != Time{} && now > last_submission_) {
    submission_gap_ += 0.05 * (std::min(to_seconds(now - last_submission_), 60.0) - submission_gap_);
  }
  last_submission_ = std::max(last_submission_, now);
  auto id = job.spec.id;
  log_("job " + id.value() + " taken: " + std::to_string(job.spec.tasks) + " tasks of " + job.spec.lane + ", team " +
       job.spec.team + ", " + std::to_string(job.spec.need.gpus) + " GPUs each, estimated " +
       std::to_string(job.spec.estimate_s) + " s" +
       (job.due ? ", due in " + std::to_string(to_seconds(*job.due - job.submitted)) + " s" : ""));
  const auto it = jobs_.emplace(std::move(id), std::move(job)).first;
  served_.submitted(it->second.spec.lane, it->second.spec.team);
  await_others(it->second, now);
}

const Job* Scheduler::find_job(const JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::optional<JobStatus> Scheduler::status(const JobId& id) const {
  const auto* job = find_job(id);
  if (job == nullptr || job->ghost) return std::nullopt;
  // One that it awaits may be cancelled, and its user told, perhaps long ago: while that is looked up, or this job's
  // own end is not stored yet, it is not called active.
  const bool looking = !(lookups_.empty() && asked_.empty());
  if (!job->final_stored && !job->open.empty() && (looking || is_final(job->phase))) return std::nullopt;
  // A transaction without an answer may have stored its end: another node reads it and tells the user, and this one
  // would call the job active after that (`went_back` on a day with late writes). The store knows.
  if (job->end_sent && !job->final_stored) return std::nullopt;
  JobStatus s{id, job->phase, std::min(job->done.count(), job->spec.tasks), job->running};
  // A final phase is told only once it is stored: until then the job is as it was before.
  if (is_final(s.phase) && job->final_stored) return s;
  s.phase = s.running > 0 ? JobPhase::running : JobPhase::pending;
  if (s.running == 0) s.waits = why_it_waits(*job);
  return s;
}

bool Scheduler::cancel(const JobId& id, Time now) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.ghost) return false;
  Job& job = it->second;
  if (is_final(job.phase)) return true;
  finish_job(job, JobPhase::cancelled, now);
  const std::map placed = job.placed;
  stop_placed(job, 0, now, "cancelled");
  for (const auto& [index, machine] : placed) sweep(machines_.at(machine));
  return true;
}

void Scheduler::finish_job(Job& job, JobPhase phase, Time now) {
  if (phase == JobPhase::cancelled && job.failures > 0) clear_machines_of(job, now);
  job.enter(phase);
  forget_awaited(job);
  if (phase == JobPhase::cancelled) review_urgency(job);
  over_[job.spec.id] = now;
  if (phase == JobPhase::done) {
    served_.done(job.spec.lane, job.spec.team, !job.late_counted && !misses_last_time(job, now));
    if (!job.late_counted && misses_last_time(job, now)) served_.missed(job.spec.lane, job.spec.team);
  } else {
    served_.cancelled(job.spec.lane, job.spec.team);
  }
  job.returned.clear();
  job.next_fresh = job.spec.tasks;
  // A cancellation's user waits for the answer, whoever it is; so do jobs that await this one.
  const RowKey key{RowKind::final_job, job.spec.id.value(), 0};
  writes_.add(key, now, urgency_of(key));
  if (phase == JobPhase::done) {
    // Its end says more than its tasks' ends would: one change fewer for each job, which a swarm of small ones needs.
    drop_rows(job);
  }
  stale_ = true;
  log_("job " + job.spec.id.value() + (phase == JobPhase::done ? " done" : " cancelled") + " after " +
       std::to_string(to_seconds(now - job.submitted)) + " s, its tasks ran " + std::to_string(run_time_s(job, now)) +
       " s");
}

double Scheduler::run_time_s(const Job& job, Time now) const {
  double sum = job.ran_s;
  for (const auto& [index, machine] : job.placed) {
    for (const auto& p : machines_.at(machine).placements) {
      const bool runs = p.task.job == job.spec.id && p.task.index == index && p.state() == TaskState::running;
      if (runs) sum += to_seconds(now - p.running_since);
    }
  }
  return sum;
}

// ---- workers ----

const MachineType* Scheduler::type_of(const std::string& name) const {
  const auto it = std::ranges::find(types_, name, &MachineType::name);
  return it == types_.end() ? nullptr : &*it;
}

Machine& Scheduler::machine_for(const WorkerReport& r, Time now) {
  auto [it, fresh] = machines_.try_emplace(r.machine, r.machine);
  Machine& m = it->second;
  if (fresh) {
    m.first_known = m.idle_since = now;
    m.last_ok = std::max(now, setup_.old_leader_until);
  }
  m.addr = r.addr;
  m.type = r.type;
  m.zone = r.zone;
  m.spot = r.spot;
  return m;
}

std::vector<Order> Scheduler::on_report(const WorkerReport& r, ReportSource source, Time now, bool proven) {
  if (gone_.contains(r.machine)) return {};
  Machine& m = machine_for(r, now);
  // Held in the network, a report of a session that has surely ended must not revive its tasks.
  if (r.session <= m.ended_session) return {};
  const bool newer = !m.seen || r.session > m.session || (r.session == m.session && r.tick > m.tick);
  // Reports can be held in the network: an older one says nothing about now. The newest one may come twice, where a
  // node that passes it on did not get the answer: what it is to be answered stands as it did.
  const bool repeated = m.seen && r.session == m.session && r.tick == m.tick && source == ReportSource::beat;
  if (repeated) return orders_for(m, r.tick, now, proven);
  if (m.seen && !newer) return {};
  if (!m.seen && r.session < m.session) return {};
  m.last_heard = now;
  if (source == ReportSource::beat) m.last_beat = now;
  // Its session can only have ended if no answer reached it, or if it was restarted.
  const bool was_answered = m.seen && now - m.last_ok < seconds(setup_.terms.lease_s / 2);
  const bool lapsed = was_answered && r.session > m.session;
  // One report is in flight at a time: this one was sent after the answer to the last came, or was given up.
  const bool unheard = source == ReportSource::beat && m.answered && r.token < setup_.token;
  // What the store says of a machine's session may be older than what it says of its tasks, or missing: until the
  // machine has reported to this leader, another session proves nothing (the simulation found tasks started twice).
  if (m.seen && r.session != m.session) new_session(m, r, now);
  if (!m.seen || r.session != m.session) m.session_heard = now;
  m.session = r.session;
  m.tick = r.tick;
  if (!m.seen) {
    m.seen = true;
    m.idle_since = now;
    stale_ = true;
    mark(m, now);
    log_("machine " + m.id.value() + " reports, " + m.zone + (m.spot ? ", spot" : ""));
  }
  if (m.phase() == MachinePhase::booting || m.phase() == MachinePhase::lost) {
    m.enter(MachinePhase::up, now);
    m.idle_since = now;
    stale_ = true;
  }
  if (r.notice_s) notice(m, *r.notice_s, now);
  const bool took_up = take_task_reports(m, r, now);
  const bool missed = take_absences(m, r, source, now);
  listen(m, r, took_up || source == ReportSource::direct, lapsed || unheard || missed, now);
  sweep(m);
  if (source == ReportSource::direct) return {};
  auto orders = orders_for(m, r.tick, now, proven);
  sweep(m);
  return orders;
}

std::size_t Scheduler::heard_since(Time t) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(machines_, [&](const auto& m) { return m.second.seen && m.second.last_beat >= t; }));
}

void Scheduler::answered(const MachineId& id, Time now) {
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  it->second.last_ok = std::max(it->second.last_ok, now);
  it->second.answered = true;
}

// An earlier leader's tasks on a deaf machine would count as there for as long as it is "answered": it never shows that
// it knows this token. Left without answers its lease has surely ended soon, and they can start elsewhere.
bool Scheduler::leaves_unanswered(const MachineId& id) const {
  const auto it = machines_.find(id);
  if (it == machines_.end() || !it->second.ears.deaf()) return false;
  return std::ranges::any_of(it->second.placements, [](const Placement& p) { return p.inherited && p.occupies(); });
}

void Scheduler::new_session(Machine& m, const WorkerReport& /*r*/, Time now) {
  // Rule (c): a new session means that everything of the earlier ones was killed, and commands
  // for them are refused.
  for (auto& p : m.placements) {
    if (p.state() == TaskState::planned && p.occupies()) continue;
    // Of an earlier leader and not confirmed to this one: it may have been placed in the very session that begins here,
    // where the first report that came was an older one. What the worker says once it has seen this token decides.
    if (p.inherited && p.occupies()) continue;
    if (p.occupies()) vacate(m, p, now, "worker began a new session");
    p.gone = true;
  }
  m.images.clear();
  sweep(m);
}

bool Scheduler::take_task_reports(Machine& m, const WorkerReport& r, Time now) {
  bool took_up = false;
  for (const auto& t : r.tasks) {
    auto* p = m.find(t.task, t.attempt);
    if (p == nullptr || p->gone) {
      on_stray(m, t, now);
      continue;
    }
    if (p->state() == TaskState::ended) continue;
    took_up = took_up || !p->seen();
    p->inherited = false;
    p->sent_tick.reset();
    if (t.state == TaskState::ended) {
      on_exit(m, *p, t, now);
    } else {
      on_progress(m, *p, t, now);
    }
  }
  return took_up;
}

bool Scheduler::take_absences(Machine& m, const WorkerReport& r, ReportSource source, Time now) {
  std::set<std::pair<TaskId, Attempt>> present;
  for (const auto& t : r.tasks) present.emplace(t.task, t.attempt);
  bool missed = false;
  for (auto& p : m.placements) {
    if (p.gone || present.contains({p.task, p.attempt})) continue;
    if (p.state() == TaskState::ended) {
      p.gone = true;  // reaped
    } else if (p.seen()) {
      vacate(m, p, now, "no longer reported");
    } else if (p.inherited) {
      // An earlier leader's start can still execute until the worker has seen this token.
      if (r.token >= setup_.token) vacate(m, p, now, "never arrived");
    } else if (p.sent_tick && source == ReportSource::beat && r.tick > *p.sent_tick) {
      // One report is in flight at a time: a later report without the task shows that the
      // response that carried its start was not executed, and it will not be.
      p.sent_tick.reset();
      missed = true;
    }
    if (!p.gone && !p.seen() && !p.inherited && p.stop_wanted && !p.in_flight()) {
      vacate(m, p, now, "withdrawn");
    }
  }
  return missed;
}

// Whether the machine hears. What was not started on a deaf one, and cannot start late either, goes elsewhere; what
// runs there is lost only when its session ends, which its reports tell.
void Scheduler::listen(Machine& m, const WorkerReport& r, bool heard, bool missed, Time now) {
  const auto before = m.ears.state();
  m.ears.reported(r.session, seconds(setup_.terms.lease_s * drift_allowance) + setup_.policy.margin, now);
  if (heard) m.ears.heard(now);
  if (missed && !heard) m.ears.missed(now);
  if (m.ears.state() != before) {
    stale_ = true;
    if (m.ears.deaf() || before == EarState::deaf) {
      log_("machine " + m.id.value() + " " + std::string{name_of(m.ears.state())});
    }
  }
  if (!m.ears.hears()) touched_.insert(m.id);
  if (!m.ears.deaf()) return;
  for (auto& p : m.placements) {
    const bool can_start = p.seen() || p.in_flight() || p.inherited;
    if (p.occupies() && !can_start) vacate(m, p, now, "its machine does not hear");
  }
}

// ---- time ----

void Scheduler::free_inherited(Machine& m, Time now) {
  for (auto& p : m.placements) {
    if (p.inherited && p.occupies()) vacate(m, p, now, "the lease in which it was placed has ended");
  }
  sweep(m);
}

void Scheduler::expire(Time now) {
  const Duration lease = seconds(setup_.terms.lease_s * drift_allowance) + setup_.policy.margin;
  for (auto& [id, m] : machines_) {
    if (m.phase() == MachinePhase::booting || m.phase() == MachinePhase::lost) continue;
    // One that is being returned stays in its phase: it is looked at once, not each round until it is gone.
    if (m.phase() == MachinePhase::releasing && m.placements.empty()) continue;
    if (now <= m.last_ok + lease) continue;
    if (now <= m.session_heard + lease) {
      // Unanswered, a session lasts for a lease from its beginning, which was perhaps a moment ago: what this leader
      // placed in it is there (`ran_twice` in the simulation, on a machine that was deaf). Earlier leaders' work is
      // not: of sessions that began later they knew nothing.
      free_inherited(m, now);
      continue;
    }
    // Rule (b): its worker has killed everything by now.
    log_("machine " + id.value() + " lost: its lease has surely ended");
    m.enter(MachinePhase::lost, now);
    m.ended_session = m.session;
    for (auto& p : m.placements) {
      if (p.occupies()) vacate(m, p, now, "the worker's lease ended");
      p.gone = true;
    }
    sweep(m);
    m.images.clear();
  }
  std::erase_if(gone_, [&](const auto& g) { return now - g.second > tombstone_life; });
  std::erase_if(over_, [&](const auto& o) { return now - o.second > tombstone_life && !jobs_.contains(o.first); });
}

}  // namespace martenwall
