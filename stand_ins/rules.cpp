#include "stand_ins/rules.hpp"

#include <algorithm>

namespace martenwall::stand_ins {

namespace {
constexpr Duration max_unanswered = seconds(75);
constexpr Duration max_wait_with_capacity = seconds(90);
constexpr std::size_t max_violations = 8;
}  // namespace

SubmittedJob& Rules::add(JobSpec spec, double run_s, Time now) {
  const JobId id = spec.id;
  auto& entry = jobs_[id];
  entry.spec = std::move(spec);
  entry.run_s = run_s;
  entry.submitted = entry.last_response_at = now;
  return entry;
}

const SubmittedJob* Rules::find(const JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

void Rules::report_violation(const std::string& what, Time now) {
  if (violations_.size() < max_violations) {
    violations_.push_back(std::to_string(to_seconds(now.time_since_epoch())) + " " + what);
  }
}

// Checks zones against the job's other tasks that are on machines.
void Rules::check_place(const TaskId& task, const Place& place, Time now) {
  const auto& spec = jobs_.at(task.job).spec;
  const auto wrong = [&](const char* what) {
    report_violation(std::string{"wrong_place: "} + what + " " + to_string(task), now);
  };
  if (place.spot && !spec.spot) wrong("spot");
  if (spec.zone && *spec.zone != place.zone) wrong("zone");
  if (spec.types && std::ranges::find(*spec.types, place.type) == spec.types->end()) wrong("type");
  if (!spec.one_zone && !spec.spread) return;
  std::uint32_t in_zone = 1;
  for (const auto& [index, holders] : holders_[task.job]) {
    for (const auto& [machine, zone] : holders) {
      if (spec.one_zone && zone != place.zone) wrong("two zones");
      if (zone == place.zone && index != task.index) ++in_zone;
    }
  }
  if (spec.spread && in_zone > (spec.tasks + 1) / 2) wrong("more than half in one zone");
}

Resources Rules::used_by(const std::string& team) const {
  const auto it = used_.find(team);
  return it == used_.end() ? Resources{} : it->second;
}

// Returns whether usage is within the limit; a limit of 0 means unlimited.
bool Rules::within(const Resources& limit, const Resources& used) const {
  constexpr double slack = 1e-6;
  return (limit.gpus <= 0 || used.gpus <= limit.gpus + slack) && (limit.cpus <= 0 || used.cpus <= limit.cpus + slack);
}

// Reports a violation unless one of the limits in force allows the usage. An unnamed team may use nothing.
void Rules::check_limit(const std::string& team, Time now) {
  std::erase_if(limits_, [&](const Limits& l) { return l.until < now; });
  const auto allows = [&](const Limits& l) {
    const auto it = std::ranges::find(l.teams, team, &Team::name);
    return it != l.teams.end() && within(it->limit, used_by(team));
  };
  if (std::ranges::none_of(limits_, allows)) report_violation("quota " + team, now);
}

void Rules::change_limits(std::vector<Team> teams, Time now, Duration in_force) {
  for (auto& l : limits_) l.until = std::min(l.until, now + in_force);
  limits_.push_back({std::move(teams)});
}

void Rules::on_task_started(const TaskId& task, const Place& place, Time now) {
  ++started_;
  auto& entry = jobs_.at(task.job);
  if (entry.reported_cancelled) ++started_after_cancel_;
  for (const auto& id : entry.spec.dependencies) {
    if (jobs_.at(id).completed.size() != jobs_.at(id).spec.tasks) report_violation("too_early " + to_string(task), now);
  }
  auto& holders = holders_[task.job][task.index];
  for (const auto& [machine, zone] : holders) {
    report_violation("ran_twice " + to_string(task) + " on " + machine.value() + " and " + place.machine.value(), now);
  }
  check_place(task, place, now);
  if (entry.spec.kind == JobKind::array && !entry.started && entry.started_tasks.insert(task.index).second &&
      entry.started_tasks.size() == entry.spec.tasks) {
    entry.started = now;
    entry.started_tasks.clear();
  }
  if (holders.emplace(place.machine, place.zone).second) used_[entry.spec.team].add(entry.spec.need);
  check_limit(entry.spec.team, now);
  if (entry.reported_cancelled && now - *entry.reported_cancelled > seconds(timings_.cancel_s)) {
    report_violation("ran_cancelled " + to_string(task) + " starts on " + place.machine.value(), now);
  }
}

void Rules::on_gang_running(const JobId& job, Time now) {
  auto& entry = jobs_.at(job);
  if (!entry.started) entry.started = now;
}

void Rules::on_task_completed(const TaskId& task) {
  auto& entry = jobs_.at(task.job);
  const bool newly_completed = entry.completed.insert(task.index).second;
  if (newly_completed && entry.completed.size() == entry.spec.tasks && on_complete) on_complete(task.job);
}

std::set<std::uint32_t> Rules::on_machines(const JobId& id) const {
  std::set<std::uint32_t> out;
  const auto it = holders_.find(id);
  if (it == holders_.end()) return out;
  for (const auto& [index, holders] : it->second) out.insert(index);
  return out;
}

std::size_t Rules::tasks_on_machines() const {
  std::size_t n = 0;
  for (const auto& [id, tasks] : holders_) n += tasks.size();
  return n;
}

bool Rules::within_limit(const JobId& id, std::uint32_t more_tasks) const {
  const auto& spec = jobs_.at(id).spec;
  const auto& teams = limits_.back().teams;
  const auto team = std::ranges::find(teams, spec.team, &Team::name);
  if (team == teams.end()) return false;
  auto used = used_by(spec.team);
  used.add(spec.need, more_tasks);
  return within(team->limit, used);
}

void Rules::check_neglected(const JobId& id, bool could_start, Time now) {
  auto& entry = jobs_.at(id);
  if (!could_start) return entry.waiting_with_capacity_since.reset();
  if (!entry.waiting_with_capacity_since) entry.waiting_with_capacity_since = now;
  if (now - *entry.waiting_with_capacity_since <= max_wait_with_capacity) return;
  report_violation("neglected " + id.value() + ": waits although capacity is free", now);
  entry.waiting_with_capacity_since = now;
}

void Rules::on_task_removed(const TaskId& task, const MachineId& on) {
  const auto job = holders_.find(task.job);
  if (job == holders_.end()) return;
  const auto holders = job->second.find(task.index);
  if (holders == job->second.end() || holders->second.erase(on) == 0) return;
  const auto& spec = jobs_.at(task.job).spec;
  used_[spec.team].add(spec.need, -1);
  if (holders->second.empty()) job->second.erase(holders);
  if (job->second.empty()) holders_.erase(job);
}

// Returns whether cancellation was requested for the job or for a direct or transitive dependency.
bool Rules::cancellation_requested(const JobId& id) const {
  const auto& entry = jobs_.at(id);
  return entry.cancel_requested ||
         std::ranges::any_of(entry.spec.dependencies, [&](const JobId& a) { return cancellation_requested(a); });
}

std::optional<JobId> Rules::cancelled_dependency(const JobId& id, Time now) const {
  std::set<JobId> visited;
  std::vector<JobId> pending = jobs_.at(id).spec.dependencies;
  while (!pending.empty()) {
    const JobId dependency = pending.back();
    pending.pop_back();
    if (!visited.insert(dependency).second) continue;
    const auto& entry = jobs_.at(dependency);
    if (entry.reported_cancelled && now - *entry.reported_cancelled > seconds(timings_.cancel_s)) return dependency;
    pending.insert(pending.end(), entry.spec.dependencies.begin(), entry.spec.dependencies.end());
  }
  return std::nullopt;
}

void Rules::on_phase_reported(const JobId& id, const std::string& phase, Ordinal sent, Time now) {
  auto& entry = jobs_.at(id);
  entry.last_response_at = now;
  bool news = !entry.accepted;
  const Ordinal received = ++order_;
  if (!entry.accepted) {
    entry.accepted = now;
    entry.acceptance_order = received;
  }
  if (phase != "done" && phase != "withdrawn") {
    const auto cancelled = cancelled_dependency(id, now);
    if (cancelled) report_violation("orphaned " + id.value() + ": " + phase + " after " + cancelled->value(), now);
  }
  const bool was_done = entry.reported_done && sent > entry.end_order;
  const bool was_cancelled = entry.reported_cancelled && sent > entry.end_order;
  if (was_done && phase != "done") report_violation("went_back " + id.value() + ": done, then " + phase, now);
  if (was_cancelled && phase != "withdrawn")
    report_violation("went_back " + id.value() + ": withdrawn, then " + phase, now);
  if (phase == "done") {
    if (entry.completed.size() != entry.spec.tasks) report_violation("not_done " + id.value(), now);
    news = news || !entry.reported_done;
    if (!entry.reported_done) entry.reported_done = now;
  }
  if (phase == "withdrawn") {
    if (!cancellation_requested(id)) report_violation("went_back " + id.value() + ": cancelled by no one", now);
    news = news || !entry.reported_cancelled;
    if (!entry.reported_cancelled) entry.reported_cancelled = now;
  }
  if (entry.end_order == 0 && (entry.reported_done || entry.reported_cancelled)) entry.end_order = received;
  // A final phase is permanent, whichever request was sent first.
  if (entry.reported_done && entry.reported_cancelled)
    report_violation("went_back " + id.value() + ": both done and withdrawn", now);
  if (news && on_status_change) on_status_change(id);
}

void Rules::on_permanent_refusal(const JobId& id, int status, Ordinal sent, Time now) {
  auto& entry = jobs_.at(id);
  entry.last_response_at = now;
  if (entry.accepted && sent > entry.acceptance_order)
    report_violation("forgotten " + id.value() + ": " + std::to_string(status), now);
}

void Rules::on_unsubmitted_job_found(const JobId& id, Time now) { report_violation("invented " + id.value(), now); }

void Rules::finish(Time now) {
  if (started_ == 0) report_violation("nothing_ran", now);
}

void Rules::tick(Time now) {
  for (const auto& [id, tasks] : holders_) {
    const auto& entry = jobs_.at(id);
    if (!entry.reported_cancelled || now - *entry.reported_cancelled <= seconds(timings_.cancel_s)) continue;
    for (const auto& [index, holders] : tasks) {
      for (const auto& [machine, zone] : holders) {
        report_violation("ran_cancelled " + to_string(TaskId{id, index}) + " on " + machine.value(), now);
      }
    }
  }
  if (!faults_over_since_) return;
  for (auto& [id, entry] : jobs_) {
    const bool over = entry.reported_done || entry.reported_cancelled;
    if (over || !entry.accepted) continue;
    const Time since = std::max(entry.last_response_at, *faults_over_since_);
    if (now - since > max_unanswered) {
      report_violation("forgotten " + id.value() + ": no answer", now);
      entry.last_response_at = now;
    }
  }
}

}  // namespace martenwall::stand_ins
