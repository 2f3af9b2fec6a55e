// The row of a job in the store: at one of two keys, split into chunks at further keys if it exceeds the value size.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>

#include "service/context.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Whether the row of an unfinished job was read.
enum class JobRowOutcome {
  found,       // the row was read and decoded
  absent,      // the store has no row at the keys that were read
  unreadable,  // the row exists, but a chunk of it is missing or its format is unknown
  failed,      // the store did not respond, or the row changed during the read: a later read may succeed
};

// Chunks of job rows by their keys.
using JobRowChunks = std::map<std::string, wire::json>;

// Returns whether the row is split into chunks at further keys.
bool is_chunked(const wire::json& row);

// Decodes a job from the value at its key; `chunks` holds at least all chunks of the row that the store has. Returns
// nothing if a chunk is missing or the format is unknown.
std::optional<Job> decode_job(const JobId& id, const wire::json& row, const JobRowChunks& chunks, Time now);

// Reads and creates the rows; the leader's FencedWriter writes final states. Nothing is retried here.
class JobRowStore {
 public:
  // Both must outlive this object.
  JobRowStore(Context& ctx, StoreClient& store) : ctx_(ctx), store_(store) {}

  // The result of reading a job's row.
  struct Read {
    JobRowOutcome outcome = JobRowOutcome::failed;
    std::optional<Job> job;  // set if the outcome is `found`
    KeyVersion version;
    bool dependent = false;  // the row is at the key of dependent jobs
    // Returns whether the job was accepted and had not ended when its row was read.
    [[nodiscard]] bool row_exists() const {
      return outcome == JobRowOutcome::found || outcome == JobRowOutcome::unreadable;
    }
  };
  // Reads the row of an unfinished job: at the key of independent jobs and, if it is absent there, at that of dependent
  // ones.
  rt::Task<Read> read(JobId id);
  // Reads the row at only one of the two keys.
  rt::Task<Read> read_at(JobId id, bool dependent);
  // How the leader learns of a new job: it is the leader that stores it, or an inbox entry is stored with it.
  struct Writer {
    std::optional<FencingToken> leader_token;  // of the leader that stores the job
    std::string announcing_node;               // name of the node that stores the entry
  };
  // Stores a job on condition that it does not exist and has not finished. A leader stores it on condition that it
  // still leads: the next leader reads the rows once. Writes the row itself last: without it the job is not accepted,
  // even if chunks of it exist.
  rt::Task<TxnResult> store_new_job(Job& job, Writer writer);

 private:
  rt::Task<JobRowOutcome> read_chunks(JobId id, wire::json row, JobRowChunks& chunks);
  rt::Task<JobRowOutcome> confirm_unreadable(std::string key, KeyVersion version);
  rt::Task<bool> store_chunks(Job& job, wire::json& row);

  Context& ctx_;
  StoreClient& store_;
  std::set<std::string> logged_unreadable_;  // keys of rows that cannot be decoded
};

}  // namespace martenwall::service
