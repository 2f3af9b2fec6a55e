// Users: submissions, polls, cancellations.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/job_row_store.hpp"
#include "service/leader_service.hpp"
#include "service/peer_service.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

class UserService {
 public:
  UserService(Context& ctx, StoreClient& state, LeaderService& store, JobRowStore& jobs)
      : ctx_(ctx), store_(state), leader_service_(store), job_rows_(jobs), wake_(ctx.loop) {}
  void set_peers(PeerService& peers) { peers_ = &peers; }

  rt::Task<rt::HttpResponse> submit(std::string body);
  rt::Task<rt::HttpResponse> status(std::string id);
  rt::Task<rt::HttpResponse> cancel(std::string id);
  rt::Task<wire::PeerReply> on_peer_request(wire::PeerRequest request);  // asked by another node
  rt::Task<void> run_status_queries();
  [[nodiscard]] bool healthy() const;

 private:
  enum class Fit { ok, never, unknown };
  enum class Known { yes, no, unsure };  // no: the store was read and has no such job
  struct Finding {
    Known known = Known::unsure;
    JobStatus status;
  };
  // A poll that waits for its answer; many are answered by one message or one read.
  struct StatusQuery {
    StatusQuery(rt::Loop& loop, JobId job) : id(std::move(job)), answered(loop) {}
    JobId id;
    std::optional<Finding> finding;
    bool unknown_to_leader = false;  // it said so
    rt::Event answered;
  };
  using StatusQueries = std::vector<std::shared_ptr<StatusQuery>>;

  [[nodiscard]] Fit can_run(const JobSpec& spec, std::string& why) const;
  rt::Task<rt::HttpResponse> accept(JobSpec spec, bool as_leader);
  rt::Task<rt::HttpResponse> accept_dependent(JobSpec spec, bool as_leader);
  // What the store and this node know of the jobs that another awaits.
  struct DependencyCheck {
    enum class Outcome { known, job_is_there, never_accepted, unsure } outcome = Outcome::unsure;
    std::vector<JobId> open_dependencies;  // not known to be done
  };
  rt::Task<DependencyCheck> check_dependencies(JobSpec spec, bool as_leader);
  rt::Task<std::optional<std::set<std::string>>> find_existing(std::vector<std::string> keys);
  rt::Task<Finding> read_final(JobId id);
  // False unless reads of the store show that nothing the job needs is cancelled.
  rt::Task<bool> may_call_active(Job job);
  rt::Task<Finding> read_status(JobId id);  // from the store
  [[nodiscard]] std::string tasks_key_of(const JobId& id) const;
  rt::Task<Finding> find_status(JobId id);
  rt::Task<rt::HttpResponse> cancel_here(JobId id);
  rt::Task<rt::HttpResponse> cancel_by_note(JobId id);
  rt::Task<rt::HttpResponse> forward(wire::PeerVerb verb, std::string id, std::string body, Duration timeout);
  rt::Task<void> answer_queries(StatusQueries queries);
  rt::Task<void> ask_leader_for(StatusQueries& queries);
  rt::Task<void> ask_store_for(StatusQueries queries);
  rt::Task<void> answer_from_store(StatusQuery& query, const std::optional<std::set<std::string>>& there,
                                   std::uint64_t term);
  void notify_leader(const JobId& id);
  rt::Task<void> write_inbox_note(JobId id);
  void resolve(StatusQuery& query, Finding finding);
  [[nodiscard]] std::optional<Finding> from_memory(const JobId& id) const;

  Context& ctx_;
  StoreClient& store_;
  LeaderService& leader_service_;
  JobRowStore& job_rows_;
  PeerService* peers_ = nullptr;
  StatusQueries asked_;
  std::unordered_map<JobId, std::shared_ptr<StatusQuery>> queued_;  // those of them, by job
  std::unordered_map<JobId, Time> notified_at_;                     // the leader, of these jobs, when
  std::size_t batches_ = 0;                                         // of questions, under way
  rt::Event wake_;
};

}  // namespace martenwall::service
