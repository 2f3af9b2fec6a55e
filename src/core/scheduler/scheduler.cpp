#include "core/scheduler/scheduler.hpp"

#include <algorithm>
#include <cmath>

#include "core/placement/matcher.hpp"

namespace martenwall {

namespace {
constexpr double drift_allowance = 1.001;
constexpr Duration tombstone_life = seconds(600);
}  // namespace

Scheduler::Scheduler(Options options, Log log)
    : options_(std::move(options)), log_(std::move(log)), quota_usage_(teams_) {
  for (const auto& t : options_.teams) teams_[t.name] = t;
}

// ---- sums ----

// The one place where room, team use and running tasks are counted.
void Scheduler::update_accounting(Machine& m, Placement& p) {
  const bool counts = p.occupies();
  if (counts != p.accounted) {
    const double sign = counts ? 1 : -1;
    m.used.add(p.need, sign);
    m.task_count = counts ? m.task_count + 1 : m.task_count - 1;
    if (m.task_count == 0) m.used = {};  // no rounding error outlives the tasks that made it
    quota_usage_.add(p.team, p.need, sign);
    p.accounted = counts;
    needs_cycle_ = true;
  }
  const bool runs = counts && p.state() == TaskState::running;
  if (runs == p.accounted_running) return;
  p.accounted_running = runs;
  const auto it = jobs_.find(p.task.job);
  if (it == jobs_.end()) return;
  it->second.running = runs ? it->second.running + 1 : it->second.running - std::min(1U, it->second.running);
}

Placement& Scheduler::add(Machine& m, Placement p) {
  m.placements.push_back(std::move(p));
  update_accounting(m, m.placements.back());
  return m.placements.back();
}

ImageId Scheduler::image_id(const std::string& name) {
  const auto [it, fresh] = images_.try_emplace(name, ImageId{static_cast<std::uint32_t>(image_names_.size())});
  if (fresh) image_names_.push_back(name);
  return it->second;
}

// ---- users ----

void Scheduler::add_job(Job job, Time now) {
  if (jobs_.contains(job.spec.id) || finished_jobs_.contains(job.spec.id)) return;
  job.waiting_since = now;
  job.ready_at = job.spec.dependencies.empty() ? job.submitted : now;
  job.reset_urgency();
  job.image = image_id(job.spec.image);
  needs_cycle_ = true;
  if (last_submission_ != Time{} && now > last_submission_) {
    submission_gap_ += 0.05 * (std::min(to_seconds(now - last_submission_), 60.0) - submission_gap_);
  }
  last_submission_ = std::max(last_submission_, now);
  auto id = job.spec.id;
  log_("job " + id.value() + " taken: " + std::to_string(job.spec.tasks) + " tasks of " + job.spec.job_class +
       ", team " + job.spec.team + ", " + std::to_string(job.spec.need.gpus) + " GPUs each, estimated " +
       std::to_string(job.spec.estimate_s) + " s" +
       (job.effective_deadline
            ? ", due in " + std::to_string(to_seconds(*job.effective_deadline - job.submitted)) + " s"
            : ""));
  const auto it = jobs_.emplace(std::move(id), std::move(job)).first;
  service_record_.submitted(it->second.spec.job_class, it->second.spec.team);
  register_dependencies(it->second, now);
}

const Job* Scheduler::find_job(const JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::optional<JobStatus> Scheduler::status(const JobId& id) const {
  const auto* job = find_job(id);
  if (job == nullptr || job->residual) return std::nullopt;
  // One that it awaits may be cancelled, and its user told, perhaps long ago: while that is looked up, or this job's
  // own end is not stored yet, it is not called active.
  const bool looking = !(lookups_due_.empty() && lookups_issued_.empty());
  if (!job->end_is_stored && !job->open_dependencies.empty() && (looking || is_final(job->phase))) return std::nullopt;
  // A transaction without an answer may have stored its end: another node reads it and tells the user, and this one
  // would call the job active after that (`went_back` on a day with late writes). The store knows.
  if (job->end_write_sent && !job->end_is_stored) return std::nullopt;
  JobStatus s{id, job->phase, std::min(job->done.count(), job->spec.tasks), job->running};
  // A final phase is told only once it is stored: until then the job is as it was before.
  if (is_final(s.phase) && job->end_is_stored) return s;
  s.phase = s.running > 0 ? JobPhase::running : JobPhase::pending;
  if (s.running == 0) s.pending_reason = pending_reason(*job);
  return s;
}

bool Scheduler::cancel(const JobId& id, Time now) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.residual) return false;
  Job& job = it->second;
  if (is_final(job.phase)) return true;
  finish_job(job, JobPhase::cancelled, now);
  const std::map placed = job.placed;
  stop_all_tasks(job, 0, now, "cancelled");
  for (const auto& [index, machine] : placed) erase_removed(machines_.at(machine));
  return true;
}

