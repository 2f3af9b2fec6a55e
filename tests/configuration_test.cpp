// Runtime configuration: its document, the validity of a node's copy, and its fault cases on complete nodes.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <sstream>

#include "config/configuration_document.hpp"
#include "region/busy_region.hpp"
#include "service/configuration_command.hpp"
#include "wire/configuration_codec.hpp"
#include "wire/user_codec.hpp"

namespace martenwall {
namespace {

using nlohmann::json;
using region::BusyRegion;
using region::Region;
using Action = wire::ConfigurationRequest::Action;

Time at(double s) { return Time{seconds(s)}; }

// ---- the document ----

config::Settings settings() {
  config::Settings s;
  s.teams = {{"red", {0, 16, 0}, {0, 72, 0}}, {"blue", {0, 8, 0}, {0, 0, 0}}};
  s.workers = {2, 10, 30, 3, 24};
  return s;
}

std::string error_of(const json& document) {
  try {
    config::resolve_configuration(ConfigurationVersion{1}, document, settings(), Policy{});
  } catch (const config::SettingsError& e) {
    return e.what();
  }
  return "";
}

TEST(configuration, an_error_names_the_field) {
  const auto names = [](const json& document, const std::string& field) {
    const auto error = error_of(document);
    return error.find("'" + field + "'") != std::string::npos;
  };
  EXPECT_TRUE(names({{"teems", json::object()}}, "teems"));
  EXPECT_TRUE(names({{"teams", 3}}, "teams"));
  EXPECT_TRUE(names({{"teams", {{"red", 3}}}}, "teams.red"));
  EXPECT_TRUE(names({{"teams", {{"red", {{"gpus_max", -1}}}}}}, "teams.red.gpus_max"));
  EXPECT_TRUE(names({{"teams", {{"red", {{"gpus_max", "4"}}}}}}, "teams.red.gpus_max"));
  EXPECT_TRUE(names({{"teams", {{"red", {{"gpu", 4}}}}}}, "teams.red.gpu"));
  EXPECT_TRUE(names({{"properties", {{"workers.relay", 1}}}}, "properties.workers.relay"));
  EXPECT_TRUE(names({{"properties", {{"scheduler.agin", 1}}}}, "scheduler.agin"));
  EXPECT_TRUE(names({{"properties", {{"scheduler.round.seconds", 0.001}}}}, "scheduler.round.seconds"));
  EXPECT_EQ("", error_of({{"teams", {{"red", {{"gpus_max", 4}}}}}, {"properties", {{"scheduler.aging.weight", 1}}}}));
}

TEST(configuration, a_patch_changes_what_it_names) {
  const json none = json::object();
  const json lowered = config::apply_patch(none, {{"teams", {{"red", {{"gpus_max", 40}}}}}}, settings());
  const auto c = config::resolve_configuration(ConfigurationVersion{1}, lowered, settings(), Policy{});
  ASSERT_EQ(2U, c.teams.size()) << "the settings' other team must stay";
  const auto red = std::ranges::find(c.teams, "red", &Team::name);
  EXPECT_EQ(40, red->limit.gpus);
  EXPECT_EQ(16, red->guarantee.gpus);
  const json without_blue = config::apply_patch(lowered, {{"teams", {{"blue", nullptr}}}}, settings());
  EXPECT_EQ(1U,
            config::resolve_configuration(ConfigurationVersion{2}, without_blue, settings(), Policy{}).teams.size());
  const json restored = config::apply_patch(without_blue, {{"teams", nullptr}}, settings());
  EXPECT_EQ(none, restored) << "the settings' teams must apply again";
}

RC_GTEST_PROP(configuration, rows_and_requests_are_read_as_they_were_written, ()) {
  const auto number = [] { return ConfigurationVersion{*rc::gen::inRange<std::uint64_t>(1, 1'000'000)}; };
  wire::ConfigurationRow row{number(), {{"teams", {{"red", {{"gpus", 1}}}}}}, *rc::gen::string<std::string>(), {}};
  row.transaction_id = std::to_string(*rc::gen::arbitrary<int>());
  row.recorded = {number(), number()};
  const auto read = wire::decode_configuration(wire::encode_configuration(row));
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->version == row.version && read->document == row.document && read->recorded == row.recorded);
  wire::ConfigurationRequest request;
  request.action = *rc::gen::element(Action::get, Action::apply, Action::history, Action::follow);
  request.patch = {{"properties", json::object()}};
  if (*rc::gen::arbitrary<bool>()) request.expected = number();
  request.dry_run = *rc::gen::arbitrary<bool>();
  const auto decoded = wire::decode_configuration_request(wire::encode_configuration_request(request));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded->action == request.action && decoded->expected == request.expected &&
            decoded->patch == request.patch);
}

