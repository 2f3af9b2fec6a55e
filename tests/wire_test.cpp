#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wire/cloud_codec.hpp"
#include "wire/peer_codec.hpp"
#include "wire/store_codec.hpp"
#include "wire/user_codec.hpp"
#include "wire/worker_codec.hpp"

namespace martenwall::wire {
namespace {

JobSpec any_spec() {
  JobSpec s;
  s.id = JobId{"job-" + std::to_string(*rc::gen::inRange(0, 1000000))};
  s.job_class = "lane";
  s.team = "team";
  s.kind = static_cast<JobKind>(*rc::gen::inRange(0, 3));
  s.priority = static_cast<Priority>(*rc::gen::inRange(0, 4));
  s.tasks = *rc::gen::inRange<std::uint32_t>(1, 100001);
  s.need = {*rc::gen::inRange(0, 64) * 0.5, *rc::gen::inRange(0, 8) * 1.0, *rc::gen::inRange(0, 512) * 0.25};
  s.image = "img";
  s.image_gb = 6.25;
  if (*rc::gen::arbitrary<bool>()) s.types = std::vector<std::string>{"g8", "g4"};
  if (*rc::gen::arbitrary<bool>()) s.zone = "a";
  s.one_zone = *rc::gen::arbitrary<bool>();
  s.spread = *rc::gen::arbitrary<bool>();
  s.spot = *rc::gen::arbitrary<bool>();
  s.estimate_s = 240;
  s.checkpoint_interval_s = 30;
  s.checkpoint_duration_s = 4;
  if (*rc::gen::arbitrary<bool>()) s.deadline_s = 900;
  return s;
}

RC_GTEST_PROP(user_codec, a_job_survives_its_encoding, ()) {
  const auto spec = any_spec();
  const auto parsed = parse_job(encode_job(spec).dump());
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(encode_job(*parsed) == encode_job(spec));
}

RC_GTEST_PROP(user_codec, each_missing_or_ill_typed_field_is_refused, ()) {
  auto spec = any_spec();
  spec.types.reset();
  spec.zone.reset();
  spec.deadline_s.reset();
  auto document = encode_job(spec);
  const auto index = *rc::gen::inRange<std::size_t>(0, document.size());
  const auto name = std::next(document.begin(), static_cast<std::ptrdiff_t>(index)).key();
  if (*rc::gen::arbitrary<bool>()) {
    document.erase(name);
  } else {
    document[name] = json::array({1});
  }
  const auto parsed = parse_job(document.dump());
  RC_ASSERT(!parsed.has_value());
  RC_ASSERT(parsed.error().code == ErrorCode::invalid_argument);
  RC_ASSERT(parsed.error().message.find(name) != std::string::npos);
}

RC_GTEST_PROP(codecs, garbage_never_throws, (const std::string& text)) {
  const std::string nested = std::string(200, '[') + text;
  for (const auto& t : {text, "{\"ref\":" + text + "}", nested}) {
    RC_ASSERT(!parse_job(t).has_value());
    RC_ASSERT(!parse_heartbeat(t).has_value());
    RC_ASSERT(!parse_item(t).has_value());
    RC_ASSERT(!parse_types(t).has_value());
    (void)parse_machines(t);
    (void)parse_events(t);
    (void)decode_request(t);
    (void)decode_reply(t);
    (void)parse_task_id(t);
  }
}

RC_GTEST_PROP(store_codec, a_job_row_survives_its_encoding, ()) {
  Job job;
  job.spec = any_spec();
  job.submitted_wall_ms = 1'790'000'000'000;
  const auto decoded =
      decode_job_row(json::parse(encode_job_row(job).dump()), Time{seconds(100)}, job.submitted_wall_ms + 5000);
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(encode_job(decoded->spec) == encode_job(job.spec));
  RC_ASSERT(decoded->submitted == Time{seconds(95)});
}

RC_GTEST_PROP(store_codec, a_task_row_survives_its_encoding,
              (const std::set<std::uint16_t>& placed, const std::set<std::uint16_t>& finished)) {
  TaskRow row;
  row.job = JobId{"job-7"};
  row.first = 3;
  row.size = 70000;
  row.team = "team";
  row.need = {1, 2, 3};
  row.priority = Priority::high;
  row.next_attempt = 17;
  DoneSet done;
  for (const auto i : finished) done.insert(i);
  row.done = done.ranges_in(0, 70000);
  for (const auto i : placed) {
    row.placed.push_back({i, Attempt{i + 1U}, MachineId{"i-" + std::to_string(i)}, i % 2 == 0 ? "a" : "b"});
  }
  const auto decoded = decode_tasks(tasks_key(row.job, row.first), json::parse(encode_tasks(row).dump()));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded->job == row.job && decoded->first == 3U && decoded->size == 70000U &&
            decoded->next_attempt == 17U && decoded->priority == Priority::high);
  RC_ASSERT(decoded->done == row.done);
  RC_ASSERT(decoded->placed.size() == row.placed.size());
  for (const auto& task : decoded->placed) {
    RC_ASSERT(placed.contains(static_cast<std::uint16_t>(task.index)));
    RC_ASSERT(task.attempt.value() == task.index + 1U && task.machine.value() == "i-" + std::to_string(task.index));
    RC_ASSERT(task.zone == (task.index % 2 == 0 ? "a" : "b"));
  }
}

RC_GTEST_PROP(store_codec, rows_of_machines_survive_their_encoding, (const std::vector<std::uint8_t>& images)) {
  std::vector<MachineRecord> row;
  for (std::size_t i = 0; i <= images.size() / 3; ++i) {
    row.push_back({MachineId{"i-" + std::to_string(i)}, 7, "10.0.0.1:9", "g8", "a", i % 2 == 0, Incarnation{i}, {}});
  }
  for (std::size_t i = 0; i < images.size(); ++i) {
    row[i / 3].images.emplace_back("img-" + std::to_string(images[i] % 5), 2.5);
  }
  const auto decoded = decode_machines(machines_key(7), json::parse(encode_machines(row).dump()));
  RC_ASSERT(decoded.size() == row.size());
  for (std::size_t i = 0; i < row.size(); ++i) {
    RC_ASSERT(decoded[i].id == row[i].id && decoded[i].group == 7U && decoded[i].incarnation == row[i].incarnation);
    RC_ASSERT(decoded[i].images == row[i].images && decoded[i].spot == row[i].spot && decoded[i].zone == "a");
  }
}

TEST(store_codec, a_full_task_row_stays_small) {
  // The size of a v1 row is computed from these bounds: 60 bytes for each index, plus 1,200.
  TaskRow row;
  row.job = JobId{"job-" + std::string(110, 'x')};
  row.is_v1 = true;
  row.team = std::string(200, 't');
  row.need = {1.25, 2, 3};
  row.priority = Priority::high;
  row.next_attempt = 99;
  for (std::uint32_t i = 0; i < 100; ++i)
    row.placed.push_back({99000 + i, Attempt{100000}, MachineId{"i-0000000001"}, "z"});
  EXPECT_LE(encode_tasks(row).dump().size(), 1200U + 60U * 100U);
}

RC_GTEST_PROP(peer_codec, frames_survive, (const std::string& id, const std::string& body)) {
  const auto frame = encode_frame(PeerRequest{PeerVerb::cancel, id, body, {id, body}});
  RC_ASSERT(frame_size(frame) == frame.size() - 4);
  const auto decoded = decode_request(std::string_view{frame}.substr(4));
  RC_ASSERT(decoded && decoded->verb == PeerVerb::cancel && decoded->job == id && decoded->body == body);
  RC_ASSERT(decoded->jobs.size() == 2U && decoded->jobs[1] == body);
  const auto answer = encode_frame(PeerReply{201, body, {{true, 2, 7, 9}, {}}});
  const auto reply = decode_reply(std::string_view{answer}.substr(4));
  RC_ASSERT(reply && reply->status == 201 && reply->body == body && reply->statuses.size() == 2U);
  RC_ASSERT(reply->statuses[0].known && reply->statuses[0].running == 9U && !reply->statuses[1].known);
}

TEST(worker_codec, reads_the_heartbeat_of_the_protocol) {
  const auto r =
      parse_heartbeat(R"({"host":"i-000231","endpoint":"10.1.0.232:9000","breed":"g8","yard":"a","loaners":true,
     "tenure":1,"tick":88,"baton":41,"recallS":null,"new":1,
     "shards":[{"shard":"job-000412/3","try":2,"phase":"running"},
              {"shard":"job-000398/0","try":1,"phase":"ended","cause":"done"}]})");
  ASSERT_TRUE(r);
  EXPECT_EQ(TaskState::running, r->tasks.at(0).state);
  EXPECT_EQ(ExitCause::done, r->tasks.at(1).cause);
  EXPECT_FALSE(r->preemption_notice_s);
}

// A heartbeat with one unreadable task must not count as proof that the task is absent.
TEST(worker_codec, refuses_a_heartbeat_with_an_unreadable_task) {
  EXPECT_FALSE(parse_heartbeat(R"({"host":"i-1","breed":"g","yard":"a","tenure":1,"tick":1,"baton":1,
     "shards":[{"shard":"job-1/x","try":1,"phase":"running"}]})"));
}

TEST(store_codec, a_transaction_is_as_in_the_protocol) {
  const auto text =
      encode_txn({{"a/b", KeyVersion{0}}}, {{"a/b", json{{"x", 1}}, LeaseId{7}}, {"c/d", std::nullopt, std::nullopt}});
  EXPECT_EQ(
      json::parse(
          R"({"when":[{"path":"a/b","stamp":0}],"then":[{"set":"a/b","data":{"x":1},"tether":7},{"remove":"c/d"}]})"),
      json::parse(text));
}

}  // namespace
}  // namespace martenwall::wire
