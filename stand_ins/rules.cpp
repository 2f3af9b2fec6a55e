#include "stand_ins/rules.hpp"

#include <algorithm>

namespace martenwall::stand_ins {

namespace {
constexpr Duration longest_unanswered = seconds(75);
constexpr Duration max_wait_with_capacity = seconds(90);
constexpr std::size_t max_violations = 8;
}  // namespace

SubmittedJob& Rules::add(JobSpec spec, double run_s, Time now) {
  const JobId id = spec.id;
  auto& w = jobs_[id];
  w.spec = std::move(spec);
  w.run_s = run_s;
  w.submitted = w.last_answer_at = now;
  return w;
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

// Given the job's other tasks at this moment.
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
  for (const auto& [index, holders] : on_[task.job]) {
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

// A limit of 0 is none.
bool Rules::within(const Resources& limit, const Resources& used) const {
  constexpr double slack = 1e-6;
  return (limit.gpus <= 0 || used.gpus <= limit.gpus + slack) && (limit.cpus <= 0 || used.cpus <= limit.cpus + slack);
}

// Any of the limits that a start may still go by allows it. A team that is not named may use nothing.
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
  auto& w = jobs_.at(task.job);
  if (w.reported_cancelled) ++started_after_cancel_;
  for (const auto& id : w.spec.dependencies) {
    if (jobs_.at(id).completed.size() != jobs_.at(id).spec.tasks) report_violation("too early " + to_string(task), now);
  }
  auto& holders = on_[task.job][task.index];
  for (const auto& [machine, zone] : holders) {
    report_violation("ran_twice " + to_string(task) + " on " + machine.value() + " and " + place.machine.value(), now);
  }
  check_place(task, place, now);
  if (w.spec.kind == JobKind::array && !w.begun && w.begun_tasks.insert(task.index).second &&
      w.begun_tasks.size() == w.spec.tasks) {
    w.begun = now;
    w.begun_tasks.clear();
  }
  if (holders.emplace(place.machine, place.zone).second) used_[w.spec.team].add(w.spec.need);
  check_limit(w.spec.team, now);
  if (w.reported_cancelled && now - *w.reported_cancelled > seconds(timings_.cancel_s)) {
    report_violation("ran_cancelled " + to_string(task) + " starts on " + place.machine.value(), now);
  }
}

void Rules::on_gang_running(const JobId& job, Time now) {
  auto& w = jobs_.at(job);
  if (!w.begun) w.begun = now;
}

void Rules::on_task_completed(const TaskId& task) {
  auto& w = jobs_.at(task.job);
  const bool fresh = w.completed.insert(task.index).second;
  if (fresh && w.completed.size() == w.spec.tasks && on_complete) on_complete(task.job);
}

std::set<std::uint32_t> Rules::on_machines(const JobId& id) const {
  std::set<std::uint32_t> out;
  const auto it = on_.find(id);
  if (it == on_.end()) return out;
  for (const auto& [index, holders] : it->second) out.insert(index);
  return out;
}

std::size_t Rules::tasks_on_machines() const {
  std::size_t n = 0;
  for (const auto& [id, tasks] : on_) n += tasks.size();
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

void Rules::check_neglected(const JobId& id, bool so, Time now) {
  auto& w = jobs_.at(id);
  if (!so) return w.waiting_with_capacity_since.reset();
  if (!w.waiting_with_capacity_since) w.waiting_with_capacity_since = now;
  if (now - *w.waiting_with_capacity_since <= max_wait_with_capacity) return;
  report_violation("neglected " + id.value() + ": waits beside room", now);
  w.waiting_with_capacity_since = now;
}

void Rules::on_task_left(const TaskId& task, const MachineId& on) {
  const auto job = on_.find(task.job);
  if (job == on_.end()) return;
  const auto holders = job->second.find(task.index);
  if (holders == job->second.end() || holders->second.erase(on) == 0) return;
  const auto& spec = jobs_.at(task.job).spec;
  used_[spec.team].add(spec.need, -1);
  if (holders->second.empty()) job->second.erase(holders);
  if (job->second.empty()) on_.erase(job);
}

// Its own user, or that of a job that it awaits, directly or through others.
bool Rules::asked_to_cancel(const JobId& id) const {
  const auto& w = jobs_.at(id);
  return w.cancel_asked || std::ranges::any_of(w.spec.dependencies, [&](const JobId& a) { return asked_to_cancel(a); });
}

void Rules::on_phase_reported(const JobId& id, const std::string& phase, Ordinal sent, Time now) {
  auto& w = jobs_.at(id);
  w.last_answer_at = now;
  bool news = !w.accepted;
  const Ordinal heard = ++order_;
  if (!w.accepted) {
    w.accepted = now;
    w.acceptance_order = heard;
  }
  const bool was_done = w.reported_done && sent > w.end_order;
  const bool was_cancelled = w.reported_cancelled && sent > w.end_order;
  if (was_done && phase != "done") report_violation("went_back " + id.value() + ": done, then " + phase, now);
  if (was_cancelled && phase != "withdrawn")
    report_violation("went_back " + id.value() + ": withdrawn, then " + phase, now);
  if (phase == "done") {
    if (w.completed.size() != w.spec.tasks) report_violation("not_done " + id.value(), now);
    news = news || !w.reported_done;
    if (!w.reported_done) w.reported_done = now;
  }
  if (phase == "withdrawn") {
    if (!asked_to_cancel(id)) report_violation("went_back " + id.value() + ": cancelled by no one", now);
    news = news || !w.reported_cancelled;
    if (!w.reported_cancelled) w.reported_cancelled = now;
  }
  if (w.end_order == 0 && (w.reported_done || w.reported_cancelled)) w.end_order = heard;
  // An end is for good, whichever question was sent first.
  if (w.reported_done && w.reported_cancelled)
    report_violation("went_back " + id.value() + ": both done and withdrawn", now);
  if (news && on_news) on_news(id);
}

void Rules::on_permanent_refusal(const JobId& id, int status, Ordinal sent, Time now) {
  auto& w = jobs_.at(id);
  w.last_answer_at = now;
  if (w.accepted && sent > w.acceptance_order)
    report_violation("forgotten " + id.value() + ": " + std::to_string(status), now);
}

void Rules::on_unknown_job_known(const JobId& id, Time now) { report_violation("invented " + id.value(), now); }

void Rules::finish(Time now) {
  if (started_ == 0) report_violation("nothing_ran", now);
}

void Rules::tick(Time now) {
  for (const auto& [id, tasks] : on_) {
    const auto& w = jobs_.at(id);
    if (!w.reported_cancelled || now - *w.reported_cancelled <= seconds(timings_.cancel_s)) continue;
    for (const auto& [index, holders] : tasks) {
      for (const auto& [machine, zone] : holders) {
        report_violation("ran_cancelled " + to_string(TaskId{id, index}) + " on " + machine.value(), now);
      }
    }
  }
  if (!faults_over_since_) return;
  for (auto& [id, w] : jobs_) {
    const bool over = w.reported_done || w.reported_cancelled;
    if (over || !w.accepted) continue;
    const Time since = std::max(w.last_answer_at, *faults_over_since_);
    if (now - since > longest_unanswered) {
      report_violation("forgotten " + id.value() + ": no answer", now);
      w.last_answer_at = now;
    }
  }
}

}  // namespace martenwall::stand_ins
