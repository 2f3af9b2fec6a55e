// Reads the final states of jobs from the store.
#pragma once
#include <optional>
#include <set>
#include <vector>

#include "service/context.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// What the store has at the key of a job's final state.
struct FinalState {
  enum class Outcome {
    found,
    absent,      // the job has not ended, or was never accepted
    unreadable,  // the job has ended, but its final state cannot be decoded
    failed,      // the store did not respond: a later read may succeed
  };
  JobId id;
  Outcome outcome = Outcome::failed;
  std::optional<FinalJob> job;  // set if the outcome is `found`
};

// Adds each final state that it reads to the node's cache of finished jobs. Nothing is retried here.
class FinalStateReader {
 public:
  // Both must outlive this object.
  FinalStateReader(Context& ctx, StoreClient& store) : ctx_(ctx), store_(store) {}

  // Reads the final state of one job. `timeout` limits the wait for the response.
  rt::Task<FinalState> read(JobId id, Duration timeout);
  // Reads, with one request, the final states of the first of the given jobs and of as many of the following ones as
  // the response covers. `ids` must be sorted and not empty. Returns nothing if the store did not respond.
  rt::Task<std::vector<FinalState>> read_first(std::vector<JobId> ids, Duration timeout);

 private:
  FinalState decode(const JobId& id, const wire::json& row);

  Context& ctx_;
  StoreClient& store_;
  std::set<JobId> logged_unreadable_;
};

}  // namespace martenwall::service