TEST(configuration, keys_of_changes_stand_in_their_order) {
  EXPECT_LT(wire::changes_key(ConfigurationVersion{9}), wire::changes_key(ConfigurationVersion{10}));
}

// ---- operator command ----

TEST(configuration, the_command_explains_what_is_wrong_with_its_input) {
  const auto run = [](service::ConfigurationCommand command, std::string& error) {
    std::ostringstream out;
    std::ostringstream err;
    const auto code = service::run_command(std::move(command), out, err);
    error = err.str();
    return code;
  };
  std::string error;
  service::ConfigurationCommand command;
  command.node = "somewhere";
  EXPECT_EQ(service::CommandExit::bad_input, run(command, error));
  EXPECT_NE(std::string::npos, error.find("'somewhere'"));
  command.node = "127.0.0.1:1";
  EXPECT_EQ(service::CommandExit::uncertain, run(command, error)) << "nothing listens at this address";
  command.request.action = Action::apply;
  command.file = "/nowhere/change.json";
  EXPECT_EQ(service::CommandExit::bad_input, run(command, error));
  EXPECT_NE(std::string::npos, error.find("/nowhere/change.json"));
}

// ---- validity ----

TEST(configuration, nothing_is_decided_by_one_that_may_be_outdated) {
  ConfigurationValidity v;
  EXPECT_FALSE(v.may_decide(at(1))) << "the configuration has not been read yet";
  v.on_none_found(at(1), false);
  EXPECT_FALSE(v.may_decide(at(1))) << "a first change may be applied unnoticed";
  v.on_none_found(at(2), true);
  EXPECT_TRUE(v.may_decide(at(1000))) << "no change can be applied without this node's confirmation";
  v.start_following();
  EXPECT_FALSE(v.may_decide(at(1000)));
  v.on_version_confirmed(at(1000));
  EXPECT_TRUE(v.may_decide(at(1004.9)));
  EXPECT_FALSE(v.may_decide(at(1005.1)));
  v.on_none_found(at(1010), true);
  EXPECT_TRUE(v.is_following()) << "following is permanent";
  EXPECT_EQ(ConfigurationState::followed, v.state());
}

// ---- complete nodes ----

wire::ConfigurationRequest change(json patch, std::optional<std::uint64_t> expected = {}) {
  wire::ConfigurationRequest r;
  r.action = Action::apply;
  r.patch = std::move(patch);
  if (expected) r.expected = ConfigurationVersion{*expected};
  r.author = "operator";
  return r;
}

json red(double gpus_max) { return {{"teams", {{"red", {{"gpus_max", gpus_max}}}}}}; }
constexpr Duration in_force = seconds(8);

// Lowers the team's limit and informs the rules.
void lower_limit(Region& r, std::size_t node, double gpus_max) {
  r.rules().change_limits({{"red", {0, 16, 0}, {0, gpus_max, 0}}}, r.now(), in_force);
  const auto reply = r.configure(node, change(red(gpus_max)));
  ASSERT_TRUE(reply);
  ASSERT_EQ(200, reply->status) << reply->body;
}

bool all_have(const Region& r, std::uint64_t version) {
  for (std::size_t c = 0; c < r.controllers(); ++c) {
    if (r.runs(c) && r.context(c).configuration.version != ConfigurationVersion{version}) return false;
  }
  return true;
}

double gpus_on_machines(Region& r) {
  double sum = 0;
  for (const auto& [id, work] : r.rules().jobs()) {
    sum += static_cast<double>(r.rules().on_machines(id).size()) * work.spec.need.gpus;
  }
  return sum;
}

TEST(configuration, costs_nothing_where_it_is_not_used) {
  BusyRegion busy{201};
  const auto reads = busy.r.store().reads_of(wire::configuration_key);
  EXPECT_LE(reads, 4U) << "one read per process and one per leader";
  busy.r.run(60);
  EXPECT_EQ(reads, busy.r.store().reads_of(wire::configuration_key));
}

