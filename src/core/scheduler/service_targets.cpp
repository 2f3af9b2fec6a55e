#include "core/scheduler/service_targets.hpp"

#include <algorithm>

namespace martenwall {

std::vector<double> ServiceTargets::latest_starts(const Job& job, double estimate_s, Time now) const {
  std::vector<double> out;
  if (const auto targets = aims_.by_class.find(job.spec.job_class); targets != aims_.by_class.end()) {
    for (const double within_s : targets->second) out.push_back(to_seconds(job.ready_at - now) + within_s);
  }
  if (job.effective_deadline) {
    std::vector<double> multiples{1.0};
    const auto targets = aims_.deadlines_by_class.find(job.spec.job_class);
    if (targets != aims_.deadlines_by_class.end()) multiples = targets->second;
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
  const auto targets = aims_.by_class.find(job.spec.job_class);
  if (targets != aims_.by_class.end()) out = targets->second;
  if (within_guarantee && aims_.guarantee_s > 0) out.push_back(aims_.guarantee_s);
  return out;
}

bool ServiceTargets::misses_last(const Job& job, Time now) const {
  const auto has_passed = [now](Time since, double within_s) { return to_seconds(now - since) > within_s; };
  const auto starts = aims_.by_class.find(job.spec.job_class);
  if (!job.start_counted && starts != aims_.by_class.end() &&
      has_passed(job.ready_at, std::ranges::max(starts->second))) {
    return true;
  }
  if (!job.effective_deadline) return false;
  double longest = 1;
  const auto ends = aims_.deadlines_by_class.find(job.spec.job_class);
  if (ends != aims_.deadlines_by_class.end()) longest = std::ranges::max(ends->second);
  return has_passed(job.submitted, longest * to_seconds(*job.effective_deadline - job.submitted));
}

void ServiceTargets::count_missed(ClusterState& state, load::ServiceRecord& record, Time now) const {
  for (auto& [id, job] : state.jobs) {
    if (job.late_counted || job.residual || is_final(job.phase) || job.phase == JobPhase::waiting) continue;
    if (!misses_last(job, now)) continue;
    job.late_counted = true;
    record.missed(job.spec.job_class, job.spec.team);
  }
}

}  // namespace martenwall
