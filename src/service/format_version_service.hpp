// Negotiates the format version of the cluster. Formats that releases with format version 1 would misread are written
// only after every node has recorded in the store that it supports a later version; the leader then raises the format
// version of the cluster, which never decreases.
#pragma once
#include <set>
#include <string>

#include "service/context.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Maintains `Context::format_version`, which never decreases.
class FormatVersionService {
 public:
  // Both must outlive this object.
  FormatVersionService(Context& ctx, StoreClient& store) : ctx_(ctx), store_(store) {}
  // Records this node's version, then waits for the cluster's format version to be raised, or raises it if this node
  // leads. Returns once it is raised.
  rt::Task<void> run();
  // Reads the cluster's format version. Returns false if the store did not respond or the row is unreadable. A leader
  // calls it before it reads any other row.
  rt::Task<bool> read();

 private:
  rt::Task<bool> publish_node_version();
  rt::Task<void> raise_format_version();
  [[nodiscard]] std::set<std::string> node_names() const;

  Context& ctx_;
  StoreClient& store_;
  std::string last_logged_nodes_;  // comma-separated names of the awaited nodes, as last logged
};

// Sets the sizes of the leader's rows according to the current limits. Has no effect on a follower.
void apply_row_size_limits(Context& ctx);

}  // namespace martenwall::service
