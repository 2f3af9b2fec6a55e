// A transaction of conditions only checks many jobs' keys at once; a conflict names the keys that exist. The fault:
// `wire::parse_failed_keys` looped over `list(parse(body), "failed")`. `list` returns a reference into the value that
// `parse` made, and a range-for extends the lifetime of the outermost temporary only, so the value was destroyed before
// the first key was read. No key was returned, `StoreClient::find_existing` reported that none of the keys exists, and
// each poll and each dependency was read row by row from a store that allows few requests a second. The fault was shown
// by `stored_bytes.keys_of_failed_conditions_are_read`, which gets `{}` in builds with and without optimization, and by
// AddressSanitizer, which reports `heap-use-after-free` in `parse_failed_keys`. The empty result was also ambiguous:
// either no key exists, or the response could not be read.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <spdlog/sinks/ostream_sink.h>

#include <algorithm>
#include <sstream>

#include "runtime/http_server.hpp"
#include "service/store_client.hpp"
#include "stand_ins/store_model.hpp"

namespace martenwall::service {
namespace {

using Outcome = KeyComparison::Outcome;
using Keys = std::set<std::string>;
using nlohmann::json;

// The store stand-in behind HTTP, or one fixed response to every request.
struct ComparedStore {
  rt::Loop loop;
  stand_ins::StoreModel model;
  std::optional<rt::HttpResponse> fixed_response;
  std::vector<std::size_t> conditions;  // counts of the received transactions, in order
  std::ostringstream log;
  rt::HttpServer server{
      loop, *rt::Endpoint::parse("127.0.0.1:0"), {}, [this](rt::HttpMessage m) { return answer(std::move(m)); }};
  Context ctx{loop, settings(), Policy{},
              std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::ostream_sink_st>(log))};
  StoreClient client{ctx};

  explicit ComparedStore(std::size_t txn_ops = 100) : model({.txn_changes = txn_ops}) { rt::spawn(server.serve()); }

  config::Settings settings() const {
    config::Settings s;
    s.node = "here";
    s.state = "127.0.0.1:" + std::to_string(server.port());
    s.state_rps = 100'000;
    s.state_write_rps = 40;
    s.workers = {3, 19, 50, 4, 39};
    s.state_value_bytes = 8192;
    s.state_txn_ops = 100;
    return s;
  }
  rt::Task<rt::HttpResponse> answer(rt::HttpMessage request) {
    const json txn = json::parse(request.body);
    conditions.push_back(txn.at("when").size());
    if (fixed_response) co_return *fixed_response;
    auto reply = model.commit(txn, loop.now());
    co_return rt::HttpResponse{reply.status, std::move(reply.body), {}, false};
  }
  rt::Task<void> run_find(std::vector<std::string> keys, std::optional<KeyComparison>& out) {
    out = co_await client.find_existing(std::move(keys), seconds(5));
  }
  KeyComparison find(std::vector<std::string> keys) {
    std::optional<KeyComparison> out;
    rt::spawn(run_find(std::move(keys), out));
    const Time until = loop.update_time() + seconds(20);
    while (!out && loop.now() < until) loop.step();
    return out.value_or(KeyComparison{});
  }
};

TEST(key_comparison, none_some_or_all_of_the_keys_exist) {
  ComparedStore s;
  const KeyComparison none = s.find({"j/job-1", "f/job-1"});
  EXPECT_EQ(Outcome::answered, none.outcome);
  EXPECT_EQ(Keys{}, none.existing);
  s.model.write("f/job-1", json::object());
  s.model.write("j/job-3", json::object());
  const KeyComparison some = s.find({"j/job-1", "f/job-1", "j/job-2"});
  EXPECT_EQ(Outcome::answered, some.outcome);
  EXPECT_EQ(Keys{"f/job-1"}, some.existing);
  const KeyComparison all = s.find({"j/job-3", "f/job-1"});
  EXPECT_EQ(Outcome::answered, all.outcome);
  EXPECT_EQ((Keys{"f/job-1", "j/job-3"}), all.existing);
}

// For any stored and queried keys, exactly those in both sets are returned.
RC_GTEST_PROP(key_comparison, tells_of_any_keys_exactly_those_that_exist,
              (std::set<std::uint8_t> stored, std::set<std::uint8_t> queried)) {
  ComparedStore s;
  const auto key_of = [](std::uint8_t n) { return "j/job-" + std::to_string(n); };
  for (const auto n : stored) s.model.write(key_of(n), json::object());
  std::vector<std::string> keys;
  Keys both;
  for (const auto n : queried) {
    keys.push_back(key_of(n));
    if (stored.contains(n)) both.insert(key_of(n));
  }
  const KeyComparison found = s.find(keys);
  RC_ASSERT(found.answered());
  RC_ASSERT(found.existing == both);
}

// A conflict means that at least one key exists. A conflict without valid keys is not an answer: if it were read as
// "none exists", an accepted job would look as if it had never existed.
TEST(key_comparison, a_conflict_that_cannot_be_understood_is_not_none) {
  for (const auto* body : {
           R"({"epoch":4})",                                    // no list
           R"({"failed":null,"epoch":4})",                      // null
           R"({"failed":"j/job-1"})",                           // not a list
           R"({"failed":{"j/job-1":1}})",                       // not a list
           R"({"failed":["j/job-1",7]})",                       // an entry that is not a string
           R"({"failed":["j/job-1",null]})",                    // the same
           R"({"failed":["j/job-1","j/job-9"]})",               // a key that was not queried
           R"({"failed":[]})",                                  // names no key
           R"({"failed":["j/job-1")",                           // truncated
           R"(["j/job-1"])",                                    // not an object
           R"("failed")", "", "[[[[[[[[[[[[[[1]]]]]]]]]]]]]]",  // not a conflict body
       }) {
    SCOPED_TRACE(body);
    ComparedStore s;
    s.fixed_response = rt::HttpResponse{409, body, {}, false};
    const KeyComparison found = s.find({"j/job-1", "f/job-1"});
    EXPECT_EQ(Outcome::unreadable_conflict, found.outcome);
    EXPECT_EQ(Keys{}, found.existing);
    const std::string log = s.log.str();
    EXPECT_EQ(1, std::ranges::count(log, '\n')) << log;
    EXPECT_NE(std::string::npos, log.find("conflict not understood keys=2")) << log;
  }
}

// The store may lower its limits: the caller gets a distinct outcome, and fewer keys are queried at once from then on.
TEST(key_comparison, too_many_keys_are_told_apart_from_no_answer) {
  ComparedStore s{8};
  std::vector<std::string> keys;
  for (int i = 0; i < 60; ++i) keys.push_back("j/job-" + std::to_string(i));
  EXPECT_EQ(Outcome::too_many_keys, s.find(keys).outcome);
  EXPECT_EQ(50U, s.ctx.limits.txn_ops());
  for (const int status : {503, 429, 500}) {
    s.fixed_response = rt::HttpResponse{status, "{}", {}, false};
    EXPECT_EQ(Outcome::unanswered, s.find({"j/job-1"}).outcome) << status;
  }
}

}  // namespace
}  // namespace martenwall::service
