// One round of the scheduler: matrix, matching, preemption, fleet.
#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <unordered_map>
#include <utility>

#include "core/matcher.hpp"
#include "core/scheduler.hpp"

namespace martenwall {

namespace {

constexpr std::size_t max_cells = 200'000;  // of the matrix: rows beyond wait for the next round
constexpr std::size_t min_rows = 100;
constexpr std::uint32_t max_window = 4000;  // indices between an array's lowest unfinished task and its last started
constexpr std::size_t max_evictions = 24;   // per round
constexpr std::size_t max_eviction_tries = 48;
constexpr std::size_t max_machines_tried =
    150'000;  // machines looked at in all tries of a round; others wait for the next
constexpr Duration eviction_retry = seconds(0.2);
constexpr Duration fleet_every = seconds(0.5);
constexpr double least_eviction_s = 4;             // saving, stopping and starting anew take at least so long
constexpr Duration begin_patience = seconds(120);  // half of the time within which the largest jobs too are to begin
constexpr double late_boot = 1.8;  // times the nominal boot time after which a machine is not counted on

bool before(const Row& a, const Row& b) {
  if (a.job->suspect != b.job->suspect) return b.job->suspect;
  if (a.job->rank != b.job->rank) return a.job->rank > b.job->rank;
  if (a.deferred != b.deferred) return a.deferred < b.deferred;
  if (a.within_guarantee != b.within_guarantee) return a.within_guarantee;
  return a.job->released < b.job->released;
}

}  // namespace

double Scheduler::estimate_of(const Job& job) const {
  const auto it = lane_ratio_.find(job.spec.lane);
  return job.spec.estimate_s * (it == lane_ratio_.end() ? 1.0 : it->second);
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
    std::ranges::stable_sort(list, {}, &Job::released);
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
bool Scheduler::must_be_even(const Job& job, Time now) const {
  constexpr double slow_fetch = 1.33;  // PROTOCOL: give or take a third
  if (job.spec.shape != Shape::gang || job.spec.tasks < 2) return false;
  double fetch_s = 0;
  for (const auto& type : types_) {
    if (type_allows(job.spec, type) && type.fetch_gb_per_s > 0) {
      fetch_s = std::max(fetch_s, job.spec.image_gb / type.fetch_gb_per_s);
    }
  }
  const double wait_s = setup_.terms.gang_wait_s;
  return fetch_s * slow_fetch > wait_s && now - job.waiting_since < seconds(2 * wait_s);
}

// Guests' work that may use spot machines leaves the ordinary ones to those who may not: there it would be stopped
// for the next gang, and cost three times as much. Not for ever: where spot machines do not come it may use any.
bool Scheduler::keeps_to_spot(const Job& job, bool any_spot, Time now) const {
  if (!job.spec.spot || urgency_of(job) != Urgency::borrowed) return false;
  return now - job.released < (any_spot ? setup_.policy.guest_patience : setup_.policy.guest_patience_without_spot);
}

void Scheduler::add_rows(Board& board, Time now) {
  board.guaranteed = jobs_within_guarantee();
  const bool any_spot = std::ranges::any_of(machines_, [](const auto& m) { return m.second.spot; });
  for (auto& [id, job] : jobs_) {
    if (is_final(job.phase) || job.phase == JobPhase::waiting || now < job.not_before) continue;
    std::uint32_t count = job.pending_tasks();
    if (job.spec.shape == Shape::gang && (!job.placed.empty() || count < job.spec.tasks)) continue;
    const auto first = job.done.lowest_unfinished();
    if (job.next_fresh > first + max_window) count = static_cast<std::uint32_t>(job.returned.size());
    if (count == 0) continue;
    count = job.spec.shape == Shape::gang ? count : std::min(count, max_window);
    if (job.suspect) {
      if (!may_probe(job, now)) continue;
      if (job.suspect && job.spec.shape != Shape::gang) count = 1;
    }
    board.rows.push_back({&job, count, board.guaranteed.contains(id), estimate_of(job), must_be_even(job, now),
                          keeps_to_spot(job, any_spot, now)});
  }
  if (setup_.policy.shortage_weight > 0) tell_apart(board, now);
  if (setup_.policy.begin_weight > 0) {
    for (auto& row : board.rows) let_begin(row, now);
  }
  std::ranges::stable_sort(board.rows, before);
}

// One task of each array, so that it costs the others next to nothing.
void Scheduler::let_begin(Row& row, Time now) const {
  const auto& job = *row.job;
  const bool began = job.next_attempt > 1 || job.spec.shape == Shape::gang || job.suspect || row.spot_only;
  if (began || now - job.released < begin_patience) return;
  row.overdue = true;
  row.count = 1;
  row.deferred = 0;
}

bool Scheduler::usable(const Machine& m, Time now) const {
  if (!m.takes_starts() || !m.ears.hears() || m.quarantined || m.taken_at || now < m.no_starts_before) return false;
  // A silent machine may be dead: nothing new goes there until it speaks.
  return now - m.last_heard <= seconds(setup_.terms.report_s * 2.2);
}

Board Scheduler::make_board(Time now) {
  Board board{now, setup_.policy, {}, {}};
  board.idle_grain_s = setup_.terms.report_s;
  add_rows(board, now);
  // A machine without room for even the smallest need costs nothing further.
  Resources least{1e18, 1e18, 1e18};
  for (const auto& row : board.rows) least = least.least(row.job->spec.need);
  for (auto& [id, m] : machines_) {
    if (m.reserved_for && (now >= m.reserved_until || !jobs_.contains(*m.reserved_for))) m.reserved_for.reset();
    if (!usable(m, now) || m.placements.size() >= setup_.max_tasks_per_machine) continue;
    const auto* type = type_of(m.type);
    if (type == nullptr) continue;
    Resources free = type->room;
    free.add(m.used, -1);
    if (!least.fits_in(free)) continue;
    board.add({&m, type, free, setup_.max_tasks_per_machine - m.placements.size(), Rank::best_effort});
  }
  const auto rows = std::max(min_rows, max_cells / std::max<std::size_t>(1, board.columns.size()));
  // The others' turn comes in the next round.
  stale_ = board.rows.size() > rows;
  if (stale_) board.rows.resize(rows);
  return board;
}

void Scheduler::place(const Board& board, const Row& row, const std::vector<std::size_t>& columns, Time now) {
  Job& job = *row.job;
  const bool gang = job.spec.shape == Shape::gang;
  if (gang) ++job.next_attempt;
  for (const auto c : columns) {
    Machine& m = *board.columns[c].machine;
    const auto index = job.next_pending();
    if (!index) return;
    if (!gang) ++job.next_attempt;
    Placement p{TaskId{job.spec.id, *index}, Attempt{job.next_attempt - 1}, Generation{0}, now};
    p.team = job.spec.team;
    p.need = job.spec.need;
    p.rank = job.rank;
    const bool cached = m.has_image(job.image);
    ++task_counts_.placed;
    if (setup_.log_tasks) {
      log_("task " + to_string(p.task) + " attempt " + std::to_string(p.attempt.value()) + " placed on " +
           m.id.value() + (cached ? " (image there)" : " (image to fetch)") + ", " +
           std::to_string(to_seconds(now - job.waiting_since)) + " s waited");
    }
    p.gen = mark(job, *index, Duration{0}, now);
    add(m, std::move(p));
    job.take(*index, m.id);
    m.touch_image(job.image, job.spec.image_gb, board.columns[c].type->cache_gb, false);
    if (m.reserved_for == job.spec.id) m.reserved_for.reset();
  }
  if (!job.start_counted && job.pending_tasks() == 0) {
    job.start_counted = true;
    served_.started(job.spec.lane, job.spec.team, to_seconds(now - job.released));
  }
}

void Scheduler::round(Time now) {
  expire(now);
  judge_machines(now);
  bring_down_to_limits(now);
  if (types_.empty()) return;
  auto board = make_board(now);
  work_ = {board.rows.size(), board.columns.size(), 0};
  hold_for_gangs(board, used_);
  if (setup_.policy.leave_limits) leave_limits(board, used_, types_);
  auto matrix = build_matrix(board);
  auto used = used_;
  Matcher matcher{board, matrix, used, machines_};
  for (const auto& match : matcher.run()) place(board, board.rows[match.row], match.columns, now);
  // Stops first: what they make room for needs no further machine. What the fleet had on its way when it was last
  // planned tells whether stopping others is worth it.
  preempt(board, now);
  if (now >= next_fleet_) {
    next_fleet_ = now + fleet_every;
    plan_fleet(board, used, now);
    plan_releases(now);
  }
  take_census(board, now);
}

// When the job could start without stopping anything; nothing where no room is coming.
std::optional<Time> Scheduler::room_expected(const Job& job, Time now) const {
  if (!job.room_at) return std::nullopt;
  double fetch_s = 0;
  for (const auto& type : types_) {
    if (type_allows(job.spec, type) && type.fetch_gb_per_s > 0) fetch_s = job.spec.image_gb / type.fetch_gb_per_s;
  }
  return std::max(now, *job.room_at) + seconds(fetch_s);
}

// Stopping others is worth its cost where it meets an aim that waiting misses, or where no room is coming.
bool Scheduler::better_to_wait(const Row& row, Time now) const {
  const auto& job = *row.job;
  const auto expected = room_expected(job, now);
  if (!expected) return false;
  const auto lane = setup_.aims.by_lane.find(job.spec.lane);
  if (lane == setup_.aims.by_lane.end() && !row.within_guarantee) return false;
  std::vector<double> bounds = lane == setup_.aims.by_lane.end() ? std::vector<double>{} : lane->second;
  if (row.within_guarantee && setup_.aims.guarantee_s > 0) bounds.push_back(setup_.aims.guarantee_s);
  const Time soonest = now + seconds(least_eviction_s);
  return std::ranges::none_of(bounds, [&](double within_s) {
    const Time due = job.released + seconds(within_s);
    return soonest <= due && *expected > due;
  });
}

VictimTable Scheduler::victims(const Board& board, Time now) {
  VictimTable table;
  std::map<std::string, bool> over;
  for (const auto& [name, team] : teams_) over[name] = used_.over_guarantee(name);
  // Many placements are of few jobs: each is looked up once.
  struct Known {
    const Job* job = nullptr;
    bool guaranteed = false;
  };
  std::unordered_map<JobId, Known> known;
  for (auto& [id, m] : machines_) {
    const auto* type = type_of(m.type);
    if (type == nullptr || !usable(m, now)) continue;
    VictimMachine v{&m, type, type->room, {}};
    v.room.add(m.used, -1);
    for (const auto& p : m.placements) {
      if (!p.occupies()) continue;
      if (p.stop_wanted) {
        v.room.add(p.need);  // room that is being freed already comes without another victim
        continue;
      }
      const auto [it, fresh] = known.try_emplace(p.task.job);
      if (fresh) it->second = {find_job(p.task.job), board.guaranteed.contains(p.task.job)};
      const auto& [job, guaranteed] = it->second;
      v.victims.push_back(
          {&p, job, guaranteed, over[p.team],
           lost_work_s(setup_.policy, job != nullptr && !job->ghost ? &job->spec : nullptr, *type, p, now)});
    }
    std::ranges::stable_sort(v.victims, {}, &Victim::lost);
    table.push_back(std::move(v));
  }
  return table;
}

void Scheduler::preempt(Board& board, Time now) {
  std::erase_if(evicted_for_, [&](const auto& e) { return e.second <= now; });
  std::optional<VictimTable> table;
  std::size_t budget = max_evictions;
  std::size_t tries = max_eviction_tries;
  for (auto& row : board.rows) {
    const auto& spec = row.job->spec;
    if (budget == 0 || tries == 0) return;
    // The lowest rank has nothing below it; only a guarantee lets it stop others.
    if (row.count == 0 || (row.job->rank == Rank::best_effort && !row.within_guarantee)) continue;
    if (row.job->suspect) continue;  // it takes what is free
    if (now < row.job->preempt_after || evicted_for_.contains(spec.id) || better_to_wait(row, now)) continue;
    const auto room = used_.room_for(spec.team, spec.need);
    const std::uint32_t wanted = spec.shape == Shape::gang ? spec.tasks : std::min(row.count, room);
    if (wanted == 0 || room < wanted) continue;
    if (!table) {
      table = victims(board, now);
      for (const auto& m : *table) work_.victims += m.victims.size();
      tries = std::min(tries, std::max<std::size_t>(4, max_machines_tried / std::max<std::size_t>(1, table->size())));
    }
    --tries;
    const auto there = spec.one_zone || spec.spread ? zones_of(*row.job, machines_) : ZoneCounts{};
    const auto plan = plan_eviction(*table, row, wanted, there);
    if (!plan) {
      row.job->preempt_after = now + eviction_retry;
      continue;
    }
    --budget;
    evict(*plan, row, now);
  }
}

void Scheduler::evict(const Eviction& e, Row& row, Time now) {
  const auto& id = row.job->spec.id;
  double longest_save = 0;
  for (const auto& [machine, task] : e.victims) {
    const auto victim = jobs_.find(task.job);
    if (victim == jobs_.end()) continue;
    const auto& spec = victim->second.spec;
    const double grace = grace_s(setup_.policy, spec);
    longest_save = std::max(longest_save, grace);
    const std::string why = "room for " + id.value();
    // A gang is stopped whole and in order; of an array, only the chosen task.
    if (spec.shape == Shape::gang) {
      stop_in_order(victim->second, now, why.c_str());
      continue;
    }
    auto& m = machines_.at(machine);
    for (auto& p : m.placements) {
      if (p.occupies() && p.task == task) want_stop(m, p, grace, now, why.c_str());
    }
  }
  const Time until = now + seconds(longest_save + 8);
  // Not swept here: the table of victims points at the placements until the end of the round.
  for (auto* m : e.machines) {
    m->reserved_for = id;
    m->reserved_until = until;
  }
  evicted_for_[id] = until;
}

std::vector<Prospect> Scheduler::prospects(const Board& board, Time now) const {
  std::vector<Prospect> out;
  for (const auto& col : board.columns) {
    const auto& m = *col.machine;
    // Machines without GPUs have room too.
    if (!m.reserved_for && (col.type->room.gpus > 0 ? col.free.gpus : col.free.cpus) > 0)
      out.push_back({col.type, m.zone, m.spot, col.free, now, false, m.empty() ? col.machine : nullptr});
  }
  for (const auto& [id, m] : machines_) {
    const auto* type = type_of(m.type);
    if (type == nullptr || m.phase() != MachinePhase::booting) continue;
    // One that takes much longer than its kind does may never come: plan without it.
    if (now - m.first_known > seconds(type->boot_s * late_boot)) continue;
    const Time up = std::max(now + seconds(2), m.first_known + seconds(type->boot_s * usual_boot));
    out.push_back({type, m.zone, m.spot, type->room, up, false});
  }
  for (const auto& [name, request] : open_hires_) {
    const auto* type = type_of(request.type);
    if (type == nullptr) continue;
    const Time up = now + seconds(type->boot_s * usual_boot);
    out.insert(out.end(), request.count, {type, request.zone, request.spot, type->room, up, false});
  }
  return out;
}

std::vector<Demand> Scheduler::unmet_demand(Board& board, Ledger& used) {
  std::vector<Demand> out;
  const bool any_machine = std::ranges::any_of(machines_, [](const auto& m) {
    return m.second.phase() == MachinePhase::up || m.second.phase() == MachinePhase::booting;
  });
  for (const auto& row : board.rows) {
    const auto& spec = row.job->spec;
    if (row.count == 0 || evicted_for_.contains(spec.id)) continue;
    // Nothing is hired for a job that most likely fails again, unless there is nothing to try it on.
    if (row.job->suspect && any_machine) continue;
    const auto left = std::min(row.count, used.room_for(spec.team, spec.need));
    if (left == 0 && !std::exchange(row.job->limit_logged, true)) {
      log_("job " + spec.id.value() + " waits: team " + spec.team + " is at its limit");
    }
    if (left == 0 || (spec.shape == Shape::gang && left < spec.tasks)) continue;
    used.add(spec.team, spec.need, left);
    auto zones = spec.one_zone || spec.spread ? zones_of(*row.job, machines_) : ZoneCounts{};
    std::string bound = spec.one_zone && !zones.empty() ? zones.begin()->first : std::string{};
    out.push_back({&spec, row.job, left, std::move(bound), row.spot_only, std::move(zones)});
  }
  return out;
}

void Scheduler::plan_fleet(Board& board, Ledger& used, Time now) {
  const auto demands = unmet_demand(board, used);
  if (demands.empty()) return;
  FleetView view{now, setup_.policy, types_, capacity_, {}, prospects(board, now)};
  for (const auto& [id, m] : machines_) ++view.per_zone[m.zone];
  for (auto& request : plan_hires(view, demands)) {
    // The cloud takes a few calls a second. A long line is answered when others want the machines, and half of it is
    // refused where its head was: what is not asked for now is planned again with what is known then.
    if (open_hires_.size() >= setup_.hires_in_line) break;
    request.name = "hire-" + std::to_string(setup_.token.value()) + "-" + std::to_string(++hire_serial_);
    log_("hire " + request.name + ": " + std::to_string(request.count) + " " + request.type + " in " + request.zone +
         (request.spot ? ", spot" : ""));
    open_hires_.emplace(request.name, request);
    hires_.push_back(std::move(request));
  }
}

void Scheduler::plan_releases(Time now) {
  std::vector<Machine*> idle;
  const auto few_deaf = [&] {
    const auto deaf = std::ranges::count_if(machines_, [](const auto& m) { return m.second.ears.deaf(); });
    return static_cast<std::size_t>(deaf) * 4 <= machines_.size();
  };
  for (auto& [id, m] : machines_) {
    const auto* type = type_of(m.type);
    const double boot = type != nullptr ? type->boot_s : 60;
    const auto phase = m.phase();
    const bool never_came =
        phase == MachinePhase::booting && now - m.first_known > seconds(boot * setup_.policy.boot_patience);
    const bool drained = phase == MachinePhase::draining && m.empty();
    // Silent for longer than its lease, it may be cut off or hang, and comes back with its images sooner than another
    // boots; one that is dead is listed as failed by then and goes at once (on_list). Machines of a zone that was cut
    // off for 56 s were returned 26 s before it healed.
    const bool dead = phase == MachinePhase::lost && now - m.phase_since > setup_.policy.lost_patience;
    // One that hears nothing is of no use, and costs as much as another; but where many are deaf the fault is
    // elsewhere.
    const bool deaf = phase == MachinePhase::up && m.ears.deaf() && m.empty() &&
                      now - m.ears.since() > setup_.policy.lost_patience && few_deaf();
    if (never_came || drained || dead || deaf) {
      log_("machine " + id.value() + " to be released: " + (deaf ? "deaf" : std::string{name_of(phase)}));
      m.enter(MachinePhase::releasing, now);
    } else if (phase == MachinePhase::up && m.seen && m.ears.hears() && m.empty() && !m.reserved_for) {
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
  return now - last_submission_ > std::min(setup_.policy.quiet_after, usual);
}

// Beyond what the load may grow by while a machine boots, idle machines cost more than they can save.
void Scheduler::release_idle(std::vector<Machine*> idle, Time now) {
  double boot_s = 0;
  for (const auto& type : types_) boot_s = std::max(boot_s, type.boot_s);
  const auto horizon = static_cast<std::size_t>(boot_s * usual_boot);
  std::array<double, 2> kept{};
  for (const std::size_t kind : {0U, 1U}) {
    kept.at(kind) = load_.at(kind).reserve(horizon, setup_.policy.reserve_deviations);
  }
  // The one that idled shortest is kept first: placements prefer it too, so the others' time comes.
  std::ranges::stable_sort(idle, std::greater{}, &Machine::idle_since);
  const auto longest =
      quiet(now) ? std::min(setup_.policy.quiet_release, setup_.policy.idle_release) : setup_.policy.idle_release;
  std::array<std::size_t, 2> seen{};
  for (auto* m : idle) {
    const auto kind = m->spot ? 1U : 0U;
    const auto place = static_cast<double>(++seen.at(kind));
    // Ordinary machines serve everyone, so they are the ones to keep warm.
    if (kind == 0 && place <= setup_.policy.warm_machines) continue;
    const auto limit = place <= kept.at(kind) ? longest : std::min(longest, setup_.policy.surplus_release);
    if (now - m->idle_since < limit || now < m->wanted_until) continue;
    log_("machine " + m->id.value() + " to be released: idle");
    m->enter(MachinePhase::releasing, now);
  }
}

// Once a second: how many machines are busy.
void Scheduler::take_census(const Board& board, Time now) {
  if (now < next_census_) return;
  next_census_ = now + seconds(1);
  count_late(now);
  std::array<std::size_t, 2> busy{};
  std::array<std::size_t, 2> idle{};
  std::size_t booting = 0;
  for (const auto& [id, m] : machines_) {
    if (m.phase() == MachinePhase::booting) ++booting;
    if (m.phase() != MachinePhase::up && m.phase() != MachinePhase::draining) continue;
    ++(m.empty() ? idle : busy).at(m.spot ? 1 : 0);
  }
  for (std::size_t kind : {0U, 1U}) load_.at(kind).add(static_cast<double>(busy.at(kind)));
  if (now < next_census_log_) return;
  next_census_log_ = now + seconds(10);
  const auto late = [&](Urgency u) {
    const auto b = writes_.backlog(u, now);
    return std::to_string(b.rows) + " rows, the first for " + std::to_string(to_seconds(b.oldest)) + " s";
  };
  log_("store: to be written " + late(Urgency::awaited) + "; of guests " + late(Urgency::borrowed) + "; spare " +
       late(Urgency::spare));
  const TaskCounts counts = std::exchange(task_counts_, {});
  log_("tasks: " + std::to_string(counts.placed) + " placed, " + std::to_string(counts.began) + " began, " +
       std::to_string(counts.ended) + " ended, " + std::to_string(counts.completed) + " of them completed");
  std::size_t pending = 0;
  for (const auto& row : board.rows) pending += row.count;
  const auto deferred = std::ranges::count_if(board.rows, [](const Row& r) { return r.deferred > 0; });
  log_("fleet: busy " + std::to_string(busy[0]) + " and " + std::to_string(busy[1]) + " spot, idle " +
       std::to_string(idle[0]) + " and " + std::to_string(idle[1]) + " spot, booting " + std::to_string(booting) +
       "; " + std::to_string(pending) + " tasks of " + std::to_string(board.rows.size()) + " jobs without a place" +
       (deferred > 0 ? ", " + std::to_string(deferred) + " of them deferred" : ""));
}

}  // namespace martenwall
