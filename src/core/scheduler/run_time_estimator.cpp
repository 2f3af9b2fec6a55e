#include "core/scheduler/run_time_estimator.hpp"

#include <algorithm>

namespace martenwall {

namespace {
constexpr double learning_rate = 0.1;
// Bounds on the ratio of one task, so that an outlier does not distort the estimates of its whole class.
constexpr double min_ratio = 0.2;
constexpr double max_ratio = 5.0;
}  // namespace

void RunTimeEstimator::learn(const Job& job, const Placement& placement, Time now) {
  if (job.spec.estimate_s <= 0 || placement.running_since == Time{} || job.failures > 0) return;
  const double ratio = to_seconds(now - placement.running_since) / job.spec.estimate_s;
  auto& learned = ratio_by_class_.try_emplace(job.spec.job_class, 1.0).first->second;
  learned += learning_rate * (std::clamp(ratio, min_ratio, max_ratio) - learned);
}

double RunTimeEstimator::estimate_s(const Job& job) const {
  const auto it = ratio_by_class_.find(job.spec.job_class);
  return job.spec.estimate_s * (it == ratio_by_class_.end() ? 1.0 : it->second);
}

}  // namespace martenwall
