#include <algorithm>
#include <array>

#include "simulation.hpp"

namespace martenwall::sim {

void World::inject_faults() {
  const double s = to_seconds(step_length);
  if (!range_rows_allowed_ && roll() < faults_.range_rows_switch * s) {
    range_rows_allowed_ = std::ranges::any_of(nodes_, [&](const Node& n) {
      return n.scheduler != nullptr && n.leadership->has_valid_lease(now_) && leader_token_ == n.leadership->token();
    });
    if (range_rows_allowed_) range_rows_token_ = leader_token_;
  }
  // The store lowers its limits only after all nodes run the new version.
  if (range_rows_allowed_ && roll() < faults_.store_limit_drop * s) {
    row_limit_ = std::min<std::size_t>(row_limit_, 2 + random_() % 3);
    rows_at_once_ = 3;
  }
  for (auto& n : nodes_) {
    if (roll() < faults_.node_crash * s) {
      n.scheduler.reset();
      n.leadership = std::make_unique<Leadership>(policy_, timings_);
      ++n.life;
      n.flushing = 0;
      n.cancels.clear();
      const bool restarts_quickly = faults_.quick_restart > 0 && roll() < faults_.quick_restart;
      n.down_until = now_ + seconds(restarts_quickly ? between(0, 0.5) : 8);
    }
    if (roll() < faults_.node_freeze * s) freeze(n);
    if (roll() < faults_.store_cut * s) n.cut_until = now_ + seconds(between(2, 60));
  }
  if (faults_.relays && roll() < faults_.link_cut * s) link_cut_until_ = now_ + seconds(between(1, 40));
  for (auto& [id, w] : workers_) {
    if (faults_.downlink_loss > 0 && roll() < faults_.downlink_loss * s)
      w.downlink_lost_until = now_ + seconds(between(3, 120));
    if (roll() < faults_.worker_cut * s) w.cut_until = now_ + seconds(between(2, 60));
    if (roll() < faults_.machine_death * s) {
      w.alive = false;
      w.tasks.clear();
    }
  }
}

// Pauses a node for just under or over the leader's lease, or about a worker's lease. Sent messages stay in flight;
// incoming ones wait in its sockets.
void World::freeze(Node& n) {
  constexpr std::array<double, 5> lengths{1.0, 1.9, 2.2, 17.0, 45.0};
  ++freezes_;
  n.frozen_until = now_ + seconds(lengths.at(random_() % lengths.size()));
}

void World::stop_faults() {
  faulty_ = false;
  for (auto& n : nodes_) n.cut_until = std::min(n.cut_until, now_);
  for (auto& n : nodes_) n.frozen_until = std::min(n.frozen_until, now_);
  for (auto& [id, w] : workers_) {
    w.cut_until = std::min(w.cut_until, now_);
    w.downlink_lost_until = std::min(w.downlink_lost_until, now_);
  }
  link_cut_until_ = std::min(link_cut_until_, now_);
}

}  // namespace martenwall::sim