TEST(configuration, the_first_change_needs_the_confirmation_of_all_nodes) {
  BusyRegion busy{202};
  Region& r = busy.r;
  const auto other = r.other_controller(busy.old_leader, 1);
  r.kill(other);
  const auto refused = r.configure(busy.old_leader, change(red(900)));
  ASSERT_TRUE(refused);
  EXPECT_EQ(503, refused->status) << refused->body;
  EXPECT_FALSE(r.store().has(wire::configuration_key));
  r.start(other);
  r.run(3);
  const auto applied = r.configure(r.other_controller(busy.old_leader, 2), change(red(900)));
  ASSERT_TRUE(applied);
  EXPECT_EQ(200, applied->status) << applied->body;
  EXPECT_TRUE(r.run_until(2, [&] { return all_have(r, 1); }));
  // Later changes need no confirmation; a restarted node reads the configuration.
  r.kill(other);
  ASSERT_EQ(200, r.configure(busy.old_leader, change(red(901)))->status);
  r.start(other);
  EXPECT_TRUE(r.run_until(3, [&] { return all_have(r, 2); }));
  busy.expect_all_jobs_end(300);
}

// A node confirms and its process is replaced before the change is applied: the new process would not read the
// configuration unless the transaction fails.
TEST(configuration, a_process_replaced_after_its_confirmation_makes_the_first_change_fail) {
  BusyRegion busy{217};
  Region& r = busy.r;
  const auto other = r.other_controller(busy.old_leader, 1);
  r.store().make_late([](std::size_t, const json& txn) { return region::sets(txn, wire::configuration_key); },
                      seconds(3));
  r.configure_later(busy.old_leader, change(red(900)));
  r.run(0.5);
  ASSERT_TRUE(r.context(other).validity.is_following()) << "the node has not confirmed";
  r.kill(other);
  r.start(other);
  r.run(8);
  EXPECT_EQ(1U, r.store().late_refused()) << "the first attempt must be refused";
  EXPECT_TRUE(all_have(r, 1)) << "the next attempt needs the new process's confirmation";
  busy.expect_all_jobs_end(300);
}

TEST(configuration, a_limit_lowered_below_what_runs) {
  BusyRegion busy{203, {}, 60};
  Region& r = busy.r;
  EXPECT_EQ(24, gpus_on_machines(r));
  lower_limit(r, busy.old_leader, 10);
  EXPECT_TRUE(r.run_until(8, [&] { return gpus_on_machines(r) <= 10; })) << "tasks beyond the limit are stopped";
  r.run(20);
  EXPECT_LE(gpus_on_machines(r), 10);
  EXPECT_GE(gpus_on_machines(r), 9) << "no further task is stopped";
  r.rules().change_limits({{"red", {0, 16, 0}, {0, 1000, 0}}}, r.now(), in_force);
  ASSERT_EQ(200, r.configure(busy.old_leader, change(red(1000)))->status);
  EXPECT_TRUE(r.run_until(20, [&] { return gpus_on_machines(r) >= 20; }))
      << "after the limit is raised the remaining tasks resume";
  busy.expect_all_jobs_end(400);
}

TEST(configuration, a_gang_beyond_the_limit_is_stopped_whole) {
  Region r{204, {}};
  JobSpec gang;
  gang.kind = JobKind::gang;
  gang.tasks = 3;
  gang.need = {1, 4, 8};
  ASSERT_TRUE(r.run_until(20, [&] { return r.leader().has_value(); }));
  const JobId id = r.submit(gang, 60);
  ASSERT_TRUE(r.run_until(30, [&] { return r.rules().on_machines(id).size() == 3; }));
  lower_limit(r, *r.leader(), 8);
  EXPECT_TRUE(r.run_until(8, [&] { return r.rules().on_machines(id).empty(); }));
  const auto status = r.request(*r.leader(), "GET", "/api/jobs/" + id.value(), "");
  EXPECT_EQ(200, status.status);
  EXPECT_EQ("needs more than the limit of team red", json::parse(status.body).value("waits", ""));
  r.rules().change_limits({{"red", {0, 16, 0}, {0, 1000, 0}}}, r.now(), in_force);
  ASSERT_EQ(200, r.configure(*r.leader(), change({{"teams", nullptr}}))->status);
  r.rules().all_faults_over(r.now());
  EXPECT_TRUE(r.run_until(200, [&] { return r.all_ended(); }));
  EXPECT_EQ("", r.violations());
}

