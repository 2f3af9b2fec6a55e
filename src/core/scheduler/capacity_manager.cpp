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
// Multiple of the nominal boot time after which a booting machine is left out of the forecast.
constexpr double boot_overdue_factor = 1.8;
constexpr Duration min_remaining_boot = seconds(2);  // minimum remaining time assumed for a booting machine
constexpr double default_boot_s = 60;                // boot time assumed for a machine of unknown type
constexpr std::size_t max_release_batch = 100;
// The load counts as quiet after `min_quiet_s` plus this many mean submission intervals without a submission.
constexpr double quiet_submission_intervals = 15;
constexpr double min_quiet_s = 5;
// If more than one in this many machines is unreachable, the machines are assumed not to be at fault.
constexpr std::size_t min_machines_per_unreachable = 4;

// Returns the index into arrays that distinguish ordinary (0) and spot (1) machines.
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
    // A machine type without GPUs is checked by its CPUs.
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
    // A machine that takes much longer than its type's boot time may never come up.
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
    // No machines are requested for a suspect job, which is likely to fail again, unless there is no machine to try it
    // on.
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
    // The cloud accepts only a few calls per second. By the time a long queue of requests is answered, other work needs
    // the machines, and half of the requests are refused in the type and zone in which the first ones were already
    // refused. Demand beyond the limit is planned again later with up-to-date information.
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
  next_plan_ = now;  // retry immediately: another type or zone may serve the same work
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

// Returns whether the machine should be released regardless of the load.
bool CapacityManager::should_release(const Machine& machine, Time now) const {
  const auto* type = state_.find_type(machine.type);
  const double boot_s = type != nullptr ? type->boot_s : default_boot_s;
  switch (machine.phase()) {
    case MachinePhase::booting:
      return now - machine.first_known > seconds(boot_s * options_.policy.boot_timeout_factor);
    case MachinePhase::draining:
      return machine.empty();
    case MachinePhase::lost:
      // A machine without a heartbeat for longer than its lease may be partitioned or hung. If it recovers, its cached
      // images are available sooner than on a new machine, which has to boot first. A dead machine is listed as failed
      // by then and released at once (MachineInventory). When a zone was partitioned for 56 s, its machines were
      // released 26 s before the partition healed.
      return now - machine.phase_since > options_.policy.lost_timeout;
    case MachinePhase::up:
      // An unreachable machine costs as much as any other. If many are unreachable, the machines are not at fault, so
      // they are kept.
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

// Returns whether no job was submitted for much longer than the mean submission interval. If jobs arrive every half
// second, ten seconds without one are as significant as minutes are elsewhere.
bool CapacityManager::is_quiet(Time now) const {
  const auto scaled_quiet_period =
      seconds(min_quiet_s + quiet_submission_intervals * state_.mean_submission_interval_s);
  return now - state_.last_submission > std::min(options_.policy.quiet_period, scaled_quiet_period);
}

// Releases idle machines. Machines beyond the expected growth of the load during one boot time are released sooner,
// because they cost more than they can save.
void CapacityManager::release_idle(std::vector<Machine*> idle, Time now) {
  const auto& policy = options_.policy;
  double boot_s = 0;
  for (const auto& type : state_.types) boot_s = std::max(boot_s, type.boot_s);
  const auto horizon = static_cast<std::size_t>(boot_s * boot_time_factor);
  std::array<double, 2> reserve{};
  for (const std::size_t pricing : {0U, 1U}) {
    reserve.at(pricing) = load_history_.at(pricing).reserve(horizon, policy.reserve_deviations);
  }
  // Machines that became idle most recently are kept first. Placement prefers them too, so the others reach their idle
  // limit.
  std::ranges::stable_sort(idle, std::greater{}, &Machine::idle_since);
  const auto max_idle = is_quiet(now) ? std::min(policy.quiet_idle_release, policy.idle_release) : policy.idle_release;
  std::array<std::size_t, 2> ranked{};
  for (auto* machine : idle) {
    const auto pricing = pricing_index(*machine);
    const auto rank = static_cast<double>(++ranked.at(pricing));
    // Ordinary machines can run any job, so the warm machines are chosen among them.
    if (!machine->spot && rank <= policy.warm_machines) continue;
    const auto idle_limit = rank <= reserve.at(pricing) ? max_idle : std::min(max_idle, policy.surplus_release);
    if (now - machine->idle_since < idle_limit || now < machine->keep_until) continue;
    log_.machine_releasing(*machine, "idle");
    machine->transition_to(MachinePhase::releasing, now);
  }
}

// ---- fleet samples ----

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
