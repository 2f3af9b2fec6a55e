// Entries that other nodes write to the store for the leader: jobs that they accepted, cancellation requests, and the
// number of stranded workers, which reach that node but not the leader.
#pragma once
#include <vector>

#include "service/cleanup_queue.hpp"
#include "service/context.hpp"
#include "service/job_adopter.hpp"
#include "service/job_row_store.hpp"
#include "service/key_versions.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Every coroutine returns if its term is found to be over after a suspension.
class LeaderInbox {
 public:
  LeaderInbox(Context& ctx, StoreClient& store, JobRowStore& job_rows, JobAdopter& adopter, KeyVersions& versions,
              CleanupQueue& cleanup)
      : ctx_(ctx), store_(store), job_rows_(job_rows), adopter_(adopter), versions_(versions), cleanup_(cleanup) {}

  // Watches the inbox for entries after revision `after` until `term` is over; the recovery has read the earlier ones.
  rt::Task<void> run(std::uint64_t term, Revision after);

 private:
  rt::Task<std::vector<wire::StoreItem>> next_entries(std::uint64_t term, Revision& after);
  rt::Task<void> process(std::uint64_t term, wire::StoreItem entry);
  rt::Task<void> process_job_entry(std::uint64_t term, JobId id, bool cancel);

  Context& ctx_;
  StoreClient& store_;
  JobRowStore& job_rows_;
  JobAdopter& adopter_;
  KeyVersions& versions_;
  CleanupQueue& cleanup_;
};

}  // namespace martenwall::service
