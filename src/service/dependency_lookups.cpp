#include "service/dependency_lookups.hpp"

#include <utility>

namespace martenwall::service {

namespace {
constexpr Duration request_timeout = seconds(1);
constexpr Duration lookup_interval = seconds(0.1);
constexpr Duration failed_lookup_pause = seconds(0.2);  // an outage, or this node's share of requests is exhausted
constexpr Duration not_found_pause = seconds(1);        // the ID has no row at either job key and no final state
}  // namespace

rt::Task<void> DependencyLookups::run(std::uint64_t term) {
  while (ctx_.leads(term)) {
    std::vector<JobId> ids = ctx_.scheduler->take_lookups();
    const auto started_at = ctx_.now();
    const auto requested = ids.size();
    answer_from_cache(ids);
    if (requested > 0) ctx_.notify_pending_work();
    if (ids.empty()) {
      co_await ctx_.loop.sleep(lookup_interval);
      continue;
    }
    const auto from_store = ids.size();
    co_await look_up_all(term, std::move(ids));
    ctx_.log->info("dependency ends looked up jobs={} from_store={} seconds={}", requested, from_store,
                   to_seconds(ctx_.now() - started_at));
  }
}

// Answers lookups of cached jobs and removes these jobs from `ids`.
void DependencyLookups::answer_from_cache(std::vector<JobId>& ids) {
  std::erase_if(ids, [&](const JobId& id) { return adopter_.apply_known_end(id); });
}

rt::Task<void> DependencyLookups::look_up_all(std::uint64_t term, std::vector<JobId> ids) {
  while (!ids.empty()) {
    const auto states = co_await final_states_.read_first(ids, request_timeout);
    if (!ctx_.leads(term)) co_return;
    if (states.empty()) {
      for (const auto& id : ids) ctx_.scheduler->retry_lookup(id);
      co_await ctx_.loop.sleep(failed_lookup_pause);
      co_return;
    }
    for (const auto& state : states) apply(term, state);
    ids.erase(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(states.size()));
    ctx_.notify_pending_work();
  }
}

void DependencyLookups::apply(std::uint64_t term, const FinalState& state) {
  if (state.job) {
    ctx_.scheduler->on_dependency_end_found(state.id, state.job->phase, ctx_.now());
  } else {
    rt::spawn(adopt_unfinished(term, state.id));  // returns after one lookup or with the term
  }
}

// Handles a job without a readable final state: another node has just accepted it, or it finishes between the two
// reads.
rt::Task<void> DependencyLookups::adopt_unfinished(std::uint64_t term, JobId id) {
  JobRowStore::Read read = co_await job_rows_.read(id);
  if (!ctx_.leads(term)) co_return;
  if (read.job) adopter_.adopt(term, std::move(*read.job), read.version);
  if (ctx_.scheduler->find_job(id) == nullptr) co_await ctx_.loop.sleep(not_found_pause);
  if (ctx_.leads(term)) ctx_.scheduler->retry_lookup(id);
}

}  // namespace martenwall::service
