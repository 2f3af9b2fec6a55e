// Whether the jobs that a new job depends on were accepted, and which of them are not done yet.
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

// The result of a check; `open_dependencies` is meaningful for `known` only.
struct DependencyCheck {
  // What the check found.
  enum class Outcome {
    known,           // all dependencies were accepted
    already_stored,  // the job itself is in the store
    never_accepted,  // one of the dependencies is not
    unknown,         // the store did not answer
  };
  Outcome outcome = Outcome::unknown;
  std::vector<JobId> open_dependencies;  // not known to be done
};

// Used by submissions before a dependent job is stored.
class DependencyChecker {
 public:
  // What it is given belongs to the node and outlives it.
  DependencyChecker(Context& ctx, StoreClient& store, JobRowStore& job_rows, JobReader& reader);

  // `as_leader`: this node leads, so that the scheduler's memory counts for jobs that are not over. It reads the store
  // for the rest, and may have lost the leadership when it returns.
  rt::Task<DependencyCheck> check(JobSpec spec, bool as_leader);

 private:
  // Dependencies that are not done, by where they are known from.
  struct Partition {
    std::vector<JobId> open;        // accepted, by this node's memory
    std::vector<JobId> unresolved;  // not in this node's memory: the store is asked
  };
  enum class Progress { done, open, never_accepted, unknown };

  [[nodiscard]] Partition partition(const JobSpec& spec, bool as_leader) const;
  void count(metrics::LookupSource source) {
    ctx_.metrics.count_lookup(metrics::LookupPurpose::dependency_check, source);
  }
  rt::Task<Progress> read_progress(JobId id);
  rt::Task<KeyComparison> find_existing(std::vector<std::string> keys);

  Context& ctx_;
  StoreClient& store_;
  JobRowStore& job_rows_;
  JobReader& reader_;
};

}  // namespace martenwall::service
