#include "service/job_reader.hpp"

#include <utility>

namespace martenwall::service {

namespace {
constexpr Duration final_read_timeout =
    seconds(0.7);  // a lookup has time for two of these reads, or for one after the read of a job row
constexpr Duration release_read_timeout = seconds(0.5);  // leaves time for the reads of the dependencies
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
    : ctx_(ctx),
      store_(store),
      leader_service_(leader_service),
      job_rows_(job_rows),
      final_states_(ctx, store),
      dependency_walk_(ctx, store, job_rows) {}

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

rt::Task<JobLookup> JobReader::read_accepted(Job job) {
  const JobId id = job.spec.id;
  const auto term = ctx_.term;
  const Time began = ctx_.loop.update_time();
  if (const auto known = from_memory(id)) co_return *known;
  if (job.dependent) {
    const auto result = co_await dependency_walk_.run(std::move(job.spec.dependencies), began + lookup_timeout);
    if (const auto known = from_memory(id)) co_return *known;
    const bool is_outdated = ctx_.term != term || ctx_.loop.update_time() - began > lookup_timeout;
    if (is_outdated || result != DependencyWalk::Result::none_cancelled) co_return JobLookup{};
  }
  co_return JobLookup{Existence::exists, {id, JobPhase::pending, 0, 0}};
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
    const bool active = co_await may_report_active(std::move(*row.job), began + lookup_timeout);
    if (const auto known = from_memory(id)) co_return *known;
    if (!active || is_outdated()) co_return JobLookup{};
  }
  co_return JobLookup{Existence::exists, {id, JobPhase::pending, 0, 0}};
}

// Returns false unless reads of the store show that none of the job's dependencies is cancelled. Only the leader knows
// this without reading: a cancellation also cancels all jobs that depend on the cancelled one, and may not have reached
// this job yet.
rt::Task<bool> JobReader::may_report_active(Job job, Time deadline) {
  const ReadResult released = co_await store_.get(wire::tasks_key(job.spec.id, 0), release_read_timeout);
  if (released.outcome != ReadOutcome::absent) co_return released.outcome == ReadOutcome::found;
  const auto result = co_await dependency_walk_.run(std::move(job.spec.dependencies), deadline);
  co_return result == DependencyWalk::Result::none_cancelled;
}

rt::Task<JobLookup> JobReader::read_final(JobId id) {
  const FinalState state = co_await final_states_.read(id, final_read_timeout);
  if (state.outcome == FinalState::Outcome::absent) co_return JobLookup{Existence::absent, {}};
  if (!state.job) co_return JobLookup{};
  co_return JobLookup{Existence::exists, {id, state.job->phase, state.job->done, 0}};
}

}  // namespace martenwall::service
