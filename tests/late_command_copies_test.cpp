// Whole nodes: a copy of a direct start command that was executed and answered reaches the machine once more.
#include <gtest/gtest.h>

#include <algorithm>

#include "region/busy_region.hpp"

namespace martenwall {
namespace {

using nlohmann::json;
using region::Region;
using region::Worker;

// A direct start command that a worker executed.
struct ExecutedStart {
  Worker* worker = nullptr;
  json body;
};

bool starts_job(const json& body, const JobId& id) {
  return std::ranges::any_of(body.at("orders"), [&](const json& order) {
    return order.at("verb") == "run" && order.at("shard").get<std::string>().starts_with(id.value() + "/");
  });
}

// The machines have the image, so that a start takes effect at once.
void cache_images(Region& r) { r.environment().fetch_s = r.environment().max_extra_fetch_s = 0; }

std::vector<ExecutedStart> executed_starts(Region& r, const JobId& id) {
  std::vector<ExecutedStart> out;
  for (auto& worker : r.workers()) {
    for (const auto& body : worker->executed_starts()) {
      if (starts_job(body, id)) out.push_back({worker.get(), body});
    }
  }
  return out;
}

// Runs one job whose tasks are started by direct commands. Its team may run no task beyond them.
struct StartedJob {
  Region r;
  JobId id;
  std::vector<ExecutedStart> starts;

  StartedJob(std::uint64_t seed, double run_s, std::uint32_t tasks = 2) : r(seed, options(tasks)) {
    cache_images(r);
    EXPECT_TRUE(r.run_until(20, [&] { return r.leader().has_value(); }));
    r.run(5);  // all machines have reported
    id = r.submit_array(tasks, run_s);
    EXPECT_TRUE(r.run_until(30, [&] { return r.rules().started() >= tasks; }));
    r.run(0.5);
    starts = executed_starts(r, id);
    EXPECT_FALSE(starts.empty()) << "no task was started by a direct command";
  }
  static region::RegionOptions options(std::uint32_t tasks) {
    region::RegionOptions options;
    options.team_gpus = tasks;
    return options;
  }
  // The copies must start nothing.
  void expect_copies_start_nothing() {
    const auto started = r.rules().started();
    for (auto& start : starts) start.worker->receive_copy(start.body);
    r.run(8);
    EXPECT_EQ(started, r.rules().started()) << "a task was started again";
    EXPECT_EQ("", r.violations());
  }
};

TEST(late_command_copies, do_not_start_tasks_that_are_done) {
  for (const double delay_s : {1.0, 50.0}) {
    SCOPED_TRACE(delay_s);
    StartedJob job{601, 4};
    ASSERT_TRUE(job.r.run_until(30, [&] { return job.r.rules().job(job.id).reported_done.has_value(); }));
    job.r.run(delay_s);
    job.expect_copies_start_nothing();
  }
}

TEST(late_command_copies, do_not_start_tasks_beside_those_of_the_next_job_at_the_limit) {
  StartedJob job{602, 4};
  ASSERT_TRUE(job.r.run_until(30, [&] { return job.r.rules().job(job.id).reported_done.has_value(); }));
  const JobId next = job.r.submit_array(2, 200);
  ASSERT_TRUE(job.r.run_until(30, [&] { return job.r.rules().on_machines(next).size() == 2; }));
  job.r.run(10);
  job.expect_copies_start_nothing();
}

TEST(late_command_copies, do_not_start_tasks_of_a_job_that_was_cancelled_long_ago) {
  StartedJob job{603, 500};
  const double cancel_s = region::RegionOptions{}.timings.cancel_s;
  job.r.cancel(job.id, {*job.r.leader()});
  ASSERT_TRUE(job.r.run_until(20, [&] { return job.r.rules().job(job.id).reported_cancelled.has_value(); }));
  job.r.run(cancel_s + 6);
  job.expect_copies_start_nothing();
}

TEST(late_command_copies, do_not_start_cancelled_tasks_after_a_change_of_leader) {
  StartedJob job{604, 500};
  const double cancel_s = region::RegionOptions{}.timings.cancel_s;
  const auto old_leader = job.r.leader().value_or(0);
  job.r.cancel(job.id, {old_leader});
  ASSERT_TRUE(job.r.run_until(20, [&] { return job.r.rules().job(job.id).reported_cancelled.has_value(); }));
  job.r.run(4);
  for (std::size_t c = 0; c < job.r.controllers(); ++c) job.r.kill_for(c, 0.5);
  ASSERT_TRUE(job.r.run_until(30, [&] { return job.r.leader().has_value(); }));
  job.r.run(cancel_s + 6);
  job.expect_copies_start_nothing();
}

// A gang of two whole machines loses one of them and starts anew.
TEST(late_command_copies, do_not_start_tasks_that_were_moved) {
  region::RegionOptions options;
  options.boot_s = 1;
  Region r{605, options};
  cache_images(r);
  ASSERT_TRUE(r.run_until(20, [&] { return r.leader().has_value(); }));
  r.run(5);
  JobSpec spec;
  spec.kind = JobKind::gang;
  spec.tasks = 2;
  spec.need = {4, 4, 8};
  spec.spot = true;
  const JobId id = r.submit(spec, 200);
  ASSERT_TRUE(r.run_until(30, [&] { return r.rules().on_machines(id).size() == 2; }));
  r.run(0.5);
  const auto starts = executed_starts(r, id);
  ASSERT_EQ(2U, starts.size()) << "not started by direct commands";
  // Urgent work takes the other machines, so that the gang starts elsewhere.
  JobSpec urgent;
  urgent.tasks = 28;
  urgent.need = {1, 1, 8};
  urgent.spot = true;
  urgent.priority = Priority::high;
  const JobId other = r.submit(urgent, 300);
  ASSERT_TRUE(r.run_until(30, [&] { return r.rules().on_machines(other).size() >= 24; }));
  starts.at(0).worker->terminate();
  const auto& survivor = *starts.at(1).worker;
  const auto moved = [&] { return !survivor.has(id) && r.rules().on_machines(id).size() == 2; };
  ASSERT_TRUE(r.run_until(60, moved)) << "the gang did not move";
  starts.at(1).worker->receive_copy(starts.at(1).body);
  r.run(20);
  EXPECT_FALSE(survivor.has(id)) << "the task was started again beside its later attempt";
  EXPECT_EQ("", r.violations());
}

}  // namespace
}  // namespace martenwall
