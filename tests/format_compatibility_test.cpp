// Compatibility of two versions that read each other's data. The rows and frames here were recorded: a small program
// linked to the libraries of the version in production (deploy/service.toml) printed what its encoders produce from the
// values beside them.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wire/peer_codec.hpp"
#include "wire/store_codec.hpp"
#include "wire/user_codec.hpp"

namespace martenwall::wire {
namespace {

constexpr const char* job_row =
    R"({"at":1790000000000,"spec":{"accelerators":1.0,"breeds":["g8"],"bundle":"img-07","cpus":8.0,"crew":"vision","dueS":900.0,"guessS":240.0,"lane":"train","loaners":true,"markCostS":4.0,"markEveryS":30.0,"memGb":64.0,"oneZone":true,"pullGb":6.2,"rank":"high","ref":"job-000412","shape":"ensemble","shards":16,"spread":false}})";
constexpr const char* task_row =
    R"({"done":[[232,240],[243,243]],"failed":1,"need":[8.0,1.0,64.0],"next":9,"on":[["a",[[241,7,"i-000231"]]],["b",[[242,8,"i-000232"]]]],"rank":2,"team":"vision"})";
constexpr const char* final_row = R"({"done":3,"phase":"cancelled","tasks":16})";
constexpr const char* machines_row =
    R"({"images":[["img-07",6.2]],"machines":[["i-000231","10.1.0.232:9000","g8","a",true,2,[0]]]})";
constexpr const char* cancellation_entry = R"({"cancel":true,"node":"stall-1"})";
constexpr const char* stranded_workers_row = R"({"stranded":12})";
constexpr const char* leader_row = R"({"node":"stall-1","nonce":"77"})";
constexpr const char* leadership_record_row = R"({"grace_ms":16000})";
constexpr std::uint32_t v1_row_size_for_8_kib = 116;  // computed by that version for values of 8 KiB

// The conditions that the version in production requires of a row, written down once and not derived from current code.
bool old_version_accepts_job(const json& row) { return field(row, "spec") != nullptr; }
bool old_version_reads_tasks(const json& row) {
  if (!count(row, "next") || list(row, "need").size() != 3) return false;
  for (const auto& r : list(row, "done")) {
    if (!r.is_array() || r.size() != 2 || !r[0].is_number_unsigned() || !r[1].is_number_unsigned()) return false;
  }
  for (const auto& zone : list(row, "on")) {
    if (!zone.is_array() || zone.size() != 2 || !zone[0].is_string() || !zone[1].is_array()) return false;
    for (const auto& t : zone[1]) {
      if (!t.is_array() || t.size() != 3 || !t[0].is_number_unsigned() || !t[1].is_number_unsigned() ||
          !t[2].is_string())
        return false;
    }
  }
  return true;
}
bool old_version_accepts_verb(std::uint8_t verb) { return verb >= 1 && verb <= 7 && verb != 2; }

std::string bytes(const std::string& hex) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    out.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return out;
}

TEST(format_compatibility, rows_of_the_previous_version_are_read) {
  const auto job = decode_job_row(json::parse(job_row), Time{seconds(100)}, 1'790'000'005'000);
  ASSERT_TRUE(job);
  EXPECT_EQ(16U, job->spec.tasks);
  EXPECT_EQ(Time{seconds(95)}, job->submitted);
  EXPECT_FALSE(job->dependent);
  const auto tasks = decode_v1_tasks("p/job-000412/2", json::parse(task_row), v1_row_size_for_8_kib);
  ASSERT_TRUE(tasks);
  EXPECT_EQ(2U * v1_row_size_for_8_kib, tasks->first);
  EXPECT_EQ(v1_row_size_for_8_kib, tasks->size);
  EXPECT_EQ(9U, tasks->next_attempt);
  ASSERT_EQ(2U, tasks->placed.size());
  EXPECT_EQ(Attempt{8}, tasks->placed[1].attempt);
  EXPECT_EQ(JobPhase::cancelled, decode_final(JobId{"job-000412"}, json::parse(final_row))->phase);
  EXPECT_EQ(Incarnation{2}, decode_machines("m/4", json::parse(machines_row)).at(0).incarnation);
  EXPECT_TRUE(requests_cancellation(json::parse(cancellation_entry)));
  EXPECT_EQ(12U, decode_stranded_workers(json::parse(stranded_workers_row)));
  EXPECT_EQ("stall-1", decode_leader(json::parse(leader_row)).node);
  EXPECT_EQ(seconds(16), decode_leadership_record(json::parse(leadership_record_row)));
}

// Before the format upgrade, the new version writes exactly the bytes of the old one.
TEST(format_compatibility, rows_before_the_format_upgrade_are_those_of_the_previous_version) {
  auto job = decode_job_row(json::parse(job_row), Time{}, 0);
  ASSERT_TRUE(job);
  EXPECT_EQ(job_row, encode_job_row(*job).dump());
  auto tasks = decode_v1_tasks("p/job-000412/2", json::parse(task_row), v1_row_size_for_8_kib);
  ASSERT_TRUE(tasks);
  EXPECT_EQ(task_row, encode_tasks(*tasks).dump());
  EXPECT_EQ("p/job-000412/2", key_of({RowKind::tasks_v1, "job-000412", 2}));
  EXPECT_EQ(final_row, encode_final({JobId{"job-000412"}, JobPhase::cancelled, 16, 3}).dump());
  EXPECT_EQ(machines_row, encode_machines(decode_machines("m/4", json::parse(machines_row))).dump());
  EXPECT_EQ(cancellation_entry, encode_inbox_entry("stall-1", true).dump());
}

TEST(format_compatibility, frames_are_those_of_the_previous_version) {
  const auto submit = bytes("0000000c9401a56a6f622d31a27b7d90");
  EXPECT_EQ(submit, encode_frame(PeerRequest{PeerVerb::submit, "job-1", "{}", {}}));
  const auto statuses = bytes("000000119404a0a092a56a6f622d31a56a6f622d32");
  EXPECT_EQ(statuses, encode_frame(PeerRequest{PeerVerb::statuses, "", "", {"job-1", "job-2"}}));
  const auto reply = bytes("0000000f93ccc8a09294c301020394c2000000");
  const auto read = decode_reply(std::string_view{reply}.substr(4));
  ASSERT_TRUE(read && read->statuses.size() == 2U);
  EXPECT_EQ(3U, read->statuses[0].running);
  // A job with dependencies must not be sent with the verb that the old version accepts without dependencies.
  EXPECT_FALSE(old_version_accepts_verb(static_cast<std::uint8_t>(PeerVerb::submit_dependent)));
  for (std::size_t n = 0; n < submit.size(); ++n) (void)decode_request(std::string_view{submit}.substr(0, n));
}

// The previous version would start such a job early, or read half of it.
RC_GTEST_PROP(format_compatibility, the_previous_version_ignores_what_it_would_misread, ()) {
  Job job;
  job.spec.id = JobId{"job-9"};
  job.spec.job_class = "x";
  job.spec.team = "t";
  job.spec.image = "img";
  const auto n = *rc::gen::inRange(1, 40);
  for (int i = 0; i < n; ++i) job.spec.dependencies.push_back(JobId{"job-" + std::to_string(100 + i)});
  const auto row = encode_job_row(job);
  RC_ASSERT(!old_version_accepts_job(row));
  const auto decoded = decode_job_row(json::parse(row.dump()), Time{}, 0);
  RC_ASSERT(decoded && decoded->dependent && decoded->spec.dependencies == job.spec.dependencies);
  RC_ASSERT(!old_version_accepts_job(encode_chunk_manifest({"7", 3})));
  RC_ASSERT(job_key(job.spec.id, true).substr(0, 2) != "j/");
}

RC_GTEST_PROP(format_compatibility, a_v1_row_is_read_by_the_previous_version,
              (const std::set<std::uint16_t>& indices)) {
  TaskRow row;
  row.job = JobId{"job-7"};
  row.is_v1 = true;
  row.team = "t";
  row.next_attempt = 3;
  for (const auto i : indices) row.placed.push_back({i, Attempt{1}, MachineId{"i-1"}, "a"});
  const auto text = json::parse(encode_tasks(row).dump());
  RC_ASSERT(old_version_reads_tasks(text));
  RC_ASSERT(decode_v1_tasks("p/job-7/0", text, 100).has_value());
  RC_ASSERT(!decode_tasks("q/job-7/0", text).has_value());  // its range is not stated
}

// A valid submission of 64 KiB must remain storable under a limit of 2 KiB.
RC_GTEST_PROP(format_compatibility, a_long_row_is_stored_in_chunks, (const std::string& job_class)) {
  Job job;
  job.spec.id = JobId{"job-9"};
  job.spec.job_class = job_class.empty() ? "x" : job_class;
  job.spec.team = std::string(200, '"');
  job.spec.image = "img";
  job.spec.types = std::vector<std::string>(100, std::string(200, '\\'));
  for (int i = 0; i < 1500; ++i) job.spec.dependencies.push_back(JobId{"job-" + std::to_string(100000 + i)});
  const auto row = encode_job_row(job);
  const std::size_t max_chunk_bytes = *rc::gen::inRange<std::size_t>(512, 8000);
  const auto chunks = encode_chunks(row, max_chunk_bytes);
  for (const auto& p : chunks) RC_ASSERT(p.dump().size() <= max_chunk_bytes);
  const auto decoded = join_chunks(chunks);
  RC_ASSERT(list(decoded["chained"], "awaits").size() == 1500U);
  RC_ASSERT(decode_chunk_manifest(encode_chunk_manifest({"7", chunks.size()}))->count == chunks.size());
  RC_ASSERT(join_chunks({chunks.begin(), chunks.end() - 1}).is_null());
}

TEST(format_compatibility, the_format_version_row_defines_the_meaning_of_v1_rows) {
  const auto row = decode_format_version(encode_format_version({current_format_version, v1_row_size_for_8_kib}));
  ASSERT_TRUE(row);
  EXPECT_EQ(v1_row_size_for_8_kib, row->v1_row_size);
  EXPECT_FALSE(decode_format_version(json::parse(R"({"level":2})")));
  EXPECT_FALSE(decode_format_version(json::parse(R"({"level":2,"legacy_size":0})")));
}

// Final rows are read in ranges of neighboring keys: a page that begins too late would report a job's end as absent,
// and one that begins too early might never reach it.
RC_GTEST_PROP(format_compatibility, a_key_range_begins_just_before_its_first_job,
              (const std::vector<std::uint32_t>& numbers)) {
  const auto id = [](std::uint32_t n) {
    constexpr std::string_view letters = "0123456789azAZ-_.";
    std::string out = "job-";
    for (; n > 0; n /= letters.size()) out += letters[n % letters.size()];
    return JobId{out + "0"};
  };
  for (const auto a : numbers) {
    const auto from = final_key_cursor_before(id(a));
    RC_ASSERT(from < final_key(id(a)));
    for (const auto b : numbers) RC_ASSERT((final_key(id(b)) > from) == (final_key(id(b)) >= final_key(id(a))));
  }
}

TEST(user_codec, the_list_of_dependencies_is_checked) {
  const auto parse_with = [](const char* dependencies) {
    return parse_job(
        std::string{R"({"ref":"job-1","lane":"l","crew":"c","shape":"sweep","rank":"high","shards":1,"cpus":1,
      "accelerators":0,"memGb":1,"bundle":"b","pullGb":1,"oneZone":false,"spread":false,"loaners":true,"guessS":1,
      "markEveryS":0,"markCostS":0,"awaits":)"} +
        dependencies + "}");
  };
  for (const char* empty : {"null", "[]"}) EXPECT_TRUE(parse_with(empty)->dependencies.empty());
  EXPECT_EQ((std::vector{JobId{"job-2"}, JobId{"job-3"}}), parse_with(R"(["job-3","job-2","job-3"])")->dependencies);
  for (const char* invalid :
       {R"("job-2")", "[1]", R"(["x"])", R"([null])", "{}", "7", R"(["job-"])", R"([["job-2"]])"}) {
    EXPECT_FALSE(parse_with(invalid).has_value()) << invalid;
  }
}

}  // namespace
}  // namespace martenwall::wire
