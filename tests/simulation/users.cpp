#include <algorithm>

#include "simulation.hpp"

namespace martenwall::sim {

std::vector<JobId> World::draw_dependencies() {
  std::vector<JobId> out;
  if (roll() >= faults_.dependent_jobs || stored_jobs_.empty()) return out;
  for (int i = 0; i < 3; ++i) {
    const JobId id{"job-" + std::to_string(job_no_ - 1 - random_() % std::min<std::uint64_t>(job_no_, 6))};
    if (stored_jobs_.contains(id) && std::ranges::find(out, id) == out.end()) out.push_back(id);
  }
  return out;
}

void World::step_users() {
  Node* leader = nullptr;
  for (auto& n : nodes_) {
    if (n.scheduler != nullptr && n.leadership->has_valid_lease(now_) && now_ >= n.down_until && now_ >= n.frozen_until)
      leader = &n;
  }
  if (leader == nullptr || !faulty_) return;
  if (now_ >= leader->cut_until && roll() < 0.012) submit(*leader);
  if (roll() < 0.003) {
    for (const auto& [id, s] : stored_jobs_) {
      if (s.final || roll() > 0.3) continue;
      if (leader->scheduler->cancel(id, now_)) {
        leader->cancels.push_back(id);
        cancel_requested_.insert(id);
      }
      break;
    }
  }
}

void World::submit(Node& leader) {
  JobSpec s;
  s.id = JobId{"job-" + std::to_string(job_no_++)};
  s.job_class = "x";
  s.team = roll() < 0.5 ? "red" : "blue";
  s.kind = roll() < 0.5 ? JobKind::gang : JobKind::array;
  s.priority = static_cast<Priority>(random_() % 4);
  s.tasks = 1 + static_cast<std::uint32_t>(random_() % (s.kind == JobKind::gang ? 3 : 12));
  s.need = {4, s.kind == JobKind::gang ? 4.0 : 1.0, 8};
  s.image = "img";
  s.image_gb = 1;
  s.one_zone = roll() < 0.4;
  s.spot = roll() < 0.5;
  s.estimate_s = 20;
  s.checkpoint_duration_s = faults_.shortage ? 6 : 3;  // with a checkpoint every 10 s, 6 s cost more than they save
  s.checkpoint_interval_s = roll() < 0.5 ? 10 : 0;
  if (roll() < 0.5) s.deadline_s = 100;
  s.dependencies = draw_dependencies();
  submitted_.emplace(s.id, s);
  Job job;
  job.spec = s;
  job.submitted = now_;
  // Completed dependencies are removed.
  std::erase_if(job.spec.dependencies, [&](const JobId& id) {
    return stored_jobs_.at(id).final && stored_jobs_.at(id).job.phase == JobPhase::done;
  });
  stored_jobs_[s.id] = {job, false};
  if (roll() >= faults_.late_notification) return leader.scheduler->add_job(job, now_);
  // Accepted at another node: the leader reads the inbox entry later, or its successor loads the row.
  at(now_ + seconds(between(0.1, 20)), [this, &leader, life = leader.life, id = s.id] {
    const auto& stored = stored_jobs_.at(id);
    if (leader.life == life && leader.scheduler != nullptr && !stored.final)
      leader.scheduler->add_job(stored.job, now_);
  });
}

}  // namespace martenwall::sim
