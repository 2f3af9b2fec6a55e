// Writes inbox entries: messages to the leader through the store, for nodes that cannot reach it directly.
#pragma once
#include <unordered_map>

#include "service/context.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Writes the inbox keys that a leader reads during its recovery and watches afterwards (LeaderInbox).
class InboxWriter {
 public:
  // Both must outlive this object.
  InboxWriter(Context& ctx, StoreClient& store);

  // Announces a stored job that may be unknown to the leader, because a write of the leader was applied late, after the
  // leader had abandoned it. Without the entry the job would wait for the next leader. Returns immediately; the entry
  // is written in the background, at most once per job in 20 s.
  void announce_job(const JobId& id);

  // Requests that the leader cancel the job. Returns false if the store did not confirm the entry.
  rt::Task<bool> request_cancellation(JobId id);

 private:
  rt::Task<void> announce(JobId id);
  rt::Task<bool> write_entry(JobId id);

  Context& ctx_;
  StoreClient& store_;
  std::unordered_map<JobId, Time> announced_at_;
};

}  // namespace martenwall::service
