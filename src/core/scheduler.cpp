#include "core/scheduler.hpp"

#include <algorithm>
#include <cmath>

#include "core/matcher.hpp"

namespace martenwall {

namespace {
constexpr double drift_allowance = 1.001;
constexpr std::size_t max_stored_images = 8;
constexpr Duration tombstone_life = seconds(600);
}  // namespace

Scheduler::Scheduler(Setup setup, Log log) : setup_(std::move(setup)), log_(std::move(log)) {
  for (const auto& t : setup_.teams) teams_[t.name] = t;
}

// ---- store ----

void Scheduler::mark(Job& job) {
  job.dirty = true;
  dirty_ = true;
}

void Scheduler::mark(Machine& machine) {
  machine.dirty = true;
  dirty_ = true;
}

Changes Scheduler::begin_flush() {
  Changes out;
  out.gen = gen_;
  for (auto& [id, job] : jobs_) {
    if (std::exchange(job.dirty, false)) out.jobs.push_back(&job);
  }
  for (auto& [id, m] : machines_) {
    if (!std::exchange(m.dirty, false)) continue;
    MachineRow row{m.id, m.addr, m.type, m.zone, m.spot, m.session, {}, {}};
    for (const auto& p : m.placements) {
      if (p.occupies()) row.tasks.push_back({p.task, p.attempt, p.team, p.need, p.rank});
    }
    // A new leader that knows no caches would send everyone to cold machines.
    for (const auto& image : m.images) {
      if (image.ready && row.images.size() < max_stored_images) row.images.emplace_back(image.name, image.gb);
    }
    if (!row.tasks.empty() || !row.images.empty()) {
      m.stored = true;
      out.machines.push_back(std::move(row));
    } else if (std::exchange(m.stored, false)) {
      out.removed_machines.push_back(m.id);
    }
  }
  for (auto& id : std::exchange(removed_rows_, {})) out.removed_machines.push_back(std::move(id));
  dirty_ = false;
  gen_ = Generation{gen_.value() + 1};
  return out;
}

void Scheduler::committed(Generation gen, Time /*now*/) {
  committed_ = std::max(committed_, gen);
  drop_finished_jobs();
}

void Scheduler::drop_finished_jobs() {
  std::erase_if(jobs_, [&](const auto& entry) {
    const Job& job = entry.second;
    return is_final(job.phase) && !job.dirty && job.phase_gen <= committed_ && job.placed.empty();
  });
}

void Scheduler::load_job(Job job, Time now) {
  job.next_fresh = job.done.upper();
  for (std::uint32_t i = job.done.lowest_unfinished(); i < job.next_fresh; ++i) {
    if (!job.done.contains(i)) job.returned.insert(i);
  }
  job.waiting_since = std::min(now, job.submitted);
  last_submission_ = std::max(last_submission_, job.waiting_since);
  auto id = job.spec.id;
  jobs_.insert_or_assign(std::move(id), std::move(job));
}

void Scheduler::load_machine(const MachineRow& row, Time now) {
  Machine m{row.id};
  m.addr = row.addr;
  m.type = row.type;
  m.zone = row.zone;
  m.spot = row.spot;
  m.session = row.session;
  m.first_known = m.last_heard = m.idle_since = now;
  // Until it reports, its worker's lease may last as long as the old leader could renew it.
  m.last_ok = setup_.old_leader_until;
  m.stored = true;
  for (const auto& [name, gb] : row.images) m.images.push_back({name, gb, true});
  m.enter(MachinePhase::up, now);
  for (const auto& t : row.tasks) {
    Placement p{t.task, t.attempt, committed_, now};
    p.team = t.team;
    p.need = t.need;
    p.rank = t.rank;
    p.inherited = true;
    p.enter(TaskState::sent, now);
    const auto job = jobs_.find(t.task.job);
    if (job != jobs_.end()) {
      job->second.take(t.task.index, row.id);
      // An attempt recorded with a machine was used, even if the job's own row fell behind.
      job->second.next_attempt = std::max(job->second.next_attempt, t.attempt.value() + 1);
      if (job->second.phase == JobPhase::pending) job->second.phase = JobPhase::running;
    } else {
      // Its job is over (a cancellation that the old leader stored but could not carry out).
      p.stop_wanted = true;
      p.stop_since = now;
    }
    m.placements.push_back(std::move(p));
  }
  machines_.insert_or_assign(row.id, std::move(m));
}

void Scheduler::finish_load(Time now) {
  for (auto& [id, job] : jobs_) {
    if (job.spec.shape != Shape::gang || job.placed.empty()) continue;
    if (job.placed.size() != job.spec.tasks) break_gang(job, now);
  }
}

// ---- users ----

void Scheduler::add_job(Job job, Time now) {
  if (jobs_.contains(job.spec.id) || over_.contains(job.spec.id)) return;
  job.waiting_since = now;
  last_submission_ = std::max(last_submission_, now);
  auto id = job.spec.id;
  jobs_.emplace(std::move(id), std::move(job));
}

const Job* Scheduler::find_job(const JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::optional<JobStatus> Scheduler::status(const JobId& id) const {
  const auto* job = find_job(id);
  if (job == nullptr) return std::nullopt;
  JobStatus s{id, job->phase, job->done.count(), 0};
  // A final phase is told only once it is stored: until then the job is as it was before.
  if (is_final(s.phase) && job->phase_gen > committed_) s.phase = JobPhase::running;
  for (const auto& [index, machine] : job->placed) {
    const auto m = machines_.find(machine);
    if (m == machines_.end()) continue;
    s.running += static_cast<std::uint32_t>(std::ranges::count_if(m->second.placements, [&](const Placement& p) {
      return p.task.index == index && p.task.job == id && p.state() == TaskState::running;
    }));
  }
  if (!is_final(s.phase)) {
    s.done = std::min(s.done, job->spec.tasks);
    s.phase = s.running > 0 ? JobPhase::running : JobPhase::pending;
  }
  return s;
}

std::optional<Generation> Scheduler::cancel(const JobId& id, Time now) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return std::nullopt;
  Job& job = it->second;
  if (!is_final(job.phase)) {
    finish_job(job, JobPhase::cancelled, now);
    for (const auto& [index, machine] : std::map{job.placed}) {
      auto& m = machines_.at(machine);
      for (auto& p : m.placements) {
        if (p.occupies() && p.task.job == id) want_stop(m, p, 0, now, "cancelled");
      }
      sweep(m);
    }
  }
  return job.phase_gen;
}

void Scheduler::finish_job(Job& job, JobPhase phase, Time now) {
  job.phase = phase;
  job.phase_gen = gen_;
  over_.insert(job.spec.id);
  job.returned.clear();
  job.next_fresh = job.spec.tasks;
  mark(job);
  log_("job " + job.spec.id.value() + (phase == JobPhase::done ? " done" : " cancelled") + " after " +
       std::to_string(to_seconds(now - job.submitted)) + " s");
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
  // Reports can be held in the network: an older one says nothing about now.
  if (m.seen && !newer) return {};
  if (!m.seen && r.session < m.session) return {};
  m.last_heard = now;
  if (r.session != m.session) new_session(m, r, now);
  m.session = r.session;
  m.tick = r.tick;
  if (!m.seen) {
    m.seen = true;
    m.idle_since = now;
    log_("machine " + m.id.value() + " reports, " + m.zone + (m.spot ? ", spot" : ""));
  }
  if (m.phase() == MachinePhase::booting || m.phase() == MachinePhase::lost) {
    m.enter(MachinePhase::up, now);
    m.idle_since = now;
  }
  if (r.notice_s) notice(m, *r.notice_s, now);
  take_task_reports(m, r, now);
  take_absences(m, r, source, now);
  sweep(m);
  if (source == ReportSource::direct) return {};
  auto orders = orders_for(m, r.tick, now, proven);
  sweep(m);
  return orders;
}

void Scheduler::answered(const MachineId& id, Time now) {
  const auto it = machines_.find(id);
  if (it != machines_.end()) it->second.last_ok = std::max(it->second.last_ok, now);
}

void Scheduler::new_session(Machine& m, const WorkerReport& /*r*/, Time now) {
  // Rule (c): a new session means that everything of the earlier ones was killed, and commands
  // for them are refused.
  for (auto& p : m.placements) {
    if (p.state() == TaskState::planned && p.occupies()) continue;
    if (p.occupies()) vacate(m, p, now, "worker began a new session");
    p.gone = true;
  }
  m.images.clear();
  sweep(m);
}

void Scheduler::take_task_reports(Machine& m, const WorkerReport& r, Time now) {
  for (const auto& t : r.tasks) {
    auto* p = m.find(t.task, t.attempt);
    if (p == nullptr || p->gone) {
      on_stray(m, t, now);
      continue;
    }
    if (p->state() == TaskState::ended) continue;
    p->inherited = false;
    p->sent_tick.reset();
    if (t.state == TaskState::ended) {
      on_exit(m, *p, t, now);
    } else {
      on_progress(m, *p, t, now);
    }
  }
}

void Scheduler::on_progress(Machine& m, Placement& p, const TaskReport& t, Time now) {
  const auto before = p.state();
  p.enter(t.state, now);
  if (before == p.state()) return;
  const auto it = jobs_.find(p.task.job);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  if (t.state >= TaskState::waiting && !job.spec.image.empty()) {
    const auto* type = type_of(m.type);
    const bool fresh = !m.has_image(job.spec.image);
    m.touch_image(job.spec.image, job.spec.image_gb, type != nullptr ? type->cache_gb : 1e9);
    if (fresh) mark(m);
  }
  if (t.state == TaskState::running) {
    if (job.phase == JobPhase::pending) job.phase = JobPhase::running;
    log_("task " + to_string(p.task) + " runs on " + m.id.value() + ", " +
         std::to_string(to_seconds(now - p.placed_at)) + " s after its placement");
  }
}

void Scheduler::on_stray(Machine& m, const TaskReport& t, Time now) {
  Placement p{t.task, t.attempt, gen_, now};
  p.stray = true;
  const auto it = jobs_.find(t.task.job);
  if (it != jobs_.end()) {
    p.team = it->second.spec.team;
    p.need = it->second.spec.need;
    p.rank = it->second.spec.rank;
  }
  if (t.state == TaskState::ended) {
    p.enter(TaskState::ended, now);
    p.cause = t.cause;
    // A result is a result, whoever started it: an earlier leader may have recorded the end of
    // the placement without the end of the task.
    if (t.cause == ExitCause::done && it != jobs_.end()) on_task_done(it->second, t.task.index, now);
  } else {
    log_("task " + to_string(t.task) + " is on " + m.id.value() + " without a record: stopped");
    p.enter(t.state, now);
    p.stop_wanted = true;
    p.stop_since = now;
    // While it is there, it may start nowhere else.
    if (it != jobs_.end() && t.task.index < it->second.spec.tasks && !it->second.placed.contains(t.task.index)) {
      it->second.take(t.task.index, m.id);
    }
    mark(m);
  }
  m.placements.push_back(std::move(p));
}

void Scheduler::take_absences(Machine& m, const WorkerReport& r, ReportSource source, Time now) {
  std::set<std::pair<TaskId, Attempt>> present;
  for (const auto& t : r.tasks) present.emplace(t.task, t.attempt);
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
    }
    if (!p.gone && !p.seen() && !p.inherited && p.stop_wanted && !p.in_flight()) {
      vacate(m, p, now, "withdrawn");
    }
  }
}

