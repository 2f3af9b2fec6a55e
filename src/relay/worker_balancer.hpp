// Which node a worker should report to: sockets bound how many one node holds, so the fleet is shared out.
#pragma once
#include <map>
#include <string>
#include <unordered_map>

#include "core/types.hpp"

namespace martenwall::relay {

// What a node says of itself.
struct NodeLoad {
  std::size_t workers = 0;  // connections of workers that it holds
  std::size_t room = 0;     // as many as it would hold
};

struct Assignment {
  enum class Kind {
    keep,            // it stays here
    move,            // to node `to`
    keep_and_close,  // it is served, but its connection makes room for others'
  };
  Kind kind = Kind::keep;
  std::string to{};
};

class WorkerBalancer {
 public:
  // `leader_weight`: part of an ordinary node's share that a leader takes, which has more to do.
  WorkerBalancer(std::string node, double leader_weight);
  void on_node_load(const std::string& node, NodeLoad load, Time now);
  void set_leader(const std::string& node) { leader_ = node; }
  // Of a worker that reports here; `own` counts its connection too. Remembers whom it sends on: one that comes back
  // soon did not get through, so that its node is left alone for a while.
  Assignment place(const MachineId& worker, NodeLoad own, Time now);
  // Nodes heard lately, for those that hear of them through this one.
  [[nodiscard]] std::map<std::string, NodeLoad> known(NodeLoad own, Time now) const;

 private:
  struct OtherNode {
    NodeLoad load;
    Time at{};
    std::size_t sent_on = 0;  // since it spoke of itself
    Time avoid_until{};       // workers do not get through to it
  };
  struct Sent {
    std::string to;
    Time at{};
  };
  void note_return(const MachineId& worker, Time now);
  OtherNode* best_for(bool full, double total, double weights, Time now, std::string& name);
  [[nodiscard]] double weight(const std::string& node) const;
  // A worker more or less of this node's fair part, which must not overflow it.
  [[nodiscard]] double target(const std::string& node, NodeLoad load, double total, double weights) const;
  bool may_move(Time now, double most_a_second);

  std::string node_, leader_;
  double leader_weight_;
  std::map<std::string, OtherNode> others_;
  std::unordered_map<MachineId, Sent> sent_;
  Time forgotten_at_{};
  Time paced_at_{};
  double paced_ = 0;
};

}  // namespace martenwall::relay
