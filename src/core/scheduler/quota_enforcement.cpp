// Limits that change while work runs: what a team has on machines beyond its limit is brought down.
#include <algorithm>
#include <utility>

#include "core/scheduler/scheduler.hpp"

namespace martenwall {

namespace {

constexpr double slack = 1e-6;

// A limit of 0 binds nothing. A team that is not configured may use nothing.
bool over(const Team* team, const Resources& used) {
  if (team == nullptr) return used.cpus > slack || used.gpus > slack;
  const auto beyond = [](double limit, double n) { return limit > 0 && n > limit + slack; };
  return beyond(team->limit.cpus, used.cpus) || beyond(team->limit.gpus, used.gpus);
}

// What goes first: what does not run yet, then lower ranks, then what was placed last.
bool goes_before(const Placement& a, const Placement& b) {
  const bool a_runs = a.running_since != Time{};
  const bool b_runs = b.running_since != Time{};
  if (a_runs != b_runs) return b_runs;
  if (a.priority != b.priority) return a.priority < b.priority;
  if (a.placed_at != b.placed_at) return a.placed_at > b.placed_at;
  return a.task < b.task;
}

}  // namespace

const Team* Scheduler::team_of(const std::string& name) const {
  const auto it = teams_.find(name);
  return it == teams_.end() ? nullptr : &it->second;
}

void Scheduler::configure(const std::vector<Team>& teams, const Policy& policy) {
  teams_.clear();
  for (const auto& t : teams) teams_[t.name] = t;
  options_.policy = policy;
  options_.limits_change = true;
  for (auto& [id, job] : jobs_) job.limit_logged = false;
  needs_cycle_ = true;
}

void Scheduler::enforce_limits(Time now) {
  if (!options_.limits_change) return;
  std::vector<std::string> teams;
  for (const auto& [name, used] : quota_usage_.all()) {
    if (over(team_of(name), used)) teams.push_back(name);
  }
  for (const auto& name : teams) enforce_limit(name, now);
}

void Scheduler::enforce_limit(const std::string& team, Time now) {
  Resources left = quota_usage_.used(team);  // once all that is being stopped has gone
  std::vector<std::pair<Machine*, Placement*>> candidates;
  for (auto& [id, m] : machines_) {
    for (auto& p : m.placements) {
      if (!p.occupies() || p.team != team) continue;
      if (p.stop_requested) {
        left.add(p.need, -1);
      } else {
        candidates.emplace_back(&m, &p);
      }
    }
  }
  std::ranges::sort(candidates, [](const auto& a, const auto& b) { return goes_before(*a.second, *b.second); });
  std::set<MachineId> changed;
  for (const auto& [m, p] : candidates) {
    if (!over(team_of(team), left)) break;
    if (p->stop_requested) continue;  // with the rest of its gang
    const auto it = jobs_.find(p->task.job);
    const bool gang = it != jobs_.end() && it->second.spec.kind == JobKind::gang;
    left.add(p->need, gang ? -static_cast<double>(it->second.placed.size()) : -1);
    if (gang) {
      for (const auto& [index, machine] : it->second.placed) changed.insert(machine);
      stop_gracefully(it->second, now, "its team is beyond its limit");
    } else {
      const double grace =
          it != jobs_.end() && it->second.spec.checkpoint_interval_s > 0 ? it->second.spec.checkpoint_duration_s : 0;
      request_stop(*m, *p, grace, now, "its team is beyond its limit");
      changed.insert(m->id);
    }
  }
  for (const auto& id : changed) erase_removed(machines_.at(id));
}

// Why nothing of a job can start, where that lies with its team; else nothing.
std::string Scheduler::pending_reason(const Job& job) const {
  if (is_final(job.phase)) return {};
  const Team* team = team_of(job.spec.team);
  if (team == nullptr) return "team " + job.spec.team + " is not configured";
  const auto need = job.spec.need.times(job.spec.kind == JobKind::array ? 1 : job.spec.tasks);
  if (over(team, need)) return "needs more than the limit of team " + job.spec.team;
  return {};
}

}  // namespace martenwall
