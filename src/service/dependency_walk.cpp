#include "service/dependency_walk.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace martenwall::service {

namespace {

constexpr Duration compare_timeout = seconds(0.6);
constexpr Duration final_read_timeout = seconds(0.7);

// The keys that are compared for each job, in this order.
std::vector<std::string> compared_keys(const JobId& id) {
  return {wire::job_key(id, false), wire::job_key(id, true), wire::final_key(id), wire::tasks_key(id, 0)};
}

}  // namespace

rt::Task<DependencyWalk::Result> DependencyWalk::run(std::vector<JobId> dependencies, Time deadline) {
  std::set<JobId> visited;
  std::set<JobId> level{dependencies.begin(), dependencies.end()};
  while (!level.empty()) {
    std::vector<JobId> unfinished;
    for (const auto& id : level) {
      const auto finished = ctx_.finished_jobs.find(id);
      if (finished && finished->phase != JobPhase::done) co_return Result::cancelled;
      if (!finished && visited.insert(id).second) unfinished.push_back(id);
    }
    if (unfinished.empty()) break;
    if (is_over(deadline)) co_return Result::unknown;
    Level found = co_await compare(std::move(unfinished));
    if (found.result != Result::none_cancelled) co_return found.result;
    const Result ends = co_await read_ends(std::move(found.ended), deadline);
    if (ends != Result::none_cancelled) co_return ends;
    level.clear();
    const Result waiting = co_await add_dependencies_of(std::move(found.waiting), deadline, level);
    if (waiting != Result::none_cancelled) co_return waiting;
  }
  co_return Result::none_cancelled;
}

// The keys of one job are compared in the same transaction, so that a job that ends meanwhile is found at one of them.
rt::Task<DependencyWalk::Level> DependencyWalk::compare(std::vector<JobId> jobs) {
  Level level;
  std::vector<std::string> keys;
  for (const auto& id : jobs) {
    for (auto& key : compared_keys(id)) keys.push_back(std::move(key));
  }
  const std::size_t keys_per_job = keys.size() / jobs.size();
  const KeyComparison compared =
      co_await store_.find_existing_in_batches(std::move(keys), keys_per_job, compare_timeout);
  if (!compared.answered()) level.result = Result::unknown;
  if (!compared.answered()) co_return level;
  for (const auto& id : jobs) {
    const bool waits = compared.contains(wire::job_key(id, true)) && !compared.contains(wire::tasks_key(id, 0));
    if (compared.contains(wire::final_key(id))) {
      level.ended.push_back(id);
    } else if (waits) {
      level.waiting.push_back(id);
    } else if (!compared.contains(wire::job_key(id, false)) && !compared.contains(wire::job_key(id, true))) {
      level.result = Result::unknown;  // an accepted job has one of the keys
    }
  }
  co_return level;
}

rt::Task<DependencyWalk::Result> DependencyWalk::read_ends(std::vector<JobId> ended, Time deadline) {
  std::ranges::sort(ended);
  while (!ended.empty()) {
    if (is_over(deadline)) co_return Result::unknown;
    const auto states = co_await final_states_.read_first(ended, final_read_timeout);
    if (states.empty()) co_return Result::unknown;
    for (const auto& state : states) {
      if (!state.job) co_return Result::unknown;
      if (state.job->phase != JobPhase::done) co_return Result::cancelled;
    }
    ended.erase(ended.begin(), ended.begin() + static_cast<std::ptrdiff_t>(states.size()));
  }
  co_return Result::none_cancelled;
}

rt::Task<DependencyWalk::Result> DependencyWalk::add_dependencies_of(std::vector<JobId> waiting, Time deadline,
                                                                     std::set<JobId>& next) {
  for (const auto& id : waiting) {
    if (dependencies_of_.find(id) == nullptr) {
      if (is_over(deadline)) co_return Result::unknown;
      const JobRowStore::Read row = co_await job_rows_.read_at(id, true);
      if (!row.job) co_return Result::unknown;
      dependencies_of_.add(id, row.job->spec.dependencies);
    }
    const auto* dependencies = dependencies_of_.find(id);
    next.insert(dependencies->begin(), dependencies->end());
  }
  co_return Result::none_cancelled;
}

}  // namespace martenwall::service
