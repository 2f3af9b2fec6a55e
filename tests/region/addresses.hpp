// Loopback addresses.
#pragma once
#include <cstdint>
#include <string>

#include "runtime/socket.hpp"

namespace martenwall::region {

// Returns a loopback endpoint with an ephemeral port.
inline rt::Endpoint any_port() { return *rt::Endpoint::parse("127.0.0.1:0"); }

inline std::string at_port(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace martenwall::region
