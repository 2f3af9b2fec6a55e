// What this node and the store know of one job.
#pragma once
#include <optional>

#include "service/context.hpp"
#include "service/job_row_store.hpp"
#include "service/leader_service.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Whether a job was accepted, as far as a lookup could tell.
enum class Existence {
  exists,
  absent,   // the store was read and has no such job
  unknown,  // the store did not answer, or what it said may be out of date: the user has to ask again
};

// The result of a lookup.
struct JobLookup {
  Existence existence = Existence::unknown;
  JobStatus status;  // meaningful where the job exists
  // The job was accepted.
  [[nodiscard]] bool exists() const { return existence == Existence::exists; }
};

// How long a lookup may take. A user waits 2 s for a poll; what was read earlier than this could be older than what
// another node has told the user since.
constexpr Duration lookup_timeout = seconds(1.5);

// How many keys one transaction that only compares may name: by PROTOCOL four times as many as it may change.
inline std::size_t max_compared_keys(const StoreLimits& limits) { return limits.txn_ops() * 4; }

// Looks jobs up for submissions, polls and cancellations, in memory and then in the store. Never gives a state that is
// older than the call: what changed during a wait is checked again after it.
class JobReader {
 public:
  // What it is given belongs to the node and outlives it.
  JobReader(Context& ctx, StoreClient& store, LeaderService& leader_service, JobRowStore& job_rows);

  // Without a wait: a final state that this node has learnt, or the scheduler's, while this node has a valid lease.
  [[nodiscard]] std::optional<JobLookup> from_memory(const JobId& id) const;

  // The job's state by the store. Only from `absent` here may 404 follow: all rows were read and none is there.
  // A leader adopts a job that it finds and did not know.
  rt::Task<JobLookup> read_status(JobId id);

  // The job's final state by the store; `absent` says only that it has not ended. Fills the cache of finished jobs.
  rt::Task<JobLookup> read_final(JobId id);

 private:
  rt::Task<JobLookup> confirm_active(Job job, std::uint64_t term, Time began);
  rt::Task<bool> may_report_active(Job job);

  Context& ctx_;
  StoreClient& store_;
  LeaderService& leader_service_;
  JobRowStore& job_rows_;
};

}  // namespace martenwall::service
