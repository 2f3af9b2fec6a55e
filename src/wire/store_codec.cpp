#include "wire/store_codec.hpp"

#include <map>

#include "wire/user_codec.hpp"
#include "wire/worker_codec.hpp"

namespace martenwall::wire {

namespace {

std::optional<StoreItem> parse_item_object(const json& o) {
  const auto key = text(o, "path");
  const auto version = count(o, "stamp");
  const auto* value = field(o, "data");
  if (!key || !version) return std::nullopt;
  return StoreItem{*key, value != nullptr ? *value : json{}, KeyVersion{*version}, false};
}

}  // namespace

std::string item_target(const std::string& key) { return "/store/" + key; }

std::string page_target(const std::string& prefix, const std::string& after) {
  constexpr int page_items = 1000;  // the most that the store gives at once
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
  const auto o = parse(body);
  const auto revision = count(o, "epoch");
  if (!revision || field(o, "rows") == nullptr) return std::nullopt;
  StorePage page{{}, flag(o, "more").value_or(false), Revision{*revision}};
  for (const auto& row : list(o, "rows")) {
    auto item = parse_item_object(row);
    if (!item) return std::nullopt;
    page.items.push_back(std::move(*item));
  }
  return page;
}

std::optional<StorePage> parse_events(const std::string& body) {
  const auto o = parse(body);
  const auto revision = count(o, "epoch");
  if (!revision) return std::nullopt;
  StorePage page{{}, false, Revision{*revision}};
  for (const auto& e : list(o, "events")) {
    const auto set = text(e, "set");
    const auto removed = text(e, "remove");
    const auto* value = field(e, "data");
    page.items.push_back({set.value_or(removed.value_or("")), value != nullptr ? *value : json{},
                          KeyVersion{count(e, "stamp").value_or(0)}, removed.has_value()});
  }
  return page;
}

std::string encode_txn(const std::vector<Condition>& conditions, const std::vector<StoreOp>& ops) {
  auto when = json::array();
  for (const auto& c : conditions) when.push_back({{"path", c.key}, {"stamp", c.version.value()}});
  auto then = json::array();
  for (const auto& op : ops) {
    if (!op.value) {
      then.push_back({{"remove", op.key}});
      continue;
    }
    json o{{"set", op.key}, {"data", *op.value}};
    if (op.lease) o["tether"] = op.lease->value();
    then.push_back(std::move(o));
  }
  return json{{"when", std::move(when)}, {"then", std::move(then)}}.dump(-1, ' ', false,
                                                                         json::error_handler_t::replace);
}

std::optional<Revision> parse_revision(const std::string& body) {
  const auto r = count(parse(body), "epoch");
  return r ? std::optional{Revision{*r}} : std::nullopt;
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
  constexpr std::size_t prefix_size = 2;  // of all three kinds
  return JobId{key.substr(prefix_size)};
}
std::string final_key(const JobId& id) { return final_prefix + id.value(); }
std::string final_key_cursor_before(const JobId& id) {
  std::string key = final_key(id);
  key.back() = static_cast<char>(key.back() - 1);
  return key + '~';  // above all that an id is made of
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
std::string chunk_key(const JobId& id, const std::string& nonce, std::size_t n) {
  return chunk_prefix + id.value() + "/" + nonce + "/" + std::to_string(n);
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
LeaderRow decode_leader(const json& v) { return {text(v, "node").value_or(""), text(v, "nonce").value_or("")}; }
json encode_leadership_record(Duration grace) { return {{"grace_ms", grace.count() / 1000}}; }
std::optional<Duration> decode_leadership_record(const json& v) {
  const auto ms = count(v, "grace_ms");
  return ms ? std::optional{std::chrono::duration_cast<Duration>(std::chrono::milliseconds(*ms))} : std::nullopt;
}

// With jobs that it awaits the field has another name: a version that does not know of them would start it early.
json encode_job_row(const Job& job) {
  const char* name = job.spec.dependencies.empty() ? "spec" : "chained";
  return {{name, encode_job(job.spec)}, {"at", job.submitted_wall_ms}};
}

std::optional<Job> decode_job_row(const json& v, Time now, std::int64_t wall_ms) {
  const auto* spec = field(v, "spec");
  if (spec == nullptr) spec = field(v, "chained");
  if (spec == nullptr) return std::nullopt;
  auto parsed = parse_job(*spec);
  if (!parsed) return std::nullopt;
  Job job;
  job.spec = std::move(parsed).value();
  job.dependent = !job.spec.dependencies.empty();
  job.submitted_wall_ms = static_cast<std::int64_t>(number(v, "at").value_or(static_cast<double>(wall_ms)));
  job.submitted =
      now - std::chrono::duration_cast<Duration>(std::chrono::milliseconds(wall_ms - job.submitted_wall_ms));
  return job;
}

json encode_chunk_manifest(const ChunkManifest& names) { return {{"pieces", {names.nonce, names.count}}}; }

std::optional<ChunkManifest> decode_chunk_manifest(const json& v) {
  constexpr std::uint64_t most = 100'000;
  const auto& names = list(v, "pieces");
  if (names.size() != 2 || !names[0].is_string() || !names[1].is_number_unsigned()) return std::nullopt;
  if (names[1].get<std::uint64_t>() > most) return std::nullopt;
  return ChunkManifest{names[0].get<std::string>(), names[1].get<std::size_t>()};
}

// Cut as text: a name or list may be longer than any value. What JSON adds to a text's length is measured; names have
// no bytes of more than one unit, or the encoder below would have replaced them.
std::vector<json> encode_chunks(const json& row, std::size_t max_bytes) {
  const std::string text = row.dump(-1, ' ', true, json::error_handler_t::replace);
  std::vector<json> out;
  for (std::size_t at = 0; at < text.size();) {
    std::size_t n = std::min(text.size() - at, max_bytes);
    while (n > 1 && json(text.substr(at, n)).dump().size() + 16 > max_bytes) n -= std::max<std::size_t>(1, n / 16);
    out.push_back({{"text", text.substr(at, n)}});
    at += n;
  }
  return out;
}

json join_chunks(const std::vector<json>& chunks) {
  std::string all;
  for (const auto& p : chunks) {
    const auto t = text(p, "text");
    if (!t) return {};
    all += *t;
  }
  return parse(all);
}

json encode_format_version(const FormatVersionRow& row) {
  return {{"level", row.format_version}, {"legacy_size", row.v1_row_size}};
}
std::optional<FormatVersionRow> decode_format_version(const json& v) {
  const auto format_version = count(v, "level");
  const auto size = count(v, "legacy_size");
  if (!format_version || !size || *size == 0 || *size > 100'000) return std::nullopt;
  return FormatVersionRow{*format_version, static_cast<std::uint32_t>(*size)};
}
json encode_node_format_version(const std::string& version) {
  return {{"level", current_format_version}, {"version", version}};
}

json encode_final(const FinalJob& job) {
  return {{"phase", job.phase == JobPhase::done ? "done" : "cancelled"}, {"tasks", job.tasks}, {"done", job.done}};
}

std::optional<FinalJob> decode_final(const JobId& id, const json& v) {
  const auto phase = text(v, "phase");
  if (!phase) return std::nullopt;
  return FinalJob{id, *phase == "done" ? JobPhase::done : JobPhase::cancelled,
                  static_cast<std::uint32_t>(count(v, "tasks").value_or(0)),
                  static_cast<std::uint32_t>(count(v, "done").value_or(0))};
}

json encode_tasks(const TaskRow& row) {
  // Tasks of one zone share its name: a row of many tasks must stay within the value's size.
  std::map<std::string, json> zones;
  for (const auto& h : row.placed) {
    auto [it, fresh] = zones.try_emplace(h.zone, json::array());
    it->second.push_back({h.index, h.attempt.value(), h.machine.value()});
  }
  auto held = json::array();
  for (auto& [zone, tasks] : zones) held.push_back({zone, std::move(tasks)});
  json out{{"team", row.team},
           {"need", {row.need.cpus, row.need.gpus, row.need.memory_gb}},
           {"rank", static_cast<int>(row.priority)},
           {"next", row.next_attempt},
           {"done", row.done},
           {"on", std::move(held)}};
  if (row.failed_machines > 0) out["failed"] = row.failed_machines;
  if (!row.is_v1) out["n"] = row.size;
  return out;
}

namespace {

// Its key ends in a number, whose meaning is the caller's.
std::optional<std::pair<TaskRow, std::uint32_t>> decode_numbered_row(const std::string& key, const json& v) {
  constexpr std::size_t prefix = 2;
  const auto slash = key.rfind('/');
  if (key.size() <= prefix || slash == std::string::npos || slash < prefix) return std::nullopt;
  const auto part = parse_task_id(key.substr(prefix));  // the same form: a job and a number
  const auto next = count(v, "next");
  const auto& need = list(v, "need");
  if (!part || !next || need.size() != 3) return std::nullopt;
  TaskRow row;
  row.job = part->job;
  row.team = text(v, "team").value_or("");
  row.priority = static_cast<Priority>(count(v, "rank").value_or(1) & 3U);
  row.next_attempt = *next;
  row.failed_machines = static_cast<std::uint32_t>(std::min<std::uint64_t>(count(v, "failed").value_or(0), 100'000));
  for (const auto& n : need) {
    if (!n.is_number()) return std::nullopt;
  }
  row.need = {need[0].get<double>(), need[1].get<double>(), need[2].get<double>()};
  for (const auto& r : list(v, "done")) {
    if (!r.is_array() || r.size() != 2 || !r[0].is_number_unsigned() || !r[1].is_number_unsigned()) return std::nullopt;
    row.done.emplace_back(r[0].get<std::uint32_t>(), r[1].get<std::uint32_t>());
  }
  for (const auto& z : list(v, "on")) {
    if (!z.is_array() || z.size() != 2 || !z[0].is_string() || !z[1].is_array()) return std::nullopt;
    for (const auto& t : z[1]) {
      if (!t.is_array() || t.size() != 3 || !t[0].is_number_unsigned() || !t[1].is_number_unsigned() ||
          !t[2].is_string()) {
        return std::nullopt;
      }
      row.placed.push_back({t[0].get<std::uint32_t>(), Attempt{t[1].get<std::uint64_t>()},
                            MachineId{t[2].get<std::string>()}, z[0].get<std::string>()});
    }
  }
  return std::pair{std::move(row), part->index};
}

}  // namespace

std::optional<TaskRow> decode_tasks(const std::string& key, const json& v) {
  auto read = decode_numbered_row(key, v);
  const auto size = count(v, "n");
  constexpr std::uint64_t most = 1'000'000;
  if (!read || !size || *size == 0 || *size > most) return std::nullopt;
  read->first.first = read->second;
  read->first.size = static_cast<std::uint32_t>(*size);
  return std::move(read->first);
}

std::optional<TaskRow> decode_v1_tasks(const std::string& key, const json& v, std::uint32_t v1_row_size) {
  auto read = decode_numbered_row(key, v);
  if (!read) return std::nullopt;
  read->first.is_v1 = true;
  read->first.first = read->second * v1_row_size;
  read->first.size = v1_row_size;
  return std::move(read->first);
}

// Names of images stand once in a row: machines of a fleet hold the same few.
json encode_machines(const std::vector<MachineRecord>& facts) {
  std::map<std::string, std::size_t> numbers;
  auto images = json::array();
  auto machines = json::array();
  for (const auto& m : facts) {
    auto cached = json::array();
    for (const auto& [name, gb] : m.images) {
      const auto [it, fresh] = numbers.try_emplace(name, images.size());
      if (fresh) images.push_back({name, gb});
      cached.push_back(it->second);
    }
    machines.push_back({m.id.value(), m.addr, m.type, m.zone, m.spot, m.incarnation.value(), std::move(cached)});
  }
  return {{"images", std::move(images)}, {"machines", std::move(machines)}};
}

std::vector<MachineRecord> decode_machines(const std::string& key, const json& v) {
  std::vector<MachineRecord> out;
  constexpr std::size_t prefix = 2;
  constexpr std::size_t fields = 7;
  const auto group = parse_task_id("g/" + key.substr(std::min(key.size(), prefix)));
  if (!group) return out;
  std::vector<std::pair<std::string, double>> images;
  for (const auto& i : list(v, "images")) {
    if (!i.is_array() || i.size() != 2 || !i[0].is_string() || !i[1].is_number()) return out;
    images.emplace_back(i[0].get<std::string>(), i[1].get<double>());
  }
  for (const auto& m : list(v, "machines")) {
    const bool sound = m.is_array() && m.size() == fields && m[0].is_string() && m[1].is_string() && m[2].is_string() &&
                       m[3].is_string() && m[4].is_boolean() && m[5].is_number_unsigned() && m[6].is_array();
    if (!sound) continue;
    MachineRecord f{MachineId{m[0].get<std::string>()},
                    group->index,
                    m[1],
                    m[2],
                    m[3],
                    m[4].get<bool>(),
                    Incarnation{m[5].get<std::uint64_t>()},
                    {}};
    for (const auto& n : m[6]) {
      if (n.is_number_unsigned() && n.get<std::size_t>() < images.size()) {
        f.images.push_back(images[n.get<std::size_t>()]);
      }
    }
    out.push_back(std::move(f));
  }
  return out;
}

json encode_inbox_entry(const std::string& node, bool cancel) {
  json note{{"node", node}};
  if (cancel) note["cancel"] = true;
  return note;
}

bool requests_cancellation(const json& note) { return flag(note, "cancel").value_or(false); }

// Job ids have no '~', so that these notes may share the prefix that the leader watches.
constexpr const char* stranded_workers_prefix = "i/~";
std::string stranded_workers_key(const std::string& node) { return stranded_workers_prefix + node; }
bool is_stranded_workers_key(const std::string& key) { return key.starts_with(stranded_workers_prefix); }
std::string node_of_stranded_workers_key(const std::string& key) {
  return key.substr(std::string_view(stranded_workers_prefix).size());
}
json encode_stranded_workers(std::size_t stranded) { return {{"stranded", stranded}}; }
std::optional<std::size_t> decode_stranded_workers(const json& note) {
  const auto n = count(note, "stranded");
  return n ? std::optional<std::size_t>{static_cast<std::size_t>(*n)} : std::nullopt;
}

std::string transaction_id_of(const json& value) { return value.value(transaction_id_field, ""); }

std::optional<std::vector<std::string>> parse_failed_keys(const std::string& body) {
  const json answer = parse(body);
  const auto* failed = field(answer, "failed");
  if (failed == nullptr || !failed->is_array()) return std::nullopt;
  std::vector<std::string> keys;
  for (const auto& key : *failed) {
    if (!key.is_string()) return std::nullopt;
    keys.push_back(key.get<std::string>());
  }
  return keys;
}

}  // namespace martenwall::wire
