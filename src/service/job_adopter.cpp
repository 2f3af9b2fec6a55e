#include "service/job_adopter.hpp"

#include <utility>

namespace martenwall::service {

void JobAdopter::adopt(std::uint64_t term, Job job, KeyVersion version) {
  if (!ctx_.leads(term)) return;
  const auto& id = job.spec.id;
  // A final state that was reported to users never changes.
  const bool known =
      ctx_.scheduler->find_job(id) != nullptr || ctx_.scheduler->was_finished(id) || ctx_.finished_jobs.find(id);
  if (known) return;
  versions_.record(wire::job_key(id, job.dependent), version);
  const auto dependencies = job.spec.dependencies;
  ctx_.scheduler->add_job(std::move(job), ctx_.now());
  apply_known_ends(dependencies);
  ctx_.notify_pending_work();
}

// Tells the scheduler at once of dependencies that this node knows to be over. Until their lookup in the store, the
// job's state could not be told.
void JobAdopter::apply_known_ends(const std::vector<JobId>& dependencies) {
  for (const auto& id : dependencies) {
    const auto finished = ctx_.finished_jobs.find(id);
    if (finished) ctx_.scheduler->on_dependency_end_found(id, finished->phase, ctx_.now());
  }
}

}  // namespace martenwall::service
