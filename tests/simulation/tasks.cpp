#include <algorithm>

#include "simulation.hpp"

namespace martenwall::sim {

void World::check_start(Worker& w, const TaskKey& key, SimulatedTask& t) {
  ++started_;
  const auto& spec = spec_of(key.first.job);
  if (w.spot && !spec.spot) report_violation("wrong_place: spot " + to_string(key.first));
  for (const auto& id : spec.dependencies) {
    const auto& other = stored_jobs_.at(id);
    if (!other.final || other.job.phase != JobPhase::done) report_violation("too_early " + to_string(key.first));
  }
  for (auto& [id, other] : workers_) {
    for (auto& [k, x] : other.tasks) {
      if (&x == &t || !on_machine(x) || k.first.job != key.first.job) continue;
      if (k.first == key.first)
        report_violation("ran_twice " + to_string(k.first) + " on " + id.value() + " and " + w.id.value());
      if (spec.one_zone && other.zone != w.zone) report_violation("wrong_place: zone " + to_string(key.first));
    }
  }
}

void World::step_tasks(Worker& w) {
  for (auto& [key, t] : w.tasks) {
    const auto& spec = spec_of(key.first.job);
    if (t.state == TaskState::fetching && now_ >= t.until) {
      t.state = spec.kind == JobKind::gang ? TaskState::waiting : TaskState::running;
      t.since = now_;
      t.until = now_ + seconds(completed_[key.first.job].contains(key.first.index) ? 0 : between(2, 40));
      check_start(w, key, t);
    } else if (t.state == TaskState::running && spec.kind == JobKind::array && now_ >= t.until) {
      const bool error = faulty_ && roll() < faults_.task_error;
      t.state = TaskState::ended;
      t.cause = error ? ExitCause::error : ExitCause::done;
      if (!error) completed_[key.first.job].insert(key.first.index);
    } else if (t.state == TaskState::saving && now_ >= t.until) {
      t.state = TaskState::ended;
      t.cause = ExitCause::stopped;
    } else if (t.state == TaskState::waiting && now_ - t.since > seconds(timings_.gang_wait_s)) {
      t.state = TaskState::ended;
      t.cause = ExitCause::gang_incomplete;
    } else if (t.peer_lost && t.state == TaskState::running && now_ >= *t.peer_lost) {
      t.state = TaskState::ended;
      t.cause = ExitCause::peer_lost;
    }
  }
}

void World::step_gangs() {
  std::map<std::pair<JobId, Attempt>, std::vector<std::pair<TaskId, SimulatedTask*>>> gangs;
  for (auto& [id, w] : workers_) {
    for (auto& [key, t] : w.tasks) {
      if (spec_of(key.first.job).kind == JobKind::gang) gangs[{key.first.job, key.second}].emplace_back(key.first, &t);
    }
  }
  for (auto& [gang, tasks] : gangs) {
    const auto wanted = spec_of(gang.first).tasks;
    const auto count = [&](TaskState s) {
      return static_cast<std::uint32_t>(
          std::ranges::count_if(tasks, [&](const auto& t) { return t.second->state == s; }));
    };
    if (count(TaskState::waiting) == wanted) {
      for (auto& [id, t] : tasks) t->state = TaskState::running;
    } else if (count(TaskState::running) == wanted) {
      if (now_ < tasks.front().second->until) continue;
      for (auto& [id, t] : tasks) {
        t->state = TaskState::ended;
        t->cause = ExitCause::done;
        completed_[gang.first].insert(id.index);
      }
    } else if (count(TaskState::running) > 0) {
      for (auto& [id, t] : tasks) {
        if (!t->peer_lost) t->peer_lost = now_ + seconds(timings_.gang_peer_s);
      }
    }
  }
}

}  // namespace martenwall::sim
