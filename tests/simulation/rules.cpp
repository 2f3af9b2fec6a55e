#include <algorithm>
#include <ranges>

#include "simulation.hpp"

namespace martenwall::sim {

void World::report_violation(const std::string& what) {
  if (violations_.size() < 5) violations_.push_back(std::to_string(to_seconds(now_.time_since_epoch())) + " " + what);
}

// Returns whether a direct or transitive dependency of the job is cancelled.
bool World::depends_on_cancelled(const JobId& id, const std::function<bool(const JobId&)>& cancelled) const {
  std::vector<JobId> pending = spec_of(id).dependencies;
  while (!pending.empty()) {
    const JobId next = pending.back();
    pending.pop_back();
    if (cancelled(next)) return true;
    const auto& more = spec_of(next).dependencies;
    pending.insert(pending.end(), more.begin(), more.end());
  }
  return false;
}

void World::check_rules() {
  check_machines();
  check_cancelled_dependencies();
}

// Checks quotas, and that no task runs more than cancel_s after its cancellation was reported.
void World::check_machines() {
  std::map<std::string, double> used;
  for (const auto& [id, w] : workers_) {
    if (!w.alive) continue;
    for (const auto& [key, t] : w.tasks) {
      if (!on_machine(t)) continue;
      const auto& spec = spec_of(key.first.job);
      used[spec.team] += spec.need.gpus;
      const auto c = reported_cancelled_.find(key.first.job);
      if (c != reported_cancelled_.end() && now_ - c->second > seconds(timings_.cancel_s))
        report_violation("ran_cancelled " + to_string(key.first));
    }
  }
  for (const auto& t : teams_) {
    if (used[t.name] > t.limit.gpus + 1e-9) report_violation("quota " + t.name);
  }
}

// Checks that no leader reports a job as active more than cancel_s after a dependency's cancellation was reported.
void World::check_cancelled_dependencies() {
  const Duration bound = seconds(timings_.cancel_s);
  const auto cancelled_long_ago = [&](const JobId& id) {
    const auto c = reported_cancelled_.find(id);
    return c != reported_cancelled_.end() && now_ - c->second > bound;
  };
  for (const auto& n : nodes_) {
    if (n.scheduler == nullptr || !n.leadership->has_valid_lease(now_) || now_ < n.frozen_until) continue;
    for (const auto& id : n.scheduler->jobs() | std::views::keys) {
      const auto status = n.scheduler->status(id);
      if (status && !is_final(status->phase) && depends_on_cancelled(id, cancelled_long_ago)) {
        report_violation("orphaned " + id.value());
      }
    }
  }
}

}  // namespace martenwall::sim
