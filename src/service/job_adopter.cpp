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
  ctx_.scheduler->add_job(std::move(job), ctx_.now());
  ctx_.notify_pending_work();
}

}  // namespace martenwall::service
