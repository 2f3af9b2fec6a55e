#include "core/placement/preemption.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace martenwall {

bool may_preempt(const PendingJob& pending, const Victim& victim) {
  const auto& spec = pending.job->spec;
  const auto& p = *victim.placement;
  const auto priority = pending.job->priority;
  if (p.priority != priority) return p.priority < priority && !p.orphan && victim.job != pending.job;
  return pending.within_guarantee && victim.team_over && !victim.guaranteed && !p.orphan && p.team != spec.team;
}

double grace_s(const Policy& policy, const JobSpec& spec) {
  if (spec.checkpoint_interval_s <= 0) return 0;
  const bool cheaper_unsaved =
      policy.unsaved_stops && spec.kind != JobKind::gang && spec.checkpoint_interval_s / 2 < spec.checkpoint_duration_s;
  return cheaper_unsaved ? 0 : spec.checkpoint_duration_s;
}

double lost_work_s(const Policy& policy, const JobSpec* spec, const MachineType& type, const Placement& victim,
                   Time now) {
  if (spec == nullptr) return 0;
  if (victim.state() != TaskState::running) return 1.0;
  const double ran = std::max(0.0, to_seconds(now - victim.running_since));
  // A task with checkpoints saves when it is stopped in order: it loses the saving and the restart.
  const double grace = grace_s(policy, *spec);
  const double unsaved = spec->checkpoint_interval_s > 0 ? std::min(ran, spec->checkpoint_interval_s / 2) : ran;
  const double lost = (grace > 0 ? grace : unsaved) + 5.0;
  const double gang = spec->kind == JobKind::gang ? spec->tasks : 1;
  return lost * gang * std::max(1.0, size_on(type, spec->need));
}

namespace {

constexpr std::size_t most_machines = 32;  // cleared for one array at a time

struct Candidate {
  const VictimMachine* machine = nullptr;
  std::size_t victims = 0;  // how far down its list
  std::uint32_t tasks = 0;  // that get room
  double lost = 0;
  double cost = 0;
  [[nodiscard]] double cost_each() const { return cost / tasks; }
};

// Takes further victims of the machine until one more task fits; false where that cannot be.
bool clear_for_one(const PendingJob& pending, const VictimMachine& m, Resources& room, Candidate& c) {
  const auto& need = pending.job->spec.need;
  while (!need.fits_in(room)) {
    if (c.victims == m.victims.size()) return false;
    const auto& v = m.victims[c.victims++];
    if (v.placement->stop_requested) {  // chosen for another row a moment ago, with the rest of its gang
      room.add(v.placement->need);
      continue;
    }
    if (!may_preempt(pending, v)) continue;
    room.add(v.placement->need);
    c.lost += v.lost;
  }
  room.add(need, -1);
  ++c.tasks;
  return true;
}

// The cheapest set of victims on one machine that makes room for `wanted` tasks, or for as many as there can be.
std::optional<Candidate> clear_machine(const PendingJob& pending, const VictimMachine& m, std::uint32_t wanted) {
  Candidate out;
  out.machine = &m;
  Resources room = m.room;
  while (out.tasks < wanted) {
    Candidate more = out;
    if (!clear_for_one(pending, m, room, more)) break;
    out = more;
  }
  if (out.tasks == 0) return std::nullopt;
  const auto& job = *pending.job;
  const bool cold = job.spec.image_gb > 0 && !m.machine->has_image(job.image) && m.type->fetch_gb_per_s > 0;
  const double fetch_s = cold ? job.spec.image_gb / m.type->fetch_gb_per_s : 0;
  out.cost = out.lost + fetch_s * std::max(1.0, size_on(*m.type, job.spec.need) * out.tasks);
  return out;
}

// `there`: its other tasks, by zone.
std::optional<PreemptionPlan> cheapest(const PendingJob& pending, std::vector<Candidate> candidates, std::size_t wanted,
                                       bool all, ZoneCounts there) {
  std::ranges::stable_sort(candidates, {}, &Candidate::cost_each);
  PreemptionPlan out;
  std::size_t tasks = 0;
  for (const auto& c : candidates) {
    if (tasks >= wanted || (!all && out.machines.size() >= most_machines)) break;
    const auto& zone = c.machine->machine->zone;
    if (!zone_allows(pending.job->spec, there, zone)) continue;
    there[zone] += c.tasks;
    tasks += c.tasks;
    out.machines.push_back(c.machine->machine);
    for (std::size_t v = 0; v < c.victims; ++v) {
      const auto& victim = c.machine->victims[v];
      if (!victim.placement->stop_requested && may_preempt(pending, victim))
        out.victims.emplace_back(c.machine->machine->id, victim.placement->task);
    }
    out.cost += c.cost;
  }
  if (tasks == 0 || (all && tasks < wanted)) return std::nullopt;
  return out;
}

}  // namespace

std::optional<PreemptionPlan> plan_preemption(const VictimTable& table, const PendingJob& pending, std::uint32_t wanted,
                                              const ZoneCounts& there) {
  const auto& spec = pending.job->spec;
  const bool gang = spec.kind == JobKind::gang;
  std::map<std::string, std::vector<Candidate>> by_zone;
  const MachineType* type = nullptr;
  bool type_fits = false;
  for (const auto& m : table) {
    if (m.machine->reserved_for) continue;
    if (std::exchange(type, m.type) != m.type) type_fits = type_allows(spec, *m.type);
    if (!type_fits || !place_allows(spec, m.machine->zone, m.machine->spot)) continue;
    const auto c = clear_machine(pending, m, gang ? 1 : wanted);
    if (!c) continue;
    auto group = spec.one_zone ? m.machine->zone : std::string{};
    if (pending.uniform_image && m.machine->has_image(pending.job->image)) group += " cached";
    by_zone[std::move(group)].push_back(*c);
  }
  std::optional<PreemptionPlan> best;
  for (auto& [zone, candidates] : by_zone) {
    auto e = cheapest(pending, std::move(candidates), wanted, gang, there);
    if (e && (!best || e->cost < best->cost)) best = std::move(e);
  }
  return best;
}

}  // namespace martenwall
