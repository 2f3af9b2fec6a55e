// Recovery after a failover: reads all rows from the store and builds the new leader's scheduler from them.
#pragma once
#include <memory>
#include <vector>

#include "core/result.hpp"
#include "service/cleanup_queue.hpp"
#include "service/configuration_service.hpp"
#include "service/context.hpp"
#include "service/format_version_service.hpp"
#include "service/job_row_store.hpp"
#include "service/key_versions.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Also fills KeyVersions and the CleanupQueue of the new term.
class LeaderRecovery {
 public:
  LeaderRecovery(Context& ctx, StoreClient& store, FormatVersionService& format_versions,
                 ConfigurationService& configuration, KeyVersions& versions, CleanupQueue& cleanup)
      : ctx_(ctx),
        store_(store),
        format_versions_(format_versions),
        configuration_(configuration),
        versions_(versions),
        cleanup_(cleanup) {}

  // Runs once at the beginning of `term`, while the lease is being renewed. On success, sets `Context::scheduler` and
  // returns the revision after which the inbox must be watched. Errors: `unavailable` (the store did not respond),
  // `unreadable` (the format of a row is unknown; since tasks of that row may occupy a machine, this node must not
  // place anything), `failed_precondition` (the term ended during the recovery). `previous_grace`: how long the
  // previous leader may continue to answer workers after its lease expired.
  rt::Task<Result<Revision>> run(std::uint64_t term, Duration previous_grace);

 private:
  struct Rows {
    std::vector<wire::StoreItem> jobs, machines, task_ranges, v1_tasks, inbox;
    JobRowChunks chunks;
    Revision inbox_revision;
  };
  [[nodiscard]] Error read_error(std::uint64_t term, const char* resource) const;
  rt::Task<Result<Rows>> read_rows(std::uint64_t term);
  [[nodiscard]] Scheduler::Options scheduler_options(Duration previous_grace, Time acquired) const;
  void load_jobs(Scheduler& scheduler, const Rows& rows) const;
  [[nodiscard]] Result<std::vector<TaskRow>> decode_task_rows(const Rows& rows) const;
  [[nodiscard]] std::vector<JobId> process_inbox(const std::vector<wire::StoreItem>& entries);
  void install(std::unique_ptr<Scheduler> scheduler, const std::vector<JobId>& cancelled);

  Context& ctx_;
  StoreClient& store_;
  FormatVersionService& format_versions_;
  ConfigurationService& configuration_;
  KeyVersions& versions_;
  CleanupQueue& cleanup_;
};

}  // namespace martenwall::service
