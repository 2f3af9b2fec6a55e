// Which nodes the workers reach. A leader that they cannot reach must give way before their leases end; one
// that is only left by lost machines, or cut off together with all others, must not.
#pragma once
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/policy.hpp"
#include "core/types.hpp"

namespace martenwall {

// A follower's view: workers that it sent to the leader lately. Those that the leader keeps do not come again.
class TurnedAway {
 public:
  void note(const MachineId& worker, Time now);
  [[nodiscard]] std::size_t stranded(Time now);
  void clear() { visits_.clear(); }  // another leader: what they met before says nothing of it

 private:
  std::unordered_map<MachineId, Time> visits_;
};

enum class HearingState {
  hearing,  // no other node is reached by more workers
  doubted,  // others are, since a moment ago
  deaf,     // gave its leadership up for that; does not campaign at once
};
std::string_view name_of(HearingState s);

// One node's view of itself.
class Hearing {
 public:
  explicit Hearing(const WorkerTerms& terms);
  // Leadership began: workers need a moment to find the new leader, and are not missed before.
  void began(Time now);
  // Another node says how many workers it could not get rid of to this leader.
  void claim(const std::string& node, std::size_t stranded, Time now);
  // `heard`: workers that reported here within `window`. Returns true once leadership should be given up.
  bool judge(std::size_t heard, Time now);
  void beat(Time now);  // a worker reached this node, whatever it was answered
  [[nodiscard]] Duration window() const { return window_; }
  // How long this node lets the others go first once no one leads.
  [[nodiscard]] Duration campaign_delay(Time now) const;
  [[nodiscard]] HearingState state() const { return state_; }
  [[nodiscard]] std::size_t claimed(Time now) const;

 private:
  void enter(HearingState next, Time now);
  [[nodiscard]] std::size_t claimed_since(Time since) const;
  struct Claim {
    std::size_t stranded = 0;
    Time at{};
  };
  Duration window_;
  HearingState state_ = HearingState::hearing;
  Time since_{};
  Time quiet_until_{};
  Time last_beat_{};
  std::map<std::string, Claim> claims_;
};

}  // namespace martenwall
