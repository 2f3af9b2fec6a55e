#include "service/leader_recovery.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace martenwall::service {

namespace {
// Maximum backlog of scale-out requests, in seconds at the cloud's rate limit: enough to use the full rate despite slow
// responses, and short compared with the boot time of a machine.
constexpr double max_scale_out_backlog_s = 4;
constexpr double min_pending_scale_outs = 4;
}  // namespace

rt::Task<Result<Revision>> LeaderRecovery::run(std::uint64_t term, Duration previous_grace) {
  const Time started_at = ctx_.now();
  // The format version comes first: it determines which keys hold rows, and only the leader raises it.
  const bool version_known = co_await format_versions_.read();
  if (!version_known || ctx_.term != term) co_return read_error(term, "the format version");
  // The initial configuration is stored on condition that the leader has not changed since the storing node read
  // the leader key; from here on none can be stored without this node's involvement.
  const bool configured = co_await configuration_.read(true);
  if (!configured || ctx_.term != term) co_return read_error(term, "the configuration");
  auto read = co_await read_rows(term);
  if (!read) co_return read.error();
  const Rows rows = std::move(read).value();
  auto log = ctx_.log;
  auto scheduler = std::make_unique<Scheduler>(scheduler_options(previous_grace, started_at),
                                               [log](const std::string& line) { log->info(line); });
  // The coroutine does not suspend from here on, so this node still leads in `term` when the scheduler is installed.
  load_jobs(*scheduler, rows);
  for (const auto& item : rows.machines) {
    for (const auto& record : wire::decode_machines(item.key, item.value)) scheduler->load_machine(record, ctx_.now());
  }
  const auto tasks = decode_task_rows(rows);
  if (!tasks) co_return tasks.error();
  for (const auto& row : *tasks) {
    if (scheduler->find_job(row.job) == nullptr) {
      ctx_.log->info("task row without job row job={} first={} placed={}", row.job.value(), row.first,
                     row.placed.size());
    }
    scheduler->load_tasks(row, ctx_.now());
  }
  const auto not_loaded = std::ranges::count_if(rows.inbox, [&](const wire::StoreItem& entry) {
    return !wire::is_stranded_workers_key(entry.key) && scheduler->find_job(wire::job_of_key(entry.key)) == nullptr;
  });
  ctx_.log->info("inbox entries loaded entries={} of_jobs_not_loaded={}", rows.inbox.size(), not_loaded);
  install(std::move(scheduler), process_inbox(rows.inbox));
  ctx_.log->info("recovery finished jobs={} machines={} seconds={} format_version={} v1_rows={}", rows.jobs.size(),
                 rows.machines.size(), to_seconds(ctx_.now() - started_at), ctx_.format_version,
                 ctx_.format_version >= wire::current_format_version ? ctx_.scheduler->v1_row_count() : 0);
  co_return rows.inbox_revision;
}

Error LeaderRecovery::read_error(std::uint64_t term, const char* resource) const {
  if (ctx_.term != term) return {ErrorCode::failed_precondition, "the term ended during recovery"};
  return {ErrorCode::unavailable, std::string(resource) + " could not be read"};
}

// Reads the inbox before the rows of jobs: other nodes store jobs during these reads, each together with its entry. The
// row of a job whose entry is in this list is then found by the later reads, and an entry that is not in the list is
// reported by the watch, which begins at the revision of the list (docs/safety.md, "What a new leader reads").
rt::Task<Result<LeaderRecovery::Rows>> LeaderRecovery::read_rows(std::uint64_t term) {
  struct RowSource {
    const char* prefix;
    std::vector<wire::StoreItem> Rows::*destination;
  };
  const bool has_range_rows = ctx_.format_version >= wire::current_format_version;
  std::vector<RowSource> sources{{wire::inbox_prefix, &Rows::inbox}, {wire::job_prefix, &Rows::jobs}};
  // Earlier format versions have no such rows, and each saved request shortens the failover.
  if (has_range_rows) sources.push_back({wire::dependent_job_prefix, &Rows::jobs});
  sources.push_back({wire::machines_prefix, &Rows::machines});
  sources.push_back({wire::v1_tasks_prefix, &Rows::v1_tasks});
  if (has_range_rows) sources.push_back({wire::tasks_prefix, &Rows::task_ranges});
  Rows rows;
  for (const auto& source : sources) {
    auto page = co_await store_.list(source.prefix);
    if (!page || ctx_.term != term) co_return read_error(term, source.prefix);
    if (source.destination == &Rows::inbox) rows.inbox_revision = page->revision;
    for (auto& item : page->items) {
      versions_.record(item.key, item.version);
      (rows.*source.destination).push_back(std::move(item));
    }
  }
  const bool has_chunks = std::ranges::any_of(rows.jobs, [](const auto& item) { return is_chunked(item.value); });
  if (has_chunks) {
    auto page = co_await store_.list(wire::chunk_prefix);
    if (!page || ctx_.term != term) co_return read_error(term, wire::chunk_prefix);
    for (auto& item : page->items) rows.chunks.emplace(std::move(item.key), std::move(item.value));
  }
  co_return std::move(rows);
}