void Scheduler::finish_job(Job& job, JobPhase phase, Time now) {
  if (phase == JobPhase::cancelled && job.failures > 0) forget_failures_of(job, now);
  job.enter(phase);
  forget_dependencies(job);
  if (phase == JobPhase::cancelled) recompute_urgency(job);
  finished_jobs_[job.spec.id] = now;
  if (phase == JobPhase::done) {
    service_record_.done(job.spec.job_class, job.spec.team, !job.late_counted && !misses_last_target(job, now));
    if (!job.late_counted && misses_last_target(job, now)) service_record_.missed(job.spec.job_class, job.spec.team);
  } else {
    service_record_.cancelled(job.spec.job_class, job.spec.team);
  }
  job.requeued.clear();
  job.next_unstarted = job.spec.tasks;
  // A cancellation's user waits for the answer, whoever it is; so do jobs that await this one.
  const RowKey key{RowKind::final_job, job.spec.id.value(), 0};
  writes_.add(key, now, write_priority_of(key));
  if (phase == JobPhase::done) {
    // Its end says more than its tasks' ends would: one change fewer for each job, which a swarm of small ones needs.
    drop_rows(job);
  }
  needs_cycle_ = true;
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

Machine& Scheduler::reporting_machine(const Heartbeat& r, Time now) {
  auto [it, fresh] = machines_.try_emplace(r.machine, r.machine);
  Machine& m = it->second;
  if (fresh) {
    m.first_known = m.idle_since = now;
    m.lease_renewed_at = std::max(now, options_.old_leader_until);
  }
  m.addr = r.addr;
  m.type = r.type;
  m.zone = r.zone;
  m.spot = r.spot;
  return m;
}

std::vector<Command> Scheduler::on_heartbeat(const Heartbeat& r, StatusSource source, Time now, bool lease_valid) {
  if (released_machines_.contains(r.machine)) return {};
  Machine& m = reporting_machine(r, now);
  // Held in the network, a report of a session that has surely ended must not revive its tasks.
  if (r.incarnation <= m.ended_incarnation) return {};
  const bool newer =
      !m.has_reported || r.incarnation > m.incarnation || (r.incarnation == m.incarnation && r.sequence > m.sequence);
  // Reports can be held in the network: an older one says nothing about now. The newest one may come twice, where a
  // node that passes it on did not get the answer: what it is to be answered stands as it did.
  const bool repeated =
      m.has_reported && r.incarnation == m.incarnation && r.sequence == m.sequence && source == StatusSource::heartbeat;
  if (repeated) return commands_for(m, r.sequence, now, lease_valid);
  if (m.has_reported && !newer) return {};
  if (!m.has_reported && r.incarnation < m.incarnation) return {};
  m.last_report_at = now;
  if (source == StatusSource::heartbeat) m.last_heartbeat_at = now;
  // Its session can only have ended if no answer reached it, or if it was restarted.
  const bool was_answered = m.has_reported && now - m.lease_renewed_at < seconds(options_.terms.lease_s / 2);
  const bool lapsed = was_answered && r.incarnation > m.incarnation;
  // One report is in flight at a time: this one was sent after the answer to the last came, or was given up.
  const bool unacknowledged =
      source == StatusSource::heartbeat && m.answered_by_this_leader && r.token < options_.token;
  // What the store says of a machine's session may be older than what it says of its tasks, or missing: until the
  // machine has reported to this leader, another session proves nothing (the simulation found tasks started twice).
  if (m.has_reported && r.incarnation != m.incarnation) on_new_incarnation(m, r, now);
  if (!m.has_reported || r.incarnation != m.incarnation) m.incarnation_known_since = now;
  m.incarnation = r.incarnation;
  m.sequence = r.sequence;
  if (!m.has_reported) {
    m.has_reported = true;
    m.idle_since = now;
    needs_cycle_ = true;
    mark_dirty(m, now);
    log_("machine " + m.id.value() + " reports, " + m.zone + (m.spot ? ", spot" : ""));
  }
  if (m.phase() == MachinePhase::booting || m.phase() == MachinePhase::lost) {
    m.enter(MachinePhase::up, now);
    m.idle_since = now;
    needs_cycle_ = true;
  }
  if (r.preemption_notice_s) on_preemption_notice(m, *r.preemption_notice_s, now);
  const bool took_up = apply_task_statuses(m, r, now);
  const bool missed = detect_missing_tasks(m, r, source, now);
  update_downlink(m, r, took_up || source == StatusSource::command_reply, lapsed || unacknowledged || missed, now);
  erase_removed(m);
  if (source == StatusSource::command_reply) return {};
  auto commands = commands_for(m, r.sequence, now, lease_valid);
  erase_removed(m);
  return commands;
}

std::size_t Scheduler::heartbeats_since(Time t) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      machines_, [&](const auto& m) { return m.second.has_reported && m.second.last_heartbeat_at >= t; }));
}

