// The operators' command `martenwall config`. It connects to a node's address for other controllers, not to the users'
// port.
#pragma once
#include <iosfwd>
#include <optional>
#include <string>

#include "wire/configuration_codec.hpp"

namespace martenwall::service {

// Exit codes of the command.
enum class CommandExit : int {
  done = 0,
  refused = 1,    // the node's answer gives the reason; nothing changed
  bad_input = 2,  // unusable file or address
  uncertain = 3,  // no answer, or an inconclusive one: query the version
};

// The parsed command line.
struct ConfigurationCommand {
  wire::ConfigurationRequest request;
  std::string node;  // address, `cluster_listen` in the settings
  std::string file;  // patch to apply
};

// Sends the request to the node once, on its own event loop, and prints the answer; waits at most 12 s. Errors are one
// line on `err`.
CommandExit run_command(ConfigurationCommand command, std::ostream& out, std::ostream& err);

}  // namespace martenwall::service
