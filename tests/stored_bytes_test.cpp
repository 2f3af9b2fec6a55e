// Compares the bytes that are stored and that travel between nodes, workers, users and the cloud with those that the
// encoders of 7edafbd wrote (tests/data/stored_bytes.txt), so that a rename in the sources cannot change them. Samples
// that have a decoder are also decoded from the recorded bytes and encoded again. MARTENWALL_RECORD_BYTES=1 adds lines
// for new samples; it never changes an existing line (CONTRIBUTING.md).
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>

#include "config/configuration_document.hpp"
#include "core/scheduler/scheduler.hpp"
#include "wire/cloud_codec.hpp"
#include "wire/configuration_codec.hpp"
#include "wire/heartbeat_codec.hpp"
#include "wire/peer_codec.hpp"
#include "wire/store_codec.hpp"
#include "wire/user_codec.hpp"
#include "wire/worker_codec.hpp"

namespace martenwall::wire {
namespace {

// ---- numeric values on the wire and in stored data ----

template <class Enum>
constexpr bool is_number(Enum value, int number) {
  return static_cast<int>(value) == number;
}

static_assert(is_number(PeerVerb::submit, 1));
static_assert(is_number(PeerVerb::cancel, 3));
static_assert(is_number(PeerVerb::statuses, 4));
static_assert(is_number(PeerVerb::ping, 5));
static_assert(is_number(PeerVerb::stranded, 6));
static_assert(is_number(PeerVerb::cloud, 7));
static_assert(is_number(PeerVerb::submit_dependent, 8));
static_assert(is_number(PeerVerb::heartbeats, 9));
static_assert(is_number(PeerVerb::configuration, 10));

// Values of PeerStatus; `waiting` is local to the process and is reported as `pending`.
static_assert(is_number(JobPhase::pending, 0));
static_assert(is_number(JobPhase::running, 1));
static_assert(is_number(JobPhase::done, 2));
static_assert(is_number(JobPhase::cancelled, 3));
static_assert(is_number(JobPhase::blocked, 4));

static_assert(is_number(HeartbeatResponse::Kind::commands, 0));
static_assert(is_number(HeartbeatResponse::Kind::misdirected, 1));
static_assert(is_number(HeartbeatResponse::Kind::released, 2));
static_assert(is_number(HeartbeatResponse::Kind::deferred, 3));

// In heartbeat batches.
static_assert(is_number(TaskState::planned, 0));
static_assert(is_number(TaskState::sent, 1));
static_assert(is_number(TaskState::fetching, 2));
static_assert(is_number(TaskState::waiting, 3));
static_assert(is_number(TaskState::running, 4));
static_assert(is_number(TaskState::saving, 5));
static_assert(is_number(TaskState::ended, 6));

static_assert(is_number(ExitCause::none, 0));
static_assert(is_number(ExitCause::done, 1));
static_assert(is_number(ExitCause::stopped, 2));
static_assert(is_number(ExitCause::peer_lost, 3));
static_assert(is_number(ExitCause::gang_incomplete, 4));
static_assert(is_number(ExitCause::error, 5));
static_assert(is_number(ExitCause::no_capacity, 6));
static_assert(is_number(ExitCause::busy, 7));
static_assert(is_number(ExitCause::unknown, 8));

static_assert(is_number(Command::Verb::start, 0));
static_assert(is_number(Command::Verb::stop, 1));
static_assert(is_number(Command::Verb::forget, 2));

// In task rows.
static_assert(is_number(Priority::best_effort, 0));
static_assert(is_number(Priority::normal, 1));
static_assert(is_number(Priority::high, 2));
static_assert(is_number(Priority::production, 3));

// Indices into name tables.
static_assert(is_number(JobKind::array, 0));
static_assert(is_number(JobKind::gang, 1));
static_assert(is_number(JobKind::service, 2));
static_assert(is_number(ConfigurationRequest::Action::get, 0));
static_assert(is_number(ConfigurationRequest::Action::apply, 1));
static_assert(is_number(ConfigurationRequest::Action::history, 2));
static_assert(is_number(ConfigurationRequest::Action::follow, 3));

// In the digests of tests/data/recorded_rounds.txt.
static_assert(is_number(RowKind::final_job, 0));
static_assert(is_number(RowKind::tasks_v1, 1));
static_assert(is_number(RowKind::tasks, 2));
static_assert(is_number(RowKind::machines, 3));

static_assert(current_format_version == 2);
static_assert(max_peer_frame == 80U * 1024U);
static_assert(max_peer_jobs == 256U);
static_assert(max_batch_heartbeats == 64U);

// ---- values ----

constexpr std::uint32_t v1_row_size = 116;

JobId job_id() { return JobId{"job-000412"}; }

JobSpec spec_with_all_fields() {
  JobSpec s;
  s.id = job_id();
  s.job_class = "train";
  s.team = "vision";
  s.kind = JobKind::gang;
  s.priority = Priority::high;
  s.tasks = 16;
  s.need = {8, 1.5, 64};
  s.image = "img-07";
  s.image_gb = 6.2;
  s.types = std::vector<std::string>{"g8", "g4"};
  s.zone = "a";
  s.one_zone = true;
  s.spread = true;
  s.spot = true;
  s.estimate_s = 240;
  s.checkpoint_interval_s = 30;
  s.checkpoint_duration_s = 4.5;
  s.deadline_s = 900;
  return s;
}

JobSpec spec_with_required_fields() {
  JobSpec s = spec_with_all_fields();
  s.types.reset();
  s.zone.reset();
  s.deadline_s.reset();
  s.one_zone = s.spread = s.spot = false;
  return s;
}

JobSpec spec_of_kind(int number) {
  JobSpec s = spec_with_required_fields();
  s.kind = static_cast<JobKind>(number);
  return s;
}

JobSpec spec_of_priority(int number) {
  JobSpec s = spec_with_required_fields();
  s.priority = static_cast<Priority>(number);
  return s;
}

JobSpec spec_with_dependencies() {
  JobSpec s = spec_with_required_fields();
  s.dependencies = {JobId{"job-000398"}, JobId{"job-000399"}};
  return s;
}

Job job_of(JobSpec spec) {
  Job job;
  job.spec = std::move(spec);
  job.submitted_wall_ms = 1'790'000'000'000;
  return job;
}

TaskRow task_row_of_running_job() {
  TaskRow row;
  row.job = job_id();
  row.first = 232;
  row.size = 116;
  row.team = "vision";
  row.need = {8, 1.5, 64};
  row.priority = Priority::high;
  row.next_attempt = 9;
  row.done = {{232, 240}, {243, 243}};
  row.placed = {{241, Attempt{7}, MachineId{"i-000231"}, "a"}, {242, Attempt{8}, MachineId{"i-000232"}, "b"}};
  row.failed_machines = 1;
  return row;
}

TaskRow task_row_without_started_tasks() {
  TaskRow row;
  row.job = job_id();
  row.size = 5;
  row.team = "vision";
  row.need = {0.5, 0, 1};
  row.priority = Priority::best_effort;
  return row;
}

TaskRow v1_task_row() {
  TaskRow row = task_row_of_running_job();
  row.is_v1 = true;
  return row;
}

std::vector<MachineRecord> machines_with_images() {
  return {
      {MachineId{"i-000231"}, 4, "10.1.0.232:9000", "g8", "a", true, Incarnation{2}, {{"img-07", 6.2}, {"img-08", 1}}},
      {MachineId{"i-000232"}, 4, "10.1.0.233:9000", "c4", "b", false, Incarnation{0}, {{"img-08", 1}}},
      {MachineId{"i-000233"}, 4, "", "c4", "b", false, Incarnation{1}, {}}};
}

std::vector<Command> commands_of_each_verb() {
  return {{Command::Verb::start, TaskId{job_id(), 3}, Attempt{2}, 0},
          {Command::Verb::stop, TaskId{job_id(), 4}, Attempt{3}, 4.5},
          {Command::Verb::stop, TaskId{job_id(), 5}, Attempt{1}, 0},
          {Command::Verb::forget, TaskId{JobId{"job-000398"}, 0}, Attempt{1}, 0}};
}

// A heartbeat with each task state that a worker reports and each exit cause.
Heartbeat heartbeat_with_each_state_and_cause() {
  Heartbeat r;
  r.machine = MachineId{"i-000231"};
  r.addr = "10.1.0.232:9000";
  r.type = "g8";
  r.zone = "a";
  r.spot = true;
  r.incarnation = Incarnation{1};
  r.sequence = HeartbeatSequence{88};
  r.token = FencingToken{41};
  r.preemption_notice_s = 90.5;
  std::uint32_t index = 0;
  for (const auto state : {TaskState::fetching, TaskState::waiting, TaskState::running, TaskState::saving}) {
    r.tasks.push_back({TaskId{job_id(), index++}, Attempt{2}, state, ExitCause::none, false});
  }
  for (const auto cause : {ExitCause::done, ExitCause::stopped, ExitCause::peer_lost, ExitCause::gang_incomplete,
                           ExitCause::error, ExitCause::no_capacity, ExitCause::busy, ExitCause::unknown}) {
    r.tasks.push_back({TaskId{job_id(), index++}, Attempt{3}, TaskState::ended, cause, index % 2 == 0});
  }
  return r;
}

Heartbeat heartbeat_without_tasks() {
  Heartbeat r;
  r.machine = MachineId{"i-000232"};
  r.type = "c4";
  r.zone = "b";
  return r;
}

// The same heartbeat in the worker protocol's terms.
constexpr const char* worker_text_with_each_state_and_cause =
    R"({"host":"i-000231","endpoint":"10.1.0.232:9000","breed":"g8","yard":"a","loaners":true,"tenure":1,"tick":88,
     "baton":41,"recallS":90.5,"shards":[
     {"shard":"job-000412/0","try":2,"phase":"fetching"},{"shard":"job-000412/1","try":2,"phase":"gathering"},
     {"shard":"job-000412/2","try":2,"phase":"running"},{"shard":"job-000412/3","try":2,"phase":"saving"},
     {"shard":"job-000412/4","try":3,"phase":"ended","cause":"done","saved":true},
     {"shard":"job-000412/5","try":3,"phase":"ended","cause":"stopped"},
     {"shard":"job-000412/6","try":3,"phase":"ended","cause":"peers"},
     {"shard":"job-000412/7","try":3,"phase":"ended","cause":"alone"},
     {"shard":"job-000412/8","try":3,"phase":"ended","cause":"error"},
     {"shard":"job-000412/9","try":3,"phase":"ended","cause":"full"},
     {"shard":"job-000412/10","try":3,"phase":"ended","cause":"busy"},
     {"shard":"job-000412/11","try":3,"phase":"ended","cause":"no_such"},
     {"shard":"job-000412/12","try":3,"phase":"ended","cause":"of a later version"},
     {"shard":"job-000412/13","try":3,"phase":"ended"}]})";