void Scheduler::on_heartbeat_answered(const MachineId& id, Time now) {
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  it->second.lease_renewed_at = std::max(it->second.lease_renewed_at, now);
  it->second.answered_by_this_leader = true;
}

// An earlier leader's tasks on a deaf machine would count as there for as long as it is "answered": it never shows that
// it knows this token. Left without answers its lease has surely ended soon, and they can start elsewhere.
bool Scheduler::must_not_be_answered(const MachineId& id) const {
  const auto it = machines_.find(id);
  if (it == machines_.end() || !it->second.downlink.is_unreachable()) return false;
  return std::ranges::any_of(it->second.placements, [](const Placement& p) { return p.unconfirmed && p.occupies(); });
}

void Scheduler::on_new_incarnation(Machine& m, const Heartbeat& /*r*/, Time now) {
  // Rule (c): a new session means that everything of the earlier ones was killed, and commands
  // for them are refused.
  for (auto& p : m.placements) {
    if (p.state() == TaskState::planned && p.occupies()) continue;
    // Of an earlier leader and not confirmed to this one: it may have been placed in the very session that begins here,
    // where the first report that came was an older one. What the worker says once it has seen this token decides.
    if (p.unconfirmed && p.occupies()) continue;
    if (p.occupies()) release_placement(m, p, now, "worker began a new session");
    p.removed = true;
  }
  m.images.clear();
  erase_removed(m);
}

bool Scheduler::apply_task_statuses(Machine& m, const Heartbeat& r, Time now) {
  bool took_up = false;
  for (const auto& t : r.tasks) {
    auto* p = m.find(t.task, t.attempt);
    if (p == nullptr || p->removed) {
      on_orphan(m, t, now);
      continue;
    }
    if (p->state() == TaskState::ended) continue;
    took_up = took_up || !p->is_reported();
    p->unconfirmed = false;
    p->start_sequence.reset();
    if (t.state == TaskState::ended) {
      on_exit(m, *p, t, now);
    } else {
      on_progress(m, *p, t, now);
    }
  }
  return took_up;
}

