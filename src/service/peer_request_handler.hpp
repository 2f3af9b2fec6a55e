// Handles, at the leader, users' requests that other nodes forward.
#pragma once
#include "service/cancellation_service.hpp"
#include "service/context.hpp"
#include "service/job_reader.hpp"
#include "service/submission_service.hpp"
#include "wire/peer_codec.hpp"

namespace martenwall::service {

// Answers other nodes' pings, status queries, submissions and cancellations. A node that does not lead answers all but
// pings with 421; the requesting node then uses the store.
class PeerRequestHandler {
 public:
  // All references belong to the node and outlive this handler.
  PeerRequestHandler(Context& ctx, JobReader& reader, SubmissionService& submissions,
                     CancellationService& cancellations);

  // Called by Node for the verbs that no other service handles.
  rt::Task<wire::PeerReply> handle(wire::PeerRequest request);

 private:
  [[nodiscard]] wire::PeerReply answer_ping() const;
  [[nodiscard]] wire::PeerReply answer_statuses(const wire::PeerRequest& request) const;
  rt::Task<wire::PeerReply> submit(wire::PeerRequest request);

  Context& ctx_;
  JobReader& reader_;
  SubmissionService& submissions_;
  CancellationService& cancellations_;
};

}  // namespace martenwall::service