constexpr const char* worker_text_without_optional_fields =
    R"({"host":"i-000232","breed":"c4","yard":"b","tenure":0,"tick":0,"recallS":null})";

NodeCapacity node_capacity() { return {"stall-1", 420, 1000}; }

HeartbeatBatch heartbeat_batch() {
  return {node_capacity(), {heartbeat_with_each_state_and_cause(), heartbeat_without_tasks()}};
}

HeartbeatResponses responses_of_each_kind() {
  return {FencingToken{41},
          {{HeartbeatResponse::Kind::commands, commands_of_each_verb()},
           {HeartbeatResponse::Kind::commands, {}},
           {HeartbeatResponse::Kind::misdirected, {}},
           {HeartbeatResponse::Kind::released, {}},
           {HeartbeatResponse::Kind::deferred, {}}},
          {node_capacity(), {"stall-2", 0, 70000}}};
}

ConfigurationRow configuration_in_force() {
  return {ConfigurationVersion{12},
          json::parse(R"({"teams":{"red":{"gpus":32}},"properties":{"scheduler.aging.weight":0.05}})"),
          "mark-7",
          {ConfigurationVersion{10}, ConfigurationVersion{12}}};
}

ChangesRow changes_of_one_transaction() {
  return {"mark-7",
          {{ConfigurationVersion{11}, 1'790'000'000'000, "ops", json::parse(R"({"teams":{"red":{"gpus":32}}})")},
           {ConfigurationVersion{12}, 1'790'000'000'001, "", json::parse(R"({"teams":null})")}}};
}

