#include "core/reachability/downlink_health.hpp"

#include <array>

namespace martenwall {

namespace {
// Consecutive misses from which a machine counts as unreachable. A single response may be lost; losing two in a row is
// rare. Every response repeats the instruction.
constexpr int unreachable_misses = 3;
constexpr Duration probe_interval = seconds(4);
}  // namespace

std::string_view name_of(DownlinkState s) {
  static constexpr std::array<std::string_view, 3> names{"hears", "doubted", "deaf"};
  return names.at(static_cast<std::size_t>(s));
}

void DownlinkHealth::transition_to(DownlinkState next, Time now) {
  if (next == state_) return;
  state_ = next;
  since_ = now;
}

void DownlinkHealth::on_heartbeat(Incarnation incarnation, Duration lease, Time now) {
  if (incarnation != incarnation_) {
    incarnation_ = incarnation;
    proof_window_start_ = now;
    return;
  }
  // Without a response, the incarnation would have ended: the worker's lease counts from an answered report.
  if (now - proof_window_start_ > lease) on_delivery_confirmed(now);
}

void DownlinkHealth::on_delivery_confirmed(Time now) {
  misses_ = 0;
  proof_window_start_ = now;
  transition_to(DownlinkState::reachable, now);
}

void DownlinkHealth::on_delivery_missed(Time now) {
  ++misses_;
  proof_window_start_ = now;
  transition_to(misses_ >= unreachable_misses ? DownlinkState::unreachable : DownlinkState::suspected, now);
}

bool DownlinkHealth::claim_probe(Time now) {
  if (is_reachable() || now - last_probe_ < probe_interval) return false;
  last_probe_ = now;
  return true;
}

}  // namespace martenwall
