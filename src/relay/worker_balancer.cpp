#include "relay/worker_balancer.hpp"

#include <algorithm>

namespace martenwall::relay {

namespace {
constexpr Duration load_valid = seconds(3);  // each node speaks of itself once a second at least
constexpr double tolerated = 1.2;            // so many times its fair part a node holds before it sends workers on
constexpr double tolerated_more = 8;         // and so many besides: a handful is not worth a reconnection
constexpr double part_a_second = 0.02;       // of its workers that a node sends on, so that they do not all reconnect
constexpr double least_a_second = 4;
constexpr double nearly = 0.97;              // of another's room that is filled from here
constexpr Duration came_back = seconds(12);  // two silent nodes cost a worker ten seconds
constexpr Duration avoided = seconds(30);
}  // namespace

WorkerBalancer::WorkerBalancer(std::string node, double leader_weight)
    : node_(std::move(node)), leader_weight_(leader_weight) {}

void WorkerBalancer::on_node_load(const std::string& node, NodeLoad load, Time now) {
  if (node == node_) return;
  auto& other = others_[node];
  other.load = load;
  other.at = now;
  other.sent_on = 0;
}

double WorkerBalancer::weight(const std::string& node) const { return node == leader_ ? leader_weight_ : 1.0; }

double WorkerBalancer::target(const std::string& node, NodeLoad load, double total, double weights) const {
  const double fair = weights > 0 ? total * weight(node) / weights : total;
  return std::min(fair, static_cast<double>(load.room));
}

bool WorkerBalancer::may_move(Time now, double most_a_second) {
  const double gained = paced_at_ == Time{} ? 1 : to_seconds(now - paced_at_) * most_a_second;
  paced_ = std::min(paced_ + gained, std::max(1.0, most_a_second));
  paced_at_ = now;
  if (paced_ < 1) return false;
  paced_ -= 1;
  return true;
}

void WorkerBalancer::note_return(const MachineId& worker, Time now) {
  if (now - forgotten_at_ > came_back) {
    std::erase_if(sent_, [&](const auto& s) { return now - s.second.at > came_back; });
    forgotten_at_ = now;
  }
  const auto sent = sent_.find(worker);
  if (sent == sent_.end()) return;
  const auto other = others_.find(sent->second.to);
  if (other != others_.end() && now - sent->second.at <= came_back) other->second.avoid_until = now + avoided;
  sent_.erase(sent);
}

// The one that has most room below its own fair part; when this node is full, below its room.
WorkerBalancer::OtherNode* WorkerBalancer::best_for(bool full, double total, double weights, Time now,
                                                    std::string& name) {
  OtherNode* best = nullptr;
  double best_room = 0;
  for (auto& [node, other] : others_) {
    if (now - other.at > load_valid || now < other.avoid_until) continue;
    const auto there = static_cast<double>(other.load.workers + other.sent_on);
    const double most = full ? static_cast<double>(other.load.room) * nearly : target(node, other.load, total, weights);
    if (most - there <= best_room) continue;
    best_room = most - there;
    best = &other;
    name = node;
  }
  return best;
}

Assignment WorkerBalancer::place(const MachineId& worker, NodeLoad own, Time now) {
  note_return(worker, now);
  auto total = static_cast<double>(own.workers);
  double weights = weight(node_);
  for (const auto& [name, other] : others_) {
    if (now - other.at > load_valid) continue;
    total += static_cast<double>(other.load.workers + other.sent_on);
    weights += weight(name);
  }
  const bool full = own.workers > own.room;
  const auto held = static_cast<double>(own.workers);
  const bool much = held > target(node_, own, total, weights) * tolerated + tolerated_more;
  if (!full && !much) return {};
  std::string name;
  OtherNode* best = best_for(full, total, weights, now, name);
  const bool moves = best != nullptr && (full || may_move(now, std::max(least_a_second, held * part_a_second)));
  if (!moves) return {full ? Assignment::Kind::keep_and_close : Assignment::Kind::keep, {}};
  ++best->sent_on;
  sent_[worker] = {name, now};
  return {Assignment::Kind::move, std::move(name)};
}

std::map<std::string, NodeLoad> WorkerBalancer::known(NodeLoad own, Time now) const {
  std::map<std::string, NodeLoad> out{{node_, own}};
  for (const auto& [name, other] : others_) {
    if (now - other.at <= load_valid) out.emplace(name, other.load);
  }
  return out;
}

}  // namespace martenwall::relay
