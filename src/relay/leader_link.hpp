// A follower's way to the leader for workers' reports: whether it may be used now, and what else to do with a report.
#pragma once
#include <string>
#include <string_view>

#include "core/types.hpp"

namespace martenwall::relay {

enum class LinkState {
  none,         // no other node leads, as far as known
  probing,      // a leader is known; whether it takes reports over this link is not
  open,         // reports are passed on
  suspected,    // it did not answer lately: most likely another will lead in a moment
  redirecting,  // the link is down for longer, or the leader's version takes none: workers go there themselves
};
std::string_view name_of(LinkState s);

enum class RoutingAdvice { forward, hold, redirect };

// What the other side of a link said to a probe. `old`: a version that does not pass reports on.
enum class ProbeResult { none, unsupported, follower, leader };

class LeaderLink {
 public:
  // `lease`: how long a leader that is gone keeps others from leading. A link that fails for clearly longer than that
  // fails although its leader lives.
  explicit LeaderLink(Duration lease);
  // Named anew by the state service; empty: none, or this node itself.
  void set_leader(const std::string& node, Time now);
  void on_probe_result(ProbeResult answer, Time now);
  // A batch of reports was answered by a node that leads, or not.
  void on_batch_result(bool answered, Time now);
  [[nodiscard]] RoutingAdvice advice() const;
  [[nodiscard]] LinkState state() const { return state_; }
  [[nodiscard]] const std::string& leader() const { return leader_; }
  // When the link is to be probed next; open ones are not, since reports tell as much.
  [[nodiscard]] bool probe_due(Time now) const;
  void probe_sent(Time now) { last_probe_ = now; }

 private:
  void enter(LinkState next, Time now);
  void failed(Time now);

  Duration patience_;
  LinkState state_ = LinkState::none;
  std::string leader_;
  Time failing_since_{};
  Time last_probe_{Duration::min() / 2};
};

}  // namespace martenwall::relay
