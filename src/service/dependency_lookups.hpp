// Looks up the final states of jobs that others depend on and that the scheduler does not know.
#pragma once
#include <vector>

#include "service/context.hpp"
#include "service/final_state_reader.hpp"
#include "service/job_adopter.hpp"
#include "service/job_row_store.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Every coroutine returns if its term is found to be over after a suspension.
class DependencyLookups {
 public:
  DependencyLookups(Context& ctx, StoreClient& store, JobRowStore& job_rows, JobAdopter& adopter)
      : ctx_(ctx), job_rows_(job_rows), adopter_(adopter), final_states_(ctx, store) {}

  // Executes the lookups that the scheduler requests until `term` is over. A failed lookup is returned to it for a
  // retry.
  rt::Task<void> run(std::uint64_t term);

 private:
  rt::Task<void> look_up_all(std::uint64_t term, std::vector<JobId> ids);
  void apply(std::uint64_t term, const FinalState& state);
  rt::Task<void> adopt_unfinished(std::uint64_t term, JobId id);
  void answer_from_cache(std::vector<JobId>& ids);

  Context& ctx_;
  JobRowStore& job_rows_;
  JobAdopter& adopter_;
  FinalStateReader final_states_;
};

}  // namespace martenwall::service
