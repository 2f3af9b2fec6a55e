#include "wire/user_codec.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace martenwall::wire {

namespace {

// In the order of JobKind, Priority and JobPhase.
constexpr std::array<std::string_view, 3> kind_names{"sweep", "ensemble", "service"};
constexpr std::array<std::string_view, 4> priority_names{"best_effort", "normal", "high", "prod"};
constexpr std::array<std::string_view, 4> phase_names{"pending", "running", "done", "withdrawn"};
constexpr std::size_t max_text_bytes = 200;
constexpr std::uint64_t max_tasks = 100'000;  // by PROTOCOL
constexpr double max_amount = 1e9;            // beyond it, sums would lose precision
constexpr std::size_t max_types = 100;
constexpr std::size_t max_job_id_bytes = 120;  // leaves room for the prefixes of the store's keys, of 200 bytes

// Thrown and caught in this file only.
struct InvalidField {
  const char* name;
};

template <std::size_t N>
std::size_t require_index(const std::array<std::string_view, N>& names, const json& o, const char* name) {
  const auto value = text(o, name);
  const auto it = value ? std::ranges::find(names, *value) : names.end();
  if (it == names.end()) throw InvalidField{name};
  return static_cast<std::size_t>(it - names.begin());
}

std::string require_text(const json& o, const char* name) {
  auto value = text(o, name);
  if (!value || value->empty() || value->size() > max_text_bytes) throw InvalidField{name};
  return *std::move(value);
}

double require_amount(const json& o, const char* name) {
  const auto amount = number(o, name);
  if (!amount || *amount < 0 || *amount > max_amount) throw InvalidField{name};
  return *amount;
}

bool require_flag(const json& o, const char* name) {
  const auto value = flag(o, name);
  if (!value) throw InvalidField{name};
  return *value;
}

std::optional<std::vector<std::string>> types_of(const json& o) {
  const auto* f = field(o, "breeds");
  if (f == nullptr) return std::nullopt;
  if (!f->is_array() || f->size() > max_types) throw InvalidField{"breeds"};
  std::vector<std::string> out;
  for (const auto& t : *f) {
    if (!t.is_string() || t.get_ref<const std::string&>().size() > max_text_bytes) throw InvalidField{"breeds"};
    out.push_back(t.get<std::string>());
  }
  return out;
}

// Null and an empty list mean that it awaits none; the same id twice counts once.
std::vector<JobId> dependencies_of(const json& o) {
  const auto* f = field(o, "awaits");
  if (f == nullptr) return {};
  if (!f->is_array()) throw InvalidField{"awaits"};
  std::vector<JobId> out;
  for (const auto& id : *f) {
    if (!id.is_string() || !valid_job_id(id.get_ref<const std::string&>())) throw InvalidField{"awaits"};
    out.emplace_back(id.get<std::string>());
  }
  std::ranges::sort(out);
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

JobSpec read_job(const json& o) {
  JobSpec s;
  s.id = JobId{require_text(o, "ref")};
  if (!valid_job_id(s.id.value())) throw InvalidField{"ref"};
  s.job_class = require_text(o, "lane");
  s.team = require_text(o, "crew");
  s.kind = static_cast<JobKind>(require_index(kind_names, o, "shape"));
  s.priority = static_cast<Priority>(require_index(priority_names, o, "rank"));
  const auto tasks = count(o, "shards");
  if (!tasks || *tasks < 1 || *tasks > max_tasks) throw InvalidField{"shards"};
  s.tasks = static_cast<std::uint32_t>(*tasks);
  s.need = {require_amount(o, "cpus"), require_amount(o, "accelerators"), require_amount(o, "memGb")};
  s.image = require_text(o, "bundle");
  s.image_gb = require_amount(o, "pullGb");
  s.types = types_of(o);
  if (const auto* zone = field(o, "yard")) {
    if (!zone->is_string()) throw InvalidField{"yard"};
    s.zone = require_text(o, "yard");
  }
  s.one_zone = require_flag(o, "oneZone");
  s.spread = require_flag(o, "spread");
  s.spot = require_flag(o, "loaners");
  s.estimate_s = require_amount(o, "guessS");
  s.checkpoint_interval_s = require_amount(o, "markEveryS");
  s.checkpoint_duration_s = require_amount(o, "markCostS");
  if (field(o, "dueS") != nullptr) s.deadline_s = require_amount(o, "dueS");
  s.dependencies = dependencies_of(o);
  return s;
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

json encode_job(const JobSpec& s) {
  json o{{"ref", s.id.value()},
         {"lane", s.job_class},
         {"crew", s.team},
         {"shape", kind_names.at(static_cast<std::size_t>(s.kind))},
         {"rank", priority_names.at(static_cast<std::size_t>(s.priority))},
         {"shards", s.tasks},
         {"cpus", s.need.cpus},
         {"accelerators", s.need.gpus},
         {"memGb", s.need.memory_gb},
         {"bundle", s.image},
         {"pullGb", s.image_gb},
         {"oneZone", s.one_zone},
         {"spread", s.spread},
         {"loaners", s.spot},
         {"guessS", s.estimate_s},
         {"markEveryS", s.checkpoint_interval_s},
         {"markCostS", s.checkpoint_duration_s}};
  if (s.types) o["breeds"] = *s.types;
  if (s.zone) o["yard"] = *s.zone;
  if (s.deadline_s) o["dueS"] = *s.deadline_s;
  for (const auto& id : s.dependencies) o["awaits"].push_back(id.value());
  return o;
}

std::string encode_status(const JobStatus& s) {
  json body{{"ref", s.id.value()},
            {"phase", phase_names.at(static_cast<std::size_t>(s.phase))},
            {"done", s.done},
            {"running", s.running}};
  if (!s.pending_reason.empty()) body["waits"] = s.pending_reason;
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