void Scheduler::give_back(Machine& m, const Placement& p, Time now) {
  const auto it = jobs_.find(p.task.job);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  const auto holder = job.placed.find(p.task.index);
  if (holder == job.placed.end() || holder->second != m.id) return;
  // Two rows can name one task (a stray of an earlier leader): it is free only when both are over.
  for (const auto& [id, other] : machines_) {
    if (id != m.id &&
        std::ranges::any_of(other.placements, [&](const Placement& q) { return q.occupies() && q.task == p.task; })) {
      holder->second = id;
      return;
    }
  }
  job.give_back(p.task.index);
  if (!is_final(job.phase)) job.waiting_since = now;
}

void Scheduler::vacate(Machine& m, Placement& p, Time now, const char* why) {
  log_("task " + to_string(p.task) + " is off " + m.id.value() + ": " + why);
  p.gone = true;
  mark(m);
  give_back(m, p, now);
  const auto it = jobs_.find(p.task.job);
  if (it != jobs_.end()) forget_fetch(m, it->second);
  if (it != jobs_.end() && it->second.spec.shape == Shape::gang && !p.stray) break_gang(it->second, now);
}

void Scheduler::sweep(Machine& m) {
  std::erase_if(m.placements, [](const Placement& p) { return p.gone; });
}

