// One round of the scheduler: matrix, matching, preemption, fleet.
#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <unordered_map>
#include <utility>

#include "core/placement/matcher.hpp"
#include "core/scheduler/scheduler.hpp"

namespace martenwall {

namespace {

constexpr std::size_t max_cells = 200'000;  // of the matrix: rows beyond wait for the next round
constexpr std::size_t min_rows = 100;
constexpr std::uint32_t max_window = 4000;   // indices between an array's lowest unfinished task and its last started
constexpr std::size_t max_preemptions = 24;  // per round
constexpr std::size_t max_preemption_tries = 48;
constexpr std::size_t max_machines_tried =
    150'000;  // machines looked at in all tries of a round; others wait for the next
constexpr Duration preemption_retry = seconds(0.2);
constexpr Duration capacity_plan_interval = seconds(0.5);
constexpr double min_preemption_s = 4;             // saving, stopping and starting anew take at least so long
constexpr Duration begin_patience = seconds(120);  // half of the time within which the largest jobs too are to begin
constexpr double late_boot = 1.8;  // times the nominal boot time after which a machine is not counted on

bool before(const PendingJob& a, const PendingJob& b) {
  if (a.job->suspect != b.job->suspect) return b.job->suspect;
  if (a.job->priority != b.job->priority) return a.job->priority > b.job->priority;
  if (a.expected_misses != b.expected_misses) return a.expected_misses < b.expected_misses;
  if (a.within_guarantee != b.within_guarantee) return a.within_guarantee;
  return a.job->ready_at < b.job->ready_at;
}

}  // namespace

double Scheduler::estimated_run_time_s(const Job& job) const {
  const auto it = run_time_ratio_.find(job.spec.job_class);
  return job.spec.estimate_s * (it == run_time_ratio_.end() ? 1.0 : it->second);
}

std::set<JobId> Scheduler::jobs_within_guarantee() const {
  std::map<std::string, std::vector<const Job*>> by_team;
  for (const auto& [id, job] : jobs_) {
    if (!is_final(job.phase) && job.phase != JobPhase::waiting) by_team[job.spec.team].push_back(&job);
  }
  std::set<JobId> out;
  for (auto& [name, list] : by_team) {
    const auto team = teams_.find(name);
    if (team == teams_.end()) continue;
    const auto& g = team->second.guarantee;
    if (g.cpus <= 0 && g.gpus <= 0) continue;
    std::ranges::stable_sort(list, {}, &Job::ready_at);
    Resources sum;
    for (const auto* job : list) {
      sum.add(job->spec.need, job->unfinished());
      if ((g.cpus > 0 && sum.cpus > g.cpus + 1e-6) || (g.gpus > 0 && sum.gpus > g.gpus + 1e-6)) break;
      out.insert(job->spec.id);
    }
  }
  return out;
}

// A task that has its image waits `gang_wait_s` for the others and gives up: where the fetch takes longer, some with
// the image and some without never start, and take the fetch down with them. After a long wait for room of one
// kind it is tried all the same, since fetches differ.
bool Scheduler::needs_uniform_image(const Job& job, Time now) const {
  constexpr double slow_fetch = 1.33;  // PROTOCOL: give or take a third
  if (job.spec.kind != JobKind::gang || job.spec.tasks < 2) return false;
  double fetch_s = 0;
  for (const auto& type : types_) {
    if (type_allows(job.spec, type) && type.fetch_gb_per_s > 0) {
      fetch_s = std::max(fetch_s, job.spec.image_gb / type.fetch_gb_per_s);
    }
  }
  const double wait_s = options_.terms.gang_wait_s;
  return fetch_s * slow_fetch > wait_s && now - job.waiting_since < seconds(2 * wait_s);
}

// Guests' work that may use spot machines leaves the ordinary ones to those who may not: there it would be stopped
// for the next gang, and cost three times as much. Not for ever: where spot machines do not come it may use any.
bool Scheduler::is_restricted_to_spot(const Job& job, bool any_spot, Time now) const {
  if (!job.spec.spot || write_priority_of(job) != WritePriority::best_effort) return false;
  return now - job.ready_at < (any_spot ? options_.policy.best_effort_spot_patience
                                        : options_.policy.best_effort_spot_patience_without_spot);
}

void Scheduler::add_pending_jobs(PlacementProblem& problem, Time now) {
  problem.guaranteed = jobs_within_guarantee();
  const bool any_spot = std::ranges::any_of(machines_, [](const auto& m) { return m.second.spot; });
  for (auto& [id, job] : jobs_) {
    if (is_final(job.phase) || job.phase == JobPhase::waiting || now < job.not_before) continue;
    std::uint32_t count = job.pending_tasks();
    if (job.spec.kind == JobKind::gang && (!job.placed.empty() || count < job.spec.tasks)) continue;
    const auto first = job.done.lowest_unfinished();
    if (job.next_unstarted > first + max_window) count = static_cast<std::uint32_t>(job.requeued.size());
    if (count == 0) continue;
    count = job.spec.kind == JobKind::gang ? count : std::min(count, max_window);
    if (job.suspect) {
      if (!may_probe(job, now)) continue;
      if (job.suspect && job.spec.kind != JobKind::gang) count = 1;
    }
    problem.jobs.push_back({&job, count, problem.guaranteed.contains(id), estimated_run_time_s(job),
                            needs_uniform_image(job, now), is_restricted_to_spot(job, any_spot, now)});
  }
  if (options_.policy.shortage_weight > 0) prioritize_in_shortage(problem, now);
  if (options_.policy.begin_weight > 0) {
    for (auto& pending : problem.jobs) boost_first_task(pending, now);
  }
  std::ranges::stable_sort(problem.jobs, before);
}

// One task of each array, so that it costs the others next to nothing.
void Scheduler::boost_first_task(PendingJob& pending, Time now) const {
  const auto& job = *pending.job;
  const bool began = job.next_attempt > 1 || job.spec.kind == JobKind::gang || job.suspect || pending.spot_only;
  if (began || now - job.ready_at < begin_patience) return;
  pending.begin_overdue = true;
  pending.count = 1;
  pending.expected_misses = 0;
}

bool Scheduler::accepts_new_tasks(const Machine& m, Time now) const {
  if (!m.takes_starts() || !m.downlink.is_reachable() || m.quarantined || m.reclaimed_at || now < m.no_starts_before)
    return false;
  // A silent machine may be dead: nothing new goes there until it speaks.
  return now - m.last_report_at <= seconds(options_.terms.heartbeat_interval_s * 2.2);
}

PlacementProblem Scheduler::build_problem(Time now) {
  PlacementProblem problem{now, options_.policy, {}, {}};
  problem.idle_granularity_s = options_.terms.heartbeat_interval_s;
  add_pending_jobs(problem, now);
  // A machine without room for even the smallest need costs nothing further.
  Resources least{1e18, 1e18, 1e18};
  for (const auto& pending : problem.jobs) least = least.least(pending.job->spec.need);
  for (auto& [id, m] : machines_) {
    if (m.reserved_for && (now >= m.reserved_until || !jobs_.contains(*m.reserved_for))) m.reserved_for.reset();
    if (!accepts_new_tasks(m, now) || m.placements.size() >= options_.max_tasks_per_machine) continue;
    const auto* type = type_of(m.type);
    if (type == nullptr) continue;
    Resources free = type->room;
    free.add(m.used, -1);
    if (!least.fits_in(free)) continue;
    problem.add({&m, type, free, options_.max_tasks_per_machine - m.placements.size(), Priority::best_effort});
  }
  const auto rows = std::max(min_rows, max_cells / std::max<std::size_t>(1, problem.machines.size()));
  // The others' turn comes in the next round.
  needs_cycle_ = problem.jobs.size() > rows;
  if (needs_cycle_) problem.jobs.resize(rows);
  return problem;
}

void Scheduler::place(const PlacementProblem& problem, const PendingJob& pending,
                      const std::vector<std::size_t>& columns, Time now) {
  Job& job = *pending.job;
  const bool gang = job.spec.kind == JobKind::gang;
  if (gang) ++job.next_attempt;
  for (const auto c : columns) {
    Machine& m = *problem.machines[c].machine;
    const auto index = job.next_pending();
    if (!index) return;
    if (!gang) ++job.next_attempt;
    Placement p{TaskId{job.spec.id, *index}, Attempt{job.next_attempt - 1}, Generation{0}, now};
    p.team = job.spec.team;
    p.need = job.spec.need;
    p.priority = job.priority;
    const bool cached = m.has_image(job.image);
    ++task_counts_.placed;
    if (options_.log_tasks) {
      log_("task " + to_string(p.task) + " attempt " + std::to_string(p.attempt.value()) + " placed on " +
           m.id.value() + (cached ? " (image there)" : " (image to fetch)") + ", " +
           std::to_string(to_seconds(now - job.waiting_since)) + " s waited");
    }
    p.generation = mark_dirty(job, *index, Duration{0}, now);
    add(m, std::move(p));
    job.take(*index, m.id);
    m.touch_image(job.image, job.spec.image_gb, problem.machines[c].type->cache_gb, false);
    if (m.reserved_for == job.spec.id) m.reserved_for.reset();
  }
  if (!job.start_counted && job.pending_tasks() == 0) {
    job.start_counted = true;
    service_record_.started(job.spec.job_class, job.spec.team, to_seconds(now - job.ready_at));
  }
}

void Scheduler::run_cycle(Time now) {
  expire(now);
  evaluate_machines(now);
  enforce_limits(now);
  if (types_.empty()) return;
  auto problem = build_problem(now);
  cycle_size_ = {problem.jobs.size(), problem.machines.size(), 0};
  reserve_for_gangs(problem, quota_usage_);
  if (options_.policy.reserve_limit_headroom) reserve_limit_headroom(problem, quota_usage_, types_);
  auto matrix = build_scores(problem);
  auto used = quota_usage_;
  Matcher matcher{problem, matrix, used, machines_};
  for (const auto& match : matcher.run()) place(problem, problem.jobs[match.row], match.columns, now);
  // Stops first: what they make room for needs no further machine. What the fleet had on its way when it was last
  // planned tells whether stopping others is worth it.
  preempt(problem, now);
  if (now >= next_capacity_plan_) {
    next_capacity_plan_ = now + capacity_plan_interval;
    plan_scale_out(problem, used, now);
    plan_scale_in(now);
  }
  record_fleet_demand(problem, now);
}

// When the job could start without stopping anything; nothing where no room is coming.
std::optional<Time> Scheduler::capacity_expected(const Job& job, Time now) const {
  if (!job.capacity_expected_at) return std::nullopt;
  double fetch_s = 0;
  for (const auto& type : types_) {
    if (type_allows(job.spec, type) && type.fetch_gb_per_s > 0) fetch_s = job.spec.image_gb / type.fetch_gb_per_s;
  }
  return std::max(now, *job.capacity_expected_at) + seconds(fetch_s);
}

// Stopping others is worth its cost where it meets an aim that waiting misses, or where no room is coming.
bool Scheduler::should_wait_for_capacity(const PendingJob& pending, Time now) const {
  const auto& job = *pending.job;
  const auto expected = capacity_expected(job, now);
  if (!expected) return false;
  const auto job_class = options_.aims.by_class.find(job.spec.job_class);
  if (job_class == options_.aims.by_class.end() && !pending.within_guarantee) return false;
  std::vector<double> bounds = job_class == options_.aims.by_class.end() ? std::vector<double>{} : job_class->second;
  if (pending.within_guarantee && options_.aims.guarantee_s > 0) bounds.push_back(options_.aims.guarantee_s);
  const Time soonest = now + seconds(min_preemption_s);
  return std::ranges::none_of(bounds, [&](double within_s) {
    const Time due = job.ready_at + seconds(within_s);
    return soonest <= due && *expected > due;
  });
}

VictimTable Scheduler::preemption_candidates(const PlacementProblem& problem, Time now) {
  VictimTable table;
  std::map<std::string, bool> over;
  for (const auto& [name, team] : teams_) over[name] = quota_usage_.over_guarantee(name);
  // Many placements are of few jobs: each is looked up once.
  struct Known {
    const Job* job = nullptr;
    bool guaranteed = false;
  };
  std::unordered_map<JobId, Known> known;
  for (auto& [id, m] : machines_) {
    const auto* type = type_of(m.type);
    if (type == nullptr || !accepts_new_tasks(m, now)) continue;
    VictimMachine v{&m, type, type->room, {}};
    v.room.add(m.used, -1);
    for (const auto& p : m.placements) {
      if (!p.occupies()) continue;
      if (p.stop_requested) {
        v.room.add(p.need);  // room that is being freed already comes without another victim
        continue;
      }
      const auto [it, fresh] = known.try_emplace(p.task.job);
      if (fresh) it->second = {find_job(p.task.job), problem.guaranteed.contains(p.task.job)};
      const auto& [job, guaranteed] = it->second;
      v.victims.push_back(
          {&p, job, guaranteed, over[p.team],
           lost_work_s(options_.policy, job != nullptr && !job->residual ? &job->spec : nullptr, *type, p, now)});
    }
    std::ranges::stable_sort(v.victims, {}, &Victim::lost);
    table.push_back(std::move(v));
  }
  return table;
}

void Scheduler::preempt(PlacementProblem& problem, Time now) {
  std::erase_if(preempting_for_, [&](const auto& e) { return e.second <= now; });
  std::optional<VictimTable> table;
  std::size_t budget = max_preemptions;
  std::size_t tries = max_preemption_tries;
  for (auto& pending : problem.jobs) {
    const auto& spec = pending.job->spec;
    if (budget == 0 || tries == 0) return;
    // The lowest rank has nothing below it; only a guarantee lets it stop others.
    if (pending.count == 0 || (pending.job->priority == Priority::best_effort && !pending.within_guarantee)) continue;
    if (pending.job->suspect) continue;  // it takes what is free
    if (now < pending.job->preempt_after || preempting_for_.contains(spec.id) || should_wait_for_capacity(pending, now))
      continue;
    const auto room = quota_usage_.room_for(spec.team, spec.need);
    const std::uint32_t wanted = spec.kind == JobKind::gang ? spec.tasks : std::min(pending.count, room);
    if (wanted == 0 || room < wanted) continue;
    if (!table) {
      table = preemption_candidates(problem, now);
      for (const auto& m : *table) cycle_size_.preemption_candidates += m.victims.size();
      tries = std::min(tries, std::max<std::size_t>(4, max_machines_tried / std::max<std::size_t>(1, table->size())));
    }
    --tries;
    const auto there = spec.one_zone || spec.spread ? zones_of(*pending.job, machines_) : ZoneCounts{};
    const auto plan = plan_preemption(*table, pending, wanted, there);
    if (!plan) {
      pending.job->preempt_after = now + preemption_retry;
      continue;
    }
    --budget;
    apply_preemption(*plan, pending, now);
  }
}

void Scheduler::apply_preemption(const PreemptionPlan& e, PendingJob& pending, Time now) {
  const auto& id = pending.job->spec.id;
  double longest_save = 0;
  for (const auto& [machine, task] : e.victims) {
    const auto victim = jobs_.find(task.job);
    if (victim == jobs_.end()) continue;
    const auto& spec = victim->second.spec;
    const double grace = grace_s(options_.policy, spec);
    longest_save = std::max(longest_save, grace);
    const std::string why = "room for " + id.value();
    // A gang is stopped whole and in order; of an array, only the chosen task.
    if (spec.kind == JobKind::gang) {
      stop_gracefully(victim->second, now, why.c_str());
      continue;
    }
    auto& m = machines_.at(machine);
    for (auto& p : m.placements) {
      if (p.occupies() && p.task == task) request_stop(m, p, grace, now, why.c_str());
    }
  }
  const Time until = now + seconds(longest_save + 8);
  // Not swept here: the table of victims points at the placements until the end of the round.
  for (auto* m : e.machines) {
    m->reserved_for = id;
    m->reserved_until = until;
  }
  preempting_for_[id] = until;
}

std::vector<CapacityForecast> Scheduler::forecast_capacity(const PlacementProblem& problem, Time now) const {
  std::vector<CapacityForecast> out;
  for (const auto& candidate : problem.machines) {
    const auto& m = *candidate.machine;
    // Machines without GPUs have room too.
    if (!m.reserved_for && (candidate.type->room.gpus > 0 ? candidate.free.gpus : candidate.free.cpus) > 0)
      out.push_back(
          {candidate.type, m.zone, m.spot, candidate.free, now, false, m.empty() ? candidate.machine : nullptr});
  }
  for (const auto& [id, m] : machines_) {
    const auto* type = type_of(m.type);
    if (type == nullptr || m.phase() != MachinePhase::booting) continue;
    // One that takes much longer than its kind does may never come: plan without it.
    if (now - m.first_known > seconds(type->boot_s * late_boot)) continue;
    const Time up = std::max(now + seconds(2), m.first_known + seconds(type->boot_s * usual_boot));
    out.push_back({type, m.zone, m.spot, type->room, up, false});
  }
  for (const auto& [name, request] : pending_scale_outs_) {
    const auto* type = type_of(request.type);
    if (type == nullptr) continue;
    const Time up = now + seconds(type->boot_s * usual_boot);
    out.insert(out.end(), request.count, {type, request.zone, request.spot, type->room, up, false});
  }
  return out;
}

std::vector<Demand> Scheduler::unmet_demand(PlacementProblem& problem, QuotaUsage& used) {
  std::vector<Demand> out;
  const bool any_machine = std::ranges::any_of(machines_, [](const auto& m) {
    return m.second.phase() == MachinePhase::up || m.second.phase() == MachinePhase::booting;
  });
  for (const auto& pending : problem.jobs) {
    const auto& spec = pending.job->spec;
    if (pending.count == 0 || preempting_for_.contains(spec.id)) continue;
    // Nothing is hired for a job that most likely fails again, unless there is nothing to try it on.
    if (pending.job->suspect && any_machine) continue;
    const auto left = std::min(pending.count, used.room_for(spec.team, spec.need));
    if (left == 0 && !std::exchange(pending.job->limit_logged, true)) {
      log_("job " + spec.id.value() + " waits: team " + spec.team + " is at its limit");
    }
    if (left == 0 || (spec.kind == JobKind::gang && left < spec.tasks)) continue;
    used.add(spec.team, spec.need, left);
    auto zones = spec.one_zone || spec.spread ? zones_of(*pending.job, machines_) : ZoneCounts{};
    std::string bound = spec.one_zone && !zones.empty() ? zones.begin()->first : std::string{};
    out.push_back({&spec, pending.job, left, std::move(bound), pending.spot_only, std::move(zones)});
  }
  return out;
}

void Scheduler::plan_scale_out(PlacementProblem& problem, QuotaUsage& used, Time now) {
  const auto demands = unmet_demand(problem, used);
  if (demands.empty()) return;
  FleetView view{now, options_.policy, types_, capacity_, {}, forecast_capacity(problem, now)};
  for (const auto& [id, m] : machines_) ++view.per_zone[m.zone];
  for (auto& request : pack_scale_out_requests(view, demands)) {
    // The cloud takes a few calls a second. A long line is answered when others want the machines, and half of it is
    // refused where its head was: what is not asked for now is planned again with what is known then.
    if (pending_scale_outs_.size() >= options_.max_pending_scale_outs) break;
    request.name = "hire-" + std::to_string(options_.token.value()) + "-" + std::to_string(++scale_out_serial_);
    log_("hire " + request.name + ": " + std::to_string(request.count) + " " + request.type + " in " + request.zone +
         (request.spot ? ", spot" : ""));
    pending_scale_outs_.emplace(request.name, request);
    scale_out_requests_.push_back(std::move(request));
  }
}

void Scheduler::plan_scale_in(Time now) {
  std::vector<Machine*> idle;
  const auto few_unreachable = [&] {
    const auto unreachable =
        std::ranges::count_if(machines_, [](const auto& m) { return m.second.downlink.is_unreachable(); });
    return static_cast<std::size_t>(unreachable) * 4 <= machines_.size();
  };
  for (auto& [id, m] : machines_) {
    const auto* type = type_of(m.type);
    const double boot = type != nullptr ? type->boot_s : 60;
    const auto phase = m.phase();
    const bool never_came =
        phase == MachinePhase::booting && now - m.first_known > seconds(boot * options_.policy.boot_patience);
    const bool drained = phase == MachinePhase::draining && m.empty();
    // Silent for longer than its lease, it may be cut off or hang, and comes back with its images sooner than another
    // boots; one that is dead is listed as failed by then and goes at once (on_list). Machines of a zone that was cut
    // off for 56 s were returned 26 s before it healed.
    const bool dead = phase == MachinePhase::lost && now - m.phase_since > options_.policy.lost_patience;
    // One that hears nothing is of no use, and costs as much as another; but where many are deaf the fault is
    // elsewhere.
    const bool unreachable = phase == MachinePhase::up && m.downlink.is_unreachable() && m.empty() &&
                             now - m.downlink.since() > options_.policy.lost_patience && few_unreachable();
    if (never_came || drained || dead || unreachable) {
      log_("machine " + id.value() + " to be released: " + (unreachable ? "deaf" : std::string{name_of(phase)}));
      m.enter(MachinePhase::releasing, now);
    } else if (phase == MachinePhase::up && m.has_reported && m.downlink.is_reachable() && m.empty() &&
               !m.reserved_for) {
      idle.push_back(&m);
    }
  }
  release_idle(std::move(idle), now);
}

// Nothing was submitted for much longer than usual: where jobs come each half second, ten seconds tell as much as
// minutes do elsewhere.
bool Scheduler::quiet(Time now) const {
  constexpr double usual_gaps = 15;
  const auto usual = seconds(5 + usual_gaps * submission_gap_);
  return now - last_submission_ > std::min(options_.policy.quiet_after, usual);
}

// Beyond what the load may grow by while a machine boots, idle machines cost more than they can save.
void Scheduler::release_idle(std::vector<Machine*> idle, Time now) {
  double boot_s = 0;
  for (const auto& type : types_) boot_s = std::max(boot_s, type.boot_s);
  const auto horizon = static_cast<std::size_t>(boot_s * usual_boot);
  std::array<double, 2> kept{};
  for (const std::size_t kind : {0U, 1U}) {
    kept.at(kind) = load_history_.at(kind).reserve(horizon, options_.policy.reserve_deviations);
  }
  // The one that idled shortest is kept first: placements prefer it too, so the others' time comes.
  std::ranges::stable_sort(idle, std::greater{}, &Machine::idle_since);
  const auto longest =
      quiet(now) ? std::min(options_.policy.quiet_release, options_.policy.idle_release) : options_.policy.idle_release;
  std::array<std::size_t, 2> idle_seen{};
  for (auto* m : idle) {
    const auto kind = m->spot ? 1U : 0U;
    const auto place = static_cast<double>(++idle_seen.at(kind));
    // Ordinary machines serve everyone, so they are the ones to keep warm.
    if (kind == 0 && place <= options_.policy.warm_machines) continue;
    const auto limit = place <= kept.at(kind) ? longest : std::min(longest, options_.policy.surplus_release);
    if (now - m->idle_since < limit || now < m->keep_until) continue;
    log_("machine " + m->id.value() + " to be released: idle");
    m->enter(MachinePhase::releasing, now);
  }
}

// Once a second: how many machines are busy.
void Scheduler::record_fleet_demand(const PlacementProblem& problem, Time now) {
  if (now < next_sample_) return;
  next_sample_ = now + seconds(1);
  count_missed_targets(now);
  std::array<std::size_t, 2> busy{};
  std::array<std::size_t, 2> idle{};
  std::size_t booting = 0;
  for (const auto& [id, m] : machines_) {
    if (m.phase() == MachinePhase::booting) ++booting;
    if (m.phase() != MachinePhase::up && m.phase() != MachinePhase::draining) continue;
    ++(m.empty() ? idle : busy).at(m.spot ? 1 : 0);
  }
  for (std::size_t kind : {0U, 1U}) load_history_.at(kind).add(static_cast<double>(busy.at(kind)));
  if (now < next_sample_log_) return;
  next_sample_log_ = now + seconds(10);
  const auto late = [&](WritePriority u) {
    const auto b = writes_.backlog(u, now);
    return std::to_string(b.rows) + " rows, the first for " + std::to_string(to_seconds(b.oldest)) + " s";
  };
  log_("store: to be written " + late(WritePriority::foreground) + "; of guests " + late(WritePriority::best_effort) +
       "; spare " + late(WritePriority::deferrable));
  const TaskCounts counts = std::exchange(task_counts_, {});
  log_("tasks: " + std::to_string(counts.placed) + " placed, " + std::to_string(counts.began) + " began, " +
       std::to_string(counts.ended) + " ended, " + std::to_string(counts.completed) + " of them completed");
  std::size_t pending_tasks = 0;
  for (const auto& pending : problem.jobs) pending_tasks += pending.count;
  const auto expected_misses =
      std::ranges::count_if(problem.jobs, [](const PendingJob& r) { return r.expected_misses > 0; });
  log_("fleet: busy " + std::to_string(busy[0]) + " and " + std::to_string(busy[1]) + " spot, idle " +
       std::to_string(idle[0]) + " and " + std::to_string(idle[1]) + " spot, booting " + std::to_string(booting) +
       "; " + std::to_string(pending_tasks) + " tasks of " + std::to_string(problem.jobs.size()) +
       " jobs without a place" +
       (expected_misses > 0 ? ", " + std::to_string(expected_misses) + " of them deferred" : ""));
}

}  // namespace martenwall