Scheduler::Options LeaderRecovery::scheduler_options(Duration previous_grace, Time acquired) const {
  Scheduler::Options options;
  options.policy = ctx_.policy;
  options.timings = ctx_.settings.workers;
  options.teams = ctx_.configuration.teams;
  options.quota_limits_changed = ctx_.configuration.version > ConfigurationVersion{0};
  for (const auto& objective : ctx_.settings.objectives) {
    if (objective.kind == "wait")
      options.objectives.start_s_by_class[objective.job_class].push_back(objective.within_s);
    if (objective.kind == "deadline") {
      options.objectives.deadline_multiples_by_class[objective.job_class].push_back(objective.deadline_factor);
    }
    if (objective.kind == "guarantee") options.objectives.guarantee_start_s = objective.within_s;
  }
  options.token = ctx_.leadership.token();
  // The previous leader key is absent, so the lease of its holder has expired; the holder may have continued to answer
  // workers for its grace period after that.
  options.previous_leader_valid_until =
      previous_grace.count() > 0 ? acquired + previous_grace + ctx_.policy.lease_margin : acquired;
  options.range_rows = ctx_.format_version >= wire::current_format_version;
  options.v1_row_size = ctx_.v1_row_size;
  options.log_tasks = ctx_.log->should_log(spdlog::level::debug);
  options.max_pending_scale_outs =
      static_cast<std::size_t>(std::max(min_pending_scale_outs, ctx_.settings.cloud_rps * max_scale_out_backlog_s));
  return options;
}

// All rows were read under this leadership, and only the leader removes a row or its chunks. A row that does not decode
// is therefore unreadable for good.
void LeaderRecovery::load_jobs(Scheduler& scheduler, const Rows& rows) const {
  for (const auto& item : rows.jobs) {
    const JobId id = wire::job_of_key(item.key);
    const bool dependent = item.key.starts_with(wire::dependent_job_prefix);
    auto job = decode_job(id, item.value, rows.chunks, ctx_.now());
    if (job) {
      job->dependent = dependent;
      scheduler.load_job(std::move(*job), ctx_.now());
    } else {
      ctx_.log->error("job row unreadable, left as it is key={}", item.key);
      scheduler.load_unreadable_job(id, dependent);
    }
  }
}

Result<std::vector<TaskRow>> LeaderRecovery::decode_task_rows(const Rows& rows) const {
  std::vector<TaskRow> tasks;
  const auto unreadable = [](const wire::StoreItem& item) {
    return Error{ErrorCode::unreadable, "row " + item.key + " cannot be read"};
  };
  for (const auto& item : rows.task_ranges) {
    auto row = wire::decode_tasks(item.key, item.value);
    if (!row) return unreadable(item);
    tasks.push_back(std::move(*row));
  }
  // Of overlapping ranges, the one with the highest first index takes precedence, so it is loaded first.
  std::ranges::stable_sort(tasks, [](const TaskRow& left, const TaskRow& right) {
    return left.job != right.job ? left.job < right.job : left.first > right.first;
  });
  for (const auto& item : rows.v1_tasks) {
    auto row = wire::decode_v1_tasks(item.key, item.value, ctx_.v1_row_size);
    if (!row) return unreadable(item);
    tasks.push_back(std::move(*row));
  }
  return tasks;
}

// Returns the jobs whose cancellation is requested. Queues each entry for removal: the rows of the jobs were read after
// the entries.
std::vector<JobId> LeaderRecovery::process_inbox(const std::vector<wire::StoreItem>& entries) {
  std::vector<JobId> cancelled;
  for (const auto& entry : entries) {
    if (wire::is_stranded_workers_key(entry.key)) continue;  // addressed to an earlier leader
    const JobId id = wire::job_of_key(entry.key);
    cleanup_.add_inbox_entry(id);
    if (wire::requests_cancellation(entry.value)) cancelled.push_back(id);
  }
  return cancelled;
}

void LeaderRecovery::install(std::unique_ptr<Scheduler> scheduler, const std::vector<JobId>& cancelled) {
  ctx_.scheduler = std::move(scheduler);
  // The configuration may have changed while the rows were read.
  if (ctx_.validity.is_following()) ctx_.scheduler->configure(ctx_.configuration.teams, ctx_.policy);
  apply_row_size_limits(ctx_);
  ctx_.scheduler->finish_load(ctx_.now());
  for (const auto& id : cancelled) ctx_.scheduler->cancel(id, ctx_.now());
  ctx_.scheduler->set_types(ctx_.types);
  ctx_.leadership.loaded(ctx_.now());
  ctx_.reachability.on_leadership_began(ctx_.now());
  ctx_.metrics.count_takeover();
}

}  // namespace martenwall::service
