#include "relay/worker_balancer.hpp"

#include <algorithm>

namespace martenwall::relay {

namespace {
constexpr Duration load_validity = seconds(3);  // each node reports its load at least once a second
constexpr double share_tolerance_factor = 1.2;  // multiple of its fair share that a node may hold
constexpr double share_tolerance_workers = 8;  // extra workers that a node may hold: a few do not justify reconnections
constexpr double moves_per_worker_second = 0.02;  // per worker held, so that they do not all reconnect at once
constexpr double min_moves_per_second = 4;
constexpr double max_fill_fraction = 0.97;        // other nodes are filled up to this fraction of their capacity
constexpr Duration return_window = seconds(12);   // a worker that tries two unresponsive nodes returns after 10 s
constexpr Duration avoid_duration = seconds(30);  // no workers are moved to a node from which one returned
}  // namespace

WorkerBalancer::WorkerBalancer(std::string node, double leader_weight)
    : node_(std::move(node)), leader_weight_(leader_weight) {}

void WorkerBalancer::on_node_load(const std::string& node, NodeLoad load, Time now) {
  if (node == node_) return;
  auto& other = others_[node];
  other.load = load;
  other.updated_at = now;
  other.moved_since_update = 0;
}

double WorkerBalancer::weight(const std::string& node) const { return node == leader_ ? leader_weight_ : 1.0; }

// Returns how many workers the node should hold, at most its capacity.
double WorkerBalancer::fair_share(const std::string& node, NodeLoad load, const FleetTotals& totals) const {
  const double share = totals.weights > 0 ? totals.workers * weight(node) / totals.weights : totals.workers;
  return std::min(share, static_cast<double>(load.capacity));
}

bool WorkerBalancer::consume_move_token(Time now, double moves_per_second) {
  const double accrued = move_tokens_at_ == Time{} ? 1 : to_seconds(now - move_tokens_at_) * moves_per_second;
  move_tokens_ = std::min(move_tokens_ + accrued, std::max(1.0, moves_per_second));
  move_tokens_at_ = now;
  if (move_tokens_ < 1) return false;
  move_tokens_ -= 1;
  return true;
}

void WorkerBalancer::record_return(const MachineId& worker, Time now) {
  if (now - moves_pruned_at_ > return_window) {
    std::erase_if(moves_, [&](const auto& entry) { return now - entry.second.at > return_window; });
    moves_pruned_at_ = now;
  }
  const auto move = moves_.find(worker);
  if (move == moves_.end()) return;
  const auto other = others_.find(move->second.to);
  if (other != others_.end() && now - move->second.at <= return_window) {
    other->second.avoid_until = now + avoid_duration;
  }
  moves_.erase(move);
}

// Returns the node with the most spare capacity below its fair share or, if this node is full, below its total
// capacity; `end` if no node has any.
std::map<std::string, WorkerBalancer::OtherNode>::iterator WorkerBalancer::find_target(bool full,
                                                                                       const FleetTotals& totals,
                                                                                       Time now) {
  auto best = others_.end();
  double max_spare = 0;
  for (auto it = others_.begin(); it != others_.end(); ++it) {
    const OtherNode& other = it->second;
    if (now - other.updated_at > load_validity || now < other.avoid_until) continue;
    const double limit =
        full ? static_cast<double>(other.load.capacity) * max_fill_fraction : fair_share(it->first, other.load, totals);
    const double spare = limit - other.expected_workers();
    if (spare <= max_spare) continue;
    max_spare = spare;
    best = it;
  }
  return best;
}

WorkerBalancer::FleetTotals WorkerBalancer::fleet_totals(NodeLoad own_load, Time now) const {
  FleetTotals totals{static_cast<double>(own_load.workers), weight(node_)};
  for (const auto& [name, other] : others_) {
    if (now - other.updated_at > load_validity) continue;
    totals.workers += other.expected_workers();
    totals.weights += weight(name);
  }
  return totals;
}

Assignment WorkerBalancer::assign(const MachineId& worker, NodeLoad own_load, Time now) {
  record_return(worker, now);
  const FleetTotals totals = fleet_totals(own_load, now);
  const auto held_workers = static_cast<double>(own_load.workers);
  const bool full = own_load.workers > own_load.capacity;
  const bool above_share =
      held_workers > fair_share(node_, own_load, totals) * share_tolerance_factor + share_tolerance_workers;
  if (!full && !above_share) return {};
  const auto target = find_target(full, totals, now);
  const double moves_per_second = std::max(min_moves_per_second, held_workers * moves_per_worker_second);
  const bool can_move = target != others_.end() && (full || consume_move_token(now, moves_per_second));
  if (!can_move) return {full ? Assignment::Kind::keep_and_close : Assignment::Kind::keep, {}};
  ++target->second.moved_since_update;
  moves_[worker] = {target->first, now};
  return {Assignment::Kind::move, target->first};
}

std::map<std::string, NodeLoad> WorkerBalancer::recent_loads(NodeLoad own_load, Time now) const {
  std::map<std::string, NodeLoad> loads{{node_, own_load}};
  for (const auto& [name, other] : others_) {
    if (now - other.updated_at <= load_validity) loads.emplace(name, other.load);
  }
  return loads;
}

}  // namespace martenwall::relay