ConfigurationRequest request_to_get() { return {ConfigurationRequest::Action::get, {}, {}, false, "ops"}; }
ConfigurationRequest request_to_apply() {
  return {ConfigurationRequest::Action::apply, json::parse(R"({"teams":{"red":{"gpus":32}}})"),
          ConfigurationVersion{11}, true, "ops"};
}
ConfigurationRequest request_for_history() { return {ConfigurationRequest::Action::history, {}, {}, false, "ops"}; }
ConfigurationRequest request_to_follow() { return {ConfigurationRequest::Action::follow, {}, {}, false, ""}; }

std::vector<Team> two_teams() { return {{"red", {1, 32, 0}, {2, 72, 0}}, {"blue", {0, 8, 0}, {0, 24, 0}}}; }

std::vector<MachineType> two_machine_types() {
  return {{"g8", {48, 8, 288}, 80, 0.6, 10, 3, 20, {"a", "b"}}, {"c4", {4, 0, 16.5}, 20, 0.1, 0.4, 0.1, 60, {}}};
}

// ---- samples ----

std::string hex_of(const std::string& bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string out;
  for (const char c : bytes) {
    const auto n = static_cast<unsigned char>(c);
    out += digits[n >> 4U];
    out += digits[n & 15U];
  }
  return out;
}

std::string bytes_of(const std::string& hex) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    out.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  }
  return out;
}

// Decodes the recorded key and bytes and encodes the result again.
using Reencode = std::function<std::string(const std::string& key, const std::string& bytes)>;

struct Sample {
  std::string name;
  std::string key;    // empty unless the sample is a row of the store
  std::string bytes;  // hex if they are not text
  Reencode reencode{};
};

constexpr const char* unreadable = "cannot be read";

template <class Decoded, class Encode>
std::string reencode_decoded(const std::optional<Decoded>& decoded, const Encode& encode) {
  return decoded ? encode(*decoded) : std::string{unreadable};
}

JobId job_of_final_key(const std::string& key) { return JobId{key.substr(2)}; }

std::string reencode_job_row(const std::string&, const std::string& bytes) {
  return reencode_decoded(decode_job_row(json::parse(bytes), Time{}, 0),
                          [](const Job& j) { return encode_job_row(j).dump(); });
}

