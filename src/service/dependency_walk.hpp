// Walks up the dependency graph of a job in the store, to find out whether a dependency is cancelled. Used by nodes
// that cannot ask the leader.
#pragma once
#include <set>
#include <vector>

#include "service/context.hpp"
#include "service/dependency_cache.hpp"
#include "service/final_state_reader.hpp"
#include "service/job_row_store.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Visits the graph level by level: one comparison tells the state of many jobs at a time. What cannot change any more,
// the end of a job and the list of its dependencies, is cached, so that a walk after one that ran out of time needs
// fewer requests: in the end the comparisons only.
class DependencyWalk {
 public:
  // All references belong to the node and outlive this object.
  DependencyWalk(Context& ctx, StoreClient& store, JobRowStore& job_rows)
      : ctx_(ctx), store_(store), job_rows_(job_rows), final_states_(ctx, store) {}

  enum class Result {
    none_cancelled,  // when the walk visited them, no direct or indirect dependency was cancelled
    cancelled,       // a direct or indirect dependency is cancelled
    unknown,         // the store did not respond, a row cannot be decoded, or the deadline passed
  };
  // Starts no request after the deadline.
  rt::Task<Result> run(std::vector<JobId> dependencies, Time deadline);

 private:
  // The jobs of one level that are not known to be done, by what the store has of them.
  struct Level {
    Result result = Result::none_cancelled;
    std::vector<JobId> ended;    // their final states have to be read
    std::vector<JobId> waiting;  // their own dependencies have to be visited
  };
  rt::Task<Level> compare(std::vector<JobId> jobs);
  rt::Task<Result> read_ends(std::vector<JobId> ended, Time deadline);
  rt::Task<Result> add_dependencies_of(std::vector<JobId> waiting, Time deadline, std::set<JobId>& next);
  [[nodiscard]] bool is_over(Time deadline) const { return ctx_.loop.update_time() > deadline; }

  Context& ctx_;
  StoreClient& store_;
  JobRowStore& job_rows_;
  FinalStateReader final_states_;
  DependencyCache dependencies_of_;
};

}  // namespace martenwall::service
