// Decides which node a worker should report to: sockets limit how many workers a node holds, so the fleet is
// distributed.
#pragma once
#include <map>
#include <string>
#include <unordered_map>

#include "core/types.hpp"

namespace martenwall::relay {

// The load that a node reports.
struct NodeLoad {
  std::size_t workers = 0;   // worker connections that it holds
  std::size_t capacity = 0;  // worker connections that it can hold
};

// The node that a worker should report to from now on.
struct Assignment {
  // How this node treats the worker.
  enum class Kind {
    keep,            // it stays at this node
    move,            // it is redirected to node `to`
    keep_and_close,  // it is served, but its connection is closed to free a socket
  };
  Kind kind = Kind::keep;
  std::string to{};
};

// One node's view of all nodes' loads. Its decisions affect only the distribution of connections, not correctness: any
// node can serve any worker.
class WorkerBalancer {
 public:
  // `leader_weight`: a leader's share as a fraction of another node's, since a leader has more work.
  WorkerBalancer(std::string node, double leader_weight);

  // Updates another node's load, received directly or through the leader. Ignored for this node itself. Valid for 3 s.
  void on_node_load(const std::string& node, NodeLoad load, Time now);

  // Sets the leading node, which takes a smaller share; empty if unknown.
  void set_leader(const std::string& node) { leader_ = node; }

  // Assigns a worker that reports to this node; `own_load` includes its connection. Records redirected workers: one
  // that returns soon did not reach its target, which then gets no workers for a while.
  Assignment assign(const MachineId& worker, NodeLoad own_load, Time now);

  // Returns the loads that are still valid, including this node's own, for nodes that learn of the others through this
  // one.
  [[nodiscard]] std::map<std::string, NodeLoad> recent_loads(NodeLoad own_load, Time now) const;

 private:
  struct OtherNode {
    NodeLoad load;
    Time updated_at{};
    std::size_t moved_since_update = 0;  // from this node, since its load was updated
    Time avoid_until{};                  // until then no workers are moved to it
    [[nodiscard]] double expected_workers() const { return static_cast<double>(load.workers + moved_since_update); }
  };
  struct Move {
    std::string to;
    Time at{};
  };
  // Totals of the workers and weights of all nodes with valid loads.
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
  std::unordered_map<MachineId, Move> moves_;  // recent ones, by worker
  Time moves_pruned_at_{};
  Time move_tokens_at_{};
  double move_tokens_ = 0;
};

}  // namespace martenwall::relay
