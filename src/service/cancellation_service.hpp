// Cancellations: responses report only what is stored.
#pragma once
#include <string>

#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/inbox_writer.hpp"
#include "service/job_reader.hpp"
#include "service/job_row_store.hpp"
#include "service/leader_service.hpp"
#include "service/peer_service.hpp"

namespace martenwall::service {

// Cancels jobs as the leader, through the leader, or by an entry in the leader's inbox. Answers 200 only once the job's
// final state is in the store, so that no later leader can run the job again.
class CancellationService {
 public:
  // All references belong to the node and outlive this service.
  CancellationService(Context& ctx, PeerService& peers, LeaderService& leader_service, JobRowStore& job_rows,
                      JobReader& reader, InboxWriter& inbox);

  // Handles a user's POST /api/jobs/{id}/cancel at this node: 200 with the final state, 404, or 503.
  rt::Task<rt::HttpResponse> cancel(std::string id);

  // Cancels the job if this node leads; also handles requests that other nodes forward.
  rt::Task<rt::HttpResponse> cancel_as_leader(JobId id);

 private:
  rt::Task<rt::HttpResponse> cancel_by_inbox_entry(JobId id);

  Context& ctx_;
  PeerService& peers_;
  LeaderService& leader_service_;
  JobRowStore& job_rows_;
  JobReader& reader_;
  InboxWriter& inbox_;
};

}  // namespace martenwall::service
