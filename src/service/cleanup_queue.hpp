// Keys that no one reads any more and that the leader removes when it has writes to spare.
#pragma once
#include <string>
#include <vector>

#include "core/messages.hpp"

namespace martenwall::service {

// Filled by the inbox, the recovery and the writer; emptied by the writer. Last in, first out.
class CleanupQueue {
 public:
  // An inbox entry that was processed. Its key is removed on condition of its version: others write it too.
  void add_inbox_entry(JobId id);
  // Pieces of rows of jobs that are over. No one writes them again, so they are removed without a condition.
  void add_chunks(const std::vector<std::string>& keys);
  // Gives back a key that take_... returned and that was not removed.
  void requeue(const std::string& key);
  // Both answer an empty string where there is nothing left.
  [[nodiscard]] std::string pop_inbox_key();
  // A piece of a row of a job that is over.
  [[nodiscard]] std::string pop_chunk_key();
  // Whether there is nothing to remove.
  [[nodiscard]] bool empty() const { return inbox_entries_.empty() && chunk_keys_.empty(); }
  // Forgets all, when a term begins: the next leader finds the inbox entries again.
  void clear();

 private:
  std::vector<JobId> inbox_entries_;
  std::vector<std::string> chunk_keys_;
};

}  // namespace martenwall::service