void Scheduler::break_gang(Job& job, Time now) {
  if (is_final(job.phase)) return;
  for (const auto& [index, id] : std::map{job.placed}) {
    const auto it = machines_.find(id);
    if (it == machines_.end()) continue;
    for (auto& p : it->second.placements) {
      if (p.occupies() && !p.stray && p.task.job == job.spec.id) {
        want_stop(it->second, p, 0, now, "its gang is broken");
      }
    }
  }
}

void Scheduler::want_stop(Machine& m, Placement& p, double grace_s, Time now, const char* why) {
  if (!p.occupies()) return;
  if (p.stop_wanted) {
    if (grace_s < p.stop_grace_s) {
      p.stop_grace_s = grace_s;
      p.stop_sent = false;
    }
    return;
  }
  p.stop_wanted = true;
  p.stop_grace_s = grace_s;
  p.stop_since = now;
  log_("task " + to_string(p.task) + " on " + m.id.value() + " to be stopped: " + why);
  // Nothing was sent yet, so nothing can arrive.
  if (!p.seen() && !p.in_flight() && !p.inherited) vacate(m, p, now, "not started");
}

void Scheduler::on_task_done(Job& job, std::uint32_t index, Time now) {
  if (is_final(job.phase) || index >= job.spec.tasks) return;
  if (job.spec.shape == Shape::service) return;
  if (job.spec.shape == Shape::gang) {
    // The tasks of a gang complete together: if one is done, all are.
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) job.done.insert(i);
  } else {
    job.done.insert(index);
    job.returned.erase(index);
    if (job.next_fresh <= index) {
      for (; job.next_fresh < index; ++job.next_fresh) {
        if (!job.done.contains(job.next_fresh) && !job.placed.contains(job.next_fresh))
          job.returned.insert(job.next_fresh);
      }
      job.next_fresh = index + 1;
    }
  }
  mark(job);
  if (job.done.count() >= job.spec.tasks) finish_job(job, JobPhase::done, now);
}

