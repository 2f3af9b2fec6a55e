// A follower's link to the leader for workers' heartbeats, as a state machine.
#pragma once
#include <string>
#include <string_view>

#include "core/types.hpp"

namespace martenwall::relay {

// Whether the leader takes heartbeats over the link.
enum class LinkState {
  none,         // no other node leads, as far as known
  probing,      // a leader is known; whether it takes heartbeats over this link is not
  open,         // heartbeats are forwarded
  suspected,    // it did not answer lately: most likely another will lead in a moment
  redirecting,  // the link is down for longer, or the leader's version takes none: workers go there themselves
};
// For the log.
std::string_view name_of(LinkState state);

// What to do with a heartbeat that this node cannot answer itself.
enum class RoutingAdvice {
  forward,   // hand it to the leader
  wait,      // keep it: the state of the link will be known soon
  redirect,  // answer 421
};

// What the other side of a link replied to a probe.
enum class ProbeResult {
  none,         // no reply in time
  unsupported,  // a reply of a version that does not forward heartbeats
  follower,
  leader,
};

// Decides only; HeartbeatRelay sends the probes and the batches, and reports here how they ended.
class LeaderLink {
 public:
  // `lease`: how long a leader that is gone keeps others from leading. A link that fails for clearly longer than that
  // fails although its leader lives.
  explicit LeaderLink(Duration lease);

  // The leader by the store; empty: none, or this node itself. A new name starts the link anew.
  void set_leader(const std::string& node, Time now);

  // A probe of the current leader has ended.
  void on_probe_result(ProbeResult result, Time now);

  // A batch of heartbeats to the current leader has ended; `answered`: by a node that leads.
  void on_batch_result(bool answered, Time now);

  // What to do with heartbeats now.
  [[nodiscard]] RoutingAdvice advice() const;

  // For the log and the owner's decisions.
  [[nodiscard]] LinkState state() const { return state_; }
  // The leader that the state is of; empty where none is known.
  [[nodiscard]] const std::string& leader() const { return leader_; }

  // Whether the link is to be probed now; open ones are not, since batches tell as much.
  [[nodiscard]] bool probe_due(Time now) const;

  // The caller sends a probe now.
  void probe_sent(Time now) { last_probe_ = now; }

 private:
  void transition_to(LinkState next, Time now);
  void on_failure(Time now);

  Duration redirect_delay_;  // a failing link is `suspected` for so long, then `redirecting`
  LinkState state_ = LinkState::none;
  std::string leader_;
  Time failing_since_{};
  Time last_probe_{Duration::min() / 2};
};

}  // namespace martenwall::relay
