// Which node a worker should report to: sockets bound how many one node holds, so the fleet is shared out.
#pragma once
#include <map>
#include <string>
#include <unordered_map>

#include "core/types.hpp"

namespace martenwall::relay {

// What a node says of itself.
struct NodeLoad {
  std::size_t workers = 0;   // connections of workers that it holds
  std::size_t capacity = 0;  // as many as it would hold
};

// Where a worker that reports here should report from now on.
struct Assignment {
  // What this node does with the worker.
  enum class Kind {
    keep,            // it stays here
    move,            // it is sent to node `to`
    keep_and_close,  // it is served, but its connection makes room for others'
  };
  Kind kind = Kind::keep;
  std::string to{};
};

// One node's view of the nodes' loads. Only room depends on its decisions, never correctness: any node can serve any
// worker.
class WorkerBalancer {
 public:
  // `leader_weight`: part of an ordinary node's share that a leader takes, which has more to do.
  WorkerBalancer(std::string node, double leader_weight);

  // Another node's load, heard directly or through the leader; ignored where it is this node's own_load. Valid for 3 s.
  void on_node_load(const std::string& node, NodeLoad load, Time now);

  // The node that leads, which takes a smaller share; empty where none is known.
  void set_leader(const std::string& node) { leader_ = node; }

  // For a worker that reports here; `own` counts its connection too. Remembers whom it moves: one that comes back
  // soon did not get through, so that its node is left alone for a while.
  Assignment assign(const MachineId& worker, NodeLoad own_load, Time now);

  // Nodes heard of lately, this one included, for those that hear of them through this one.
  [[nodiscard]] std::map<std::string, NodeLoad> recent_loads(NodeLoad own_load, Time now) const;

 private:
  struct OtherNode {
    NodeLoad load;
    Time updated_at{};
    std::size_t moved_since_update = 0;  // from here, since its load was updated
    Time avoid_until{};                  // workers do not get through to it
    [[nodiscard]] double expected_workers() const { return static_cast<double>(load.workers + moved_since_update); }
  };
  struct Move {
    std::string to;
    Time at{};
  };
  // The workers and the weights of all nodes heard of lately.
  struct FleetTotals {
    double workers = 0;
    double weights = 0;
  };
  void record_return(const MachineId& worker, Time now);
  [[nodiscard]] FleetTotals fleet_totals(NodeLoad own_load, Time now) const;
  std::map<std::string, OtherNode>::iterator find_target(bool full, const FleetTotals& totals, Time now);
  [[nodiscard]] double weight(const std::string& node) const;
  [[nodiscard]] double fair_share(const std::string& node, NodeLoad load, const FleetTotals& totals) const;
  bool consume_move_token(Time now, double moves_per_second);

  std::string node_, leader_;
  double leader_weight_;
  std::map<std::string, OtherNode> others_;
  std::unordered_map<MachineId, Move> moves_;  // of the last seconds, by worker
  Time moves_pruned_at_{};
  Time move_tokens_at_{};
  double move_tokens_ = 0;
};

}  // namespace martenwall::relay
