#include "service/dependency_lookups.hpp"

#include <map>
#include <string>
#include <utility>

namespace martenwall::service {

namespace {
constexpr Duration request_timeout = seconds(1);
constexpr Duration lookup_interval = seconds(0.1);
constexpr Duration failed_lookup_pause = seconds(0.2);  // an outage, or this node's share of requests is exhausted
constexpr Duration not_found_pause = seconds(1);        // the ID has no row at either job key and no final state
constexpr std::size_t min_range_lookup = 3;  // jobs; as many or more are read as key ranges, fewer one by one
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
  std::erase_if(ids, [&](const JobId& id) {
    const auto finished = ctx_.finished_jobs.find(id);
    if (finished) ctx_.scheduler->on_dependency_end_found(id, finished->phase, ctx_.now());
    return finished.has_value();
  });
}

rt::Task<void> DependencyLookups::look_up_all(std::uint64_t term, std::vector<JobId> ids) {
  for (std::size_t next = 0; next < ids.size();) {
    if (ids.size() - next < min_range_lookup) {
      co_await look_up_one(term, ids[next++]);
      if (!ctx_.leads(term)) co_return;
      continue;
    }
    const auto page = co_await store_.page(wire::final_prefix, wire::final_key_cursor_before(ids[next]));
    if (!ctx_.leads(term)) co_return;
    if (!page) {
      for (; next < ids.size(); ++next) ctx_.scheduler->retry_lookup(ids[next]);
      co_await ctx_.loop.sleep(failed_lookup_pause);
      co_return;
    }
    next = apply_page(term, ids, next, *page);
    ctx_.notify_pending_work();
  }
}

// Handles the requested jobs that the page covers. Pages are ordered by key, so a page answers for each requested job
// between its first and its last key. Returns the index of the first job ID that the page does not cover.
std::size_t DependencyLookups::apply_page(std::uint64_t term, const std::vector<JobId>& ids, std::size_t first,
                                          const wire::StorePage& page) {
  std::map<std::string, const wire::json*> final_items;
  for (const auto& item : page.items) final_items.emplace(item.key, &item.value);
  const auto covers = [&](const std::string& key) {
    return !page.more || final_items.empty() || key <= final_items.rbegin()->first;
  };
  std::size_t next = first;
  for (; next < ids.size() && covers(wire::final_key(ids[next])); ++next) {
    const auto found = final_items.find(wire::final_key(ids[next]));
    const auto final_job = found == final_items.end() ? std::nullopt : wire::decode_final(ids[next], *found->second);
    if (final_job) {
      on_end_found(ids[next], *final_job);
    } else {
      rt::spawn(adopt_unfinished(term, ids[next]));  // returns after one lookup or with the term
    }
  }
  return next;
}

rt::Task<void> DependencyLookups::look_up_one(std::uint64_t term, JobId id) {
  const ReadResult read = co_await store_.get(wire::final_key(id), request_timeout);
  if (!ctx_.leads(term)) co_return;
  const auto final_job = read.outcome == ReadOutcome::found ? wire::decode_final(id, read.item.value) : std::nullopt;
  if (final_job) {
    on_end_found(id, *final_job);
    ctx_.notify_pending_work();
  } else if (read.outcome == ReadOutcome::absent) {
    rt::spawn(adopt_unfinished(term, id));  // returns after one lookup or with the term
  } else {
    ctx_.scheduler->retry_lookup(id);
    co_await ctx_.loop.sleep(failed_lookup_pause);
  }
}

void DependencyLookups::on_end_found(const JobId& id, const FinalJob& final_job) {
  ctx_.finished_jobs.add({id, final_job.phase, final_job.done, 0});
  ctx_.scheduler->on_dependency_end_found(id, final_job.phase, ctx_.now());
}

// Handles a job that has no final state: another node has just accepted it, or it finishes between the two reads.
rt::Task<void> DependencyLookups::adopt_unfinished(std::uint64_t term, JobId id) {
  JobRowStore::Read read = co_await job_rows_.read(id);
  if (!ctx_.leads(term)) co_return;
  if (read.job) adopter_.adopt(term, std::move(*read.job), read.version);
  if (ctx_.scheduler->find_job(id) == nullptr) co_await ctx_.loop.sleep(not_found_pause);
  if (ctx_.leads(term)) ctx_.scheduler->retry_lookup(id);
}

}  // namespace martenwall::service
