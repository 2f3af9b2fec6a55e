// Adds jobs whose rows are in the store to this leader's scheduler.
#pragma once
#include "service/context.hpp"
#include "service/key_versions.hpp"

namespace martenwall::service {

// Used by the inbox, the dependency lookups and users' requests; no member function suspends.
class JobAdopter {
 public:
  // Both must outlive this object.
  JobAdopter(Context& ctx, KeyVersions& versions) : ctx_(ctx), versions_(versions) {}
  // Adds `job`, whose row was read or written during `term` at `version`. Has no effect if that term is over or the job
  // is known, even as a finished job: a row that was read before the job ended must not start it again.
  void adopt(std::uint64_t term, Job job, KeyVersion version);
  // Tells the scheduler of the end of a job that others depend on, if this node knows the end. Returns whether it does.
  // To be called by a leader only.
  bool apply_known_end(const JobId& id);

 private:
  Context& ctx_;
  KeyVersions& versions_;
};

}  // namespace martenwall::service