std::string reencode_tasks(const std::string& key, const std::string& bytes) {
  return reencode_decoded(decode_tasks(key, json::parse(bytes)), [&](const TaskRow& r) {
    return tasks_key(r.job, r.first) == key ? encode_tasks(r).dump() : "key mismatch";
  });
}

std::string reencode_v1_tasks(const std::string& key, const std::string& bytes) {
  return reencode_decoded(decode_v1_tasks(key, json::parse(bytes), v1_row_size), [&](const TaskRow& r) {
    return v1_tasks_key(r.job, r.first / v1_row_size) == key ? encode_tasks(r).dump() : "key mismatch";
  });
}

std::string reencode_final(const std::string& key, const std::string& bytes) {
  return reencode_decoded(decode_final(job_of_final_key(key), json::parse(bytes)), [&](const FinalJob& f) {
    return final_key(f.id) == key ? encode_final(f).dump() : "key mismatch";
  });
}

std::string reencode_machines(const std::string& key, const std::string& bytes) {
  const auto facts = decode_machines(key, json::parse(bytes));
  for (const auto& f : facts) {
    if (machines_key(f.group) != key) return "key mismatch";
  }
  return encode_machines(facts).dump();
}

std::string reencode_inbox_entry(const std::string&, const std::string& bytes) {
  const auto entry = json::parse(bytes);
  return encode_inbox_entry(text(entry, "node").value_or(""), requests_cancellation(entry)).dump();
}

std::string reencode_request_frame(const std::string&, const std::string& hex) {
  const std::string frame = bytes_of(hex);
  if (frame_size(frame) != frame.size() - 4) return "frame size mismatch";
  return reencode_decoded(decode_request(std::string_view{frame}.substr(4)),
                          [](const PeerRequest& r) { return hex_of(encode_frame(r)); });
}

std::string reencode_reply_frame(const std::string&, const std::string& hex) {
  const std::string frame = bytes_of(hex);
  if (frame_size(frame) != frame.size() - 4) return "frame size mismatch";
  return reencode_decoded(decode_reply(std::string_view{frame}.substr(4)),
                          [](const PeerReply& r) { return hex_of(encode_frame(r)); });
}

std::string reencode_batch(const std::string&, const std::string& hex) {
  return reencode_decoded(decode_batch(bytes_of(hex)), [](const HeartbeatBatch& b) { return hex_of(encode_batch(b)); });
}

std::string reencode_responses(const std::string&, const std::string& hex) {
  return reencode_decoded(decode_responses(bytes_of(hex)),
                          [](const HeartbeatResponses& a) { return hex_of(encode_responses(a)); });
}

std::string reencode_job(const std::string&, const std::string& bytes) {
  const auto parsed = parse_job(bytes);
  return parsed.has_value() ? encode_job(*parsed).dump() : unreadable;
}

std::vector<Sample> samples_of_job_rows() {
  std::vector<Sample> out;
  const auto add = [&](const std::string& name, const JobSpec& spec) {
    out.push_back({"job_row_" + name, job_key(spec.id, !spec.dependencies.empty()), encode_job_row(job_of(spec)).dump(),
                   reencode_job_row});
  };
  add("with_all_fields", spec_with_all_fields());
  add("with_needed_fields", spec_with_required_fields());
  add("that_awaits_jobs", spec_with_dependencies());
  for (int n = 0; n < 3; ++n) add("of_shape_" + std::to_string(n), spec_of_kind(n));
  for (int n = 0; n < 4; ++n) add("of_rank_" + std::to_string(n), spec_of_priority(n));
  constexpr std::size_t max_chunk_bytes = 200;
  std::size_t n = 0;
  for (const auto& chunk : encode_chunks(encode_job_row(job_of(spec_with_dependencies())), max_chunk_bytes)) {
    out.push_back({"piece_of_a_job_row_" + std::to_string(n), chunk_key(job_id(), "77", n), chunk.dump()});
    ++n;
  }
  for (const bool chained : {false, true}) {
    out.push_back({chained ? "piece_names_of_a_chained_job" : "piece_names", job_key(job_id(), chained),
                   encode_chunk_manifest({"77", n}).dump(), [](const auto&, const std::string& bytes) {
                     return reencode_decoded(decode_chunk_manifest(json::parse(bytes)),
                                             [](const ChunkManifest& p) { return encode_chunk_manifest(p).dump(); });
                   }});
  }
  return out;
}

