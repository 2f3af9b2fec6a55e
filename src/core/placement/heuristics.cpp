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

double deadline_curve(const Policy& policy, double extime_s, double deadline_s, double nxtime_s) {
  const double start = deadline_s - policy.deadline_k * nxtime_s;
  if (extime_s <= start || extime_s > deadline_s || deadline_s <= start) return policy.deadline_min;
  const double slope = (policy.deadline_max - policy.deadline_min) / (deadline_s - start);
  return slope * (extime_s - start) + policy.deadline_min;
}

namespace {

template <class F>
void for_allowed(const PlacementProblem& problem, const ScoreMatrix& matrix, std::size_t row, F&& visit) {
  for (std::size_t c = 0; c < problem.machines.size(); ++c) {
    if (matrix.allowed(row, c)) visit(c);
  }
}

// Adds one value per row, the same for every allowed machine.
template <class F>
void add_per_row(const PlacementProblem& problem, ScoreMatrix& matrix, F&& value) {
  for (std::size_t r = 0; r < problem.jobs.size(); ++r) {
    const double score = value(problem.jobs[r]);
    for_allowed(problem, matrix, r, [&](std::size_t c) { matrix.at(r, c) += score; });
  }
}

double deadline_score(const PlacementProblem& problem, const PendingJob& pending) {
  const auto& job = *pending.job;
  // The curve lets each job wait until shortly before its deadline: in a shortage, all jobs would then be slightly
  // late. Jobs with the least work are served first instead, so that as many as possible are in time.
  if (pending.shortage_order) {
    return problem.policy.deadline_min +
           *pending.shortage_order * (problem.policy.deadline_max - problem.policy.deadline_min);
  }
  if (!job.effective_deadline) return problem.policy.deadline_min;
  // Measured from submission. The benchmark ratio is 1, so Nxtime is the same on every machine.
  const double extime_s = to_seconds(problem.now - job.submitted) + pending.estimate_s;
  return deadline_curve(problem.policy, extime_s, to_seconds(*job.effective_deadline - job.submitted),
                        pending.estimate_s);
}

double quantized_idle_s(const PlacementProblem& problem, const Machine& machine) {
  const double idle_s = std::max(0.0, to_seconds(problem.now - machine.idle_since));
  return problem.idle_granularity_s > 0 ? std::floor(idle_s / problem.idle_granularity_s) * problem.idle_granularity_s
                                        : idle_s;
}

}  // namespace

namespace heuristics {

void minimal_requirements(const PlacementProblem& problem, ScoreMatrix& matrix) {
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
      // A task does not return to a machine on which its job failed, unless the job fails everywhere.
      const bool failed_here = !job.suspect && !job.failed_on.empty() && job.failed_on.contains(candidate.machine->id);
      if (!reserved && !failed_here) matrix.allow(r, c);
    }
  }
}

void deadline(const PlacementProblem& problem, ScoreMatrix& matrix) {
  for (std::size_t r = 0; r < problem.jobs.size(); ++r) {
    const double f1 = deadline_score(problem, problem.jobs[r]);
    const double inverse = problem.policy.deadline_max - f1;
    std::size_t fitting = 0;
    for_allowed(problem, matrix, r, [&](std::size_t) { ++fitting; });
    if (fitting == 0) continue;
    const auto machine_count = static_cast<double>(fitting);
    const double urgency = f1 * machine_count;       // sum of f1 over the allowed machines
    const double divisor = inverse * machine_count;  // sum of Max - f1
    const double share = divisor > 0 ? inverse / divisor : 1.0 / machine_count;
    for_allowed(problem, matrix, r, [&](std::size_t c) { matrix.at(r, c) += urgency * share; });
  }
}

void wait_minimization(const PlacementProblem& problem, ScoreMatrix& matrix) {
  double max_estimate_s = 0;
  for (const auto& pending : problem.jobs) max_estimate_s = std::max(max_estimate_s, pending.estimate_s);
  if (max_estimate_s <= 0) return;
  add_per_row(problem, matrix, [&](const PendingJob& pending) {
    return problem.policy.wait_weight * (1 - pending.estimate_s / max_estimate_s);
  });
}

void input(const PlacementProblem& problem, ScoreMatrix& matrix) {
  for (std::size_t r = 0; r < problem.jobs.size(); ++r) {
    const auto& job = *problem.jobs[r].job;
    for_allowed(problem, matrix, r, [&](std::size_t c) {
      // An image being fetched scores half of a cached one: its task holds the slot during the fetch.
      const auto state = problem.machines[c].machine->image_state(job.image);
      const double score = job.spec.image_gb <= 0 || state == Machine::ImageState::ready ? 1.0
                           : state == Machine::ImageState::fetching                      ? 0.5
                                                                                         : 0.0;
      matrix.at(r, c) += problem.policy.input_weight * score;
    });
  }
}

void anti_aging(const PlacementProblem& problem, ScoreMatrix& matrix) {
  add_per_row(problem, matrix, [&](const PendingJob& pending) {
    const double waited_s = to_seconds(problem.now - pending.job->waiting_since);
    return std::min(problem.policy.aging_cap, problem.policy.aging_weight * std::max(0.0, waited_s));
  });
}

void priority(const PlacementProblem& problem, ScoreMatrix& matrix) {
  add_per_row(problem, matrix, [&](const PendingJob& pending) {
    return problem.policy.priority_weight * static_cast<double>(pending.job->priority);
  });
}

void guarantee(const PlacementProblem& problem, ScoreMatrix& matrix) {
  add_per_row(problem, matrix, [&](const PendingJob& pending) {
    return pending.within_guarantee ? problem.policy.guarantee_weight : 0.0;
  });
}

