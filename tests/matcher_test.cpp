#include "core/placement/matcher.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

namespace martenwall {
namespace {

// A generated round: a few jobs of all kinds and machines of two zones, partly used, with some images.
struct GeneratedProblem {
  Policy policy;
  MachineType type{"g", {16, 8, 64}, 50, 1, 10, 3, 40, {"a", "b"}};
  std::map<std::string, Team> teams{{"red", {"red", {}, {0, 20, 0}}}, {"blue", {"blue", {}, {0, 9, 0}}}};
  std::deque<Job> jobs;
  std::map<MachineId, Machine> machines;
  PlacementProblem problem{Time{seconds(1000)}, policy, {}, {}};

  GeneratedProblem() {
    const int job_count = *rc::gen::inRange(1, 9);
    for (int i = 0; i < job_count; ++i) add_job(i);
    const int machine_count = *rc::gen::inRange(1, 9);
    for (int i = 0; i < machine_count; ++i) add_machine(i);
  }
  void add_job(int i) {
    Job& j = jobs.emplace_back();
    j.spec.id = JobId{std::to_string(i)};
    j.spec.team = *rc::gen::arbitrary<bool>() ? "red" : "blue";
    j.spec.kind = *rc::gen::arbitrary<bool>() ? JobKind::gang : JobKind::array;
    j.spec.priority = static_cast<Priority>(*rc::gen::inRange(0, 4));
    j.spec.tasks = *rc::gen::inRange<std::uint32_t>(1, 6);
    j.spec.need = {1, *rc::gen::inRange(1, 5) * 1.0, 1};
    j.spec.one_zone = *rc::gen::arbitrary<bool>();
    j.spec.spread = *rc::gen::inRange(0, 4) == 0;
    j.spec.spot = *rc::gen::arbitrary<bool>();
    j.spec.image_gb = 4;
    j.image = ImageId{static_cast<std::uint32_t>(*rc::gen::inRange(0, 3))};
    j.submitted = j.waiting_since = Time{seconds(*rc::gen::inRange(900, 1000))};
    if (*rc::gen::arbitrary<bool>()) j.spec.deadline_s = *rc::gen::inRange(50, 400);
    problem.jobs.push_back({&j, j.spec.tasks, *rc::gen::arbitrary<bool>(), *rc::gen::inRange(10, 200) * 1.0});
  }
  void add_machine(int i) {
    const MachineId id{std::to_string(i)};
    Machine& m = machines.try_emplace(id, id).first->second;
    m.zone = i % 2 == 0 ? "a" : "b";
    m.spot = *rc::gen::inRange(0, 3) == 0;
    if (*rc::gen::arbitrary<bool>()) m.touch_image(ImageId{0}, 4, 50);
    Resources free = type.capacity;
    free.gpus = *rc::gen::inRange(0, 9);
    problem.add({&m, &type, free, static_cast<std::size_t>(*rc::gen::inRange(1, 5)), Priority::best_effort});
  }
};

using Placed = std::vector<std::pair<std::size_t, std::vector<std::size_t>>>;

// The matching as it is defined: all entries by value, the highest first.
class PlainMatcher {
 public:
  explicit PlainMatcher(GeneratedProblem& s)
      : s_(s), matrix_(build_scores(s.problem)), quota_usage_(s.teams), zones_(s.problem.jobs.size()) {}
  Placed run() {
    std::vector<std::pair<std::size_t, std::size_t>> entries;
    for (std::size_t r = 0; r < s_.problem.jobs.size(); ++r) {
      for (std::size_t c = 0; c < s_.problem.machines.size(); ++c) {
        if (matrix_.allowed(r, c)) entries.emplace_back(r, c);
      }
    }
    std::ranges::stable_sort(
        entries, [&](auto a, auto b) { return matrix_.at(a.first, a.second) > matrix_.at(b.first, b.second); });
    std::set<std::size_t> closed;
    for (const auto& [r, c] : entries) {
      if (s_.problem.jobs[r].job->spec.kind == JobKind::gang) {
        if (closed.insert(r).second) gang(r);
      } else {
        while (s_.problem.jobs[r].count > 0 && fits(r, c, zones_[r])) take(r, {c});
      }
    }
    return out_;
  }