std::vector<Sample> samples_of_task_rows() {
  const auto key = [](RowKind kind, std::uint32_t part) { return key_of({kind, job_id().value(), part}); };
  return {{"tasks_of_a_running_job", key(RowKind::tasks, 232), encode_tasks(task_row_of_running_job()).dump(),
           reencode_tasks},
          {"tasks_of_which_none_began", key(RowKind::tasks, 0), encode_tasks(task_row_without_started_tasks()).dump(),
           reencode_tasks},
          {"tasks_by_number", key(RowKind::tasks_v1, 2), encode_tasks(v1_task_row()).dump(), reencode_v1_tasks},
          {"final_done", key(RowKind::final_job, 0), encode_final({job_id(), JobPhase::done, 16, 16}).dump(),
           reencode_final},
          {"final_cancelled", key(RowKind::final_job, 0), encode_final({job_id(), JobPhase::cancelled, 16, 3}).dump(),
           reencode_final},
          {"machines_with_images", key_of({RowKind::machines, "", 4}), encode_machines(machines_with_images()).dump(),
           reencode_machines},
          {"machines_none", machines_key(0), encode_machines({}).dump(), reencode_machines}};
}

std::vector<Sample> samples_of_single_rows() {
  return {
      {"note_of_a_job", inbox_key(job_id()), encode_inbox_entry("stall-1", false).dump(), reencode_inbox_entry},
      {"note_of_a_cancellation", inbox_key(job_id()), encode_inbox_entry("stall-1", true).dump(), reencode_inbox_entry},
      {"note_of_reach", stranded_workers_key("stall-1"), encode_stranded_workers(12).dump(),
       [](const std::string& key, const std::string& bytes) {
         if (!is_stranded_workers_key(key)) return std::string{"key mismatch"};
         return reencode_decoded(decode_stranded_workers(json::parse(bytes)),
                                 [](std::size_t n) { return encode_stranded_workers(n).dump(); });
       }},
      {"leader", leader_key, encode_leader({"stall-1", "77"}).dump(),
       [](const auto&, const std::string& bytes) { return encode_leader(decode_leader(json::parse(bytes))).dump(); }},
      {"reign", leadership_record_key, encode_leadership_record(seconds(16)).dump(),
       [](const auto&, const std::string& bytes) {
         return reencode_decoded(decode_leadership_record(json::parse(bytes)),
                                 [](Duration d) { return encode_leadership_record(d).dump(); });
       }},
      {"level", format_version_key, encode_format_version({2, v1_row_size}).dump(),
       [](const auto&, const std::string& bytes) {
         return reencode_decoded(decode_format_version(json::parse(bytes)),
                                 [](const FormatVersionRow& r) { return encode_format_version(r).dump(); });
       }},
      {"level_of_a_node", node_format_version_key("stall-1"), encode_node_format_version("1.4.0").dump()},
      {"machine_types", types_key, encode_types(two_machine_types()), [](const auto&, const std::string& bytes) {
         return reencode_decoded(parse_types(bytes), [](const auto& types) { return encode_types(types); });
       }}};
}

std::vector<Sample> samples_of_configuration() {
  std::vector<Sample> out{{"configuration", configuration_key, encode_configuration(configuration_in_force()).dump(),
                           [](const auto&, const std::string& bytes) {
                             return reencode_decoded(
                                 decode_configuration(json::parse(bytes)),
                                 [](const ConfigurationRow& r) { return encode_configuration(r).dump(); });
                           }},
                          {"configuration_changes", changes_key(ConfigurationVersion{12}),
                           encode_changes(changes_of_one_transaction()).dump(),
                           [](const auto&, const std::string& bytes) {
                             return reencode_decoded(decode_changes(json::parse(bytes)),
                                                     [](const ChangesRow& r) { return encode_changes(r).dump(); });
                           }},
                          {"configuration_prefix_of_changes", changes_prefix, changes_prefix},
                          {"configuration_teams", "", config::teams_document(two_teams()).dump(),
                           [](const auto&, const std::string& bytes) {
                             const json document{{"teams", json::parse(bytes)}};
                             const auto read = config::resolve_configuration(ConfigurationVersion{1}, document, {}, {});
                             return config::teams_document(read.teams).dump();
                           }}};
  const std::map<std::string, ConfigurationRequest> requests{{"get", request_to_get()},
                                                             {"apply", request_to_apply()},
                                                             {"history", request_for_history()},
                                                             {"follow", request_to_follow()}};
  for (const auto& [name, request] : requests) {
    out.push_back({"configuration_request_" + name, "", encode_configuration_request(request),
                   [](const auto&, const std::string& bytes) {
                     return reencode_decoded(decode_configuration_request(bytes), encode_configuration_request);
                   }});
  }
  const std::map<std::string, ConfigurationState> states{{"unknown", ConfigurationState::unknown},
                                                         {"unused", ConfigurationState::unused},
                                                         {"followed", ConfigurationState::followed}};
  for (const auto& [name, state] : states) {
    out.push_back({"configuration_state_" + name, "", std::string{name_of(state)}});
  }
  return out;
}

