#include "core/scheduler/capacity_manager.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "core/placement/matcher.hpp"

namespace martenwall {

namespace {
constexpr Duration plan_interval = seconds(0.5);
constexpr Duration sample_interval = seconds(1);
constexpr Duration summary_interval = seconds(10);
constexpr double boot_overdue_factor = 1.8;  // times the nominal boot time after which a machine is not counted on
constexpr Duration min_remaining_boot = seconds(2);  // that a booting machine is expected to take at least
constexpr double default_boot_s = 60;                // of a machine whose type is not known
constexpr std::size_t max_release_batch = 100;
constexpr double quiet_submission_intervals = 15;  // usual gaps between submissions without one: the users are quiet
constexpr double min_quiet_s = 5;
constexpr std::size_t min_machines_per_unreachable =
    4;  // with more than one in so many unreachable, the fault is elsewhere

// Index into the arrays that tell ordinary and spot machines apart.
std::size_t pricing_index(const Machine& machine) { return machine.spot ? 1 : 0; }
}  // namespace

void CapacityManager::plan(PlacementProblem& problem, QuotaUsage& used, Time now) {
  if (now < next_plan_) return;
  next_plan_ = now + plan_interval;
  plan_scale_out(problem, used, now);
  plan_scale_in(now);
}

// ---- scale-out ----

std::vector<CapacityForecast> CapacityManager::forecast(const PlacementProblem& problem, Time now) const {
  std::vector<CapacityForecast> out;
  for (const auto& candidate : problem.machines) {
    const auto& machine = *candidate.machine;
    // Machines without GPUs have room too.
    const double free = candidate.type->capacity.gpus > 0 ? candidate.free.gpus : candidate.free.cpus;
    if (machine.reserved_for || free <= 0) continue;
    out.push_back({candidate.type, machine.zone, machine.spot, candidate.free, now, false,
                   machine.empty() ? candidate.machine : nullptr});
  }
  add_booting(out, now);
  for (const auto& [name, request] : pending_) {
    const auto* type = state_.find_type(request.type);
    if (type == nullptr) continue;
    const Time ready = now + seconds(type->boot_s * boot_time_factor);
    out.insert(out.end(), request.count, {type, request.zone, request.spot, type->capacity, ready, false});
  }
  return out;
}

void CapacityManager::add_booting(std::vector<CapacityForecast>& out, Time now) const {
  for (const auto& [id, machine] : state_.machines) {
    const auto* type = state_.find_type(machine.type);
    if (type == nullptr || machine.phase() != MachinePhase::booting) continue;
    // One that takes much longer than its kind does may never come: plan without it.
    if (now - machine.first_known > seconds(type->boot_s * boot_overdue_factor)) continue;
    const Time ready =
        std::max(now + min_remaining_boot, machine.first_known + seconds(type->boot_s * boot_time_factor));
    out.push_back({type, machine.zone, machine.spot, type->capacity, ready, false});
  }
}

std::vector<Demand> CapacityManager::unmet_demand(const PlacementProblem& problem, QuotaUsage& used) {
  std::vector<Demand> out;
  const bool any_machine = std::ranges::any_of(state_.machines, [](const auto& entry) {
    return entry.second.phase() == MachinePhase::up || entry.second.phase() == MachinePhase::booting;
  });
  for (const auto& pending : problem.jobs) {
    const auto& spec = pending.job->spec;
    if (pending.count == 0 || preemptor_.is_preempting_for(spec.id)) continue;
    // Nothing is hired for a job that most likely fails again, unless there is nothing to try it on.
    if (pending.job->suspect && any_machine) continue;
    const auto startable = std::min(pending.count, used.max_additional_tasks(spec.team, spec.need));
    if (startable == 0 && !std::exchange(pending.job->limit_logged, true)) log_.job_at_quota_limit(spec);
    if (startable == 0 || (spec.kind == JobKind::gang && startable < spec.tasks)) continue;
    used.add(spec.team, spec.need, startable);
    auto zones = spec.one_zone || spec.spread ? count_tasks_by_zone(*pending.job, state_.machines) : ZoneCounts{};
    std::string required_zone = spec.one_zone && !zones.empty() ? zones.begin()->first : std::string{};
    out.push_back({&spec, pending.job, startable, std::move(required_zone), pending.spot_only, std::move(zones)});
  }
  return out;
}

void CapacityManager::plan_scale_out(const PlacementProblem& problem, QuotaUsage& used, Time now) {
  const auto demands = unmet_demand(problem, used);
  if (demands.empty()) return;
  FleetView view{now, options_.policy, state_.types, refusals_, {}, forecast(problem, now)};
  for (const auto& [id, machine] : state_.machines) ++view.machines_by_zone[machine.zone];
  for (auto& request : pack_scale_out_requests(view, demands)) {
    // The cloud takes a few calls a second. A long queue is answered when others want the machines, and half of it is
    // refused where its head was: what is not asked for now is planned again with what is known then.
    if (pending_.size() >= options_.max_pending_scale_outs) break;
    request.name = "hire-" + std::to_string(options_.token.value()) + "-" + std::to_string(++last_serial_);
    log_.scale_out_requested(request);
    pending_.emplace(request.name, request);
    requests_.push_back(std::move(request));
  }
}

std::vector<ScaleOutRequest> CapacityManager::take_scale_out_requests() { return std::exchange(requests_, {}); }

void CapacityManager::on_scale_out_granted(const ScaleOutRequest& request, const std::vector<MachineId>& ids,
                                           Time now) {
  on_scale_out_abandoned(request);
  for (const auto& id : ids) {
    if (state_.released_machines.contains(id)) continue;
    auto [it, added] = state_.machines.try_emplace(id, id);
    if (!added) continue;
    Machine& machine = it->second;
    machine.type = request.type;
    machine.zone = request.zone;
    machine.spot = request.spot;
    machine.first_known = machine.last_report_at = machine.idle_since = machine.lease_renewed_at = now;
  }
  if (ids.size() < request.count) on_scale_out_refused(request, now);
}

void CapacityManager::on_scale_out_refused(const ScaleOutRequest& request, Time now) {
  on_scale_out_abandoned(request);
  refusals_.refused_until[{request.type, request.zone, request.spot}] = now + options_.policy.capacity_retry;
  next_plan_ = now;  // the same work may be served elsewhere
  state_.needs_cycle = true;
}

void CapacityManager::on_scale_out_abandoned(const ScaleOutRequest& request) { pending_.erase(request.name); }

// ---- scale-in ----

std::vector<MachineId> CapacityManager::scale_in_candidates() const {
  std::vector<MachineId> out;
  for (const auto& [id, machine] : state_.machines) {
    if (out.size() == max_release_batch) break;
    if (machine.phase() == MachinePhase::releasing) out.push_back(id);
  }
  return out;
}

bool CapacityManager::few_machines_unreachable() const {
  const auto count =
      std::ranges::count_if(state_.machines, [](const auto& entry) { return entry.second.downlink.is_unreachable(); });
  return static_cast<std::size_t>(count) * min_machines_per_unreachable <= state_.machines.size();
}

// Whether the machine is of no use any more, whatever work there is.
bool CapacityManager::should_release(const Machine& machine, Time now) const {
  const auto* type = state_.find_type(machine.type);
  const double boot_s = type != nullptr ? type->boot_s : default_boot_s;
  switch (machine.phase()) {
    case MachinePhase::booting:
      return now - machine.first_known > seconds(boot_s * options_.policy.boot_timeout_factor);
    case MachinePhase::draining:
      return machine.empty();
    case MachinePhase::lost:
      // Silent for longer than its lease, it may be cut off or hang, and comes back with its images sooner than another
      // boots; one that is dead is listed as failed by then and goes at once (MachineInventory). Machines of a zone
      // that was cut off for 56 s were released 26 s before it healed.
      return now - machine.phase_since > options_.policy.lost_timeout;
    case MachinePhase::up:
      // One that receives nothing costs as much as another; but where many are unreachable the fault is elsewhere.
      return machine.downlink.is_unreachable() && machine.empty() &&
             now - machine.downlink.since() > options_.policy.lost_timeout && few_machines_unreachable();
    case MachinePhase::releasing:
      return false;
  }
  return false;
}

void CapacityManager::plan_scale_in(Time now) {
  std::vector<Machine*> idle;
  for (auto& [id, machine] : state_.machines) {
    const auto phase = machine.phase();
    if (should_release(machine, now)) {
      log_.machine_releasing(machine, phase == MachinePhase::up ? "unreachable" : name_of(phase));
      machine.transition_to(MachinePhase::releasing, now);
    } else if (phase == MachinePhase::up && machine.has_reported && machine.downlink.is_reachable() &&
               machine.empty() && !machine.reserved_for) {
      idle.push_back(&machine);
    }
  }
  release_idle(std::move(idle), now);
}

// Nothing was submitted for much longer than usual: where jobs come each half second, ten seconds tell as much as
// minutes do elsewhere.
bool CapacityManager::is_quiet(Time now) const {
  const auto quiet_period = seconds(min_quiet_s + quiet_submission_intervals * state_.mean_submission_interval_s);
  return now - state_.last_submission > std::min(options_.policy.quiet_period, quiet_period);
}

// Beyond what the load may grow by while a machine boots, idle machines cost more than they can save.
void CapacityManager::release_idle(std::vector<Machine*> idle, Time now) {
  const auto& policy = options_.policy;
  double boot_s = 0;
  for (const auto& type : state_.types) boot_s = std::max(boot_s, type.boot_s);
  const auto horizon = static_cast<std::size_t>(boot_s * boot_time_factor);
  std::array<double, 2> reserve{};
  for (const std::size_t pricing : {0U, 1U}) {
    reserve.at(pricing) = load_history_.at(pricing).reserve(horizon, policy.reserve_deviations);
  }
  // The one that idled shortest is kept first: placements prefer it too, so the others' time comes.
  std::ranges::stable_sort(idle, std::greater{}, &Machine::idle_since);
  const auto max_idle = is_quiet(now) ? std::min(policy.quiet_idle_release, policy.idle_release) : policy.idle_release;
  std::array<std::size_t, 2> ranked{};
  for (auto* machine : idle) {
    const auto pricing = pricing_index(*machine);
    const auto rank = static_cast<double>(++ranked.at(pricing));
    // Ordinary machines serve everyone, so they are the ones to keep warm.
    if (!machine->spot && rank <= policy.warm_machines) continue;
    const auto idle_limit = rank <= reserve.at(pricing) ? max_idle : std::min(max_idle, policy.surplus_release);
    if (now - machine->idle_since < idle_limit || now < machine->keep_until) continue;
    log_.machine_releasing(*machine, "idle");
    machine->transition_to(MachinePhase::releasing, now);
  }
}

// ---- samples ----

void CapacityManager::record_fleet_demand(const PlacementProblem& problem, const WriteQueue& writes, Time now) {
  next_sample_ = now + sample_interval;
  FleetSample sample;
  for (const auto& [id, machine] : state_.machines) {
    if (machine.phase() == MachinePhase::booting) ++sample.booting;
    if (machine.phase() != MachinePhase::up && machine.phase() != MachinePhase::draining) continue;
    auto& counter = machine.empty() ? (machine.spot ? sample.idle_spot : sample.idle)
                                    : (machine.spot ? sample.busy_spot : sample.busy);
    ++counter;
  }
  load_history_.at(0).add(static_cast<double>(sample.busy));
  load_history_.at(1).add(static_cast<double>(sample.busy_spot));
  if (now < next_summary_) return;
  next_summary_ = now + summary_interval;
  log_.store_backlog(writes, now);
  log_.task_summary(std::exchange(state_.task_counts, {}));
  for (const auto& pending : problem.jobs) {
    sample.pending_tasks += pending.count;
    if (pending.expected_missed_targets > 0) ++sample.deferred_jobs;
  }
  sample.pending_jobs = problem.jobs.size();
  log_.fleet_summary(sample);
}

}  // namespace martenwall
