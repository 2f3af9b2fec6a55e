#include <algorithm>

#include "simulation.hpp"

namespace martenwall::sim {

World::World(std::uint64_t seed, Faults faults) : random_(seed), faults_(faults) {
  policy_.idle_release = seconds(30);
  if (faults_.shortage) {
    policy_.shortage_weight = 40;
    policy_.allow_unsaved_stops = true;
    policy_.reserve_limit_headroom = true;
    policy_.begin_weight = 9;
  }
  teams_ = {{"red", {0, 16, 0}, {0, 40, 0}}, {"blue", {0, 8, 0}, {0, 24, 0}}};
  types_ = {{"big", {48, 4, 288}, 80, 0.6, 10, 3, 20, {"a", "b"}}};
  range_rows_allowed_ = faults_.range_rows_from_start;
  nodes_.resize(2);
  for (auto& n : nodes_) n.leadership = std::make_unique<Leadership>(policy_, timings_);
  for (int i = 0; i < 4; ++i) {
    add_worker(i % 2 == 0 ? "a" : "b", false, Duration{0});
  }
}

MachineId World::add_worker(const std::string& zone, bool spot, Duration boots_in) {
  Worker w;
  w.id = MachineId{"i-" + std::to_string(100000 + machine_no_++)};
  w.zone = zone;
  w.spot = spot;
  w.boots = w.next_heartbeat = w.lease_renewed_at = now_ + boots_in;
  workers_.emplace(w.id, w);
  return w.id;
}

void World::at(Time when, std::function<void()> what) { events_.emplace(when, std::move(what)); }

void World::run(double long_s) {
  const Time until = now_ + seconds(long_s);
  while (now_ < until && violations_.empty()) step();
}

void World::step() {
  now_ += step_length;
  while (!events_.empty() && events_.begin()->first <= now_) {
    auto what = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    what();
  }
  if (leader_token_ && now_ > leader_lease_until_) leader_token_.reset();
  if (faulty_) inject_faults();
  step_users();
  for (auto& n : nodes_) step_node(n);
  for (auto& [id, w] : workers_) {
    if (w.alive && now_ >= w.boots) step_worker(w);
  }
  step_gangs();
  check_rules();
}

std::size_t World::unfinished() const {
  return static_cast<std::size_t>(std::ranges::count_if(stored_jobs_, [](const auto& s) { return !s.second.final; }));
}

}  // namespace martenwall::sim
