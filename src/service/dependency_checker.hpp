// Checks whether the jobs that a new job depends on were accepted, and which of them are not done yet.
#pragma once
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "service/context.hpp"
#include "service/job_reader.hpp"
#include "service/job_row_store.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// The result of a check; `open_dependencies` is valid for `known` only.
struct DependencyCheck {
  // What the check found.
  enum class Outcome {
    known,           // all dependencies were accepted
    already_stored,  // the new job itself is in the store
    never_accepted,  // a dependency was never accepted
    unknown,         // the store did not answer
  };
  Outcome outcome = Outcome::unknown;
  std::vector<JobId> open_dependencies;  // dependencies that are not known to be done
};

// Checks the dependencies of a submitted job before the job is stored.
class DependencyChecker {
 public:
  // All references belong to the node and outlive this checker.
  DependencyChecker(Context& ctx, StoreClient& store, JobRowStore& job_rows, JobReader& reader);

  // Checks the dependencies of `spec`. `as_leader`: this node leads, so the scheduler's memory is authoritative for
  // unfinished jobs. Other jobs are read from the store; the leadership may have ended when the check returns.
  rt::Task<DependencyCheck> check(JobSpec spec, bool as_leader);

 private:
  // Dependencies that are not done, by the source that knows them.
  struct Partition {
    std::vector<JobId> open;        // accepted, according to this node's memory
    std::vector<JobId> unresolved;  // not in this node's memory: read from the store
  };
  enum class Progress { done, open, never_accepted, unknown };

  [[nodiscard]] Partition partition(const JobSpec& spec, bool as_leader) const;
  void count(metrics::LookupSource source) {
    ctx_.metrics.count_lookup(metrics::LookupPurpose::dependency_check, source);
  }
  rt::Task<Progress> read_progress(JobId id);

  Context& ctx_;
  StoreClient& store_;
  JobRowStore& job_rows_;
  JobReader& reader_;
};

}  // namespace martenwall::service
