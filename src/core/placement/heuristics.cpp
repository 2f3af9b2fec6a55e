#include "core/placement/heuristics.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <numeric>

#include "core/placement/heuristic_table.hpp"

namespace martenwall {

bool type_allows(const JobSpec& spec, const MachineType& type) {
  if (spec.types && std::ranges::find(*spec.types, type.name) == spec.types->end()) return false;
  return spec.need.fits_in(type.capacity);
}

bool location_allows(const JobSpec& spec, const std::string& zone, bool spot) {
  return (!spec.zone || *spec.zone == zone) && (spec.spot || !spot);
}

std::size_t find_or_add_kind(std::vector<MachineKind>& kinds, const MachineType& type, const std::string& zone,
                             bool spot) {
  for (std::size_t k = 0; k < kinds.size(); ++k) {
    if (kinds[k].type == &type && kinds[k].spot == spot && kinds[k].zone == zone) return k;
  }
  kinds.push_back({&type, zone, spot});
  return kinds.size() - 1;
}

std::vector<char> allowed_kinds(const JobSpec& spec, const std::vector<MachineKind>& kinds) {
  std::vector<char> out;
  out.reserve(kinds.size());
  for (const auto& k : kinds)
    out.push_back(type_allows(spec, *k.type) && location_allows(spec, k.zone, k.spot) ? 1 : 0);
  return out;
}

void PlacementProblem::add(CandidateMachine column) {
  column.kind = find_or_add_kind(kinds, *column.type, column.machine->zone, column.machine->spot);
  machines.push_back(column);
}

double deadline_curve(const Policy& p, double extime_s, double deadline_s, double nxtime_s) {
  const double start = deadline_s - p.deadline_k * nxtime_s;
  if (extime_s <= start || extime_s > deadline_s || deadline_s <= start) return p.deadline_min;
  const double slope = (p.deadline_max - p.deadline_min) / (deadline_s - start);
  return slope * (extime_s - start) + p.deadline_min;
}

namespace {

template <class F>
void for_allowed(const PlacementProblem& problem, const ScoreMatrix& m, std::size_t pending, F&& f) {
  for (std::size_t c = 0; c < problem.machines.size(); ++c) {
    if (m.allowed(pending, c)) f(c);
  }
}

// Adds one value per row, the same on every machine that fits.
template <class F>
void add_per_row(const PlacementProblem& problem, ScoreMatrix& m, F&& value) {
  for (std::size_t r = 0; r < problem.jobs.size(); ++r) {
    const double v = value(problem.jobs[r]);
    for_allowed(problem, m, r, [&](std::size_t c) { m.at(r, c) += v; });
  }
}

double deadline_score(const PlacementProblem& problem, const PendingJob& pending) {
  const auto& job = *pending.job;
  // The curve lets each job wait until it is almost too late: in a shortage all would then be a little late. What is
  // served with the least work comes first instead, so that as many as can be are in time.
  if (pending.shortage_order) {
    return problem.policy.deadline_min +
           *pending.shortage_order * (problem.policy.deadline_max - problem.policy.deadline_min);
  }
  if (!job.effective_deadline) return problem.policy.deadline_min;
  // Measured from the submission; the benchmark ratio is 1, so Nxtime is the same on every machine.
  const double extime = to_seconds(problem.now - job.submitted) + pending.estimate_s;
  return deadline_curve(problem.policy, extime, to_seconds(*job.effective_deadline - job.submitted),
                        pending.estimate_s);
}

double quantized_idle_s(const PlacementProblem& problem, const Machine& m) {
  const double idle_s = std::max(0.0, to_seconds(problem.now - m.idle_since));
  return problem.idle_granularity_s > 0 ? std::floor(idle_s / problem.idle_granularity_s) * problem.idle_granularity_s
                                        : idle_s;
}

}  // namespace

namespace heuristics {

void minimal_requirements(const PlacementProblem& problem, ScoreMatrix& m) {
  for (std::size_t r = 0; r < problem.jobs.size(); ++r) {
    const auto& job = *problem.jobs[r].job;
    const auto allowed = allowed_kinds(job.spec, problem.kinds);
    for (std::size_t c = 0; c < problem.machines.size(); ++c) {
      const auto& candidate = problem.machines[c];
      if (job.priority < candidate.reserved_priority || !job.spec.need.fits_in(candidate.free)) continue;
      if (allowed[candidate.kind] == 0) continue;
      if (problem.jobs[r].spot_only && !candidate.machine->spot) continue;
      const bool reserved = candidate.machine->reserved_for && *candidate.machine->reserved_for != job.spec.id &&
                            problem.now < candidate.machine->reserved_until;
      // A task is not sent back to where it failed, unless it fails wherever it goes.
      const bool failed_here = !job.suspect && !job.failed_on.empty() && job.failed_on.contains(candidate.machine->id);
      if (!reserved && !failed_here) m.allow(r, c);
    }
  }
}

void deadline(const PlacementProblem& problem, ScoreMatrix& m) {
  for (std::size_t r = 0; r < problem.jobs.size(); ++r) {
    const double f1 = deadline_score(problem, problem.jobs[r]);
    const double inverse = problem.policy.deadline_max - f1;
    std::size_t fitting = 0;
    for_allowed(problem, m, r, [&](std::size_t) { ++fitting; });
    if (fitting == 0) continue;
    const auto n = static_cast<double>(fitting);
    const double urgency = f1 * n;       // sum of f1 over the fitting machines
    const double divisor = inverse * n;  // sum of Max - f1
    const double share = divisor > 0 ? inverse / divisor : 1.0 / n;
    for_allowed(problem, m, r, [&](std::size_t c) { m.at(r, c) += urgency * share; });
  }
}

void wait_minimization(const PlacementProblem& problem, ScoreMatrix& m) {
  double max_estimate_s = 0;
  for (const auto& pending : problem.jobs) max_estimate_s = std::max(max_estimate_s, pending.estimate_s);
  if (max_estimate_s <= 0) return;
  add_per_row(problem, m, [&](const PendingJob& pending) {
    return problem.policy.wait_weight * (1 - pending.estimate_s / max_estimate_s);
  });
}

void input(const PlacementProblem& problem, ScoreMatrix& m) {
  for (std::size_t r = 0; r < problem.jobs.size(); ++r) {
    const auto& job = *problem.jobs[r].job;
    for_allowed(problem, m, r, [&](std::size_t c) {
      // A copy on its way is worth half of one that is there; the slot is held while it comes.
      const auto state = problem.machines[c].machine->image_state(job.image);
      const double score = job.spec.image_gb <= 0 || state == Machine::ImageState::ready ? 1.0
                           : state == Machine::ImageState::fetching                      ? 0.5
                                                                                         : 0.0;
      m.at(r, c) += problem.policy.input_weight * score;
    });
  }
}

void anti_aging(const PlacementProblem& problem, ScoreMatrix& m) {
  add_per_row(problem, m, [&](const PendingJob& pending) {
    const double waited = to_seconds(problem.now - pending.job->waiting_since);
    return std::min(problem.policy.aging_cap, problem.policy.aging_weight * std::max(0.0, waited));
  });
}

void priority(const PlacementProblem& problem, ScoreMatrix& m) {
  add_per_row(problem, m, [&](const PendingJob& pending) {
    return problem.policy.priority_weight * static_cast<double>(pending.job->priority);
  });
}

void guarantee(const PlacementProblem& problem, ScoreMatrix& m) {
  add_per_row(problem, m, [&](const PendingJob& pending) {
    return pending.within_guarantee ? problem.policy.guarantee_weight : 0.0;
  });
}

void packing(const PlacementProblem& problem, ScoreMatrix& m) {
  std::vector<double> score;
  score.reserve(problem.machines.size());
  for (const auto& candidate : problem.machines) {
    const double cpu = candidate.type->capacity.cpus > 0 ? candidate.free.cpus / candidate.type->capacity.cpus : 0;
    const double gpu = candidate.type->capacity.gpus > 0 ? candidate.free.gpus / candidate.type->capacity.gpus : cpu;
    // Of empty machines those that idle shortest: the others are then idle for good and can go back.
    const double recent =
        candidate.machine->empty() ? 0.2 / (1 + quantized_idle_s(problem, *candidate.machine) / 10) : 0.0;
    score.push_back(problem.policy.packing_weight * (1 - std::min(cpu, gpu) + recent));
  }
  for (std::size_t r = 0; r < problem.jobs.size(); ++r) {
    for_allowed(problem, m, r, [&](std::size_t c) { m.at(r, c) += score[c]; });
  }
}

// Work that cannot be in time any more leaves the room to work that can, and is done after it.
void shortage(const PlacementProblem& problem, ScoreMatrix& m) {
  if (problem.policy.shortage_weight <= 0) return;
  add_per_row(problem, m, [&](const PendingJob& pending) {
    return -problem.policy.shortage_weight * pending.expected_missed_targets;
  });
}

// However much is wanted, each job begins: its users are told that the largest too begin within four minutes.
void beginning(const PlacementProblem& problem, ScoreMatrix& m) {
  if (problem.policy.begin_weight <= 0) return;
  add_per_row(problem, m,
              [&](const PendingJob& pending) { return pending.begin_overdue ? problem.policy.begin_weight : 0.0; });
}

// Jobs that fail wherever they go take what the others leave.
void suspicion(const PlacementProblem& problem, ScoreMatrix& m) {
  constexpr double suspect_penalty = 1000;
  add_per_row(problem, m, [&](const PendingJob& pending) { return pending.job->suspect ? -suspect_penalty : 0.0; });
}

void spot_preference(const PlacementProblem& problem, ScoreMatrix& m) {
  for (std::size_t r = 0; r < problem.jobs.size(); ++r) {
    for_allowed(problem, m, r, [&](std::size_t c) {
      if (problem.machines[c].machine->spot) m.at(r, c) += problem.policy.spot_weight;
    });
  }
}

}  // namespace heuristics

namespace {

// Columns on which one task of the row fits into what `room` leaves, those with its image first.
std::map<std::string, std::vector<std::size_t>> gang_candidate_columns(const PlacementProblem& problem,
                                                                       const PendingJob& pending,
                                                                       const std::vector<Resources>& free) {
  const auto& job = *pending.job;
  const auto allowed = allowed_kinds(job.spec, problem.kinds);
  std::map<std::string, std::vector<std::size_t>> by_zone;
  std::vector<std::vector<std::size_t>*> group(problem.kinds.size(), nullptr);
  for (std::size_t c = 0; c < problem.machines.size(); ++c) {
    const auto& candidate = problem.machines[c];
    if (allowed[candidate.kind] == 0 || !job.spec.need.fits_in(free[c])) continue;
    const auto& m = *candidate.machine;
    if (m.reserved_for && *m.reserved_for != job.spec.id) continue;
    auto& columns = group[candidate.kind];
    if (columns == nullptr) columns = &by_zone[job.spec.one_zone ? m.zone : std::string{}];
    columns->push_back(c);
  }
  for (auto& [zone, columns] : by_zone) {
    const auto first_uncached = std::stable_partition(
        columns.begin(), columns.end(), [&](auto c) { return problem.machines[c].machine->has_image(job.image); });
    if (!pending.uniform_image) continue;
    const bool enough_cached = first_uncached - columns.begin() >= static_cast<std::ptrdiff_t>(job.spec.tasks);
    enough_cached ? columns.erase(first_uncached, columns.end()) : columns.erase(columns.begin(), first_uncached);
  }
  return by_zone;
}

}  // namespace

void reserve_for_gangs(PlacementProblem& problem, QuotaUsage used) {
  std::vector<Resources> free;
  for (const auto& candidate : problem.machines) free.push_back(candidate.free);
  for (const auto& pending : problem.jobs) {
    const auto& spec = pending.job->spec;
    if (spec.kind != JobKind::gang || pending.job->priority == Priority::best_effort || pending.job->suspect) continue;
    if (used.max_additional_tasks(spec.team, spec.need) < spec.tasks) continue;
    used.add(spec.team, spec.need, spec.tasks);
    const auto by_zone = gang_candidate_columns(problem, pending, free);
    const auto largest = std::ranges::max_element(
        by_zone, {}, [&](const auto& z) { return std::min<std::size_t>(z.second.size(), spec.tasks); });
    if (largest == by_zone.end()) continue;
    for (std::size_t i = 0; i < largest->second.size() && i < spec.tasks; ++i) {
      const auto c = largest->second[i];
      free[c].add(spec.need, -1);
      problem.machines[c].reserved_priority = std::max(problem.machines[c].reserved_priority, pending.job->priority);
    }
  }
}

namespace {

// What each row is worth on an empty machine, whether one is free now or not.
std::vector<double> best_score_of_jobs(const PlacementProblem& problem, const std::vector<MachineType>& types) {
  std::deque<Machine> machines;
  PlacementProblem empty{problem.now, problem.policy, problem.jobs, {}};
  for (const auto& type : types) {
    for (const auto& zone : type.zones) {
      machines.emplace_back(MachineId{}).zone = zone;
      empty.add({&machines.back(), &type, type.capacity, 1, Priority::best_effort});
    }
  }
  const auto matrix = build_scores(empty);
  std::vector<double> out(problem.jobs.size(), std::numeric_limits<double>::lowest());
  for (std::size_t r = 0; r < out.size(); ++r) {
    for (std::size_t c = 0; c < empty.machines.size(); ++c) {
      if (matrix.allowed(r, c)) out[r] = std::max(out[r], matrix.at(r, c));
    }
  }
  return out;
}

bool needs_more(const Resources& a, const Resources& b) { return a.cpus > b.cpus || a.gpus > b.gpus; }

bool limit_binds(const PlacementProblem& problem, QuotaUsage used) {
  return std::ranges::any_of(problem.jobs, [&](const PendingJob& pending) {
    const auto& spec = pending.job->spec;
    const auto can_start = std::min(pending.count, used.max_additional_tasks(spec.team, spec.need));
    used.add(spec.team, spec.need, can_start);
    return can_start < pending.count;
  });
}

}  // namespace

void reserve_limit_headroom(PlacementProblem& problem, QuotaUsage used, const std::vector<MachineType>& types) {
  if (!limit_binds(problem, used)) return;
  const auto score = best_score_of_jobs(problem, types);
  std::vector<std::size_t> order(problem.jobs.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::stable_sort(order, [&](auto a, auto b) { return score[a] > score[b]; });
  std::map<std::string, const Job*>
      blocked_by_limit;  // of each team the best row that its limit does not let start whole
  for (const auto r : order) {
    auto& pending = problem.jobs[r];
    const auto& spec = pending.job->spec;
    if (pending.job->suspect) continue;
    const auto best = blocked_by_limit.find(spec.team);
    if (best != blocked_by_limit.end()) {
      if (needs_more(best->second->spec.need, spec.need)) pending.reserved_headroom = best->second->spec.need;
      continue;
    }
    const auto can_start = std::min(pending.count, used.max_additional_tasks(spec.team, spec.need));
    used.add(spec.team, spec.need, can_start);
    if (can_start < pending.count && spec.kind != JobKind::gang) blocked_by_limit.emplace(spec.team, pending.job);
  }
}

ScoreMatrix build_scores(const PlacementProblem& problem) {
  ScoreMatrix m{problem.jobs.size(), problem.machines.size()};
  for (const auto& h : heuristic_table()) h.apply(problem, m);
  return m;
}

}  // namespace martenwall