void packing(const PlacementProblem& problem, ScoreMatrix& matrix) {
  std::vector<double> scores;
  scores.reserve(problem.machines.size());
  for (const auto& candidate : problem.machines) {
    const double free_cpus =
        candidate.type->capacity.cpus > 0 ? candidate.free.cpus / candidate.type->capacity.cpus : 0;
    const double free_gpus =
        candidate.type->capacity.gpus > 0 ? candidate.free.gpus / candidate.type->capacity.gpus : free_cpus;
    // Prefers the empty machines that became idle most recently, so that the others stay idle and can be released.
    const double recently_used =
        candidate.machine->empty() ? 0.2 / (1 + quantized_idle_s(problem, *candidate.machine) / 10) : 0.0;
    scores.push_back(problem.policy.packing_weight * (1 - std::min(free_cpus, free_gpus) + recently_used));
  }
  for (std::size_t r = 0; r < problem.jobs.size(); ++r) {
    for_allowed(problem, matrix, r, [&](std::size_t c) { matrix.at(r, c) += scores[c]; });
  }
}

// Lowers the scores of jobs that are expected to miss targets, so that work that can be in time is done first.
void shortage(const PlacementProblem& problem, ScoreMatrix& matrix) {
  if (problem.policy.shortage_weight <= 0) return;
  add_per_row(problem, matrix, [&](const PendingJob& pending) {
    return -problem.policy.shortage_weight * pending.expected_missed_targets;
  });
}

// Raises the score of a first task that is overdue, so that each job begins even under overload: users are promised
// that the largest jobs also begin within four minutes.
void beginning(const PlacementProblem& problem, ScoreMatrix& matrix) {
  if (problem.policy.begin_weight <= 0) return;
  add_per_row(problem, matrix,
              [&](const PendingJob& pending) { return pending.begin_overdue ? problem.policy.begin_weight : 0.0; });
}

// Places jobs that fail on every machine after all others.
void suspicion(const PlacementProblem& problem, ScoreMatrix& matrix) {
  constexpr double suspect_penalty = 1000;
  add_per_row(problem, matrix,
              [&](const PendingJob& pending) { return pending.job->suspect ? -suspect_penalty : 0.0; });
}

void spot_preference(const PlacementProblem& problem, ScoreMatrix& matrix) {
  for (std::size_t r = 0; r < problem.jobs.size(); ++r) {
    for_allowed(problem, matrix, r, [&](std::size_t c) {
      if (problem.machines[c].machine->spot) matrix.at(r, c) += problem.policy.spot_weight;
    });
  }
}

}  // namespace heuristics

namespace {

// Returns by zone the columns on which one task of the row fits into `free`, those with its image first. If the job is
// not restricted to one zone, all columns are under an empty name.
std::map<std::string, std::vector<std::size_t>> gang_candidate_columns(const PlacementProblem& problem,
                                                                       const PendingJob& pending,
                                                                       const std::vector<Resources>& free) {
  const auto& job = *pending.job;
  const auto allowed = allowed_kinds(job.spec, problem.kinds);
  std::map<std::string, std::vector<std::size_t>> by_zone;
  std::vector<std::vector<std::size_t>*> columns_of_kind(problem.kinds.size(), nullptr);
  for (std::size_t c = 0; c < problem.machines.size(); ++c) {
    const auto& candidate = problem.machines[c];
    if (allowed[candidate.kind] == 0 || !job.spec.need.fits_in(free[c])) continue;
    const auto& machine = *candidate.machine;
    if (machine.reserved_for && *machine.reserved_for != job.spec.id) continue;
    auto& columns = columns_of_kind[candidate.kind];
    if (columns == nullptr) columns = &by_zone[job.spec.one_zone ? machine.zone : std::string{}];
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

// Returns the best score of each row on an empty machine, whether or not one is free.
std::vector<double> best_scores_of_jobs(const PlacementProblem& problem, const std::vector<MachineType>& types) {
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
    const auto startable = std::min(pending.count, used.max_additional_tasks(spec.team, spec.need));
    used.add(spec.team, spec.need, startable);
    return startable < pending.count;
  });
}

}  // namespace

void reserve_limit_headroom(PlacementProblem& problem, QuotaUsage used, const std::vector<MachineType>& types) {
  if (!limit_binds(problem, used)) return;
  const auto scores = best_scores_of_jobs(problem, types);
  std::vector<std::size_t> order(problem.jobs.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::stable_sort(order, [&](auto a, auto b) { return scores[a] > scores[b]; });
  std::map<std::string, const Job*> blocked_by_limit;  // by team, the best row that cannot start all its tasks
  for (const auto r : order) {
    auto& pending = problem.jobs[r];
    const auto& spec = pending.job->spec;
    if (pending.job->suspect) continue;
    const auto best = blocked_by_limit.find(spec.team);
    if (best != blocked_by_limit.end()) {
      if (needs_more(best->second->spec.need, spec.need)) pending.reserved_headroom = best->second->spec.need;
      continue;
    }
    const auto startable = std::min(pending.count, used.max_additional_tasks(spec.team, spec.need));
    used.add(spec.team, spec.need, startable);
    if (startable < pending.count && spec.kind != JobKind::gang) blocked_by_limit.emplace(spec.team, pending.job);
  }
}

ScoreMatrix build_scores(const PlacementProblem& problem) {
  ScoreMatrix matrix{problem.jobs.size(), problem.machines.size()};
  for (const auto& heuristic : heuristic_table()) heuristic.apply(problem, matrix);
  return matrix;
}

}  // namespace martenwall
