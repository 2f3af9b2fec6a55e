#include "service/leader_inbox.hpp"

#include <algorithm>
#include <utility>

namespace martenwall::service {

namespace {
constexpr Duration watch_hold = seconds(10);
constexpr Duration watch_retry_pause = seconds(0.3);
constexpr Duration read_retry_pause = seconds(0.2);
}  // namespace

rt::Task<void> LeaderInbox::run(std::uint64_t term, Revision after) {
  while (ctx_.leads(term)) {
    const auto entries = co_await next_entries(term, after);
    for (const auto& entry : entries) {
      if (entry.removed) continue;
      co_await process(term, entry);
      if (!ctx_.leads(term)) co_return;
    }
  }
}

// Returns the entries written since `after` and advances `after`. Returns none if the store did not respond or the term
// is over.
rt::Task<std::vector<wire::StoreItem>> LeaderInbox::next_entries(std::uint64_t term, Revision& after) {
  auto watch = co_await store_.watch(wire::inbox_prefix, after, watch_hold);
  if (!ctx_.leads(term)) co_return std::vector<wire::StoreItem>{};
  switch (watch.outcome) {
    case StoreClient::WatchOutcome::events:
      after = std::max(after, watch.page.revision);
      break;
    case StoreClient::WatchOutcome::too_old: {
      auto page = co_await store_.list(wire::inbox_prefix);
      if (!page || !ctx_.leads(term)) co_return std::vector<wire::StoreItem>{};
      after = page->revision;
      co_return std::move(page->items);
    }
    case StoreClient::WatchOutcome::failed:
      co_await ctx_.loop.sleep(watch_retry_pause);
      break;
  }
  co_return std::move(watch.page.items);
}

rt::Task<void> LeaderInbox::process(std::uint64_t term, wire::StoreItem entry) {
  ctx_.last_inbox_entry_at = ctx_.now();
  versions_.record(entry.key, entry.version);
  if (wire::is_stranded_workers_key(entry.key)) {
    const auto stranded = wire::decode_stranded_workers(entry.value);
    if (stranded)
      ctx_.reachability.on_stranded_report(wire::node_of_stranded_workers_key(entry.key), *stranded, ctx_.now());
    co_return;
  }
  JobId id = wire::job_of_key(entry.key);
  const bool cancel = wire::requests_cancellation(entry.value);
  co_await process_job_entry(term, std::move(id), cancel);
}

// Repeats the read of the job until the store responds: each entry is delivered only once, and its job was accepted.
rt::Task<void> LeaderInbox::process_job_entry(std::uint64_t term, JobId id, bool cancel) {
  while (ctx_.scheduler->find_job(id) == nullptr) {
    JobRowStore::Read read = co_await job_rows_.read(id);
    // The scheduler is destroyed if the term is over.
    if (!ctx_.leads(term)) co_return;
    if (read.job) adopter_.adopt(term, std::move(*read.job), read.version);
    if (read.outcome != JobRowOutcome::failed) break;
    co_await ctx_.loop.sleep(read_retry_pause);
    if (!ctx_.leads(term)) co_return;
  }
  if (cancel) {
    ctx_.scheduler->cancel(id, ctx_.now());
    ctx_.notify_pending_work();
  }
  cleanup_.add_inbox_entry(id);
}

}  // namespace martenwall::service