void Scheduler::learn(const Job& job, const Placement& p, Time now) {
  if (job.spec.estimate_s <= 0 || p.running_since == Time{} || job.failures > 0) return;
  const double ratio = to_seconds(now - p.running_since) / job.spec.estimate_s;
  auto [it, fresh] = lane_ratio_.try_emplace(job.spec.lane, 1.0);
  it->second += 0.1 * (std::clamp(ratio, 0.2, 5.0) - it->second);
}

// A machine gives a fetch up when no task waits for it any more.
void Scheduler::forget_fetch(Machine& m, const Job& job) {
  const bool wanted = std::ranges::any_of(m.placements, [&](const Placement& p) {
    const auto* other = find_job(p.task.job);
    return p.occupies() && other != nullptr && other->spec.image == job.spec.image;
  });
  if (!wanted) m.drop_fetch(job.spec.image);
}

void Scheduler::on_exit(Machine& m, Placement& p, const TaskReport& t, Time now) {
  p.enter(TaskState::ended, now);
  p.cause = t.cause;
  p.gen = gen_;
  mark(m);
  const auto it = jobs_.find(p.task.job);
  log_("task " + to_string(p.task) + " ended on " + m.id.value() + ": " + std::string{name_of(t.cause)} +
       (t.saved ? ", saved" : ""));
  if (m.empty()) m.idle_since = now;
  if (it == jobs_.end()) return;
  Job& job = it->second;
  forget_fetch(m, job);
  if (t.cause == ExitCause::done) {
    m.errors = 0;
    m.last_error_job.reset();
    if (!is_final(job.phase)) learn(job, p, now);
    job.placed.erase(p.task.index);
    if (job.spec.shape == Shape::service) job.returned.insert(p.task.index);
    on_task_done(job, p.task.index, now);
    return;
  }
  give_back(m, p, now);
  if (is_final(job.phase)) return;
  on_task_failed(m, job, t.cause, now);
  if (job.spec.shape == Shape::gang) break_gang(job, now);
}

void Scheduler::on_task_failed(Machine& m, Job& job, ExitCause cause, Time now) {
  switch (cause) {
    case ExitCause::error:
      ++job.failures;
      job.failed_on.insert(m.id);
      // A job that fails on several machines is to blame itself, not the machines.
      if (job.failed_on.size() <= 2 && m.last_error_job != job.spec.id) {
        m.last_error_job = job.spec.id;
        ++m.errors;
      }
      job.not_before = now + seconds(std::min(30.0, 0.5 * std::pow(2.0, std::min(job.failures, 10))));
      if (m.errors >= setup_.policy.error_limit && !m.quarantined) {
        m.quarantined = true;
        drain(m, now, "fails the tasks it starts");
      }
      m.no_starts_before = now + seconds(5);
      break;
    case ExitCause::no_room:
    case ExitCause::busy:
      m.no_starts_before = now + seconds(2);
      break;
    case ExitCause::unknown:
      job.not_before = now + seconds(2);
      break;
    default:
      break;
  }
}