bool Scheduler::detect_missing_tasks(Machine& m, const Heartbeat& r, StatusSource source, Time now) {
  std::set<std::pair<TaskId, Attempt>> present;
  for (const auto& t : r.tasks) present.emplace(t.task, t.attempt);
  bool missed = false;
  for (auto& p : m.placements) {
    if (p.removed || present.contains({p.task, p.attempt})) continue;
    if (p.state() == TaskState::ended) {
      p.removed = true;  // reaped
    } else if (p.is_reported()) {
      release_placement(m, p, now, "no longer reported");
    } else if (p.unconfirmed) {
      // An earlier leader's start can still execute until the worker has seen this token.
      if (r.token >= options_.token) release_placement(m, p, now, "never arrived");
    } else if (p.start_sequence && source == StatusSource::heartbeat && r.sequence > *p.start_sequence) {
      // One report is in flight at a time: a later report without the task shows that the
      // response that carried its start was not executed, and it will not be.
      p.start_sequence.reset();
      missed = true;
    }
    if (!p.removed && !p.is_reported() && !p.unconfirmed && p.stop_requested && !p.start_in_flight()) {
      release_placement(m, p, now, "withdrawn");
    }
  }
  return missed;
}

// Whether the machine hears. What was not started on a deaf one, and cannot start late either, goes elsewhere; what
// runs there is lost only when its session ends, which its reports tell.
void Scheduler::update_downlink(Machine& m, const Heartbeat& r, bool confirmed, bool missed, Time now) {
  const auto before = m.downlink.state();
  m.downlink.on_heartbeat(r.incarnation, seconds(options_.terms.lease_s * drift_allowance) + options_.policy.margin,
                          now);
  if (confirmed) m.downlink.on_delivery_confirmed(now);
  if (missed && !confirmed) m.downlink.on_delivery_missed(now);
  if (m.downlink.state() != before) {
    needs_cycle_ = true;
    if (m.downlink.is_unreachable() || before == DownlinkState::unreachable) {
      log_("machine " + m.id.value() + " " + std::string{name_of(m.downlink.state())});
    }
  }
  if (!m.downlink.is_reachable()) machines_to_command_.insert(m.id);
  if (!m.downlink.is_unreachable()) return;
  for (auto& p : m.placements) {
    const bool can_start = p.is_reported() || p.start_in_flight() || p.unconfirmed;
    if (p.occupies() && !can_start) release_placement(m, p, now, "its machine does not hear");
  }
}

// ---- time ----

void Scheduler::release_unconfirmed(Machine& m, Time now) {
  for (auto& p : m.placements) {
    if (p.unconfirmed && p.occupies()) release_placement(m, p, now, "the lease in which it was placed has ended");
  }
  erase_removed(m);
}

void Scheduler::expire(Time now) {
  const Duration lease = seconds(options_.terms.lease_s * drift_allowance) + options_.policy.margin;
  for (auto& [id, m] : machines_) {
    if (m.phase() == MachinePhase::booting || m.phase() == MachinePhase::lost) continue;
    // One that is being returned stays in its phase: it is looked at once, not each round until it is gone.
    if (m.phase() == MachinePhase::releasing && m.placements.empty()) continue;
    if (now <= m.lease_renewed_at + lease) continue;
    if (now <= m.incarnation_known_since + lease) {
      // Unanswered, a session lasts for a lease from its beginning, which was perhaps a moment ago: what this leader
      // placed in it is there (`ran_twice` in the simulation, on a machine that was deaf). Earlier leaders' work is
      // not: of sessions that began later they knew nothing.
      release_unconfirmed(m, now);
      continue;
    }
    // Rule (b): its worker has killed everything by now.
    log_("machine " + id.value() + " lost: its lease has surely ended");
    m.enter(MachinePhase::lost, now);
    m.ended_incarnation = m.incarnation;
    for (auto& p : m.placements) {
      if (p.occupies()) release_placement(m, p, now, "the worker's lease ended");
      p.removed = true;
    }
    erase_removed(m);
    m.images.clear();
  }
  std::erase_if(released_machines_, [&](const auto& g) { return now - g.second > tombstone_life; });
  std::erase_if(finished_jobs_,
                [&](const auto& o) { return now - o.second > tombstone_life && !jobs_.contains(o.first); });
}

}  // namespace martenwall