TEST(configuration, a_team_that_is_removed_keeps_its_jobs_known) {
  BusyRegion busy{205, {}, 60};
  Region& r = busy.r;
  r.rules().change_limits({}, r.now(), in_force);
  ASSERT_EQ(200, r.configure(busy.old_leader, change({{"teams", {{"red", nullptr}}}}))->status);
  EXPECT_TRUE(r.run_until(10, [&] { return gpus_on_machines(r) == 0; }));
  for (std::size_t c = 0; c < r.controllers(); ++c) {
    const auto& id = busy.jobs.front();
    const auto poll = r.request(c, "GET", "/api/jobs/" + id.value(), "");
    EXPECT_EQ(200, poll.status);
    EXPECT_EQ("team red is not configured", json::parse(poll.body).value("waits", ""))
        << "every node reports the reason";
    r.submit_copy(id, c);
  }
  r.run(3);
  EXPECT_EQ("", r.violations()) << "a resubmission was refused";
  r.rules().change_limits({{"red", {0, 16, 0}, {0, 1000, 0}}}, r.now(), in_force);
  ASSERT_EQ(200,
            r.configure(busy.old_leader, change({{"teams", {{"red", {{"gpus", 16}, {"gpus_max", 1000}}}}}}))->status);
  busy.expect_all_jobs_end(400);
}

TEST(configuration, the_leader_ends_between_commit_and_force) {
  for (std::uint64_t seed : {206, 207, 208}) {
    BusyRegion busy{seed, {}, 60};
    Region& r = busy.r;
    ASSERT_EQ(200, r.configure(busy.old_leader, change(red(999)))->status);
    r.rules().change_limits({{"red", {0, 16, 0}, {0, 10, 0}}}, r.now(), in_force);
    const auto follower = r.other_controller(busy.old_leader, 1);
    bool killed = false;
    r.store().on_commit = [&](const json& txn, bool) { killed = killed || region::sets(txn, wire::configuration_key); };
    r.configure_later(follower, change(red(10)));
    ASSERT_TRUE(r.run_until(10, [&] { return killed; }));
    r.kill_for(busy.old_leader, 2);
    r.store().on_commit = nullptr;
    EXPECT_TRUE(r.run_until(15, [&] { return r.leader() && gpus_on_machines(r) <= 10; }));
    EXPECT_TRUE(r.run_until(5, [&] { return all_have(r, 2); })) << "the new process has the version as well";
    r.rules().change_limits({{"red", {0, 16, 0}, {0, 1000, 0}}}, r.now(), in_force);
    ASSERT_EQ(200, r.configure(follower, change(red(1000)))->status);
    busy.expect_all_jobs_end(400);
  }
}

TEST(configuration, a_change_of_unknown_outcome_is_applied_once_and_reported) {
  for (const double late : {0.0, 3.0}) {
    BusyRegion busy{static_cast<std::uint64_t>(210 + late)};
    Region& r = busy.r;
    ASSERT_EQ(200, r.configure(busy.old_leader, change(red(999)))->status);
    r.store().make_late([](std::size_t, const json& txn) { return region::sets(txn, wire::configuration_key); },
                        seconds(late));
    const auto reply = r.configure(busy.old_leader, change(red(500)));
    ASSERT_TRUE(reply);
    EXPECT_EQ(200, reply->status) << reply->body;
    EXPECT_EQ(2, json::parse(reply->body).at("version"));
    r.run(8);
    EXPECT_TRUE(all_have(r, 2)) << "applied exactly once, whenever the first attempt arrives";
    EXPECT_EQ(1U, r.store().late() + r.store().late_refused());
    busy.expect_all_jobs_end(300);
  }
}