std::vector<Sample> samples_of_the_store_protocol() {
  const std::vector<Condition> conditions{{"lead", KeyVersion{7}}, {"f/job-000412", KeyVersion{0}}};
  const std::vector<StoreOp> operations{{"lead", encode_leader({"stall-1", "77"}), LeaseId{9}},
                                        {"f/job-000412", encode_final({job_id(), JobPhase::done, 1, 1}), {}},
                                        {"j/job-000412", {}, {}}};
  return {
      {"transaction", "", encode_txn(conditions, operations)},
      {"transaction_without_conditions", "", encode_txn({}, {{"i/job-1", encode_inbox_entry("stall-1", false), {}}})},
      {"lease_request", "", encode_lease(seconds(2.5))},
      {"key_just_before_a_final_row", final_key_cursor_before(job_id()), final_key_cursor_before(job_id())}};
}

// Renders parsed responses of the store and the cloud as text.
std::string text_of(const StorePage& page) {
  std::ostringstream out;
  out << page.revision.value() << (page.more ? " more" : " all");
  for (const auto& i : page.items) {
    out << " | " << i.key << " " << i.version.value() << (i.removed ? " removed " : " there ") << i.value.dump();
  }
  return out.str();
}

std::string text_of(const MachinePage& page) {
  std::ostringstream out;
  out << (page.more ? "more" : "all");
  for (const auto& m : page.machines) {
    out << " | " << m.id.value() << " " << m.addr << " " << m.type << " " << m.zone << " " << m.spot << " "
        << static_cast<int>(m.phase) << " " << m.age_s;
  }
  return out.str();
}

std::string text_of(const std::vector<std::string>& list) {
  std::string out;
  for (const auto& one : list) out += "[" + one + "]";
  return out;
}

std::vector<Sample> samples_of_store_and_cloud_responses() {
  const auto item = parse_item(R"({"path":"lead","stamp":7,"data":{"node":"stall-1"}})");
  const auto page = parse_page(R"({"epoch":41,"more":true,"rows":[{"path":"lead","stamp":7,"data":{"node":"a"}}]})");
  const auto events = parse_events(
      R"({"epoch":42,"events":[{"set":"i/job-1","stamp":8,"data":{"node":"a"}},{"remove":"j/job-1","stamp":9}]})");
  const auto revision = parse_revision(R"({"epoch":43})");
  const auto lease = parse_lease(R"({"tether":9})");
  const auto new_machines = parse_scale_out_response(R"({"hosts":["i-000231","i-000232"]})");
  const auto machines = parse_machines(
      R"({"more":true,"hosts":[{"ref":"i-1","endpoint":"10.1.0.1:9000","breed":"g8","yard":"a","loaners":true,
       "ageS":12.5,"phase":"running"},{"ref":"i-2","phase":"starting"},{"ref":"i-3","phase":"failed"}]})");
  std::vector<std::string> machine_ids;
  if (new_machines) {
    for (const auto& id : *new_machines) machine_ids.push_back(id.value());
  }
  return {{"read_item", "", item ? item->key + " " + std::to_string(item->version.value()) + item->value.dump() : ""},
          {"read_page", "", page ? text_of(*page) : ""},
          {"read_events", "", events ? text_of(*events) : ""},
          {"read_revision", "", revision ? std::to_string(revision->value()) : ""},
          {"read_lease", "", lease ? std::to_string(lease->value()) : ""},
          {"read_hired", "", text_of(machine_ids)},
          {"read_machines", "", machines ? text_of(*machines) : ""}};
}

std::vector<Sample> samples_of_peer_requests() {
  std::vector<Sample> out;
  const auto add = [&](const std::string& name, const PeerRequest& request) {
    out.push_back({"peer_request_" + name, "", hex_of(encode_frame(request)), reencode_request_frame});
  };
  const std::string job = encode_job(spec_with_all_fields()).dump();
  const std::string dependent_job = encode_job(spec_with_dependencies()).dump();
  add("submit", {PeerVerb::submit, job_id().value(), job, {}});
  add("cancel", {PeerVerb::cancel, job_id().value(), "", {}});
  add("statuses", {PeerVerb::statuses, "", "", {"job-000412", "job-000398"}});
  add("ping", {PeerVerb::ping, "", "", {}});
  add("stranded", {PeerVerb::stranded, "stall-1", "12", {}});
  add("cloud", {PeerVerb::cloud, "POST /hosts", encode_release({MachineId{"i-000231"}}), {}});
  add("submit_chained", {PeerVerb::submit_dependent, job_id().value(), dependent_job, {}});
  add("reports", {PeerVerb::heartbeats, "stall-1", encode_batch(heartbeat_batch()), {}});
  add("configuration", {PeerVerb::configuration, "", encode_configuration_request(request_to_apply()), {}});
  return out;
}

