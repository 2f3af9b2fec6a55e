// Hands a job whose row stands in the store to the scheduler of this leader.
#pragma once
#include "service/context.hpp"
#include "service/key_versions.hpp"

namespace martenwall::service {

// Used by the inbox, the dependency lookups and the users' requests; nothing here suspends.
class JobAdopter {
 public:
  // Both outlive this object.
  JobAdopter(Context& ctx, KeyVersions& versions) : ctx_(ctx), versions_(versions) {}
  // `job`'s row was read or written during `term` and stood at `version`. Without effect where that term is over, or
  // where the job is known, finished ones included: a row that was read before its job's end must not start it again.
  void adopt(std::uint64_t term, Job job, KeyVersion version);

 private:
  Context& ctx_;
  KeyVersions& versions_;
};

}  // namespace martenwall::service
