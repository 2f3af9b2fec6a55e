#include "service/cleanup_queue.hpp"

#include <utility>

#include "wire/store_codec.hpp"

namespace martenwall::service {

void CleanupQueue::add_inbox_entry(JobId id) { inbox_entries_.push_back(std::move(id)); }

void CleanupQueue::add_chunks(const std::vector<std::string>& keys) {
  chunk_keys_.insert(chunk_keys_.end(), keys.begin(), keys.end());
}

void CleanupQueue::requeue(const std::string& key) {
  if (key.starts_with(wire::inbox_prefix)) {
    inbox_entries_.push_back(wire::job_of_key(key));
  } else {
    chunk_keys_.push_back(key);
  }
}

std::string CleanupQueue::pop_inbox_key() {
  if (inbox_entries_.empty()) return {};
  std::string key = wire::inbox_key(inbox_entries_.back());
  inbox_entries_.pop_back();
  return key;
}

std::string CleanupQueue::pop_chunk_key() {
  if (chunk_keys_.empty()) return {};
  std::string key = std::move(chunk_keys_.back());
  chunk_keys_.pop_back();
  return key;
}

void CleanupQueue::clear() {
  inbox_entries_.clear();
  chunk_keys_.clear();
}

}  // namespace martenwall::service