std::vector<Sample> samples_of_peer_replies() {
  std::vector<Sample> out;
  const auto add = [&](const std::string& name, const PeerReply& reply) {
    out.push_back({"peer_reply_" + name, "", hex_of(encode_frame(reply)), reencode_reply_frame});
  };
  add("accepted", {201, encode_status({job_id(), JobPhase::pending, 0, 0}), {}});
  add("cancelled", {200, encode_status({job_id(), JobPhase::cancelled, 3, 0}), {}});
  add("not_the_leader", {421, "{}", {}});
  add("later", {503, encode_error("later"), {}});
  add("statuses", {200,
                   encode_reasons({{job_id(), "why"}}),
                   {{true, static_cast<std::uint8_t>(JobPhase::pending), 0, 0},
                    {true, static_cast<std::uint8_t>(JobPhase::running), 3, 70000},
                    {true, static_cast<std::uint8_t>(JobPhase::done), 16, 0},
                    {true, static_cast<std::uint8_t>(JobPhase::cancelled), 2, 1},
                    {}}});
  add("ping_of_a_leader", {200, std::string{accepts_heartbeats}, {}});
  add("ping_of_another", {200, std::string{forwards_heartbeats}, {}});
  add("ping_of_one_that_is_cut_off", {503, std::string{forwards_heartbeats}, {}});
  add("reports", {200, encode_responses(responses_of_each_kind()), {}});
  return out;
}

std::vector<Sample> samples_of_heartbeats() {
  const auto as_read = [](const char* worker_text) {
    return reencode_decoded(parse_heartbeat(worker_text), [](const Heartbeat& r) {
      return hex_of(encode_batch({node_capacity(), {r}}));
    });
  };
  return {{"reports_batch", "", hex_of(encode_batch(heartbeat_batch())), reencode_batch},
          {"reports_batch_empty", "", hex_of(encode_batch({node_capacity(), {}})), reencode_batch},
          {"reports_answers", "", hex_of(encode_responses(responses_of_each_kind())), reencode_responses},
          {"reports_answers_empty", "", hex_of(encode_responses({FencingToken{0}, {}, {}})), reencode_responses},
          {"worker_report_of_each_state_and_cause", "", as_read(worker_text_with_each_state_and_cause), reencode_batch},
          {"worker_report_without_optional_fields", "", as_read(worker_text_without_optional_fields), reencode_batch}};
}

std::vector<Sample> samples_for_workers() {
  return {{"worker_answer", "", encode_heartbeat_response(FencingToken{41}, commands_of_each_verb())},
          {"worker_answer_without_orders", "", encode_heartbeat_response(FencingToken{41}, {})},
          {"worker_commands", "", encode_command_batch(FencingToken{41}, Incarnation{2}, commands_of_each_verb())},
          {"worker_misdirected", "", encode_redirect("10.1.0.3:8080")},
          {"worker_misdirected_without_a_leader", "", encode_redirect("")}};
}

std::vector<Sample> samples_for_the_cloud() {
  return {{"cloud_hire", "", encode_scale_out({"hire-41-7", "g8", "a", true, 3})},
          {"cloud_release", "", encode_release({MachineId{"i-000231"}, MachineId{"i-000232"}})},
          {"cloud_release_none", "", encode_release({})}};
}

std::string rejection_of(const json& job) {
  const auto parsed = parse_job(job);
  return parsed.has_value() ? "taken" : encode_error(parsed.error().message);
}

// Returns the encoded status, which includes the reason for which the core lets the job wait.
std::string wait_reason_of(const std::string& team, double gpus) {
  Scheduler::Options options;
  options.teams = {{"vision", {0, 4, 0}, {0, 8, 0}}};
  options.timings = {3, 19, 50, 4, 39};
  options.token = FencingToken{50};
  options.v1_row_size = 9;
  options.range_size = 8;
  Scheduler scheduler{options, [](const std::string&) {}};
  Job job = job_of(spec_with_required_fields());
  job.spec.team = team;
  job.spec.kind = JobKind::array;
  job.spec.need = {1, gpus, 1};
  scheduler.add_job(job, Time{seconds(1000)});
  const auto status = scheduler.status(job.spec.id);
  return status ? encode_status(*status) : "not known";
}

std::vector<Sample> samples_for_users() {
  std::vector<Sample> out{
      {"user_job", "", encode_job(spec_with_all_fields()).dump(), reencode_job},
      {"user_job_that_awaits_jobs", "", encode_job(spec_with_dependencies()).dump(), reencode_job},
      {"user_status_that_waits", "", encode_status({job_id(), JobPhase::pending, 0, 0, "why \"it\" waits"})},
      {"user_error", "", encode_error("why \"it\" failed")},
      {"user_reasons_none", "", encode_reasons({})},
      {"user_reasons", "", encode_reasons({{job_id(), "why"}, {JobId{"job-000398"}, "why not"}}),
       [](const auto&, const std::string& bytes) { return encode_reasons(parse_reasons(bytes)); }},
      {"user_reason_team_not_configured", "", wait_reason_of("unheard of", 1)},
      {"user_reason_more_than_the_limit", "", wait_reason_of("vision", 9)},
      {"user_reason_none", "", wait_reason_of("vision", 1)},
      {"user_refused_not_an_object", "", rejection_of(json::array())}};
  for (int phase = 0; phase < 4; ++phase) {
    out.push_back({"user_status_of_phase_" + std::to_string(phase), "",
                   encode_status({job_id(), static_cast<JobPhase>(phase), 3, 70000})});
  }
  const json job = encode_job(spec_with_required_fields());
  for (const auto& [name, value] : job.items()) {
    json without = job;
    without.erase(name);
    out.push_back({"user_refused_without_" + name, "", rejection_of(without)});
  }
  for (const char* name : {"breeds", "yard", "dueS", "awaits"}) {
    json with = job;
    with[name] = 7;
    if (std::string_view{name} == "dueS") with[name] = "7";
    out.push_back({std::string{"user_refused_for_ill_typed_"} + name, "", rejection_of(with)});
  }
  return out;
}