 private:
  bool fits(std::size_t r, std::size_t c, const ZoneCounts& zones) const {
    const auto& spec = s_.problem.jobs[r].job->spec;
    const auto& col = s_.problem.machines[c];
    return col.slots > 0 && spec.need.fits_in(col.free) &&
           quota_usage_.max_additional_tasks(spec.team, spec.need) > 0 && zone_allows(spec, zones, col.machine->zone);
  }
  void take(std::size_t r, const std::vector<std::size_t>& columns) {
    for (const auto c : columns) {
      const auto& spec = s_.problem.jobs[r].job->spec;
      s_.problem.machines[c].free.add(spec.need, -1);
      --s_.problem.machines[c].slots;
      quota_usage_.add(spec.team, spec.need);
      ++zones_[r][s_.problem.machines[c].machine->zone];
      --s_.problem.jobs[r].count;
    }
    out_.emplace_back(r, columns);
  }
  void gang(std::size_t r) {
    const auto& spec = s_.problem.jobs[r].job->spec;
    if (quota_usage_.max_additional_tasks(spec.team, spec.need) < spec.tasks) return;
    std::vector<std::size_t> best;
    double best_value = -1;
    for (const std::string zone : {"a", "b"}) {
      auto some = gather(r, spec.one_zone ? zone : "");
      double value = 0;
      for (const auto c : some) value += matrix_.at(r, c);
      if (some.size() == spec.tasks && value > best_value) {
        best = std::move(some);
        best_value = value;
      }
    }
    if (!best.empty()) take(r, best);
  }
  std::vector<std::size_t> gather(std::size_t r, const std::string& zone) const {
    const auto& spec = s_.problem.jobs[r].job->spec;
    std::vector<std::size_t> order;
    for (std::size_t c = 0; c < s_.problem.machines.size(); ++c) {
      if (matrix_.allowed(r, c) && (zone.empty() || s_.problem.machines[c].machine->zone == zone)) order.push_back(c);
    }
    std::ranges::stable_sort(order, [&](auto a, auto b) { return matrix_.at(r, a) > matrix_.at(r, b); });
    std::vector<std::size_t> out;
    ZoneCounts zones;
    for (const auto c : order) {
      auto room = s_.problem.machines[c].free;
      for (auto slots = s_.problem.machines[c].slots; slots > 0 && out.size() < spec.tasks && spec.need.fits_in(room) &&
                                                      zone_allows(spec, zones, s_.problem.machines[c].machine->zone);
           --slots) {
        out.push_back(c);
        room.add(spec.need, -1);
        ++zones[s_.problem.machines[c].machine->zone];
      }
    }
    return out;
  }

  GeneratedProblem& s_;
  ScoreMatrix matrix_;
  QuotaUsage quota_usage_;
  std::vector<ZoneCounts> zones_;
  Placed out_;
};

// Sorting rows only when their turn comes must give the very matches of sorting all entries.
RC_GTEST_PROP(matcher, places_as_a_plain_highest_first_walk_does, ()) {
  GeneratedProblem scene;
  PlacementProblem problem = scene.problem;
  const auto matrix = build_scores(problem);
  ScoreMatrix copy = matrix;
  QuotaUsage quota_usage{scene.teams};
  Placed lazy;
  for (auto& match : Matcher{problem, copy, quota_usage, scene.machines}.run())
    lazy.emplace_back(match.row, match.columns);
  const auto plain = PlainMatcher{scene}.run();
  RC_ASSERT(lazy == plain);
}

// At the registry a fifth of the signing gangs' machine time was lost where an image takes longer to fetch than a
// task waits for the others: those that had it gave up, and the rest gave up their fetch with them.
RC_GTEST_PROP(matcher, a_gang_with_a_uniform_image_is_all_cached_or_all_cold, ()) {
  GeneratedProblem s;
  for (auto& row : s.problem.jobs) row.uniform_image = row.job->spec.kind == JobKind::gang;
  auto matrix = build_scores(s.problem);
  QuotaUsage quota_usage{s.teams};
  Matcher matcher{s.problem, matrix, quota_usage, s.machines};
  for (const auto& match : matcher.run()) {
    const auto& row = s.problem.jobs[match.row];
    if (!row.uniform_image) continue;
    RC_ASSERT(match.columns.size() == row.job->spec.tasks);
    const auto cached = std::ranges::count_if(
        match.columns, [&](auto c) { return s.problem.machines[c].machine->has_image(row.job->image); });
    RC_ASSERT(cached == 0 || static_cast<std::size_t>(cached) == match.columns.size());
  }
}

}  // namespace
}  // namespace martenwall
