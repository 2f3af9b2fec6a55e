// State machine of a follower's link to the leader for forwarded heartbeats.
#pragma once
#include <string>
#include <string_view>

#include "core/types.hpp"

namespace martenwall::relay {

// Whether the leader accepts heartbeats over the link.
enum class LinkState {
  none,         // no other node is known to lead
  probing,      // a leader is known; it is unknown whether it accepts heartbeats over this link
  open,         // heartbeats are forwarded
  suspected,    // the leader stopped answering: most likely another node will lead soon
  redirecting,  // the link has been down for longer, or the leader's version accepts none: workers go to the leader
};
// The state's name, for the log.
std::string_view name_of(LinkState state);

// How to treat a heartbeat that this node cannot answer itself.
enum class RoutingAdvice {
  forward,   // send it to the leader
  wait,      // hold it: the state of the link will be known soon
  redirect,  // answer 421
};

// The other side's reply to a probe.
enum class ProbeResult {
  none,         // no reply in time
  unsupported,  // a reply from a version that does not forward heartbeats
  follower,
  leader,
};

// Makes decisions only: HeartbeatRelay sends the probes and the batches, and reports their results here.
class LeaderLink {
 public:
  // `lease`: how long a failed leader's lease keeps other nodes from leading. If a link fails for clearly longer than
  // that, its leader is alive and only the link is down.
  explicit LeaderLink(Duration lease);

  // Sets the leader according to the store; empty: none, or this node itself. A new name resets the link.
  void set_leader(const std::string& node, Time now);

  // Handles the end of a probe of the current leader.
  void on_probe_result(ProbeResult result, Time now);

  // Handles the end of a batch sent to the current leader; `answered`: a node that leads answered it.
  void on_batch_result(bool answered, Time now);

  // Returns how to treat heartbeats at the moment.
  [[nodiscard]] RoutingAdvice advice() const;

  // For logging and the owner's decisions.
  [[nodiscard]] LinkState state() const { return state_; }
  // The leader that the state refers to; empty if none is known.
  [[nodiscard]] const std::string& leader() const { return leader_; }

  // Returns whether to probe the link. An open link is not probed, since batches show its state.
  [[nodiscard]] bool probe_due(Time now) const;

  // Records that the caller sends a probe.
  void probe_sent(Time now) { last_probe_ = now; }

 private:
  void transition_to(LinkState next, Time now);
  void on_failure(Time now);

  Duration redirect_delay_;  // how long a failing link is `suspected` before it is `redirecting`
  LinkState state_ = LinkState::none;
  std::string leader_;
  Time failing_since_{};
  Time last_probe_{Duration::min() / 2};
};

}  // namespace martenwall::relay
