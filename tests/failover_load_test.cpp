// Whole nodes: accepted jobs survive a failover while rows cannot be read, or while other nodes store jobs, and a node
// that knows of a job which the leader does not know tells the leader.
#include "region/busy_region.hpp"
#include "wire/user_codec.hpp"

namespace martenwall {
namespace {

using nlohmann::json;
using region::BusyRegion;
using region::Region;

constexpr double chunked_value_bytes = 220;  // less than the row of any job, more than any other row of a test
constexpr double no_return_s = 1000;         // longer than any test

rt::HttpResult poll(Region& r, std::size_t at, const JobId& id) {
  return r.request(at, "GET", "/api/jobs/" + id.value(), "");
}

JobSpec single_task(const JobId& id, std::vector<JobId> dependencies = {}) {
  JobSpec spec;
  spec.id = id;
  spec.team = "red";
  spec.job_class = "x";
  spec.image = "img";
  spec.image_gb = 1;
  spec.estimate_s = 5;
  spec.need = {1, 1, 8};
  spec.dependencies = std::move(dependencies);
  return spec;
}

rt::HttpResult submit(Region& r, std::size_t at, const JobSpec& spec) {
  return r.request(at, "POST", "/api/jobs", wire::encode_job(spec).dump());
}

// Stores the row of an accepted job that no node has announced to the leader.
void store_unannounced(Region& r, const JobSpec& spec) {
  Job job;
  job.spec = spec;
  r.store().write(wire::job_key(spec.id, !spec.dependencies.empty()), wire::encode_job_row(job));
}

bool leader_knows(const Region& r, const JobId& id) {
  const auto leader = r.leader();
  return leader && r.context(*leader).scheduler->find_job(id) != nullptr;
}

void wait_for_format_version(Region& r, std::size_t leader) {
  EXPECT_TRUE(r.run_until(20, [&] { return r.logged(leader, "format version raised") > 0; }));
}

// review/1: a chunk that could not be read at once was taken for a row that cannot be decoded. The new leader went on
// without the job, stopped its tasks and removed its task rows.
TEST(failover_load, tasks_run_on_if_chunks_of_job_rows_cannot_be_read_at_once) {
  region::RegionOptions options;
  options.value_bytes = chunked_value_bytes;
  BusyRegion busy{301, options};
  Region& r = busy.r;
  const auto started = r.rules().started();
  std::size_t refused = 0;
  Time refused_until{};
  const auto refuse = [&](std::size_t from, const std::string& key) {
    if (from == busy.old_leader || !key.starts_with(wire::chunk_prefix)) return false;
    if (refused == 0) refused_until = r.now() + seconds(1);
    if (r.now() < refused_until) ++refused;
    return r.now() < refused_until;
  };
  r.store().refuse_read = refuse;
  r.store().refuse_page = refuse;
  r.kill_for(busy.old_leader, no_return_s);
  ASSERT_TRUE(r.run_until(30, [&] { return r.leader().has_value(); }));
  r.run(15);
  EXPECT_GT(refused, 0U) << "no chunk was read by the new leader";
  EXPECT_EQ(started, r.rules().started()) << "tasks were stopped and started again";
  busy.expect_all_jobs_end(400);
}

// The task rows of a job whose own row cannot be decoded were taken for those of a job that is over.
TEST(failover_load, tasks_of_a_job_whose_row_cannot_be_decoded_run_on) {
  BusyRegion busy{302};
  Region& r = busy.r;
  const JobId id = busy.jobs.at(0);
  wait_for_format_version(r, busy.old_leader);
  r.store().write(wire::job_key(id), json{{"later_format", 1}});
  r.kill_for(busy.old_leader, no_return_s);
  ASSERT_TRUE(r.run_until(30, [&] { return r.leader().has_value(); }));
  r.run(20);
  EXPECT_EQ(4U, r.rules().on_machines(id).size()) << "tasks were stopped";
  EXPECT_TRUE(r.store().has(wire::tasks_key(id, 0))) << "the record of its tasks was removed";
  for (std::size_t step = 1; step < r.controllers(); ++step) {
    const auto at = r.other_controller(busy.old_leader, step);
    EXPECT_EQ(200, poll(r, at, id).status) << "at controller " << at;
  }
  EXPECT_EQ("", r.violations());
}

// A poll at the leader for a job whose row cannot be decoded: the key shows that it was accepted and is not over.
TEST(failover_load, a_job_whose_row_cannot_be_decoded_is_known_to_the_leader) {
  BusyRegion busy{303};
  Region& r = busy.r;
  const JobId id{"job-800000"};
  r.store().write(wire::job_key(id), json{{"later_format", 1}});
  EXPECT_EQ(200, poll(r, busy.old_leader, id).status);
}

// An announced job in chunks that cannot be read at once: the entry was removed although its job was not adopted.
TEST(failover_load, an_announced_job_is_adopted_once_its_chunks_can_be_read) {
  region::RegionOptions options;
  options.value_bytes = chunked_value_bytes;
  BusyRegion busy{304, options};
  Region& r = busy.r;
  const auto follower = r.other_controller(busy.old_leader, 1);
  r.cut_links(follower, 60);
  const Time refused_until = r.now() + seconds(4);
  std::size_t refused = 0;
  const auto refuse = [&](std::size_t from, const std::string& key) {
    const bool refuses = from == busy.old_leader && key.starts_with(wire::chunk_prefix) && r.now() < refused_until;
    if (refuses) ++refused;
    return refuses;
  };
  r.store().refuse_read = refuse;
  r.store().refuse_page = refuse;
  const JobId id{"job-800001"};
  ASSERT_EQ(201, submit(r, follower, single_task(id)).status);
  EXPECT_TRUE(r.run_until(10, [&] { return leader_knows(r, id); }));
  EXPECT_GT(refused, 0U);
}

// A region whose next leader loads slowly, with a follower that can store jobs meanwhile.
struct SlowLoad {
  BusyRegion busy;
  Region& r = busy.r;
  std::optional<std::size_t> loading;  // the node that has listed the jobs but not yet all other rows
  explicit SlowLoad(std::uint64_t seed) : busy(seed) {
    wait_for_format_version(r, busy.old_leader);
    for (std::size_t c = 0; c < r.controllers(); ++c) {
      if (c == busy.old_leader) continue;
      r.store().faults(c).response_delay = seconds(0.3);
      r.store().faults(c).delayed_until = r.now() + seconds(no_return_s);
    }
    r.store().refuse_page = [this](std::size_t from, const std::string& prefix) {
      if (prefix == wire::machines_prefix) loading = from;
      return false;
    };
    r.kill_for(busy.old_leader, no_return_s);
    EXPECT_TRUE(r.run_until(30, [&] { return loading.has_value(); })) << "no node loads";
  }
  [[nodiscard]] std::size_t follower() const { return 3 - busy.old_leader - loading.value_or(0); }
};

// review/2: the inbox was listed after the jobs and all its entries were dropped, those of jobs included that were
// stored between the two lists. Nobody polls here.
TEST(failover_load, a_job_stored_while_the_next_leader_loads_is_known_to_it) {
  for (const bool dependent : {false, true}) {
    SCOPED_TRACE(dependent);
    SlowLoad load{305};
    Region& r = load.r;
    const JobId id{"job-800002"};
    std::vector<JobId> dependencies;
    if (dependent) dependencies.push_back(load.busy.jobs.at(0));
    bool stored_during_load = false;
    r.store().on_commit = [&](const json& txn, bool /*late*/) {
      const bool stores_job = region::sets(txn, wire::job_key(id, dependent));
      stored_during_load = stored_during_load || (stores_job && !r.leader().has_value());
    };
    ASSERT_EQ(201, submit(r, load.follower(), single_task(id, dependencies)).status);
    r.store().on_commit = nullptr;
    ASSERT_TRUE(stored_during_load) << "the load was over when the job was stored";
    ASSERT_TRUE(r.run_until(20, [&] { return r.leader().has_value(); }));
    EXPECT_TRUE(r.run_until(3, [&] { return leader_knows(r, id); })) << "the job is lost";
  }
}

// The same for an entry that requests a cancellation.
TEST(failover_load, a_cancellation_requested_while_the_next_leader_loads_takes_effect) {
  SlowLoad load{306};
  Region& r = load.r;
  const JobId id = load.busy.jobs.at(1);
  r.cancel(id, {load.follower()});
  ASSERT_TRUE(r.run_until(20, [&] { return r.rules().job(id).reported_cancelled.has_value(); }));
  load.busy.expect_all_jobs_end(400);
}

// review/3: a node that learned that the leader does not know a stored job told the leader only if it could tell the
// job's state. Here a dependency is cancelled, so that it may not call the job active.
TEST(failover_load, the_leader_is_told_of_a_job_whose_dependency_is_cancelled) {
  BusyRegion busy{307};
  Region& r = busy.r;
  wait_for_format_version(r, busy.old_leader);
  const JobId cancelled = busy.jobs.at(0);
  r.cancel(cancelled, {busy.old_leader});
  ASSERT_TRUE(r.run_until(10, [&] { return r.rules().job(cancelled).reported_cancelled.has_value(); }));
  const JobId id{"job-800004"};
  store_unannounced(r, single_task(id, {cancelled}));
  const auto follower = r.other_controller(busy.old_leader, 1);
  EXPECT_EQ(503, poll(r, follower, id).status) << "its cancellation is not stored yet";
  r.run(3);
  const auto answer = poll(r, follower, id);
  EXPECT_EQ(200, answer.status) << answer.body;
  EXPECT_NE(std::string::npos, answer.body.find("withdrawn")) << answer.body;
}

// review/2: the same with a row that the node cannot decode or whose dependencies it cannot look up in time.
TEST(failover_load, the_leader_is_told_of_a_job_that_awaits_many_others) {
  BusyRegion busy{308};
  Region& r = busy.r;
  wait_for_format_version(r, busy.old_leader);
  std::vector<JobId> dependencies = busy.jobs;
  for (int i = 0; i < 14; ++i) dependencies.push_back(r.submit_array(1, 150));
  r.run(5);
  const JobId id{"job-800005"};
  store_unannounced(r, single_task(id, dependencies));
  poll(r, r.other_controller(busy.old_leader, 1), id);
  EXPECT_TRUE(r.run_until(3, [&] { return leader_knows(r, id); })) << "the leader was not told";
}

// A node that does not reach the leader gave up after reading six of the jobs that a job awaits, at each poll.
TEST(failover_load, a_job_that_awaits_many_others_is_known_at_a_node_that_does_not_reach_the_leader) {
  BusyRegion busy{309};
  Region& r = busy.r;
  wait_for_format_version(r, busy.old_leader);
  // Two levels of jobs that wait, on top of jobs that run or are done.
  std::vector<JobId> running = busy.jobs;
  for (int i = 0; i < 14; ++i) running.push_back(r.submit_array(1, i < 7 ? 3 : 300));
  r.run(20);
  std::vector<JobId> waiting;
  for (int i = 0; i < 10; ++i) {
    const JobId id{"job-80010" + std::to_string(i)};
    ASSERT_EQ(201, submit(r, busy.old_leader, single_task(id, running)).status);
    waiting.push_back(id);
  }
  const JobId last{"job-800110"};
  ASSERT_EQ(201, submit(r, busy.old_leader, single_task(last, waiting)).status);
  const auto isolated = r.other_controller(busy.old_leader, 1);
  r.cut_links(isolated, no_return_s);
  r.run(10);
  const auto answered = [&](const JobId& id) {
    for (int polls = 0; polls < 4; ++polls) {
      if (poll(r, isolated, id).status == 200) return true;
      r.run(5);
    }
    return false;
  };
  EXPECT_TRUE(answered(waiting.front()));
  EXPECT_TRUE(answered(last));
  // What is known to be done is remembered; a cancellation is not overlooked for it.
  r.cancel(busy.jobs.at(0), {busy.old_leader});
  ASSERT_TRUE(r.run_until(20, [&] { return r.rules().job(busy.jobs.at(0)).reported_cancelled.has_value(); }));
  const auto answer = poll(r, isolated, last);
  EXPECT_TRUE(answer.status == 503 || answer.body.find("withdrawn") != std::string::npos) << answer.body;
}

// A leader whose lease ends while a submission is on its way stored the job without an entry for the next leader, which
// had already listed the jobs. It wrote the entry afterwards, and answered 201 even if it could not.
TEST(failover_load, a_submission_committed_after_the_leaders_lease_is_not_lost) {
  BusyRegion busy{310};
  Region& r = busy.r;
  const auto former = busy.old_leader;
  auto& faults = r.store().faults(former);
  faults.refuses_until = r.now() + seconds(1.2);
  r.run(1.2);
  faults.response_delay = seconds(1.4);
  faults.delayed_until = r.now() + seconds(30);
  ASSERT_EQ(former, r.leader()) << "its lease has ended already";
  const JobId id{"job-800006"};
  r.store().on_commit = [&](const json& txn, bool) {
    if (region::sets(txn, wire::job_key(id))) faults.refuses_until = r.now() + seconds(30);
  };
  const auto answer = submit(r, former, single_task(id));
  ASSERT_TRUE(r.run_until(5, [&] { return r.leader() && r.leader() != former; }));
  const bool accepted = answer.status == 200 || answer.status == 201;
  EXPECT_EQ(accepted, r.store().has(wire::job_key(id))) << answer.status;
  EXPECT_TRUE(!accepted || leader_knows(r, id)) << "accepted, and unknown to the leader";
}

// An entry that the leader has processed and not removed yet hid later announcements of the same job.
TEST(failover_load, a_job_is_announced_beside_an_entry_that_was_already_processed) {
  BusyRegion busy{311};
  Region& r = busy.r;
  const auto leader = busy.old_leader;
  const JobId id{"job-800007"};
  // The leader's removal of the entry is carried out late.
  r.store().faults(leader).late_share = 1;
  r.store().faults(leader).late_until = r.now() + seconds(8);
  r.store().write(wire::inbox_key(id), wire::encode_inbox_entry("ash", false));
  r.run(1);
  store_unannounced(r, single_task(id));
  ASSERT_TRUE(r.store().has(wire::inbox_key(id)));
  poll(r, r.other_controller(leader, 1), id);
  EXPECT_TRUE(r.run_until(1, [&] { return leader_knows(r, id); })) << "the leader was not told";
}

}  // namespace
}  // namespace martenwall
