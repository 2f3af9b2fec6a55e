#include "scale/plan.hpp"

#include "wire/cloud_codec.hpp"

namespace martenwall::scale {

namespace {

using nlohmann::json;

template <class T>
T required(const json& object, const char* name) {
  if (!object.is_object() || !object.contains(name)) throw PlanError(std::string{"plan: '"} + name + "' is missing");
  try {
    return object.at(name).get<T>();
  } catch (const json::exception&) {
    throw PlanError(std::string{"plan: '"} + name + "' has the wrong type");
  }
}

template <class T>
T optional(const json& object, const char* name, T fallback) {
  return object.contains(name) ? required<T>(object, name) : fallback;
}

Resources parse_resources(const json& object) {
  return {optional(object, "cpus", 0.0), optional(object, "gpus", 0.0), optional(object, "memory_gb", 0.0)};
}

std::vector<Team> parse_teams(const json& list) {
  std::vector<Team> out;
  for (const auto& team : list) {
    out.push_back({required<std::string>(team, "name"),
                   {optional(team, "cpus", 0.0), optional(team, "gpus", 0.0), 0},
                   {optional(team, "cpus_max", 0.0), optional(team, "gpus_max", 0.0), 0}});
  }
  return out;
}

Priority parse_priority(const std::string& name) {
  if (name == "prod") return Priority::production;
  if (name == "high") return Priority::high;
  if (name == "normal") return Priority::normal;
  if (name == "best_effort") return Priority::best_effort;
  throw PlanError("plan: 'rank' must be prod, high, normal or best_effort");
}

JobClass parse_job_class(const json& object) {
  JobClass job_class;
  job_class.name = required<std::string>(object, "name");
  job_class.spec.job_class = job_class.name;
  job_class.spec.kind = required<std::string>(object, "shape") == "gang" ? JobKind::gang : JobKind::array;
  job_class.spec.priority = parse_priority(required<std::string>(object, "rank"));
  job_class.spec.need = parse_resources(object);
  job_class.spec.one_zone = optional(object, "one_zone", false);
  job_class.spec.spread = optional(object, "spread", false);
  if (object.contains("types")) job_class.spec.types = required<std::vector<std::string>>(object, "types");
  job_class.spec.checkpoint_interval_s = optional(object, "checkpoint_s", 0.0);
  job_class.spec.checkpoint_duration_s = optional(object, "save_s", 0.0);
  if (object.contains("deadline_s")) job_class.spec.deadline_s = required<double>(object, "deadline_s");
  job_class.per_second = required<double>(object, "per_second");
  job_class.at_start = optional(object, "at_start", std::size_t{0});
  job_class.sizes = required<std::vector<std::uint32_t>>(object, "sizes");
  job_class.weights = optional(object, "weights", std::vector<double>(job_class.sizes.size(), 1.0));
  if (job_class.sizes.empty() || job_class.weights.size() != job_class.sizes.size())
    throw PlanError("plan: 'weights' must match 'sizes'");
  job_class.run_median_s = required<double>(object, "run_median_s");
  job_class.max_run_s = optional(object, "run_most_s", 2 * job_class.run_median_s);
  job_class.images = optional(object, "images", std::size_t{1});
  job_class.image_gb = optional(object, "image_gb", 1.0);
  job_class.cancel_fraction = optional(object, "cancelled", 0.0);
  return job_class;
}

Event parse_event(const json& object) {
  Event event;
  const auto kind = required<std::string>(object, "kind");
  event.at_s = required<double>(object, "at_s");
  event.for_s = optional(object, "for_s", 0.0);
  if (kind == "cut_zone") {
    event.zone = required<std::string>(object, "zone");
  } else if (kind == "restart_workers") {
    event.kind = Event::Kind::restart_workers;
    event.restarts_per_minute = required<double>(object, "part_per_minute");
  } else if (kind == "limits") {
    event.kind = Event::Kind::limits;
    event.teams = parse_teams(required<json>(object, "teams"));
  } else {
    throw PlanError("plan: unknown 'kind' of event: " + kind);
  }
  return event;
}

}  // namespace

StorePlan parse_store_plan(const json& plan) {
  StorePlan parsed;
  parsed.listen = required<std::string>(plan, "listen");
  parsed.control = required<std::string>(plan, "control");
  parsed.limits.requests_per_s = required<double>(plan, "requests_per_s");
  parsed.limits.changes_per_s = required<double>(plan, "changes_per_s");
  parsed.limits.value_bytes = required<std::size_t>(plan, "value_bytes");
  parsed.limits.txn_changes = required<std::size_t>(plan, "txn_changes");
  parsed.latency = seconds(optional(plan, "latency_ms", 0.0) / 1000);
  return parsed;
}

CellPlan parse_cell_plan(const json& plan) {
  CellPlan parsed;
  parsed.cloud_listen = required<std::string>(plan, "cloud_listen");
  parsed.result = required<std::string>(plan, "result");
  for (const auto& controller : required<json>(plan, "controllers")) {
    parsed.controllers.push_back(
        {required<std::string>(controller, "name"), required<std::string>(controller, "users")});
  }
  const auto workers = required<json>(plan, "workers");
  parsed.timings = {required<double>(workers, "report_s"), required<double>(workers, "lease_s"),
                    required<double>(workers, "gang_wait_s"), required<double>(workers, "gang_peer_s"),
                    required<double>(workers, "cancel_s")};
  parsed.flavors = required<json>(plan, "flavors").dump();
  const auto types = wire::parse_types(parsed.flavors);
  if (!types) throw PlanError("plan: 'flavors' cannot be parsed");
  parsed.types = *types;
  parsed.zones = required<std::vector<std::string>>(plan, "zones");
  if (parsed.zones.empty()) throw PlanError("plan: 'zones' is empty");
  for (const auto& group : required<json>(plan, "machines")) {
    parsed.machines.push_back({required<std::string>(group, "type"), required<std::size_t>(group, "count"),
                               optional(group, "spare", std::size_t{0})});
    const bool known =
        std::ranges::any_of(parsed.types, [&](const MachineType& t) { return t.name == parsed.machines.back().type; });
    if (!known) throw PlanError("plan: 'machines' names an unknown type: " + parsed.machines.back().type);
  }
  parsed.teams = parse_teams(required<json>(plan, "teams"));
  if (parsed.teams.empty()) throw PlanError("plan: 'teams' is empty");
  for (const auto& job_class : required<json>(plan, "classes")) parsed.classes.push_back(parse_job_class(job_class));
  for (const auto& event : optional(plan, "events", json::array())) parsed.events.push_back(parse_event(event));
  parsed.begin_s = optional(plan, "begin_s", parsed.begin_s);
  parsed.arrivals_s = required<double>(plan, "arrivals_s");
  parsed.drain_s = optional(plan, "drain_s", parsed.drain_s);
  parsed.seed = optional(plan, "seed", parsed.seed);
  return parsed;
}

}  // namespace martenwall::scale
