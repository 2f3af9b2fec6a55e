// The row of a job in the store: at one of two keys, split into chunks at further keys if it exceeds the value size.
#pragma once
#include <optional>

#include "service/context.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Reads and creates the rows; the leader's FencedWriter writes final states. Nothing is retried here.
class JobRowStore {
 public:
  // Both must outlive this object.
  JobRowStore(Context& ctx, StoreClient& store) : ctx_(ctx), store_(store) {}

  // The result of reading a job's row.
  struct Read {
    ReadOutcome outcome = ReadOutcome::failed;  // absent: at none of the keys that were read
    std::optional<Job> job;                     // empty if the row cannot be decoded
    KeyVersion version;
  };
  // Reads the row of an unfinished job: at the key of independent jobs and, if it is absent there, at that of dependent
  // ones.
  rt::Task<Read> read(JobId id);
  // Reads the row at only one of the two keys.
  rt::Task<Read> read_at(JobId id, bool dependent);
  // Decodes a job from its row and reads the row's chunks, if any. Returns nothing if a chunk could not be read or the
  // format is unknown.
  rt::Task<std::optional<Job>> decode(JobId id, wire::json row);
  // Stores a job on condition that it does not exist and has not finished. Also writes an inbox entry for the leader if
  // `announcing_node`, the name of the writing node, is not empty. Writes the row itself last: without it the job is
  // not accepted, even if chunks of it exist.
  rt::Task<TxnResult> store_new_job(Job& job, std::string announcing_node);

 private:
  rt::Task<bool> store_chunks(Job& job, wire::json& row);

  Context& ctx_;
  StoreClient& store_;
};

}  // namespace martenwall::service
