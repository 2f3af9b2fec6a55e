#include "wire/user_codec.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace martenwall::wire {

namespace {

// Names on the wire, in the order of JobKind, Priority and JobPhase.
constexpr std::array<std::string_view, 3> kind_names{"sweep", "ensemble", "service"};
constexpr std::array<std::string_view, 4> priority_names{"best_effort", "normal", "high", "prod"};
constexpr std::array<std::string_view, 4> phase_names{"pending", "running", "done", "withdrawn"};
constexpr std::size_t max_text_bytes = 200;
constexpr std::uint64_t max_tasks = 100'000;  // set by PROTOCOL
constexpr double max_amount = 1e9;            // sums of larger amounts would lose precision
constexpr std::size_t max_types = 100;
constexpr std::size_t max_job_id_bytes = 120;  // the store's keys have at most 200 bytes, including their prefixes

// Internal to this file: thrown for a field that is missing or invalid.
struct InvalidField {
  const char* name;
};

template <std::size_t N>
std::size_t require_index(const std::array<std::string_view, N>& names, const json& object, const char* name) {
  const auto value = text(object, name);
  const auto it = value ? std::ranges::find(names, *value) : names.end();
  if (it == names.end()) throw InvalidField{name};
  return static_cast<std::size_t>(it - names.begin());
}

std::string require_text(const json& object, const char* name) {
  auto value = text(object, name);
  if (!value || value->empty() || value->size() > max_text_bytes) throw InvalidField{name};
  return *std::move(value);
}

double require_amount(const json& object, const char* name) {
  const auto amount = number(object, name);
  if (!amount || *amount < 0 || *amount > max_amount) throw InvalidField{name};
  return *amount;
}

bool require_flag(const json& object, const char* name) {
  const auto value = flag(object, name);
  if (!value) throw InvalidField{name};
  return *value;
}

std::optional<std::vector<std::string>> types_of(const json& object) {
  const auto* types = field(object, "breeds");
  if (types == nullptr) return std::nullopt;
  if (!types->is_array() || types->size() > max_types) throw InvalidField{"breeds"};
  std::vector<std::string> out;
  for (const auto& type : *types) {
    if (!type.is_string() || type.get_ref<const std::string&>().size() > max_text_bytes) throw InvalidField{"breeds"};
    out.push_back(type.get<std::string>());
  }
  return out;
}

// Returns the dependencies, sorted and without duplicates. Null and an empty list mean that the job has none.
std::vector<JobId> dependencies_of(const json& object) {
  const auto* ids = field(object, "awaits");
  if (ids == nullptr) return {};
  if (!ids->is_array()) throw InvalidField{"awaits"};
  std::vector<JobId> out;
  for (const auto& id : *ids) {
    if (!id.is_string() || !valid_job_id(id.get_ref<const std::string&>())) throw InvalidField{"awaits"};
    out.emplace_back(id.get<std::string>());
  }
  std::ranges::sort(out);
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

JobSpec read_job(const json& object) {
  JobSpec spec;
  spec.id = JobId{require_text(object, "ref")};
  if (!valid_job_id(spec.id.value())) throw InvalidField{"ref"};
  spec.job_class = require_text(object, "lane");
  spec.team = require_text(object, "crew");
  spec.kind = static_cast<JobKind>(require_index(kind_names, object, "shape"));
  spec.priority = static_cast<Priority>(require_index(priority_names, object, "rank"));
  const auto tasks = count(object, "shards");
  if (!tasks || *tasks < 1 || *tasks > max_tasks) throw InvalidField{"shards"};
  spec.tasks = static_cast<std::uint32_t>(*tasks);
  spec.need = {require_amount(object, "cpus"), require_amount(object, "accelerators"), require_amount(object, "memGb")};
  spec.image = require_text(object, "bundle");
  spec.image_gb = require_amount(object, "pullGb");
  spec.types = types_of(object);
  if (const auto* zone = field(object, "yard")) {
    if (!zone->is_string()) throw InvalidField{"yard"};
    spec.zone = require_text(object, "yard");
  }
  spec.one_zone = require_flag(object, "oneZone");
  spec.spread = require_flag(object, "spread");
  spec.spot = require_flag(object, "loaners");
  spec.estimate_s = require_amount(object, "guessS");
  spec.checkpoint_interval_s = require_amount(object, "markEveryS");
  spec.checkpoint_duration_s = require_amount(object, "markCostS");
  if (field(object, "dueS") != nullptr) spec.deadline_s = require_amount(object, "dueS");
  spec.dependencies = dependencies_of(object);
  return spec;
}

}  // namespace

bool valid_job_id(const std::string& id) {
  constexpr std::string_view prefix = "job-";
  if (!id.starts_with(prefix) || id.size() == prefix.size() || id.size() > max_job_id_bytes) return false;
  return std::ranges::all_of(id.substr(prefix.size()), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_' ||
           c == '.';
  });
}

Result<JobSpec> parse_job(const json& object) {
  if (!object.is_object()) return Error{ErrorCode::invalid_argument, "not a JSON object"};
  try {
    return read_job(object);
  } catch (const InvalidField& field) {
    return Error{ErrorCode::invalid_argument, std::string{"field '"} + field.name + "' is missing or invalid"};
  }
}

Result<JobSpec> parse_job(const std::string& body) { return parse_job(parse(body)); }

json encode_job(const JobSpec& spec) {
  json object{{"ref", spec.id.value()},
              {"lane", spec.job_class},
              {"crew", spec.team},
              {"shape", kind_names.at(static_cast<std::size_t>(spec.kind))},
              {"rank", priority_names.at(static_cast<std::size_t>(spec.priority))},
              {"shards", spec.tasks},
              {"cpus", spec.need.cpus},
              {"accelerators", spec.need.gpus},
              {"memGb", spec.need.memory_gb},
              {"bundle", spec.image},
              {"pullGb", spec.image_gb},
              {"oneZone", spec.one_zone},
              {"spread", spec.spread},
              {"loaners", spec.spot},
              {"guessS", spec.estimate_s},
              {"markEveryS", spec.checkpoint_interval_s},
              {"markCostS", spec.checkpoint_duration_s}};
  if (spec.types) object["breeds"] = *spec.types;
  if (spec.zone) object["yard"] = *spec.zone;
  if (spec.deadline_s) object["dueS"] = *spec.deadline_s;
  for (const auto& id : spec.dependencies) object["awaits"].push_back(id.value());
  return object;
}

std::string encode_status(const JobStatus& status) {
  json body{{"ref", status.id.value()},
            {"phase", phase_names.at(static_cast<std::size_t>(status.phase))},
            {"done", status.done},
            {"running", status.running}};
  if (!status.pending_reason.empty()) body["waits"] = status.pending_reason;
  return body.dump();
}

std::string encode_reasons(const std::map<JobId, std::string>& reasons) {
  if (reasons.empty()) return {};
  json body = json::object();
  for (const auto& [id, reason] : reasons) body[id.value()] = reason;
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::map<JobId, std::string> parse_reasons(const std::string& encoded) {
  std::map<JobId, std::string> out;
  if (encoded.empty()) return out;
  const json body = parse(encoded);
  for (const auto& [id, reason] : body.items()) {
    if (reason.is_string()) out.emplace(id, reason.get<std::string>());
  }
  return out;
}

std::string encode_error(const std::string& message) {
  return json{{"error", message}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace martenwall::wire
