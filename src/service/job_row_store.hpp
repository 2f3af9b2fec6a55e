// A job's own row in the store: at one of two keys, and spread over further ones where it is too long for one value.
#pragma once
#include <optional>

#include "service/context.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Reads and creates the rows; ends are written by the leader's FencedWriter. Nothing is retried here.
class JobRowStore {
 public:
  // Both outlive this object.
  JobRowStore(Context& ctx, StoreClient& store) : ctx_(ctx), store_(store) {}

  // What a read found.
  struct Read {
    ReadOutcome outcome = ReadOutcome::failed;  // absent: it is at neither key
    std::optional<Job> job;                     // nothing where the row cannot be read
    KeyVersion version;
  };
  // Of a job that has not ended. Looks at one key, then at the other.
  rt::Task<Read> read(JobId id);
  // Looks at one key only.
  rt::Task<Read> read_at(JobId id, bool dependent);
  // The job of a row; reads its pieces where it has any. Nothing where one is missing or a form is another.
  rt::Task<std::optional<Job>> decode(JobId id, wire::json row);
  // Stores a job that neither is there nor was: with a note for the leader where `note` has a node's name.
  // The row itself comes last: until it stands the job is not accepted, whatever pieces of it there are.
  rt::Task<TxnResult> store_new_job(Job& job, std::string announcing_node);

 private:
  rt::Task<bool> store_chunks(Job& job, wire::json& row);

  Context& ctx_;
  StoreClient& store_;
};

}  // namespace martenwall::service
