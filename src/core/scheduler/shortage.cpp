// A shortage: which pending jobs can still be in time (load/triage.hpp), from the machines, the ranks and the limits.
#include <algorithm>
#include <limits>
#include <map>

#include "core/scheduler/scheduler.hpp"
#include "load/overload_admission.hpp"

namespace martenwall {

namespace {

constexpr double run_margin = 1.0;  // times the estimate
constexpr double deferred_for = 2;  // times the last of its times; after that a job is deferred no more

load::Amount amount(const Resources& r) {
  return {std::max(0.0, r.cpus), std::max(0.0, r.gpus), std::max(0.0, r.memory_gb)};
}

// The machines by kind, as one rank after another, from the highest, takes of them.
class Rooms {
 public:
  void add(const MachineType& type, const Machine& m) {
    const auto k = kind_of(kinds_, type, m.zone, m.spot);
    if (k >= rooms_.size()) rooms_.resize(k + 1);
    rooms_[k].left.add(type.room);
    for (const auto& p : m.placements) {
      if (p.occupies()) rooms_[k].used.at(static_cast<std::size_t>(p.priority)).add(p.need);
    }
  }

  [[nodiscard]] std::vector<char> allowed_for(const JobSpec& spec) const { return allowed_kinds(spec, kinds_); }
  [[nodiscard]] std::size_t kinds() const { return kinds_.size(); }

  // Lower ranks' work can be stopped, so it counts as free.
  [[nodiscard]] load::Pool pool(const std::vector<char>& allowed, Priority priority) const {
    Resources room;
    Resources free;
    for (std::size_t k = 0; k < rooms_.size(); ++k) {
      if (allowed[k] == 0) continue;
      room.add(rooms_[k].left);
      free.add(rooms_[k].left);
      free.add(rooms_[k].used.at(static_cast<std::size_t>(priority)), -1);
    }
    return {amount(free), amount(room)};
  }

  // Lower ranks are left what this one neither uses nor waits for.
  void take_used(Priority priority) {
    for (auto& r : rooms_) r.left.add(r.used.at(static_cast<std::size_t>(priority)), -1);
  }
  void take_wanted(const std::vector<char>& allowed, const Resources& wanted) {
    double gpus = 0;
    double cpus = 0;
    for (std::size_t k = 0; k < rooms_.size(); ++k) {
      if (allowed[k] == 0) continue;
      gpus += std::max(0.0, rooms_[k].left.gpus);
      cpus += std::max(0.0, rooms_[k].left.cpus);
    }
    for (std::size_t k = 0; k < rooms_.size(); ++k) {
      if (allowed[k] == 0) continue;
      const auto& left = rooms_[k].left;
      const double part = gpus > 0 ? std::max(0.0, left.gpus) / gpus : cpus > 0 ? std::max(0.0, left.cpus) / cpus : 0;
      rooms_[k].left.add(wanted, -part);
    }
  }

