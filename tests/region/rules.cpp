#include "rules.hpp"

#include <algorithm>

namespace martenwall::region {

namespace {
constexpr Duration longest_unanswered = seconds(75);
constexpr std::size_t most_breaches = 8;
}  // namespace

Work& Rules::add(JobSpec spec, double run_s, Time now) {
  const JobId id = spec.id;
  auto& w = works_[id];
  w.spec = std::move(spec);
  w.run_s = run_s;
  w.submitted = w.answered = now;
  return w;
}

const Work* Rules::find(const JobId& id) const {
  const auto it = works_.find(id);
  return it == works_.end() ? nullptr : &it->second;
}

void Rules::breach(const std::string& what, Time now) {
  if (breaches_.size() < most_breaches) {
    breaches_.push_back(std::to_string(to_seconds(now.time_since_epoch())) + " " + what);
  }
}

void Rules::starts(const TaskId& task, const MachineId& on, const std::string& zone, bool spot, Time now) {
  ++started_;
  const auto& w = works_.at(task.job);
  if (spot && !w.spec.spot) breach("wrong_place: spot " + to_string(task), now);
  if (w.spec.zone && *w.spec.zone != zone) breach("wrong_place: zone " + to_string(task), now);
  for (const auto& id : w.spec.awaits) {
    if (works_.at(id).completed.size() != works_.at(id).spec.tasks) breach("too early " + to_string(task), now);
  }
  for (const auto& [o, at] : on_) {
    if (o.task.job != task.job) continue;
    if (o.task == task) breach("ran_twice " + to_string(task) + " on " + o.machine.value() + " and " + on.value(), now);
    if (w.spec.one_zone && at != zone) breach("wrong_place: two zones " + to_string(task), now);
  }
  on_.emplace(On{task, on}, zone);
  for (const auto& team : teams_) {
    double gpus = 0;
    for (const auto& [o, at] : on_) {
      const auto& spec = works_.at(o.task.job).spec;
      if (spec.team == team.name) gpus += spec.need.gpus;
    }
    if (gpus > team.limit.gpus + 1e-6) breach("quota " + team.name, now);
  }
}

void Rules::leaves(const TaskId& task, const MachineId& on) { on_.erase(On{task, on}); }

// Its own user, or that of a job that it awaits, directly or through others.
bool Rules::asked_to_cancel(const JobId& id) const {
  const auto& w = works_.at(id);
  return w.cancel_asked || std::ranges::any_of(w.spec.awaits, [&](const JobId& a) { return asked_to_cancel(a); });
}

void Rules::told(const JobId& id, const std::string& phase, Time sent, Time now) {
  auto& w = works_.at(id);
  w.answered = now;
  if (!w.accepted) w.accepted = now;
  const bool was_done = w.told_done && sent >= *w.told_done;
  const bool was_cancelled = w.told_cancelled && sent >= *w.told_cancelled;
  if (was_done && phase != "done") breach("went_back " + id.value() + ": done, then " + phase, now);
  if (was_cancelled && phase != "withdrawn") breach("went_back " + id.value() + ": withdrawn, then " + phase, now);
  if (phase == "done") {
    if (w.completed.size() != w.spec.tasks) breach("not_done " + id.value(), now);
    if (!w.told_done) w.told_done = now;
  }
  if (phase == "withdrawn") {
    if (!asked_to_cancel(id)) breach("went_back " + id.value() + ": cancelled by no one", now);
    if (!w.told_cancelled) w.told_cancelled = now;
  }
}

void Rules::refused_forever(const JobId& id, int status, Time sent, Time now) {
  auto& w = works_.at(id);
  w.answered = now;
  if (w.accepted && sent >= *w.accepted) breach("forgotten " + id.value() + ": " + std::to_string(status), now);
}

void Rules::tick(Time now) {
  for (const auto& [o, zone] : on_) {
    const auto& w = works_.at(o.task.job);
    if (w.told_cancelled && now - *w.told_cancelled > seconds(terms_.cancel_s)) {
      breach("ran_cancelled " + to_string(o.task) + " on " + o.machine.value(), now);
    }
  }
  if (!calm_since_) return;
  for (auto& [id, w] : works_) {
    const bool over = w.told_done || w.told_cancelled;
    if (over || !w.accepted) continue;
    const Time since = std::max(w.answered, *calm_since_);
    if (now - since > longest_unanswered) {
      breach("forgotten " + id.value() + ": no answer", now);
      w.answered = now;
    }
  }
}

}  // namespace martenwall::region
