#include "core/scheduler/shortage_prioritizer.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace martenwall {

namespace {

// A job is not deferred after it has waited for this multiple of the time of its last target.
constexpr double max_deferral_factor = 2;
constexpr double min_work_s = 1e-9;  // avoids division by zero for a job without work

load::Amount amount(const Resources& resources) {
  return {std::max(0.0, resources.cpus), std::max(0.0, resources.gpus), std::max(0.0, resources.memory_gb)};
}

// Returns `value`, clamped at 0, or infinity if `limit` is 0, which means no limit.
double or_unlimited(double limit, double value) {
  if (limit > 0) return std::max(0.0, value);
  return std::numeric_limits<double>::infinity();
}

load::Pool pool_of(const Team& team, const Resources& used) {
  const auto& limit = team.limit;
  return {{or_unlimited(limit.cpus, limit.cpus - used.cpus), or_unlimited(limit.gpus, limit.gpus - used.gpus),
           or_unlimited(0, 0)},
          {or_unlimited(limit.cpus, limit.cpus), or_unlimited(limit.gpus, limit.gpus), or_unlimited(0, 0)},
          true};
}

}  // namespace

// Machine capacity by kind. Priorities consume it one after another, from the highest to the lowest.
class ShortagePrioritizer::CapacityByKind {
 public:
  void add(const MachineType& type, const Machine& machine) {
    const auto kind = find_or_add_kind(kinds_, type, machine.zone, machine.spot);
    if (kind >= capacity_.size()) capacity_.resize(kind + 1);
    capacity_[kind].remaining.add(type.capacity);
    for (const auto& placement : machine.placements) {
      if (!placement.occupies()) continue;
      capacity_[kind].used.at(static_cast<std::size_t>(placement.priority)).add(placement.need);
    }
  }

  [[nodiscard]] std::vector<char> allowed_for(const JobSpec& spec) const { return allowed_kinds(spec, kinds_); }
  [[nodiscard]] std::size_t kind_count() const { return kinds_.size(); }

  // Returns the pool of the allowed kinds. Work of lower priorities counts as free, because it can be preempted.
  [[nodiscard]] load::Pool pool(const std::vector<char>& allowed_kinds_mask, Priority priority) const {
    Resources total;
    Resources free;
    for (std::size_t kind = 0; kind < capacity_.size(); ++kind) {
      if (allowed_kinds_mask[kind] == 0) continue;
      total.add(capacity_[kind].remaining);
      free.add(capacity_[kind].remaining);
      free.add(capacity_[kind].used.at(static_cast<std::size_t>(priority)), -1);
    }
    return {amount(free), amount(total)};
  }

  // Subtract what this priority uses or requests; lower priorities get the remainder.
  void subtract_used(Priority priority) {
    for (auto& capacity : capacity_) capacity.remaining.add(capacity.used.at(static_cast<std::size_t>(priority)), -1);
  }
  void subtract_requested(const std::vector<char>& allowed_kinds_mask, const Resources& requested) {
    double gpus = 0;
    double cpus = 0;
    for (std::size_t kind = 0; kind < capacity_.size(); ++kind) {
      if (allowed_kinds_mask[kind] == 0) continue;
      gpus += std::max(0.0, capacity_[kind].remaining.gpus);
      cpus += std::max(0.0, capacity_[kind].remaining.cpus);
    }
    for (std::size_t kind = 0; kind < capacity_.size(); ++kind) {
      if (allowed_kinds_mask[kind] == 0) continue;
      const auto& remaining = capacity_[kind].remaining;
      const double share = gpus > 0   ? std::max(0.0, remaining.gpus) / gpus
                           : cpus > 0 ? std::max(0.0, remaining.cpus) / cpus
                                      : 0;
      capacity_[kind].remaining.add(requested, -share);
    }
  }

 private:
  struct Capacity {
    Resources remaining;            // capacity not consumed by the priorities processed so far
    std::array<Resources, 4> used;  // indexed by priority
  };
  std::vector<MachineKind> kinds_;
  std::vector<Capacity> capacity_;
};

void ShortagePrioritizer::prioritize(PlacementProblem& problem, Time now) const {
  if (problem.jobs.empty()) return;
  CapacityByKind capacity;
  for (const auto& [id, machine] : state_.machines) {
    const auto* type = state_.find_type(machine.type);
    if (type != nullptr && state_.accepts_new_tasks(machine, now)) capacity.add(*type, machine);
  }
  AdmissionInput input;
  QuotaUsage limits = state_.quota_usage;
  for (const auto priority : {Priority::production, Priority::high, Priority::normal, Priority::best_effort}) {
    add_requests(input, problem, priority, capacity, limits, now);
  }
  apply(input, load::plan_admission(input.pools, input.requests, options_.policy.shortage_efficiency), now);
}

