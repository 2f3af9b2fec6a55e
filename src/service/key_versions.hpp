// The versions of the keys that this leader read or wrote: what its compare-and-swap transactions are conditioned on.
#pragma once
#include <map>
#include <string>

#include "core/messages.hpp"

namespace martenwall::service {

// Holds one term's knowledge; cleared when the next term begins. A key that is not listed is taken to be absent.
class KeyVersions {
 public:
  // The key was read, or written by this leader, at this version.
  void record(const std::string& key, KeyVersion version) { versions_[key] = version; }
  // The key was removed.
  void erase(const std::string& key) { versions_.erase(key); }
  // Forgets all, when a term begins.
  void clear() { versions_.clear(); }
  // Whether the key is known to be there.
  [[nodiscard]] bool contains(const std::string& key) const { return versions_.contains(key); }
  // Version 0, which is the store's word for an absent key, where the key is not listed.
  [[nodiscard]] KeyVersion version_of(const std::string& key) const {
    const auto found = versions_.find(key);
    return found == versions_.end() ? KeyVersion{0} : found->second;
  }

 private:
  std::map<std::string, KeyVersion> versions_;
};

}  // namespace martenwall::service