void Scheduler::notice(Machine& m, double notice_s, Time now) {
  if (m.taken_at) return;
  m.taken_at = now + seconds(notice_s);
  drain(m, now, "taken back by the cloud");
}

void Scheduler::drain(Machine& m, Time now, const char* why) {
  if (m.phase() != MachinePhase::up && m.phase() != MachinePhase::booting) return;
  log_("machine " + m.id.value() + " draining: " + why);
  m.enter(MachinePhase::draining, now);
  for (auto& p : m.placements) {
    if (!p.occupies()) continue;
    const auto it = jobs_.find(p.task.job);
    const double grace = it != jobs_.end() && it->second.spec.checkpoint_s > 0 ? it->second.spec.save_s : 0;
    if (it != jobs_.end() && it->second.spec.shape == Shape::gang) {
      // A gang is stopped in order on all its machines, or its progress is lost.
      for (const auto& [index, id] : std::map{it->second.placed}) {
        auto& other = machines_.at(id);
        for (auto& q : other.placements) {
          if (q.occupies() && q.task.job == p.task.job) want_stop(other, q, grace, now, why);
        }
      }
    } else {
      want_stop(m, p, grace, now, why);
    }
  }
}

std::vector<Order> Scheduler::orders_for(Machine& m, Tick tick, Time now, bool proven) {
  std::vector<Order> out;
  for (auto& p : m.placements) {
    if (!p.gone) order_for(m, p, tick, now, proven, out);
  }
  return out;
}

void Scheduler::order_for(Machine& m, Placement& p, Tick tick, Time now, bool proven, std::vector<Order>& out) {
  if (p.state() == TaskState::ended) {
    // While a direct start of it may still execute, the worker must go on knowing the attempt:
    // after a reap, a late start would run it again.
    if (p.gen <= committed_ && proven && !p.direct_open) {
      out.push_back({Order::Verb::forget, p.task, p.attempt, 0});
    }
    return;
  }
  if (p.stop_wanted) {
    const bool early = now - p.stop_since < seconds(setup_.terms.cancel_s / 2);
    if (!p.seen() && p.direct_open && proven && early && m.phase() != MachinePhase::releasing) {
      // Make the worker know the attempt, so that the late start has no effect; then end it.
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
  const bool startable = !p.seen() && !p.inherited && p.gen <= committed_;
  if (startable && proven && m.takes_starts()) {
    p.enter(TaskState::sent, now);
    p.sent_tick = std::max(p.sent_tick.value_or(tick), tick);
    out.push_back({Order::Verb::start, p.task, p.attempt, 0});
  }
}

std::vector<DirectBatch> Scheduler::take_direct(Time now) {
  std::vector<DirectBatch> out;
  if (!setup_.policy.direct_starts) return out;
  for (auto& [id, m] : machines_) {
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
      } else if (p.state() == TaskState::planned && p.gen <= committed_ && m.takes_starts()) {
        p.enter(TaskState::sent, now);
        p.direct_open = true;
        batch.orders.push_back({Order::Verb::start, p.task, p.attempt, 0});
      }
    }
    if (!batch.orders.empty()) out.push_back(std::move(batch));
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
  for (const auto& [id, m] : machines_) {
    if (!m.seen && !m.addr.empty() && m.phase() == MachinePhase::up) out.push_back({id, m.addr, m.session, {}});
  }
  return out;
}

// ---- time ----

void Scheduler::expire(Time now) {
  const Duration lease = seconds(setup_.terms.lease_s * drift_allowance) + setup_.policy.margin;
  for (auto& [id, m] : machines_) {
    if (m.phase() == MachinePhase::booting || m.phase() == MachinePhase::lost) continue;
    if (now <= m.last_ok + lease) continue;
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
}

// ---- cloud ----

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
  if (it->second.stored) {
    removed_rows_.push_back(id);
    dirty_ = true;
  }
  machines_.erase(it);
  gone_[id] = now;
}

void Scheduler::on_hired(const HireRequest& request, const std::vector<MachineId>& ids, Time now) {
  if (ids.size() >= request.count) on_given_up(request);
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
}

void Scheduler::on_given_up(const HireRequest& request) { hires_open_ -= std::min(hires_open_, request.count); }

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

Ledger Scheduler::ledger() const {
  Ledger ledger{teams_};
  for (const auto& [id, m] : machines_) {
    for (const auto& p : m.placements) {
      if (p.occupies()) ledger.add(p.team, p.need);
    }
  }
  return ledger;
}

}  // namespace martenwall