void ShortagePrioritizer::add_requests(AdmissionInput& input, PlacementProblem& problem, Priority priority,
                                       CapacityByKind& capacity, QuotaUsage& limits, Time now) const {
  std::map<std::vector<char>, std::size_t> kind_pools;
  const auto pool_index = [&](const std::vector<char>& allowed_kinds_mask) {
    const auto [it, added] = kind_pools.try_emplace(allowed_kinds_mask, input.pools.size());
    if (added) input.pools.push_back(capacity.pool(allowed_kinds_mask, priority));
    return it->second;
  };
  const std::vector<char> all_kinds(capacity.kind_count(), 1);
  std::vector<std::pair<std::vector<char>, Resources>> requested;
  for (auto& pending : problem.jobs) {
    const auto& job = *pending.job;
    if (job.priority != priority || job.suspect) continue;
    const auto allowed_kinds_mask = capacity.allowed_for(job.spec);
    std::vector<std::size_t> pools{pool_index(all_kinds)};
    if (allowed_kinds_mask != all_kinds) pools.push_back(pool_index(allowed_kinds_mask));
    auto request = request_for(input, pending, now);
    request.pools.insert(request.pools.begin(), pools.begin(), pools.end());
    // Counts at most what the team's limit lets the job start. Otherwise arrays of thousands of tasks, in teams with
    // limits of hundreds of CPUs, would leave no capacity to lower priorities, and work that these can finish in time
    // would be deferred.
    const auto startable = std::min(pending.count, limits.max_additional_tasks(job.spec.team, job.spec.need));
    limits.add(job.spec.team, job.spec.need, startable);
    requested.emplace_back(allowed_kinds_mask, job.spec.need.times(startable));
    input.requests.push_back(std::move(request));
    input.jobs.push_back(&pending);
  }
  capacity.subtract_used(priority);
  for (const auto& [allowed_kinds_mask, need] : requested) capacity.subtract_requested(allowed_kinds_mask, need);
}

// Returns the request with its team's pool; the caller adds the machine pools.
load::WorkRequest ShortagePrioritizer::request_for(AdmissionInput& input, const PendingJob& pending, Time now) const {
  const auto& job = *pending.job;
  load::WorkRequest request;
  request.job_class = input.classes.try_emplace(job.spec.job_class, input.classes.size()).first->second;
  if (const auto team = state_.teams.find(job.spec.team); team != state_.teams.end()) {
    const auto [it, added] = input.team_pools.try_emplace(team->first, input.pools.size());
    if (added) input.pools.push_back(pool_of(team->second, state_.quota_usage.used(team->first)));
    request.pools.push_back(it->second);
  }
  request.need = amount(job.spec.need.times(pending.count));
  request.run_s = pending.estimate_s;
  request.latest_start_s = targets_.latest_starts(job, pending.estimate_s, now);
  return request;
}

void ShortagePrioritizer::apply(const AdmissionInput& input, const std::vector<load::AdmissionResult>& results,
                                Time now) const {
  // The value of a job is the number of targets that it can still meet, divided by its work. A job with few remaining
  // tasks therefore precedes one that has hardly started, even if it is already slightly late.
  std::vector<std::pair<double, PendingJob*>> by_value;
  for (std::size_t i = 0; i < input.jobs.size(); ++i) {
    PendingJob& pending = *input.jobs[i];
    const auto& job = *pending.job;
    const auto& targets = input.requests[i].latest_start_s;
    const auto& result = results[i];
    const auto met = static_cast<double>(targets.size() - result.first_met_target);
    // If only a team's limit is short, arrays without a deadline are ordered by their targets as well: none of them can
    // occupy a machine from which work of higher priority then preempts it.
    const bool by_targets = !result.machines_short && job.spec.kind == JobKind::array && !targets.empty();
    if (result.in_short_pool && met > 0 && (job.effective_deadline || by_targets)) {
      by_value.emplace_back(-met / std::max(result.work_s, min_work_s), &pending);
    }
    if (result.first_met_target == 0 || (met > 0 && job.effective_deadline)) continue;
    const double waited_s = to_seconds(now - job.ready_at);
    if (waited_s < max_deferral_factor * (waited_s + targets.back())) {
      pending.expected_missed_targets = static_cast<double>(result.first_met_target);
    }
  }
  std::ranges::stable_sort(by_value, {}, &std::pair<double, PendingJob*>::first);
  const auto count = static_cast<double>(by_value.size());
  for (std::size_t i = 0; i < by_value.size(); ++i) {
    by_value[i].second->shortage_order = 1 - static_cast<double>(i) / count;
  }
}

}  // namespace martenwall