// Guards against 409 for an applied change: a change is applied but its response is lost, the retry conflicts with the
// change itself, and the read that would show the outcome is refused. The change then counted as lost and was retried
// on the stored version, so that `--expect` failed with 409 (nothing changed). Without a read the outcome is unknown
// (504).
TEST(configuration, a_change_in_doubt_then_in_conflict_then_unreadable_is_not_called_refused) {
  for (const bool read_in_time : {true, false}) {
    SCOPED_TRACE(read_in_time);
    BusyRegion busy{216};
    Region& r = busy.r;
    ASSERT_EQ(200, r.configure(busy.old_leader, change(red(999)))->status);
    r.store().make_late([](std::size_t, const json& txn) { return region::sets(txn, wire::configuration_key); },
                        Duration{0});
    std::optional<Time> unreadable_until;
    r.store().on_commit = [&](const json& txn, bool late) {
      if (late && region::sets(txn, wire::configuration_key)) {
        unreadable_until = r.now() + (read_in_time ? seconds(3) : seconds(60));
      }
    };
    r.store().refuse_read = [&](std::size_t, const std::string& key) {
      return unreadable_until && r.now() < *unreadable_until && key.starts_with(wire::configuration_key);
    };
    std::optional<wire::PeerReply> reply = r.configure(busy.old_leader, change(red(500), 1));
    ASSERT_TRUE(reply);
    EXPECT_EQ(read_in_time ? 200 : 504, reply->status) << reply->body;
    r.store().refuse_read = nullptr;
    r.run(8);
    EXPECT_TRUE(all_have(r, 2)) << "applied exactly once";
    EXPECT_EQ(1U, r.store().late());
  }
}

// The same if the row that would show the outcome cannot be decoded: it counted as the row of another change.
TEST(configuration, a_change_in_doubt_whose_row_of_changes_cannot_be_decoded_is_not_called_refused) {
  BusyRegion busy{217};
  Region& r = busy.r;
  ASSERT_EQ(200, r.configure(busy.old_leader, change(red(999)))->status);
  r.store().make_late([](std::size_t, const json& txn) { return region::sets(txn, wire::configuration_key); },
                      Duration{0});
  r.store().on_commit = [&](const json& txn, bool late) {
    if (!late || !region::sets(txn, wire::configuration_key)) return;
    auto row = wire::decode_configuration(*r.store().value(wire::configuration_key));
    ASSERT_TRUE(row);
    r.store().write(wire::changes_key(row->version), json{{"later_format", 1}});
    row->transaction_id = "another-1";
    r.store().write(wire::configuration_key, wire::encode_configuration(*row));
  };
  const auto reply = r.configure(busy.old_leader, change(red(500), 1));
  ASSERT_TRUE(reply);
  EXPECT_EQ(504, reply->status) << reply->body;
}

// A configuration whose row cannot be decoded was reported as version 0, as if there were none.
TEST(configuration, one_that_cannot_be_decoded_is_not_reported_as_none) {
  BusyRegion busy{218};
  Region& r = busy.r;
  const auto version = [&] {
    const auto reply = r.configure(busy.old_leader, wire::ConfigurationRequest{});
    return reply ? json::parse(reply->body).value("version", -1) : -2;
  };
  EXPECT_EQ(0, version());
  ASSERT_EQ(200, r.configure(busy.old_leader, change(red(999)))->status);
  EXPECT_EQ(1, version());
  r.store().write(wire::configuration_key, json{{"later_format", 1}});
  EXPECT_EQ(-1, version());
}

TEST(configuration, changes_that_race_are_applied_one_after_the_other) {
  BusyRegion busy{214};
  Region& r = busy.r;
  ASSERT_EQ(200, r.configure(busy.old_leader, change(red(999)))->status);
  const auto outdated = r.configure(busy.old_leader, change(red(5), 0));
  EXPECT_EQ(409, outdated->status);
  EXPECT_EQ(1, json::parse(outdated->body).at("version"));
  for (std::size_t c = 0; c < r.controllers(); ++c) {
    for (int i = 0; i < 5; ++i) {
      const double weight = 0.1 * (1 + static_cast<double>(c)) + 0.01 * i;
      const json patch{{"properties", {{"scheduler.aging.weight", weight}}}};
      r.configure_later(c, change(patch));
    }
  }
  EXPECT_TRUE(r.run_until(8, [&] { return all_have(r, 16); }))
      << "fifteen more versions: no change lost, none applied twice";
  wire::ConfigurationRequest history;
  history.action = Action::history;
  const auto changes = json::parse(r.configure(busy.old_leader, history)->body).at("changes");
  ASSERT_EQ(16U, changes.size());
  for (std::size_t i = 0; i < changes.size(); ++i) EXPECT_EQ(16 - i, changes[i].at("version"));
  EXPECT_LT(r.store().reads_of(wire::configuration_key), 200U);
  busy.expect_all_jobs_end(300);
}

