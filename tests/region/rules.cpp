#include "rules.hpp"

#include <algorithm>

namespace martenwall::region {

namespace {
constexpr Duration longest_unanswered = seconds(75);
constexpr Duration longest_beside_room = seconds(90);
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

// Given the job's other tasks at this moment.
void Rules::check_place(const TaskId& task, const std::string& zone, bool spot, Time now) {
  const auto& spec = works_.at(task.job).spec;
  const auto wrong = [&](const char* what) {
    breach(std::string{"wrong_place: "} + what + " " + to_string(task), now);
  };
  if (spot && !spec.spot) wrong("spot");
  if (spec.zone && *spec.zone != zone) wrong("zone");
  if (spec.types && std::ranges::find(*spec.types, "big") == spec.types->end()) wrong("type");
  std::uint32_t in_zone = 1;
  for (const auto& [o, at] : on_) {
    if (o.task.job != task.job) continue;
    if (spec.one_zone && at != zone) wrong("two zones");
    if (at == zone && o.task != task) ++in_zone;
  }
  if (spec.spread && in_zone > (spec.tasks + 1) / 2) wrong("more than half in one zone");
}

Resources Rules::used_by(const std::string& team) const {
  Resources used;
  for (const auto& [o, at] : on_) {
    const auto& spec = works_.at(o.task.job).spec;
    if (spec.team == team) used.add(spec.need);
  }
  return used;
}

// A limit of 0 is none.
void Rules::check_limits(Time now) {
  for (const auto& team : teams_) {
    const auto used = used_by(team.name);
    const bool gpus = team.limit.gpus > 0 && used.gpus > team.limit.gpus + 1e-6;
    const bool cpus = team.limit.cpus > 0 && used.cpus > team.limit.cpus + 1e-6;
    if (gpus || cpus) breach("quota " + team.name, now);
  }
}

void Rules::starts(const TaskId& task, const MachineId& on, const std::string& zone, bool spot, Time now) {
  ++started_;
  const auto& w = works_.at(task.job);
  if (w.told_cancelled) ++started_after_cancel_;
  for (const auto& id : w.spec.awaits) {
    if (works_.at(id).completed.size() != works_.at(id).spec.tasks) breach("too early " + to_string(task), now);
  }
  for (const auto& [o, at] : on_) {
    if (o.task == task) breach("ran_twice " + to_string(task) + " on " + o.machine.value() + " and " + on.value(), now);
  }
  check_place(task, zone, spot, now);
  on_.emplace(On{task, on}, zone);
  check_limits(now);
}

void Rules::completes(const TaskId& task) {
  auto& w = works_.at(task.job);
  const bool fresh = w.completed.insert(task.index).second;
  if (fresh && w.completed.size() == w.spec.tasks && on_complete) on_complete(task.job);
}

std::set<std::uint32_t> Rules::on_machines(const JobId& id) const {
  std::set<std::uint32_t> out;
  for (const auto& [o, at] : on_) {
    if (o.task.job == id) out.insert(o.task.index);
  }
  return out;
}

bool Rules::within_limit(const JobId& id, std::uint32_t more_tasks) const {
  const auto& spec = works_.at(id).spec;
  const auto team = std::ranges::find(teams_, spec.team, &Team::name);
  if (team == teams_.end()) return false;
  auto used = used_by(spec.team);
  used.add(spec.need, more_tasks);
  return (team->limit.gpus <= 0 || used.gpus <= team->limit.gpus + 1e-6) &&
         (team->limit.cpus <= 0 || used.cpus <= team->limit.cpus + 1e-6);
}

void Rules::waits_beside_room(const JobId& id, bool so, Time now) {
  auto& w = works_.at(id);
  if (!so) return w.beside_room.reset();
  if (!w.beside_room) w.beside_room = now;
  if (now - *w.beside_room <= longest_beside_room) return;
  breach("neglected " + id.value() + ": waits beside room", now);
  w.beside_room = now;
}

void Rules::leaves(const TaskId& task, const MachineId& on) { on_.erase(On{task, on}); }

// Its own user, or that of a job that it awaits, directly or through others.
bool Rules::asked_to_cancel(const JobId& id) const {
  const auto& w = works_.at(id);
  return w.cancel_asked || std::ranges::any_of(w.spec.awaits, [&](const JobId& a) { return asked_to_cancel(a); });
}

void Rules::told(const JobId& id, const std::string& phase, Ordinal sent, Time now) {
  auto& w = works_.at(id);
  w.answered = now;
  bool news = !w.accepted;
  const Ordinal heard = ++order_;
  if (!w.accepted) {
    w.accepted = now;
    w.heard_accepted = heard;
  }
  const bool was_done = w.told_done && sent > w.heard_end;
  const bool was_cancelled = w.told_cancelled && sent > w.heard_end;
  if (was_done && phase != "done") breach("went_back " + id.value() + ": done, then " + phase, now);
  if (was_cancelled && phase != "withdrawn") breach("went_back " + id.value() + ": withdrawn, then " + phase, now);
  if (phase == "done") {
    if (w.completed.size() != w.spec.tasks) breach("not_done " + id.value(), now);
    news = news || !w.told_done;
    if (!w.told_done) w.told_done = now;
  }
  if (phase == "withdrawn") {
    if (!asked_to_cancel(id)) breach("went_back " + id.value() + ": cancelled by no one", now);
    news = news || !w.told_cancelled;
    if (!w.told_cancelled) w.told_cancelled = now;
  }
  if (w.heard_end == 0 && (w.told_done || w.told_cancelled)) w.heard_end = heard;
  // An end is for good, whichever question was sent first.
  if (w.told_done && w.told_cancelled) breach("went_back " + id.value() + ": both done and withdrawn", now);
  if (news && on_news) on_news(id);
}

void Rules::refused_forever(const JobId& id, int status, Ordinal sent, Time now) {
  auto& w = works_.at(id);
  w.answered = now;
  if (w.accepted && sent > w.heard_accepted) breach("forgotten " + id.value() + ": " + std::to_string(status), now);
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
