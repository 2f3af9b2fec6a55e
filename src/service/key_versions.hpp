// Versions of the keys that this leader has read or written, which its compare-and-swap transactions use as conditions.
#pragma once
#include <map>
#include <string>

#include "core/messages.hpp"

namespace martenwall::service {

// Holds the versions of one term; cleared when the next term begins. An unlisted key is assumed to be absent.
class KeyVersions {
 public:
  // Records that this leader read or wrote the key at this version.
  void record(const std::string& key, KeyVersion version) { versions_[key] = version; }
  // Records that the key was removed.
  void erase(const std::string& key) { versions_.erase(key); }
  // Removes all entries when a term begins.
  void clear() { versions_.clear(); }
  // Returns whether the key is known to exist.
  [[nodiscard]] bool contains(const std::string& key) const { return versions_.contains(key); }
  // Returns the key's version, or version 0, which the store uses for absent keys, if the key is not listed.
  [[nodiscard]] KeyVersion version_of(const std::string& key) const {
    const auto found = versions_.find(key);
    return found == versions_.end() ? KeyVersion{0} : found->second;
  }

 private:
  std::map<std::string, KeyVersion> versions_;
};

}  // namespace martenwall::service
