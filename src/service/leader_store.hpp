// Leadership in the store: election, loading, renewals, and the leader's fenced writes.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "service/configuration_service.hpp"
#include "service/context.hpp"
#include "service/job_rows.hpp"
#include "service/level_service.hpp"
#include "service/state_client.hpp"

namespace martenwall::service {

class LeaderStore {
 public:
  LeaderStore(Context& ctx, StateClient& state, JobRows& jobs, LevelService& levels,
              ConfigurationService& configuration)
      : ctx_(ctx), state_(state), job_rows_(jobs), levels_(levels), configuration_(configuration) {}
  rt::Task<void> run();
  void step_down(const char* why);
  // A job whose row was read or written under the leadership `term`.
  void adopt(std::uint64_t term, Job job, Stamp version);
  // Waits until the job's end is stored, and where it is cancelled the ends of all that need it; nothing where that did
  // not come to pass in time.
  rt::Task<std::optional<JobStatus>> wait_final(JobId id, Duration longest);

 private:
  static constexpr Duration read_again = seconds(0.2);
  struct Chunk {
    std::vector<wire::Condition> when;
    std::vector<wire::StoreOp> then;
    std::vector<RowWrite> rows;  // what the scheduler is told once it is committed
    std::size_t bytes = 0;
  };
  rt::Task<void> follow();
  rt::Task<bool> acquire();
  rt::Task<bool> load(std::uint64_t term, Duration old_grace);
  struct Rows {
    std::vector<wire::StoreItem> jobs, machines, spans, legacy, notes;
    Revision notes_revision;
  };
  rt::Task<bool> read_rows(std::uint64_t term, Rows& rows);
  [[nodiscard]] Scheduler::Setup setup_of(Duration old_grace, Time acquired) const;
  rt::Task<bool> load_jobs(std::uint64_t term, Scheduler& scheduler, const std::vector<wire::StoreItem>& items);
  bool load_tasks(Scheduler& scheduler, const Rows& rows);
  // Ends of awaited jobs that the scheduler knows nothing of.
  rt::Task<void> look_up(std::uint64_t term);
  rt::Task<void> look_up_run(std::uint64_t term, std::vector<JobId> ids);
  rt::Task<void> look_up_one(std::uint64_t term, JobId id);
  rt::Task<void> find_active(std::uint64_t term, JobId id);
  rt::Task<void> watch_inbox(std::uint64_t term);
  rt::Task<void> take_inbox(std::uint64_t term, JobId id, bool cancel);
  rt::Task<void> renew(std::uint64_t term);
  rt::Task<void> write(std::uint64_t term);
  rt::Task<void> write_chunk(std::uint64_t term, Chunk chunk);
  std::vector<Chunk> chunks_of(std::vector<RowWrite> rows);
  std::vector<wire::StoreOp> ops_of(const RowWrite& row);
  [[nodiscard]] wire::json facts_row(std::vector<MachineFacts> facts) const;
  bool fits_value(const RowWrite& row, const std::vector<wire::StoreOp>& ops);
  Chunk note_removals();
  void return_notes(const Chunk& chunk);  // to be removed later
  [[nodiscard]] Chunk new_chunk() const;
  void append(Chunk& chunk, std::vector<wire::StoreOp> ops);
  void sign(Chunk& chunk);
  void told(const std::vector<RowWrite>& rows);
  enum class Commit { stored, lost, too_large };
  void log_doubt(const Chunk& chunk, const char* what) const;
  rt::Task<Commit> commit(std::uint64_t term, const Chunk& chunk);
  rt::Task<bool> holds_lead(std::uint64_t term);
  rt::Task<bool> recognise(std::uint64_t term, const Chunk& chunk);
  rt::Task<ReadResult> read_surely(std::uint64_t term, std::string key);
  void remember(const Chunk& chunk, Revision revision);

  Context& ctx_;
  StateClient& state_;
  JobRows& job_rows_;
  LevelService& levels_;
  ConfigurationService& configuration_;
  LeaseId lease_;
  Time lease_sent_{};
  Duration old_grace_{0};
  std::map<std::string, Stamp> versions_;  // of the keys that this leader writes
  std::vector<JobId> inbox_done_;
  std::vector<std::string> leftover_pieces_;  // of rows of jobs that are over
  std::vector<JobId> inbox_cancels_;          // asked for before this leadership
  std::size_t under_way_ = 0;                 // transactions
  Revision inbox_after_;
  std::uint64_t write_serial_ = 0;
};

}  // namespace martenwall::service
