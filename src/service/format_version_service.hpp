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
  FormatVersionService(Context& ctx, StoreClient& state) : ctx_(ctx), store_(state) {}
  // States this node's version, then waits for, or as the leader raises, that of all. Ends once it is raised.
  rt::Task<void> run();
  // Reads the level of all; nothing where the store did not answer. A leader does so before it reads any row.
  rt::Task<bool> read();

 private:
  rt::Task<bool> state_own();
  rt::Task<void> raise();
  [[nodiscard]] std::set<std::string> nodes() const;

  Context& ctx_;
  StoreClient& store_;
  std::string missing_;  // as last logged
};

// The sizes of the leader's rows, as the limits stand now.
void apply_row_size_limits(Context& ctx);

}  // namespace martenwall::service