TEST(configuration, invalid_or_tried_changes_leave_the_version) {
  BusyRegion busy{215};
  Region& r = busy.r;
  ASSERT_EQ(200, r.configure(busy.old_leader, change(red(999)))->status);
  const auto bad = r.configure(busy.old_leader, change(red(-1)));
  EXPECT_EQ(400, bad->status);
  EXPECT_NE(std::string::npos, bad->body.find("teams.red.gpus_max"));
  auto dry_run_request = change(red(7));
  dry_run_request.dry_run = true;
  const auto preview = json::parse(r.configure(busy.old_leader, dry_run_request)->body);
  EXPECT_EQ(7, preview.at("after").at("teams").at("red").at("gpus_max"));
  EXPECT_EQ(200, r.configure(busy.old_leader, change(red(999)))->status) << "no change needed";
  r.run(5);
  EXPECT_TRUE(all_have(r, 1));
}

// Guards against 503 for every submission at a node that starts while the key-value store refuses it alone: it has not
// read whether there is a configuration, but its leader can accept submissions. The leader checks a job against the
// limits of the configuration in force.
TEST(configuration, a_node_that_begins_while_refused_hands_submissions_to_the_leader) {
  BusyRegion busy{218};
  Region& r = busy.r;
  const auto other = r.other_controller(busy.old_leader, 1);
  r.rules().change_limits({{"red", {0, 16, 0}, {0, 400, 0}}}, r.now(), in_force);
  ASSERT_EQ(200, r.configure(busy.old_leader, change(red(400)))->status);
  r.kill(other);
  r.store().faults(other).refuses_until = r.now() + seconds(30);
  r.start(other);
  r.run(3);
  JobSpec spec = r.rules().job(busy.jobs.front()).spec;
  spec.id = JobId{"job-800000"};
  r.rules().add(spec, 5, r.now());
  const auto accepted = r.request(other, "POST", "/api/jobs", wire::encode_job(spec).dump());
  EXPECT_EQ(201, accepted.status) << accepted.body;
  EXPECT_TRUE(r.store().has("j/job-800000"));
  EXPECT_EQ(200, r.request(other, "POST", "/api/jobs", wire::encode_job(spec).dump()).status)
      << "a resubmission is accepted";
  // Within the settings' limit of 1000, the only one known to this node, but beyond the limit in force.
  spec.id = JobId{"job-800001"};
  spec.kind = JobKind::gang;
  spec.tasks = 500;
  const auto beyond = r.request(other, "POST", "/api/jobs", wire::encode_job(spec).dump());
  EXPECT_EQ(422, beyond.status) << beyond.body;
  EXPECT_FALSE(r.store().has("j/job-800001"));
  // An accepted job stays accepted, whatever a resubmission contains.
  spec.id = JobId{"job-800000"};
  EXPECT_EQ(200, r.request(other, "POST", "/api/jobs", wire::encode_job(spec).dump()).status);
  // Without a leader no node can decide.
  for (std::size_t c = 0; c < r.controllers(); ++c) {
    if (c != other) r.kill_for(c, 10);
  }
  spec.id = JobId{"job-800002"};
  spec.kind = JobKind::array;
  EXPECT_EQ(503, r.request(other, "POST", "/api/jobs", wire::encode_job(spec).dump()).status);
}

TEST(configuration, a_node_that_cannot_know_decides_nothing) {
  BusyRegion busy{216};
  Region& r = busy.r;
  ASSERT_EQ(200, r.configure(busy.old_leader, change(red(999)))->status);
  const auto cut = r.other_controller(busy.old_leader, 1);
  r.store().faults(cut).refuses_until = r.now() + seconds(20);
  ASSERT_EQ(200, r.configure(busy.old_leader, change({{"teams", {{"green", {{"gpus_max", 4}}}}}}))->status);
  JobSpec spec;
  spec.id = JobId{"job-900001"};
  spec.team = "green";
  spec.tasks = 1;
  spec.need = {1, 1, 8};
  spec.job_class = "x";
  spec.image = "img";
  const std::string body = wire::encode_job(spec).dump();
  r.run(5.5);
  EXPECT_EQ(503, r.request(cut, "POST", "/api/jobs", body).status) << "neither rejected with 422 nor accepted";
  EXPECT_FALSE(r.context(cut).may_decide());
  r.run(20);
  EXPECT_TRUE(r.context(cut).may_decide());
  EXPECT_TRUE(all_have(r, 2));
  busy.expect_all_jobs_end(300);
}

}  // namespace
}  // namespace martenwall
