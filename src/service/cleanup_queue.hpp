// Queue of obsolete keys, which the leader removes when its share of the write rate is not used otherwise.
#pragma once
#include <string>
#include <vector>

#include "core/messages.hpp"

namespace martenwall::service {

// Filled by the inbox, the recovery and the writer; emptied by the writer. Last in, first out.
class CleanupQueue {
 public:
  // Adds a processed inbox entry. Its key is removed on condition of its version, because other nodes write it, too.
  void add_inbox_entry(JobId id);
  // Adds chunks of the rows of finished jobs. Chunks are never written again, so they are removed without a condition.
  void add_chunks(const std::vector<std::string>& keys);
  // Returns a key to the queue that was popped but not removed from the store.
  void requeue(const std::string& key);
  // Returns the key of an inbox entry, or an empty string if there is none.
  [[nodiscard]] std::string pop_inbox_key();
  // Returns the key of a chunk of a finished job's row, or an empty string if there is none.
  [[nodiscard]] std::string pop_chunk_key();
  [[nodiscard]] bool empty() const { return inbox_entries_.empty() && chunk_keys_.empty(); }
  // Removes all keys when a term begins; the recovery reads the inbox entries again.
  void clear();

 private:
  std::vector<JobId> inbox_entries_;
  std::vector<std::string> chunk_keys_;
};

}  // namespace martenwall::service
