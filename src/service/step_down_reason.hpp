// Reasons for which a leader steps down.
#pragma once
#include <cstdint>
#include <string_view>

namespace martenwall::service {

// Printed as `reason=` in log lines.
enum class StepDownReason : std::uint8_t {
  lease_expired,         // the store reported that the lease has ended
  higher_token_seen,     // a worker has received a response from a leader with a higher fencing token
  workers_unreachable,   // more workers reach another node than this one
  recovery_failed,       // the rows could not be read after the failover
  transaction_conflict,  // the conditions of a fenced transaction failed
};

// Returns the name used in log lines.
constexpr std::string_view name_of(StepDownReason reason) {
  switch (reason) {
    case StepDownReason::lease_expired:
      return "lease_expired";
    case StepDownReason::higher_token_seen:
      return "higher_token_seen";
    case StepDownReason::workers_unreachable:
      return "workers_unreachable";
    case StepDownReason::recovery_failed:
      return "recovery_failed";
    case StepDownReason::transaction_conflict:
      return "transaction_conflict";
  }
  return "unknown";
}

}  // namespace martenwall::service
