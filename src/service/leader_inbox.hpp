// What other nodes leave for the leader in the store: jobs that they accepted or were asked to cancel, and how many
// workers they cannot hand over to it.
#pragma once
#include <vector>

#include "service/cleanup_queue.hpp"
#include "service/context.hpp"
#include "service/job_adopter.hpp"
#include "service/job_row_store.hpp"
#include "service/key_versions.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// All its coroutines end where they find, after a suspension, that their term no longer leads.
class LeaderInbox {
 public:
  LeaderInbox(Context& ctx, StoreClient& store, JobRowStore& job_rows, JobAdopter& adopter, KeyVersions& versions,
              CleanupQueue& cleanup)
      : ctx_(ctx), store_(store), job_rows_(job_rows), adopter_(adopter), versions_(versions), cleanup_(cleanup) {}

  // Watches the inbox from `after` on until `term` is over; entries up to there were read by the recovery.
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
