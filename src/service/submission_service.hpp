// Submissions: validates jobs, stores each once, and passes it to the leader.
#pragma once
#include <string>

#include "core/result.hpp"
#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/dependency_checker.hpp"
#include "service/inbox_writer.hpp"
#include "service/job_reader.hpp"
#include "service/job_row_store.hpp"
#include "service/leader_service.hpp"
#include "service/peer_service.hpp"

namespace martenwall::service {

// Accepts jobs. A job counts as accepted once its row is in the store, whichever node wrote it; 201 and 200 are sent
// only after that. Submissions are idempotent: the row is created only if it does not exist.
class SubmissionService {
 public:
  // The services that submissions use; all belong to the node and outlive this service.
  struct Collaborators {
    PeerService& peers;
    LeaderService& leader_service;
    JobRowStore& job_rows;
    JobReader& reader;
    DependencyChecker& dependencies;
    InboxWriter& inbox;
  };
  // All references belong to the node and outlive this service.
  SubmissionService(Context& ctx, const Collaborators& collaborators);

  // Handles a user's POST /api/jobs at this node: 201, 200, 400, 422, or 503 if no decision is possible at the moment.
  rt::Task<rt::HttpResponse> submit(std::string body);

  // Handles a submission that another node has validated and forwarded to this node, the leader.
  rt::Task<rt::HttpResponse> accept_as_leader(JobSpec spec);

 private:
  [[nodiscard]] bool format_version_allows(const JobSpec& spec) const;
  rt::Task<rt::HttpResponse> submit_without_configuration(JobSpec spec, std::string body);
  rt::Task<rt::HttpResponse> answer_if_stored(JobId id, std::string retry_reason);
  rt::Task<rt::HttpResponse> reject(JobId id, Error error);
  rt::Task<rt::HttpResponse> accept(JobSpec spec, bool as_leader);
  rt::Task<rt::HttpResponse> accept_dependent(JobSpec spec, bool as_leader);
  rt::Task<rt::HttpResponse> store_job(JobSpec spec, bool as_leader);
  rt::Task<rt::HttpResponse> answer_accepted(Job job);
  void log_dependent_accepted(const JobId& id, std::size_t dependencies, const JobLookup& lookup) const;
  void announce_if_unfinished(const JobId& id, const JobLookup& lookup);

  Context& ctx_;
  PeerService& peers_;
  LeaderService& leader_service_;
  JobRowStore& job_rows_;
  JobReader& reader_;
  DependencyChecker& dependencies_;
  InboxWriter& inbox_;
};

}  // namespace martenwall::service
