// Looks up one job in this node's memory and in the store.
#pragma once
#include <optional>
#include <string_view>

#include "service/context.hpp"
#include "service/dependency_walk.hpp"
#include "service/final_state_reader.hpp"
#include "service/job_row_store.hpp"
#include "service/leader_service.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Whether a job was accepted, as far as a lookup could determine.
enum class Existence {
  exists,
  absent,   // the store was read and does not have the job
  unknown,  // the store did not answer, or its answer may be out of date: the user has to retry
};

// Returns the value's name for logs.
std::string_view name_of(Existence existence);

// The result of a lookup.
struct JobLookup {
  Existence existence = Existence::unknown;
  JobStatus status;         // valid if the job exists
  bool row_exists = false;  // the row of the unfinished job was read from the store, even if its state is unknown
  // Returns whether the job was accepted.
  [[nodiscard]] bool exists() const { return existence == Existence::exists; }
  // Returns whether the job was accepted and has not ended, so that the leader must know it.
  [[nodiscard]] bool is_unfinished() const { return exists() ? !is_final(status.phase) : row_exists; }
};

// Maximum time of a lookup. A user waits 2 s for a poll; an older read could return a state older than one that another
// node has reported to the user since.
constexpr Duration lookup_timeout = seconds(1.5);

// Looks up jobs for submissions, polls and cancellations, in memory and then in the store. Never returns a state that
// is older than the call: state that may change during a suspension is checked again after it.
class JobReader {
 public:
  // All references belong to the node and outlive this reader.
  JobReader(Context& ctx, StoreClient& store, LeaderService& leader_service, JobRowStore& job_rows);

  // Returns, without suspending, a final state that this node knows, or the scheduler's state while this node has a
  // valid lease.
  [[nodiscard]] std::optional<JobLookup> from_memory(const JobId& id) const;

  // Returns the job's state from the store. 404 may be answered only if this function returns `absent`: all rows were
  // read and none exists. A leader adopts a job that it finds and did not know.
  rt::Task<JobLookup> read_status(JobId id);

  // Returns the state of a job that this node has just stored and, if it leads, passed to the scheduler. The result is
  // `unknown` if a dependency is cancelled and the leader has not told of it yet, or if the dependencies cannot be
  // read.
  rt::Task<JobLookup> read_accepted(Job job);

  // Returns the job's final state from the store; `absent` only means that the job has not ended. Fills the cache of
  // finished jobs.
  rt::Task<JobLookup> read_final(JobId id);

 private:
  rt::Task<JobLookup> confirm_active(JobRowStore::Read row, JobId id, std::uint64_t term, Time began);
  rt::Task<bool> may_report_active(Job job, Time deadline);

  Context& ctx_;
  StoreClient& store_;
  LeaderService& leader_service_;
  JobRowStore& job_rows_;
  FinalStateReader final_states_;
  DependencyWalk dependency_walk_;
};

}  // namespace martenwall::service
