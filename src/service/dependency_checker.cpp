#include "service/dependency_checker.hpp"

#include <algorithm>

namespace martenwall::service {

namespace {

constexpr Duration compare_timeout = seconds(1);  // per transaction; a user waits 5 s
constexpr std::size_t keys_per_job = 3;           // see `add_keys`

void add_keys(std::vector<std::string>& keys, const JobId& id) {
  keys.push_back(wire::job_key(id, false));
  keys.push_back(wire::job_key(id, true));
  keys.push_back(wire::final_key(id));
}

bool is_active(const KeyComparison& compared, const JobId& id) {
  return compared.contains(wire::job_key(id, false)) || compared.contains(wire::job_key(id, true));
}

}  // namespace

DependencyChecker::DependencyChecker(Context& ctx, StoreClient& store, JobRowStore& job_rows, JobReader& reader)
    : ctx_(ctx), store_(store), job_rows_(job_rows), reader_(reader) {}

DependencyChecker::Partition DependencyChecker::partition(const JobSpec& spec, bool as_leader) const {
  Partition parts;
  for (const auto& id : spec.dependencies) {
    const auto finished = ctx_.finished_jobs.find(id);
    if (finished && finished->phase == JobPhase::done) continue;
    const bool accepted = finished || (as_leader && ctx_.scheduler->find_job(id) != nullptr);
    (accepted ? parts.open : parts.unresolved).push_back(id);
  }
  return parts;
}

rt::Task<DependencyCheck> DependencyChecker::check(JobSpec spec, bool as_leader) {
  using Outcome = DependencyCheck::Outcome;
  using Source = metrics::LookupSource;
  Partition parts = partition(spec, as_leader);
  DependencyCheck result;
  result.open_dependencies = std::move(parts.open);
  std::vector<std::string> keys;
  add_keys(keys, spec.id);
  for (const auto& id : parts.unresolved) add_keys(keys, id);
  const KeyComparison compared =
      co_await store_.find_existing_in_batches(std::move(keys), keys_per_job, compare_timeout);
  if (!compared.answered()) {
    count(Source::unanswered);
    co_return result;
  }
  const bool ended = compared.contains(wire::final_key(spec.id));
  if (ended || is_active(compared, spec.id)) {
    count(ended ? Source::compared_final : Source::compared_active);
    result.outcome = Outcome::already_stored;
    co_return result;
  }
  for (const auto& id : parts.unresolved) {
    auto progress = Progress::open;
    const bool active = is_active(compared, id);
    if (!active) progress = co_await read_progress(id);
    if (progress == Progress::unknown) {
      count(Source::unanswered);
      co_return result;
    }
    count(active ? Source::compared_active : Source::single_reads);
    if (progress == Progress::never_accepted) {
      result.outcome = Outcome::never_accepted;
      co_return result;
    }
    if (progress == Progress::open) result.open_dependencies.push_back(id);
  }
  result.outcome = Outcome::known;
  co_return result;
}

// Reads the progress of a job for which the comparison found no active key. A job that is at none of its keys is looked
// for once more before it counts as never accepted.
rt::Task<DependencyChecker::Progress> DependencyChecker::read_progress(JobId id) {
  JobLookup end = co_await reader_.read_final(id);
  if (end.existence == Existence::unknown) co_return Progress::unknown;
  if (end.existence == Existence::absent) {
    const JobRowStore::Read row = co_await job_rows_.read(id);
    if (row.outcome == JobRowOutcome::absent) end = co_await reader_.read_final(id);
    if (row.outcome == JobRowOutcome::failed || end.existence == Existence::unknown) co_return Progress::unknown;
    if (row.outcome == JobRowOutcome::absent && end.existence == Existence::absent) co_return Progress::never_accepted;
  }
  co_return end.exists() && end.status.phase == JobPhase::done ? Progress::done : Progress::open;
}

}  // namespace martenwall::service
