// The operators' command `martenwall config`: speaks to a node's address for other controllers, never to the users'
// port.
#pragma once
#include <iosfwd>
#include <optional>
#include <string>

#include "wire/configuration_codec.hpp"

namespace martenwall::service {

// The exit codes of the command.
enum class CommandExit : int {
  done = 0,
  refused = 1,    // the node's answer says why; nothing changed
  bad_input = 2,  // a file or an address that cannot be used
  uncertain = 3,  // no answer, or one that does not tell: ask for the version
};

// What was said on the command line.
struct ConfigurationCommand {
  wire::ConfigurationRequest request;
  std::string node;  // its address, `cluster_listen` in the settings
  std::string file;  // of the patch, for apply
};

// Asks the node once, on a loop of its own, and prints its answer; waits 12 s at most. Errors are one line on `err`.
CommandExit run_command(ConfigurationCommand command, std::ostream& out, std::ostream& err);

}  // namespace martenwall::service
