// Answers users' polls of job states in batches.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/inbox_writer.hpp"
#include "service/job_reader.hpp"
#include "service/peer_service.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Answers polls from memory if possible. Otherwise collects them for some milliseconds, sends the leader one request
// for the whole batch, and reads the store for the jobs that the leader does not answer.
class StatusQueryService {
 public:
  // All references belong to the node and outlive this service.
  StatusQueryService(Context& ctx, StoreClient& store, PeerService& peers, JobReader& reader, InboxWriter& inbox);

  // Handles a user's GET /api/jobs/{id}: 200, 404, or 503 within the lookup timeout. The state is never older than the
  // poll.
  rt::Task<rt::HttpResponse> status(std::string id);

  // Sends the queued queries in batches; runs as long as the node.
  rt::Task<void> run();

 private:
  // A query that one or more polls wait for. Shared by the polls and the batch, so that it outlives polls that have
  // timed out.
  struct StatusQuery {
    StatusQuery(rt::Loop& loop, JobId job) : id(std::move(job)), answered(loop) {}
    JobId id;
    std::optional<JobLookup> lookup;
    bool unknown_to_leader = false;  // the leader answered that it does not know the job
    rt::Event answered;
  };
  using StatusQueries = std::vector<std::shared_ptr<StatusQuery>>;

  rt::Task<JobLookup> query(JobId id);
  std::shared_ptr<StatusQuery> enqueue(const JobId& id);
  StatusQueries dequeue_batch();
  rt::Task<void> answer_batch(StatusQueries batch);
  rt::Task<StatusQueries> answer_from_leader(StatusQueries batch);
  rt::Task<void> answer_from_store(StatusQueries batch);
  rt::Task<void> answer_from_comparison(StatusQueries batch, KeyComparison compared);
  rt::Task<void> answer_from_rows(StatusQuery& query, bool ended);
  rt::Task<KeyComparison> compare(StatusQueries batch);
  bool resolve_from_memory(StatusQuery& query);
  bool resolve_active(StatusQuery& query, const KeyComparison& compared);
  void resolve(StatusQuery& query, JobLookup lookup, metrics::LookupSource source);
  void announce_if_unknown_to_leader(const StatusQuery& query);
  void count(metrics::LookupSource source) { ctx_.metrics.count_lookup(metrics::LookupPurpose::status_query, source); }
  [[nodiscard]] std::size_t jobs_per_comparison() const;
  [[nodiscard]] std::string placement_key(const JobId& id) const;

  Context& ctx_;
  StoreClient& store_;
  PeerService& peers_;
  JobReader& reader_;
  InboxWriter& inbox_;
  StatusQueries queue_;                                                    // not sent yet, in order of arrival
  std::unordered_map<JobId, std::shared_ptr<StatusQuery>> queued_by_job_;  // the queries of `queue_`, by job
  std::size_t batches_in_flight_ = 0;
  rt::Event queue_changed_;  // a query was added, or a batch was answered
};

}  // namespace martenwall::service