 private:
  struct Room {
    Resources left;                 // by the ranks looked at so far
    std::array<Resources, 4> used;  // by rank
  };
  std::vector<MachineKind> kinds_;
  std::vector<Room> rooms_;
};

// A limit of 0 binds nothing.
double unless_unlimited(double limit, double value) {
  if (limit > 0) return std::max(0.0, value);
  return std::numeric_limits<double>::infinity();
}

load::Pool pool_of(const Team& team, const Resources& used) {
  const auto& l = team.limit;
  return {{unless_unlimited(l.cpus, l.cpus - used.cpus), unless_unlimited(l.gpus, l.gpus - used.gpus),
           unless_unlimited(0, 0)},
          {unless_unlimited(l.cpus, l.cpus), unless_unlimited(l.gpus, l.gpus), unless_unlimited(0, 0)},
          true};
}

}  // namespace

// Seconds from now until its pending tasks must start for each time that the job should meet, tightest first.
std::vector<double> Scheduler::latest_starts(const PendingJob& pending, Time now) const {
  const auto& job = *pending.job;
  std::vector<double> out;
  if (const auto aims = options_.aims.by_class.find(job.spec.job_class); aims != options_.aims.by_class.end()) {
    for (const double within_s : aims->second) out.push_back(to_seconds(job.ready_at - now) + within_s);
  }
  if (job.effective_deadline) {
    std::vector<double> times{1.0};
    const auto aims = options_.aims.deadlines_by_class.find(job.spec.job_class);
    if (aims != options_.aims.deadlines_by_class.end()) times = aims->second;
    for (const double t : times) {
      out.push_back(to_seconds(job.submitted - now) + t * to_seconds(*job.effective_deadline - job.submitted) -
                    run_margin * pending.estimate_s);
    }
  }
  std::ranges::sort(out);
  return out;
}

// A last time that is asked for its class is past: to have started, or to be done.
bool Scheduler::misses_last_target(const Job& job, Time now) const {
  const auto past = [now](Time since, double within_s) { return to_seconds(now - since) > within_s; };
  const auto starts = options_.aims.by_class.find(job.spec.job_class);
  if (!job.start_counted && starts != options_.aims.by_class.end() &&
      past(job.ready_at, std::ranges::max(starts->second))) {
    return true;
  }
  if (!job.effective_deadline) return false;
  double longest = 1;
  const auto ends = options_.aims.deadlines_by_class.find(job.spec.job_class);
  if (ends != options_.aims.deadlines_by_class.end()) longest = std::ranges::max(ends->second);
  return past(job.submitted, longest * to_seconds(*job.effective_deadline - job.submitted));
}

void Scheduler::count_missed_targets(Time now) {
  for (auto& [id, job] : jobs_) {
    if (job.late_counted || job.residual || is_final(job.phase) || job.phase == JobPhase::waiting) continue;
    if (!misses_last_target(job, now)) continue;
    job.late_counted = true;
    service_record_.missed(job.spec.job_class, job.spec.team);
  }
}

// Rows that are expected to miss times which others of their rank can meet are marked as deferred.
void Scheduler::prioritize_in_shortage(PlacementProblem& problem, Time now) {
  if (problem.jobs.empty()) return;
  Rooms rooms;
  for (const auto& [id, m] : machines_) {
    const auto* type = type_of(m.type);
    if (type != nullptr && accepts_new_tasks(m, now)) rooms.add(*type, m);
  }
  std::vector<load::Pool> pools;
  std::vector<load::WorkRequest> requests;
  std::vector<PendingJob*> rows;
  std::map<std::string, std::size_t> team_pools;
  std::map<std::string, std::size_t> classes;
  QuotaUsage limits = quota_usage_;
  for (const auto priority : {Priority::production, Priority::high, Priority::normal, Priority::best_effort}) {
    std::map<std::vector<char>, std::size_t> kind_pools;
    const auto add_pool = [&](const std::vector<char>& allowed) {
      const auto [it, fresh] = kind_pools.try_emplace(allowed, pools.size());
      if (fresh) pools.push_back(rooms.pool(allowed, priority));
      return it->second;
    };
    const std::vector<char> all(rooms.kinds(), 1);
    std::vector<std::pair<std::vector<char>, Resources>> wanted;
    for (auto& pending : problem.jobs) {
      const auto& job = *pending.job;
      if (job.priority != priority || job.suspect) continue;
      load::WorkRequest request;
      const auto allowed = rooms.allowed_for(job.spec);
      request.job_class = classes.try_emplace(job.spec.job_class, classes.size()).first->second;
      request.pools.push_back(add_pool(all));
      if (allowed != all) request.pools.push_back(add_pool(allowed));
      if (const auto team = teams_.find(job.spec.team); team != teams_.end()) {
        const auto [it, fresh] = team_pools.try_emplace(team->first, pools.size());
        if (fresh) pools.push_back(pool_of(team->second, quota_usage_.used(team->first)));
        request.pools.push_back(it->second);
      }
      request.need = amount(job.spec.need.times(pending.count));
      request.run_s = pending.estimate_s;
      request.latest_start_s = latest_starts(pending, now);
      // No more than its team's limit lets it start: arrays of thousands of tasks in teams of hundreds of CPUs would
      // else leave the lower ranks nothing, and what these can do in time would be given up.
      const auto can_start = std::min(pending.count, limits.room_for(job.spec.team, job.spec.need));
      limits.add(job.spec.team, job.spec.need, can_start);
      wanted.emplace_back(allowed, job.spec.need.times(can_start));
      requests.push_back(std::move(request));
      rows.push_back(&pending);
    }
    rooms.take_used(priority);
    for (const auto& [allowed, need] : wanted) rooms.take_wanted(allowed, need);
  }
  const auto results = load::plan_admission(pools, requests, options_.policy.shortage_efficiency);
  // What a job is worth against its work: of its times, those that it can still meet. A job of which a few tasks are
  // left goes before one that has hardly begun, even where it is a little late already.
  std::vector<std::pair<double, PendingJob*>> by_worth;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto& times = requests[i].latest_start_s;
    const auto& v = results[i];
    const auto met = static_cast<double>(times.size() - v.first_met_target);
    // Where only a team's limit is short, its arrays without a deadline have times to meet as well, and none of them
    // can take a machine that others of higher rank then take back.
    const bool by_aims = !v.machines_short && rows[i]->job->spec.kind == JobKind::array && !times.empty();
    if (v.in_short_pool && met > 0 && (rows[i]->job->effective_deadline || by_aims))
      by_worth.emplace_back(-met / std::max(v.work_s, 1e-9), rows[i]);
    if (v.first_met_target == 0 || (met > 0 && rows[i]->job->effective_deadline)) continue;
    const double waited_s = to_seconds(now - rows[i]->job->ready_at);
    if (waited_s < deferred_for * (waited_s + times.back()))
      rows[i]->expected_misses = static_cast<double>(v.first_met_target);
  }
  std::ranges::stable_sort(by_worth, {}, &std::pair<double, PendingJob*>::first);
  const auto n = static_cast<double>(by_worth.size());
  for (std::size_t i = 0; i < by_worth.size(); ++i) by_worth[i].second->shortage_order = 1 - static_cast<double>(i) / n;
}

}  // namespace martenwall
