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
  // Until their lookup in the store, the job's state could not be told.
  for (const auto& dependency : dependencies) apply_known_end(dependency);
  ctx_.notify_pending_work();
}

bool JobAdopter::apply_known_end(const JobId& id) {
  const auto finished = ctx_.finished_jobs.find(id);
  if (finished) ctx_.scheduler->on_dependency_end_found(id, finished->phase, ctx_.now());
  return finished.has_value();
}

}  // namespace martenwall::service
