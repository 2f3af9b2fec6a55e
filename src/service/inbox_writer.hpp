// Notes to the leader by way of the store, for what it must learn of and cannot be told directly.
#pragma once
#include <unordered_map>

#include "service/context.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Writes the inbox keys that LeaderInbox watches while it leads and reads when it begins to lead.
class InboxWriter {
 public:
  // What it is given belongs to the node and outlives it.
  InboxWriter(Context& ctx, StoreClient& store);

  // Says that the job is in the store, for a leader that may know nothing of it: stored by a write of the leader's own
  // that was applied late, after it had given it up, or just as another took over. The job would else wait for the next
  // leader. Returns at once; the note is written in the background, once per job and 20 s.
  void announce_job(const JobId& id);

  // The same note, now. It never replaces a note that asks for more; whether it was stored is not reported.
  rt::Task<void> write_entry(JobId id);

  // Asks the leader to cancel the job. False where the store did not take the note, or did not say so.
  rt::Task<bool> request_cancellation(JobId id);

 private:
  Context& ctx_;
  StoreClient& store_;
  std::unordered_map<JobId, Time> announced_at_;
};

}  // namespace martenwall::service
