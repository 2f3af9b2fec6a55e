// Runs this node's leadership terms in sequence: election, recovery, then the leader's coroutines until the term ends.
#pragma once
#include <optional>

#include "service/cleanup_queue.hpp"
#include "service/configuration_service.hpp"
#include "service/context.hpp"
#include "service/dependency_lookups.hpp"
#include "service/fenced_writer.hpp"
#include "service/format_version_service.hpp"
#include "service/job_adopter.hpp"
#include "service/job_row_store.hpp"
#include "service/key_versions.hpp"
#include "service/leader_election.hpp"
#include "service/leader_inbox.hpp"
#include "service/leader_recovery.hpp"
#include "service/step_down_reason.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Owns the components of a leadership, none of which depends on this class.
class LeaderService {
 public:
  LeaderService(Context& ctx, StoreClient& store, JobRowStore& job_rows, FormatVersionService& format_versions,
                ConfigurationService& configuration);

  // Never returns; started once by the node.
  rt::Task<void> run();
  // Ends the leadership immediately; has no effect on a follower. See LeaderElection.
  void step_down(StepDownReason reason) { election_.step_down(reason); }
  // Adds a job to the scheduler. See JobAdopter.
  void adopt_job(std::uint64_t term, Job job, KeyVersion version);
  // Waits until the job's final state is stored and, if the job is cancelled, the final states of all its dependents.
  // After `timeout`, returns the final state if it is known. Returns nothing if the term ended.
  rt::Task<std::optional<JobStatus>> wait_for_final_state(JobId id, Duration timeout);

 private:
  rt::Task<void> serve_term(std::uint64_t term, Duration previous_grace);
  void reset_term_state();

  Context& ctx_;
  KeyVersions versions_;
  CleanupQueue cleanup_;
  JobAdopter adopter_;
  LeaderElection election_;
  LeaderRecovery recovery_;
  LeaderInbox inbox_;
  DependencyLookups lookups_;
  FencedWriter writer_;
};

}  // namespace martenwall::service