std::vector<Sample> all_samples() {
  std::vector<Sample> out;
  for (const auto& samples :
       {samples_of_job_rows(), samples_of_task_rows(), samples_of_single_rows(), samples_of_configuration(),
        samples_of_the_store_protocol(), samples_of_store_and_cloud_responses(), samples_of_peer_requests(),
        samples_of_peer_replies(), samples_of_heartbeats(), samples_for_workers(), samples_for_the_cloud(),
        samples_for_users()}) {
    out.insert(out.end(), samples.begin(), samples.end());
  }
  return out;
}

// ---- the recorded lines ----

struct Recorded {
  std::string key, bytes;
};

std::string path() { return std::string{MARTENWALL_TEST_DATA} + "/stored_bytes.txt"; }

// An empty field is recorded as a dash.
std::string to_field(const std::string& value) { return value.empty() ? "-" : value; }
std::string from_field(const std::string& field) { return field == "-" ? "" : field; }

std::map<std::string, Recorded> read_recorded() {
  std::map<std::string, Recorded> out;
  std::ifstream in{path()};
  for (std::string line; std::getline(in, line);) {
    std::istringstream fields{line};
    std::string name;
    Recorded r;
    std::getline(fields, name, '\t');
    std::getline(fields, r.key, '\t');
    std::getline(fields, r.bytes, '\t');
    const Recorded read{from_field(r.key), from_field(r.bytes)};
    EXPECT_TRUE(out.emplace(name, read).second) << "recorded twice: " << name;
  }
  return out;
}

TEST(stored_bytes, names_of_samples_are_all_different) {
  std::set<std::string> names;
  for (const auto& s : all_samples()) EXPECT_TRUE(names.insert(s.name).second) << s.name;
}

TEST(stored_bytes, encoders_write_the_bytes_of_7edafbd) {
  const auto samples = all_samples();
  const auto recorded = read_recorded();
  if (std::getenv("MARTENWALL_RECORD_BYTES") != nullptr) {
    std::ofstream out{path(), std::ios::app};
    for (const auto& s : samples) {
      if (!recorded.contains(s.name)) out << s.name << '\t' << to_field(s.key) << '\t' << to_field(s.bytes) << '\n';
    }
    GTEST_SKIP() << "added lines for samples that were not recorded";
  }
  EXPECT_EQ(recorded.size(), samples.size()) << "each recorded line needs a sample";
  for (const auto& s : samples) {
    const auto line = recorded.find(s.name);
    ASSERT_NE(recorded.end(), line) << "not recorded: " << s.name;
    EXPECT_EQ(line->second.key, s.key) << s.name;
    EXPECT_EQ(line->second.bytes, s.bytes) << s.name;
  }
}

TEST(stored_bytes, decoders_read_the_bytes_of_7edafbd) {
  const auto recorded = read_recorded();
  std::size_t read = 0;
  for (const auto& s : all_samples()) {
    if (!s.reencode) continue;
    const auto line = recorded.find(s.name);
    ASSERT_NE(recorded.end(), line) << "not recorded: " << s.name;
    EXPECT_EQ(line->second.bytes, s.reencode(line->second.key, line->second.bytes)) << s.name;
    ++read;
  }
  EXPECT_GE(read, 50U);
}

// Found while these samples were recorded: parse_failed_keys of 7edafbd returned no keys.
TEST(stored_bytes, keys_of_failed_conditions_are_read) {
  EXPECT_EQ((std::vector<std::string>{"lead", "f/job-1"}), parse_failed_keys(R"({"failed":["lead","f/job-1"]})"));
}

// Chunks are decoded together, not one by one.
TEST(stored_bytes, chunks_of_7edafbd_make_the_row_that_they_were_cut_from) {
  const auto recorded = read_recorded();
  std::vector<json> chunks;
  for (std::size_t n = 0; recorded.contains("piece_of_a_job_row_" + std::to_string(n)); ++n) {
    chunks.push_back(json::parse(recorded.at("piece_of_a_job_row_" + std::to_string(n)).bytes));
  }
  ASSERT_GE(chunks.size(), 3U);
  ASSERT_TRUE(recorded.contains("job_row_that_awaits_jobs"));
  EXPECT_EQ(recorded.at("job_row_that_awaits_jobs").bytes, join_chunks(chunks).dump());
}

}  // namespace
}  // namespace martenwall::wire
