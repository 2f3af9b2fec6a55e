#include "wire/store_codec.hpp"

#include <map>

#include "wire/user_codec.hpp"
#include "wire/worker_codec.hpp"

namespace martenwall::wire {

namespace {

std::optional<StoreItem> parse_item_object(const json& object) {
  const auto key = text(object, "path");
  const auto version = count(object, "stamp");
  const auto* value = field(object, "data");
  if (!key || !version) return std::nullopt;
  return StoreItem{*key, value != nullptr ? *value : json{}, KeyVersion{*version}, false};
}

}  // namespace

std::string item_target(const std::string& key) { return "/store/" + key; }

std::string page_target(const std::string& prefix, const std::string& after) {
  constexpr int page_items = 1000;  // the store's maximum
  std::string target = "/store?prefix=" + prefix + "&page=" + std::to_string(page_items);
  if (!after.empty()) target += "&after=" + after;
  return target;
}

std::string watch_target(const std::string& prefix, Revision after, Duration hold) {
  return "/watch?prefix=" + prefix + "&after=" + std::to_string(after.value()) +
         "&holdMs=" + std::to_string(hold.count() / 1000);
}

std::string lease_target(LeaseId lease) {
  return std::string(create_lease_target) + "/" + std::to_string(lease.value());
}

std::string renew_lease_target(LeaseId lease) { return lease_target(lease) + "/touch"; }

std::optional<StoreItem> parse_item(const std::string& body) { return parse_item_object(parse(body)); }

std::optional<StorePage> parse_page(const std::string& body) {
  const auto object = parse(body);
  const auto revision = count(object, "epoch");
  if (!revision || field(object, "rows") == nullptr) return std::nullopt;
  StorePage page{{}, flag(object, "more").value_or(false), Revision{*revision}};
  for (const auto& row : list(object, "rows")) {
    auto item = parse_item_object(row);
    if (!item) return std::nullopt;
    page.items.push_back(std::move(*item));
  }
  return page;
}

std::optional<StorePage> parse_events(const std::string& body) {
  const auto object = parse(body);
  const auto revision = count(object, "epoch");
  if (!revision) return std::nullopt;
  StorePage page{{}, false, Revision{*revision}};
  for (const auto& event : list(object, "events")) {
    const auto set = text(event, "set");
    const auto removed = text(event, "remove");
    const auto* value = field(event, "data");
    page.items.push_back({set.value_or(removed.value_or("")), value != nullptr ? *value : json{},
                          KeyVersion{count(event, "stamp").value_or(0)}, removed.has_value()});
  }
  return page;
}

std::string encode_txn(const std::vector<Condition>& conditions, const std::vector<StoreOp>& ops) {
  auto when = json::array();
  for (const auto& condition : conditions)
    when.push_back({{"path", condition.key}, {"stamp", condition.version.value()}});
  auto then = json::array();
  for (const auto& op : ops) {
    if (!op.value) {
      then.push_back({{"remove", op.key}});
      continue;
    }
    json set{{"set", op.key}, {"data", *op.value}};
    if (op.lease) set["tether"] = op.lease->value();
    then.push_back(std::move(set));
  }
  return json{{"when", std::move(when)}, {"then", std::move(then)}}.dump(-1, ' ', false,
                                                                         json::error_handler_t::replace);
}

std::optional<Revision> parse_revision(const std::string& body) {
  const auto revision = count(parse(body), "epoch");
  return revision ? std::optional{Revision{*revision}} : std::nullopt;
}

std::string encode_lease(Duration ttl) { return json{{"ttlMs", ttl.count() / 1000}}.dump(); }

std::optional<LeaseId> parse_lease(const std::string& body) {
  const auto id = count(parse(body), "tether");
  return id ? std::optional{LeaseId{*id}} : std::nullopt;
}

std::string job_key(const JobId& id, bool dependent) {
  return (dependent ? dependent_job_prefix : job_prefix) + id.value();
}
JobId job_of_key(const std::string& key) {
  constexpr std::size_t prefix_size = 2;  // for all three kinds of key
  return JobId{key.substr(prefix_size)};
}
std::string final_key(const JobId& id) { return final_prefix + id.value(); }
std::string final_key_cursor_before(const JobId& id) {
  std::string key = final_key(id);
  key.back() = static_cast<char>(key.back() - 1);
  return key + '~';  // sorts after every character of a job id
}
std::string inbox_key(const JobId& id) { return inbox_prefix + id.value(); }
std::string machines_key(std::uint32_t group) { return machines_prefix + std::to_string(group); }
std::string tasks_key(const JobId& id, std::uint32_t first) {
  return tasks_prefix + id.value() + "/" + std::to_string(first);
}
std::string v1_tasks_key(const JobId& id, std::uint32_t number) {
  return v1_tasks_prefix + id.value() + "/" + std::to_string(number);
}
std::string node_format_version_key(const std::string& node) { return node_format_version_prefix + node; }
std::string chunk_key_prefix(const JobId& id, const std::string& nonce) {
  return chunk_prefix + id.value() + "/" + nonce + "/";
}
std::string chunk_key(const JobId& id, const std::string& nonce, std::size_t n) {
  return chunk_key_prefix(id, nonce) + std::to_string(n);
}

std::string key_of(const RowKey& row) {
  switch (row.kind) {
    case RowKind::final_job:
      return final_key(JobId{row.id});
    case RowKind::tasks:
      return tasks_key(JobId{row.id}, row.part);
    case RowKind::tasks_v1:
      return v1_tasks_key(JobId{row.id}, row.part);
    default:
      return machines_key(row.part);
  }
}

json encode_leader(const LeaderRow& row) { return {{"node", row.node}, {"nonce", row.nonce}}; }
LeaderRow decode_leader(const json& value) {
  return {text(value, "node").value_or(""), text(value, "nonce").value_or("")};
}
json encode_leadership_record(Duration grace) { return {{"grace_ms", grace.count() / 1000}}; }
std::optional<Duration> decode_leadership_record(const json& value) {
  const auto grace_ms = count(value, "grace_ms");
  return grace_ms ? std::optional{std::chrono::duration_cast<Duration>(std::chrono::milliseconds(*grace_ms))}
                  : std::nullopt;
}

// A job with dependencies is stored in a field of another name: a program version without support for dependencies
// would start it early.
json encode_job_row(const Job& job) {
  const char* name = job.spec.dependencies.empty() ? "spec" : "chained";
  return {{name, encode_job(job.spec)}, {"at", job.submitted_wall_ms}};
}

std::optional<Job> decode_job_row(const json& value, Time now, std::int64_t wall_ms) {
  const auto* spec = field(value, "spec");
  if (spec == nullptr) spec = field(value, "chained");
  if (spec == nullptr) return std::nullopt;
  auto parsed = parse_job(*spec);
  if (!parsed) return std::nullopt;
  Job job;
  job.spec = std::move(parsed).value();
  job.dependent = !job.spec.dependencies.empty();
  job.submitted_wall_ms = static_cast<std::int64_t>(number(value, "at").value_or(static_cast<double>(wall_ms)));
  job.submitted =
      now - std::chrono::duration_cast<Duration>(std::chrono::milliseconds(wall_ms - job.submitted_wall_ms));
  return job;
}

json encode_chunk_manifest(const ChunkManifest& manifest) { return {{"pieces", {manifest.nonce, manifest.count}}}; }

std::optional<ChunkManifest> decode_chunk_manifest(const json& value) {
  constexpr std::uint64_t max_chunks = 100'000;
  const auto& fields = list(value, "pieces");
  if (fields.size() != 2 || !fields[0].is_string() || !fields[1].is_number_unsigned()) return std::nullopt;
  if (fields[1].get<std::uint64_t>() > max_chunks) return std::nullopt;
  return ChunkManifest{fields[0].get<std::string>(), fields[1].get<std::size_t>()};
}

// Splits the serialized row, since a single name or list may be longer than a value. The length of each chunk is
// measured with its JSON escapes. The serialized row is ASCII, so that a split never divides a multi-byte character.
std::vector<json> encode_chunks(const json& row, std::size_t max_bytes) {
  const std::string text = row.dump(-1, ' ', true, json::error_handler_t::replace);
  std::vector<json> out;
  for (std::size_t begin = 0; begin < text.size();) {
    std::size_t size = std::min(text.size() - begin, max_bytes);
    while (size > 1 && json(text.substr(begin, size)).dump().size() + 16 > max_bytes)
      size -= std::max<std::size_t>(1, size / 16);
    out.push_back({{"text", text.substr(begin, size)}});
    begin += size;
  }
  return out;
}

json join_chunks(const std::vector<json>& chunks) {
  std::string serialized;
  for (const auto& chunk : chunks) {
    const auto part = text(chunk, "text");
    if (!part) return {};
    serialized += *part;
  }
  return parse(serialized);
}

json encode_format_version(const FormatVersionRow& row) {
  return {{"level", row.format_version}, {"legacy_size", row.v1_row_size}};
}
std::optional<FormatVersionRow> decode_format_version(const json& value) {
  const auto format_version = count(value, "level");
  const auto size = count(value, "legacy_size");
  if (!format_version || !size || *size == 0 || *size > 100'000) return std::nullopt;
  return FormatVersionRow{*format_version, static_cast<std::uint32_t>(*size)};
}
json encode_node_format_version(const std::string& version) {
  return {{"level", current_format_version}, {"version", version}};
}

json encode_final(const FinalJob& job) {
  return {{"phase", job.phase == JobPhase::done ? "done" : "cancelled"}, {"tasks", job.tasks}, {"done", job.done}};
}

std::optional<FinalJob> decode_final(const JobId& id, const json& value) {
  const auto phase = text(value, "phase");
  if (!phase) return std::nullopt;
  return FinalJob{id, *phase == "done" ? JobPhase::done : JobPhase::cancelled,
                  static_cast<std::uint32_t>(count(value, "tasks").value_or(0)),
                  static_cast<std::uint32_t>(count(value, "done").value_or(0))};
}

json encode_tasks(const TaskRow& row) {
  // Tasks are grouped by zone so that the name of a zone occurs once: a row of many tasks must fit into one value.
  std::map<std::string, json> zones;
  for (const auto& task : row.placed) {
    auto [it, inserted] = zones.try_emplace(task.zone, json::array());
    it->second.push_back({task.index, task.attempt.value(), task.machine.value()});
  }
  auto placed = json::array();
  for (auto& [zone, tasks] : zones) placed.push_back({zone, std::move(tasks)});
  json out{{"team", row.team},
           {"need", {row.need.cpus, row.need.gpus, row.need.memory_gb}},
           {"rank", static_cast<int>(row.priority)},
           {"next", row.next_attempt},
           {"done", row.done},
           {"on", std::move(placed)}};
  if (row.failed_machines > 0) out["failed"] = row.failed_machines;
  if (!row.is_v1) out["n"] = row.size;
  return out;
}

namespace {

// Decodes a range of tasks and the number at the end of its key, whose meaning depends on the format version.
std::optional<std::pair<TaskRow, std::uint32_t>> decode_numbered_row(const std::string& key, const json& value) {
  constexpr std::size_t prefix = 2;
  const auto slash = key.rfind('/');
  if (key.size() <= prefix || slash == std::string::npos || slash < prefix) return std::nullopt;
  const auto part = parse_task_id(key.substr(prefix));  // same form: job id and number
  const auto next = count(value, "next");
  const auto& need = list(value, "need");
  if (!part || !next || need.size() != 3) return std::nullopt;
  TaskRow row;
  row.job = part->job;
  row.team = text(value, "team").value_or("");
  row.priority = static_cast<Priority>(count(value, "rank").value_or(1) & 3U);
  row.next_attempt = *next;
  row.failed_machines =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(count(value, "failed").value_or(0), 100'000));
  for (const auto& amount : need) {
    if (!amount.is_number()) return std::nullopt;
  }
  row.need = {need[0].get<double>(), need[1].get<double>(), need[2].get<double>()};
  for (const auto& range : list(value, "done")) {
    if (!range.is_array() || range.size() != 2 || !range[0].is_number_unsigned() || !range[1].is_number_unsigned())
      return std::nullopt;
    row.done.emplace_back(range[0].get<std::uint32_t>(), range[1].get<std::uint32_t>());
  }
  for (const auto& zone : list(value, "on")) {
    if (!zone.is_array() || zone.size() != 2 || !zone[0].is_string() || !zone[1].is_array()) return std::nullopt;
    for (const auto& task : zone[1]) {
      if (!task.is_array() || task.size() != 3 || !task[0].is_number_unsigned() || !task[1].is_number_unsigned() ||
          !task[2].is_string()) {
        return std::nullopt;
      }
      row.placed.push_back({task[0].get<std::uint32_t>(), Attempt{task[1].get<std::uint64_t>()},
                            MachineId{task[2].get<std::string>()}, zone[0].get<std::string>()});
    }
  }
  return std::pair{std::move(row), part->index};
}

}  // namespace

std::optional<TaskRow> decode_tasks(const std::string& key, const json& value) {
  auto numbered = decode_numbered_row(key, value);
  const auto size = count(value, "n");
  constexpr std::uint64_t max_size = 1'000'000;
  if (!numbered || !size || *size == 0 || *size > max_size) return std::nullopt;
  numbered->first.first = numbered->second;
  numbered->first.size = static_cast<std::uint32_t>(*size);
  return std::move(numbered->first);
}

std::optional<TaskRow> decode_v1_tasks(const std::string& key, const json& value, std::uint32_t v1_row_size) {
  auto numbered = decode_numbered_row(key, value);
  if (!numbered) return std::nullopt;
  numbered->first.is_v1 = true;
  numbered->first.first = numbered->second * v1_row_size;
  numbered->first.size = v1_row_size;
  return std::move(numbered->first);
}

// Image names are stored once per row and referred to by index, since the machines of a fleet cache the same few
// images.
json encode_machines(const std::vector<MachineRecord>& records) {
  std::map<std::string, std::size_t> image_indices;
  auto images = json::array();
  auto machines = json::array();
  for (const auto& record : records) {
    auto cached = json::array();
    for (const auto& [name, gb] : record.images) {
      const auto [it, inserted] = image_indices.try_emplace(name, images.size());
      if (inserted) images.push_back({name, gb});
      cached.push_back(it->second);
    }
    machines.push_back({record.id.value(), record.addr, record.type, record.zone, record.spot,
                        record.incarnation.value(), std::move(cached)});
  }
  return {{"images", std::move(images)}, {"machines", std::move(machines)}};
}

std::vector<MachineRecord> decode_machines(const std::string& key, const json& value) {
  std::vector<MachineRecord> out;
  constexpr std::size_t prefix = 2;
  constexpr std::size_t fields = 7;
  const auto group = parse_task_id("g/" + key.substr(std::min(key.size(), prefix)));
  if (!group) return out;
  std::vector<std::pair<std::string, double>> images;
  for (const auto& image : list(value, "images")) {
    if (!image.is_array() || image.size() != 2 || !image[0].is_string() || !image[1].is_number()) return out;
    images.emplace_back(image[0].get<std::string>(), image[1].get<double>());
  }
  for (const auto& machine : list(value, "machines")) {
    const bool valid = machine.is_array() && machine.size() == fields && machine[0].is_string() &&
                       machine[1].is_string() && machine[2].is_string() && machine[3].is_string() &&
                       machine[4].is_boolean() && machine[5].is_number_unsigned() && machine[6].is_array();
    if (!valid) continue;
    MachineRecord record{MachineId{machine[0].get<std::string>()},
                         group->index,
                         machine[1],
                         machine[2],
                         machine[3],
                         machine[4].get<bool>(),
                         Incarnation{machine[5].get<std::uint64_t>()},
                         {}};
    for (const auto& index : machine[6]) {
      if (index.is_number_unsigned() && index.get<std::size_t>() < images.size()) {
        record.images.push_back(images[index.get<std::size_t>()]);
      }
    }
    out.push_back(std::move(record));
  }
  return out;
}

json encode_inbox_entry(const std::string& node, bool cancel) {
  json entry{{"node", node}};
  if (cancel) entry["cancel"] = true;
  return entry;
}

bool requests_cancellation(const json& entry) { return flag(entry, "cancel").value_or(false); }

// Job ids contain no '~', so that these entries can share the prefix that the leader watches.
constexpr const char* stranded_workers_prefix = "i/~";
std::string stranded_workers_key(const std::string& node) { return stranded_workers_prefix + node; }
bool is_stranded_workers_key(const std::string& key) { return key.starts_with(stranded_workers_prefix); }
std::string node_of_stranded_workers_key(const std::string& key) {
  return key.substr(std::string_view(stranded_workers_prefix).size());
}
json encode_stranded_workers(std::size_t stranded) { return {{"stranded", stranded}}; }
std::optional<std::size_t> decode_stranded_workers(const json& entry) {
  const auto stranded = count(entry, "stranded");
  return stranded ? std::optional<std::size_t>{static_cast<std::size_t>(*stranded)} : std::nullopt;
}

std::string transaction_id_of(const json& value) { return value.value(transaction_id_field, ""); }

std::optional<std::vector<std::string>> parse_failed_keys(const std::string& body) {
  const json response = parse(body);
  const auto* failed = field(response, "failed");
  if (failed == nullptr || !failed->is_array()) return std::nullopt;
  std::vector<std::string> keys;
  for (const auto& key : *failed) {
    if (!key.is_string()) return std::nullopt;
    keys.push_back(key.get<std::string>());
  }
  return keys;
}

}  // namespace martenwall::wire
