// Which versions the nodes run. Forms that a version of level 1 would misread are written only once every node has
// stated in the store that it runs a later one; the leader then raises the level of all, which never falls.
#pragma once
#include <set>
#include <string>

#include "service/context.hpp"
#include "service/store_client.hpp"

namespace martenwall::service {

// Keeps `Context::format_version`, which never falls.
class FormatVersionService {
 public:
  // Both outlive this object.
  FormatVersionService(Context& ctx, StoreClient& store) : ctx_(ctx), store_(store) {}
  // States this node's version, then waits for, or as the leader raises, that of all. Ends once it is raised.
  rt::Task<void> run();
  // Reads the level of all; nothing where the store did not answer. A leader does so before it reads any row.
  rt::Task<bool> read();

 private:
  rt::Task<bool> publish_node_version();
  rt::Task<void> raise_format_version();
  [[nodiscard]] std::set<std::string> node_names() const;

  Context& ctx_;
  StoreClient& store_;
  std::string last_logged_nodes_;  // as last logged
};

// The sizes of the leader's rows, as the limits stand now.
void apply_row_size_limits(Context& ctx);

}  // namespace martenwall::service
