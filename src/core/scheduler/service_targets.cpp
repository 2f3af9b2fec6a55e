#include "core/scheduler/service_targets.hpp"

#include <algorithm>

namespace martenwall {

std::vector<double> ServiceTargets::latest_starts(const Job& job, double estimate_s, Time now) const {
  std::vector<double> out;
  if (const auto targets = objectives_.start_s_by_class.find(job.spec.job_class);
      targets != objectives_.start_s_by_class.end()) {
    for (const double within_s : targets->second) out.push_back(to_seconds(job.ready_at - now) + within_s);
  }
  if (job.effective_deadline) {
    std::vector<double> multiples{1.0};
    const auto targets = objectives_.deadline_multiples_by_class.find(job.spec.job_class);
    if (targets != objectives_.deadline_multiples_by_class.end()) multiples = targets->second;
    for (const double multiple : multiples) {
      out.push_back(to_seconds(job.submitted - now) + multiple * to_seconds(*job.effective_deadline - job.submitted) -
                    estimate_s);
    }
  }
  std::ranges::sort(out);
  return out;
}

std::vector<double> ServiceTargets::start_targets(const Job& job, bool within_guarantee) const {
  std::vector<double> out;
  const auto targets = objectives_.start_s_by_class.find(job.spec.job_class);
  if (targets != objectives_.start_s_by_class.end()) out = targets->second;
  if (within_guarantee && objectives_.guarantee_start_s > 0) out.push_back(objectives_.guarantee_start_s);
  return out;
}

bool ServiceTargets::misses_loosest_target(const Job& job, Time now) const {
  const auto has_passed = [now](Time since, double within_s) { return to_seconds(now - since) > within_s; };
  const auto starts = objectives_.start_s_by_class.find(job.spec.job_class);
  if (!job.start_counted && starts != objectives_.start_s_by_class.end() &&
      has_passed(job.ready_at, std::ranges::max(starts->second))) {
    return true;
  }
  if (!job.effective_deadline) return false;
  double max_multiple = 1;
  const auto ends = objectives_.deadline_multiples_by_class.find(job.spec.job_class);
  if (ends != objectives_.deadline_multiples_by_class.end()) max_multiple = std::ranges::max(ends->second);
  return has_passed(job.submitted, max_multiple * to_seconds(*job.effective_deadline - job.submitted));
}

void ServiceTargets::record_missed(ClusterState& state, load::ServiceRecord& record, Time now) const {
  for (auto& [id, job] : state.jobs) {
    if (job.late_counted || job.residual || is_final(job.phase) || job.phase == JobPhase::blocked) continue;
    if (!misses_loosest_target(job, now)) continue;
    job.late_counted = true;
    record.missed(job.spec.job_class, job.spec.team);
  }
}

}  // namespace martenwall
