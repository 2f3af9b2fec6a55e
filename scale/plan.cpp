#include "scale/plan.hpp"

#include "wire/cloud_codec.hpp"

namespace martenwall::scale {

namespace {

using nlohmann::json;

template <class T>
T value(const json& object, const char* name) {
  if (!object.is_object() || !object.contains(name)) throw PlanError(std::string{"plan: '"} + name + "' is missing");
  try {
    return object.at(name).get<T>();
  } catch (const json::exception&) {
    throw PlanError(std::string{"plan: '"} + name + "' is of the wrong type");
  }
}

template <class T>
T value_or(const json& object, const char* name, T fallback) {
  return object.contains(name) ? value<T>(object, name) : fallback;
}

Resources resources(const json& o) {
  return {value_or(o, "cpus", 0.0), value_or(o, "gpus", 0.0), value_or(o, "memory_gb", 0.0)};
}

std::vector<Team> teams_of(const json& list) {
  std::vector<Team> out;
  for (const auto& t : list) {
    out.push_back({value<std::string>(t, "name"),
                   {value_or(t, "cpus", 0.0), value_or(t, "gpus", 0.0), 0},
                   {value_or(t, "cpus_max", 0.0), value_or(t, "gpus_max", 0.0), 0}});
  }
  return out;
}

Priority rank_of(const std::string& name) {
  if (name == "prod") return Priority::production;
  if (name == "high") return Priority::high;
  if (name == "normal") return Priority::normal;
  if (name == "best_effort") return Priority::best_effort;
  throw PlanError("plan: 'rank' must be prod, high, normal or best_effort");
}

JobClass class_of(const json& o) {
  JobClass c;
  c.name = value<std::string>(o, "name");
  c.spec.job_class = c.name;
  c.spec.kind = value<std::string>(o, "shape") == "gang" ? JobKind::gang : JobKind::array;
  c.spec.priority = rank_of(value<std::string>(o, "rank"));
  c.spec.need = resources(o);
  c.spec.one_zone = value_or(o, "one_zone", false);
  c.spec.spread = value_or(o, "spread", false);
  if (o.contains("types")) c.spec.types = value<std::vector<std::string>>(o, "types");
  c.spec.checkpoint_interval_s = value_or(o, "checkpoint_s", 0.0);
  c.spec.checkpoint_duration_s = value_or(o, "save_s", 0.0);
  if (o.contains("deadline_s")) c.spec.deadline_s = value<double>(o, "deadline_s");
  c.per_second = value<double>(o, "per_second");
  c.at_start = value_or(o, "at_start", std::size_t{0});
  c.sizes = value<std::vector<std::uint32_t>>(o, "sizes");
  c.weights = value_or(o, "weights", std::vector<double>(c.sizes.size(), 1.0));
  if (c.sizes.empty() || c.weights.size() != c.sizes.size()) throw PlanError("plan: 'weights' must match 'sizes'");
  c.run_median_s = value<double>(o, "run_median_s");
  c.run_most_s = value_or(o, "run_most_s", 2 * c.run_median_s);
  c.images = value_or(o, "images", std::size_t{1});
  c.image_gb = value_or(o, "image_gb", 1.0);
  c.cancelled = value_or(o, "cancelled", 0.0);
  return c;
}

Event event_of(const json& o) {
  Event e;
  const auto kind = value<std::string>(o, "kind");
  e.at_s = value<double>(o, "at_s");
  e.for_s = value_or(o, "for_s", 0.0);
  if (kind == "cut_zone") {
    e.zone = value<std::string>(o, "zone");
  } else if (kind == "restart_workers") {
    e.kind = Event::Kind::restart_workers;
    e.part_per_minute = value<double>(o, "part_per_minute");
  } else if (kind == "limits") {
    e.kind = Event::Kind::limits;
    e.teams = teams_of(value<json>(o, "teams"));
  } else {
    throw PlanError("plan: unknown 'kind' of event: " + kind);
  }
  return e;
}

}  // namespace

StorePlan parse_store_plan(const json& plan) {
  StorePlan p;
  p.listen = value<std::string>(plan, "listen");
  p.control = value<std::string>(plan, "control");
  p.limits.requests_per_s = value<double>(plan, "requests_per_s");
  p.limits.changes_per_s = value<double>(plan, "changes_per_s");
  p.limits.value_bytes = value<std::size_t>(plan, "value_bytes");
  p.limits.txn_changes = value<std::size_t>(plan, "txn_changes");
  p.latency = seconds(value_or(plan, "latency_ms", 0.0) / 1000);
  return p;
}

CellPlan parse_cell_plan(const json& plan) {
  CellPlan p;
  p.cloud_listen = value<std::string>(plan, "cloud_listen");
  p.result = value<std::string>(plan, "result");
  for (const auto& c : value<json>(plan, "controllers")) {
    p.controllers.push_back({value<std::string>(c, "name"), value<std::string>(c, "users")});
  }
  const auto w = value<json>(plan, "workers");
  p.timings = {value<double>(w, "report_s"), value<double>(w, "lease_s"), value<double>(w, "gang_wait_s"),
               value<double>(w, "gang_peer_s"), value<double>(w, "cancel_s")};
  p.flavors = value<json>(plan, "flavors").dump();
  const auto types = wire::parse_types(p.flavors);
  if (!types) throw PlanError("plan: 'flavors' cannot be read");
  p.types = *types;
  p.zones = value<std::vector<std::string>>(plan, "zones");
  if (p.zones.empty()) throw PlanError("plan: 'zones' is empty");
  for (const auto& m : value<json>(plan, "machines")) {
    p.machines.push_back(
        {value<std::string>(m, "type"), value<std::size_t>(m, "count"), value_or(m, "spare", std::size_t{0})});
    const bool known =
        std::ranges::any_of(p.types, [&](const MachineType& t) { return t.name == p.machines.back().type; });
    if (!known) throw PlanError("plan: 'machines' names an unknown type: " + p.machines.back().type);
  }
  p.teams = teams_of(value<json>(plan, "teams"));
  if (p.teams.empty()) throw PlanError("plan: 'teams' is empty");
  for (const auto& c : value<json>(plan, "classes")) p.classes.push_back(class_of(c));
  for (const auto& e : value_or(plan, "events", json::array())) p.events.push_back(event_of(e));
  p.begin_s = value_or(plan, "begin_s", p.begin_s);
  p.arrivals_s = value<double>(plan, "arrivals_s");
  p.drain_s = value_or(plan, "drain_s", p.drain_s);
  p.seed = value_or(plan, "seed", p.seed);
  return p;
}

}  // namespace martenwall::scale
