// Generated fault combinations: any two faults within seconds of each other, several times a run.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "region/region.hpp"

namespace martenwall {
namespace {

using region::Region;

class FaultGenerator {
 public:
  FaultGenerator(Region& r, std::uint64_t seed) : r_(r), random_(seed) {}

  std::string inject() {
    const auto c = leader_or_any();
    const double t = between(1, 30);
    switch (random_() % 24) {
      case 0:
        r_.store().faults(c).refuses_until = r_.now() + seconds(t);
        return "store refuses one controller";
      case 1:
        r_.store().fail_for(seconds(t));
        return "store outage";
      case 2:
        r_.kill_for(c, between(0.1, 8));
        return "controller killed";
      case 3:
        for (std::size_t i = 0; i < r_.controllers(); ++i) r_.kill_for(i, between(0.1, 8));
        return "all controllers killed";
      case 4:
        r_.cut_links(c, t);
        return "links cut";
      case 5:
        r_.cut_links(c, t);
        r_.store().faults(c).refuses_until = r_.now() + seconds(t);
        return "controller cut from the store and the other controllers";
      case 6:
        r_.store().slow_down(seconds(between(0.1, 1.2)), r_.now() + seconds(t));
        return "slow store";
      case 7:
        for (std::size_t i = 0; i < r_.controllers(); ++i) r_.store().faults(i).late_until = r_.now() + seconds(t);
        for (std::size_t i = 0; i < r_.controllers(); ++i) r_.store().faults(i).late_share = between(0.05, 0.5);
        return "late writes";
      case 8:
        r_.environment().late_heartbeats = between(0.05, 0.4);
        return "late heartbeats";
      case 9:
        for (auto& w : r_.workers()) {
          if (between(0, 1) < 0.4) w->lose_downlink(seconds(t));
        }
        return "machines without downlink";
      case 10:
        for (auto& w : r_.workers()) {
          if (between(0, 1) < 0.4) w->hang(seconds(t));
        }
        return "hanging machines";
      case 11:
        for (auto& w : r_.workers()) {
          if (between(0, 1) < 0.6) w->hold_next_start(seconds(between(2, 40)));
        }
        return "delayed commands";
      case 12:
        r_.freeze(c, between(0.5, 15));
        return "controller frozen";
      case 13:
        for (auto& w : r_.workers()) {
          if (between(0, 1) < 0.5) w->confine_to(c, seconds(t));
        }
        return "machines that reach one controller only";
      case 14:
        for (auto& w : r_.workers()) {
          if (between(0, 1) < 0.4) w->lose_network(seconds(t));
        }
        return "machines disconnected";
      default:
        return inject_further(c, t);
    }
  }
  // The jobs that cancellation faults choose from.
  std::vector<JobId> jobs;
  std::string inject_further(std::size_t c, double t) {
    switch (random_() % 9) {
      case 0:
        for (std::size_t i = 0; i < r_.controllers(); ++i) {
          auto& faults = r_.store().faults(i);
          faults.late_share = between(0.05, 0.5);
          faults.apply_at_once = true;
          faults.late_until = r_.now() + seconds(t);
        }
        return "only responses lost";
      case 1:
        r_.environment().retained_heartbeats = between(0.05, 0.5);
        r_.environment().retained_for_s = between(0, 1) < 0.5 ? 0 : between(0, 15);
        return "old heartbeats for the next leader";
      case 2:
        for (auto& w : r_.workers()) {
          if (between(0, 1) < 0.4) w->lose_uplink(seconds(t));
        }
        return "machines without uplink";
      case 3:
        r_.cut_zone(between(0, 1) < 0.5 ? "a" : "b", c, t);
        return "zone cut off with a controller";
      case 4:
        cancel_jobs(0);
        return "jobs cancelled together";
      case 5:
        cancel_jobs(t);
        return "jobs cancelled, their machines hang";
      case 6:
        for (std::size_t i = 0; i < r_.controllers(); ++i) r_.kill_for(i, t);
        return "all controllers down";
      case 7:
        r_.environment().fetch_s = between(1, 8);
        r_.environment().max_extra_fetch_s = between(1, 20);
        return "slow links";
      default:
        r_.cancel_at_end(between(0.1, 0.6));
        return "jobs cancelled at their end";
    }
  }
  double between(double a, double b) { return std::uniform_real_distribution<>{a, b}(random_); }
  std::uint64_t number() { return random_(); }

