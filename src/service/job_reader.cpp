#include "service/job_reader.hpp"

#include <set>
#include <vector>

namespace martenwall::service {

namespace {
constexpr Duration final_read_timeout =
    seconds(0.7);  // a lookup has time for two of these reads, or for one after the read of a job row
constexpr Duration release_read_timeout = seconds(0.5);  // leaves time for the reads of the dependencies
constexpr int max_dependency_reads = 12;                 // per poll: more would not end within its timeout
}  // namespace

std::string_view name_of(Existence existence) {
  switch (existence) {
    case Existence::exists:
      return "exists";
    case Existence::absent:
      return "absent";
    case Existence::unknown:
      return "unknown";
  }
  return "unknown";
}

JobReader::JobReader(Context& ctx, StoreClient& store, LeaderService& leader_service, JobRowStore& job_rows)
    : ctx_(ctx), store_(store), leader_service_(leader_service), job_rows_(job_rows) {}

std::optional<JobLookup> JobReader::from_memory(const JobId& id) const {
  if (const auto finished = ctx_.finished_jobs.find(id)) return JobLookup{Existence::exists, *finished};
  if (!ctx_.has_valid_lease()) return std::nullopt;
  if (const auto status = ctx_.scheduler->status(id)) return JobLookup{Existence::exists, *status};
  return std::nullopt;
}

rt::Task<JobLookup> JobReader::read_status(JobId id) {
  const auto term = ctx_.term;
  const Time began = ctx_.loop.update_time();
  // The order of the reads matters: a job moves from one of its first keys to the last one and never back.
  JobRowStore::Read active = co_await job_rows_.read(id);
  if (active.outcome == JobRowOutcome::failed) co_return JobLookup{};
  // What was read under an earlier leadership, or before the job's end, may be out of date.
  if (const auto known = from_memory(id)) co_return *known;
  if (active.outcome == JobRowOutcome::absent) co_return co_await read_final(id);
  JobLookup lookup = co_await confirm_active(std::move(active), id, term, began);
  lookup.row_exists = true;
  co_return lookup;
}

// Returns the state of a job whose row exists. `term` and `began` belong to the read of that row.
rt::Task<JobLookup> JobReader::confirm_active(JobRowStore::Read row, JobId id, std::uint64_t term, Time began) {
  const auto is_outdated = [&] { return ctx_.term != term || ctx_.loop.update_time() - began > lookup_timeout; };
  if (is_outdated()) co_return JobLookup{};
  // The row was written by this leader while it was busy, or by another node: in both cases the job is to run.
  if (row.job && ctx_.has_valid_lease()) {
    leader_service_.adopt_job(term, *row.job, row.version);
    if (const auto known = from_memory(id)) co_return *known;
  }
  if (row.dependent) {
    // The dependencies of a job whose row cannot be decoded are unknown.
    if (!row.job) co_return JobLookup{};
    const bool active = co_await may_report_active(std::move(*row.job));
    if (const auto known = from_memory(id)) co_return *known;
    if (!active || is_outdated()) co_return JobLookup{};
  }
  co_return JobLookup{Existence::exists, {id, JobPhase::pending, 0, 0}};
}

// Returns false unless reads of the store show that none of the job's dependencies is cancelled. Only the leader knows
// this without reading: a cancellation also cancels all jobs that depend on the cancelled one, and may not have reached
// this job yet.
rt::Task<bool> JobReader::may_report_active(Job job) {
  const ReadResult released = co_await store_.get(wire::tasks_key(job.spec.id, 0), release_read_timeout);
  if (released.outcome != ReadOutcome::absent) co_return released.outcome == ReadOutcome::found;
  std::vector<JobId> unchecked = job.spec.dependencies;
  std::set<JobId> checked;
  for (int reads = 0; !unchecked.empty(); reads += 2) {
    const JobId id = unchecked.back();
    unchecked.pop_back();
    if (!checked.insert(id).second) continue;
    const auto finished = ctx_.finished_jobs.find(id);
    if (finished && finished->phase == JobPhase::done) continue;
    if (finished || reads >= max_dependency_reads) co_return false;
    const JobRowStore::Read row = co_await job_rows_.read_at(id, true);
    if (row.outcome == JobRowOutcome::failed || row.outcome == JobRowOutcome::unreadable) co_return false;
    if (row.outcome == JobRowOutcome::found) {
      const auto& next_dependencies = row.job->spec.dependencies;
      unchecked.insert(unchecked.end(), next_dependencies.begin(), next_dependencies.end());
      continue;
    }
    const JobLookup end = co_await read_final(id);
    if (end.existence == Existence::unknown || (end.exists() && end.status.phase != JobPhase::done)) co_return false;
  }
  co_return true;
}

rt::Task<JobLookup> JobReader::read_final(JobId id) {
  const ReadResult row = co_await store_.get(wire::final_key(id), final_read_timeout);
  if (row.outcome == ReadOutcome::failed) co_return JobLookup{};
  if (row.outcome == ReadOutcome::absent) co_return JobLookup{Existence::absent, {}};
  const auto final_job = wire::decode_final(id, row.item.value);
  if (!final_job) co_return JobLookup{};
  const JobStatus status{id, final_job->phase, final_job->done, 0};
  ctx_.finished_jobs.add(status);
  co_return JobLookup{Existence::exists, status};
}

}  // namespace martenwall::service
