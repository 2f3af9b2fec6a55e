// Leadership in the store: election, loading, renewals, and the leader's fenced writes.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "service/configuration_service.hpp"
#include "service/context.hpp"
#include "service/format_version_service.hpp"
#include "service/job_row_store.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

class LeaderStore {
 public:
  LeaderStore(Context& ctx, StoreClient& state, JobRowStore& jobs, FormatVersionService& format_versions,
              ConfigurationService& configuration)
      : ctx_(ctx), store_(state), job_rows_(jobs), format_versions_(format_versions), configuration_(configuration) {}
  rt::Task<void> run();
  void step_down(const char* why);
  // A job whose row was read or written under the leadership `term`.
  void adopt_job(std::uint64_t term, Job job, KeyVersion version);
  // Waits until the job's end is stored, and where it is cancelled the ends of all that need it; nothing where that did
  // not come to pass in time.
  rt::Task<std::optional<JobStatus>> wait_final(JobId id, Duration longest);

 private:
  static constexpr Duration read_again = seconds(0.2);
  struct Transaction {
    std::vector<wire::Condition> when;
    std::vector<wire::StoreOp> then;
    std::vector<RowWrite> rows;  // what the scheduler is told once it is committed
    std::size_t bytes = 0;
  };
  rt::Task<void> follow_leader();
  rt::Task<bool> campaign();
  rt::Task<bool> load(std::uint64_t term, Duration previous_grace);
  struct Rows {
    std::vector<wire::StoreItem> jobs, machines, task_ranges, v1_tasks, notes;
    Revision notes_revision;
  };
  rt::Task<bool> read_rows(std::uint64_t term, Rows& rows);
  [[nodiscard]] Scheduler::Options scheduler_options(Duration previous_grace, Time acquired) const;
  rt::Task<bool> load_jobs(std::uint64_t term, Scheduler& scheduler, const std::vector<wire::StoreItem>& items);
  bool load_tasks(Scheduler& scheduler, const Rows& rows);
  // Ends of awaited jobs that the scheduler knows nothing of.
  rt::Task<void> run_lookups(std::uint64_t term);
  rt::Task<void> look_up_range(std::uint64_t term, std::vector<JobId> ids);
  rt::Task<void> look_up_one(std::uint64_t term, JobId id);
  rt::Task<void> find_active(std::uint64_t term, JobId id);
  rt::Task<void> watch_inbox(std::uint64_t term);
  rt::Task<void> process_inbox_entry(std::uint64_t term, JobId id, bool cancel);
  rt::Task<void> renew(std::uint64_t term);
  rt::Task<void> run_writer(std::uint64_t term);
  rt::Task<void> write_transaction(std::uint64_t term, Transaction transaction);
  std::vector<Transaction> build_transactions(std::vector<RowWrite> rows);
  std::vector<wire::StoreOp> ops_of(const RowWrite& row);
  [[nodiscard]] wire::json encode_machines_row(std::vector<MachineRecord> facts) const;
  bool fits_value(const RowWrite& row, const std::vector<wire::StoreOp>& ops);
  Transaction build_cleanup();
  void requeue_cleanup(const Transaction& transaction);  // to be removed later
  [[nodiscard]] Transaction new_transaction() const;
  void append(Transaction& transaction, std::vector<wire::StoreOp> ops);
  void stamp_writer(Transaction& transaction);
  void on_rows_written(const std::vector<RowWrite>& rows);
  enum class Commit { stored, lost, too_large };
  void log_uncertain_outcome(const Transaction& transaction, const char* what) const;
  rt::Task<Commit> commit(std::uint64_t term, const Transaction& transaction);
  rt::Task<bool> still_leads(std::uint64_t term);
  rt::Task<bool> was_applied(std::uint64_t term, const Transaction& transaction);
  rt::Task<ReadResult> read_until_answered(std::uint64_t term, std::string key);
  void record_versions(const Transaction& transaction, Revision revision);

  Context& ctx_;
  StoreClient& store_;
  JobRowStore& job_rows_;
  FormatVersionService& format_versions_;
  ConfigurationService& configuration_;
  LeaseId lease_;
  Time lease_sent_{};
  Duration previous_grace_{0};
  std::map<std::string, KeyVersion> versions_;  // of the keys that this leader writes
  std::vector<JobId> processed_inbox_;
  std::vector<std::string> obsolete_chunks_;  // of rows of jobs that are over
  std::vector<JobId> inbox_cancels_;          // asked for before this leadership
  std::size_t in_flight_ = 0;                 // transactions
  Revision inbox_after_;
  std::uint64_t write_serial_ = 0;
};

}  // namespace martenwall::service