 private:
  // Cancels about half of the jobs in quick succession; up to eight of their machines hang for `hang_s`.
  void cancel_jobs(double hang_s) {
    std::size_t hanging = 0;
    for (const auto& id : jobs) {
      const auto& work = r_.rules().job(id);
      if (work.reported_done || !work.accepted || between(0, 1) < 0.5) continue;
      r_.cancel(id, {r_.pick(), r_.pick()});
      for (auto& w : r_.workers()) {
        if (hang_s > 0 && hanging < 8 && w->has(id)) {
          ++hanging;
          w->hang(seconds(hang_s));
        }
      }
      r_.run(between(0, 0.03));
    }
  }
  std::size_t leader_or_any() {
    const auto l = r_.leader();
    return l && between(0, 1) < 0.8 ? *l : random_() % r_.controllers();
  }
  Region& r_;
  std::mt19937_64 random_;
};

JobSpec random_job(FaultGenerator& t, const std::vector<JobId>& earlier) {
  JobSpec s;
  s.kind = t.number() % 2 == 0 ? JobKind::gang : JobKind::array;
  s.priority = static_cast<Priority>(t.number() % 4);
  s.tasks = 1 + static_cast<std::uint32_t>(t.number() % (s.kind == JobKind::gang ? 3 : 6));
  s.need = {4, s.kind == JobKind::gang ? 4.0 : 1.0, 8};
  s.one_zone = t.number() % 3 == 0;
  s.spread = !s.one_zone && t.number() % 4 == 0;
  if (!s.spread && t.number() % 6 == 0) s.zone = t.number() % 2 == 0 ? "a" : "b";
  s.spot = t.number() % 2 == 0;
  s.checkpoint_interval_s = t.number() % 2 == 0 ? 5 : 0;
  s.checkpoint_duration_s = 2;
  if (!earlier.empty() && t.number() % 4 == 0) s.dependencies = {earlier.at(t.number() % earlier.size())};
  return s;
}

// Runs a region for about 90 s and then until all jobs end: users submit, poll and cancel at any controller while
// faults coincide. Returns the injected faults.
std::string run_generated_faults(std::uint64_t seed, std::string& violations) {
  region::RegionOptions options;
  options.relay = seed % 4 != 0;
  options.controllers = seed % 5 == 0 ? 5 : 3;
  options.team_gpus = seed % 3 == 0 ? 20 : 1000;
  options.boot_s = seed % 7 == 0 ? 1 : 4;
  Region r{seed, options};
  FaultGenerator generator{r, seed ^ 0x5eedU};
  std::string what;
  r.run_until(20, [&] { return r.leader().has_value(); });
  if (seed % 3 != 1) r.query_intensively(seed % 2 == 0 ? 0.2 : 0);
  auto& jobs = generator.jobs;
  for (int i = 0; i < 90; ++i) {
    if (i < 60 && generator.between(0, 1) < 0.25)
      jobs.push_back(r.submit(random_job(generator, jobs), generator.between(2, 40)));
    if (!jobs.empty() && generator.between(0, 1) < 0.12) {
      r.cancel(jobs.at(generator.number() % jobs.size()), {r.pick(), r.pick()});
    }
    if (i > 5 && i < 70 && generator.between(0, 1) < 0.04) {
      what += std::to_string(i) + " " + generator.inject() + ", ";
      r.run(generator.between(0, 4));
      what += generator.inject() + "; ";
    }
    r.run(1);
  }
  r.run(30);  // the longest fault
  r.environment().late_heartbeats = r.environment().retained_heartbeats = 0;
  r.environment().retained.clear();
  r.environment().fetch_s = r.environment().max_extra_fetch_s = 1;
  r.rules().on_complete = nullptr;
  r.rules().all_faults_over(r.now());
  const bool over = r.run_until(600, [&] { return r.all_ended() || !r.rules().violations().empty(); });
  if (r.rules().violations().empty()) r.run(40);
  violations = r.violations();
  if (!over) violations += "jobs that never end: " + r.unfinished() + "\n";
  return what;
}

RC_GTEST_PROP(failure_combinations, keep_every_rule_whichever_two_faults_coincide, (std::uint64_t seed)) {
  std::string violations;
  const auto what = run_generated_faults(seed, violations);
  if (!violations.empty()) RC_FAIL("seed " + std::to_string(seed) + ": " + what + "\n" + violations);
}

}  // namespace
}  // namespace martenwall
