// Corrects users' estimates of run times by what tasks of the same class really took.
#pragma once
#include <map>
#include <string>

#include "core/model/model.hpp"

namespace martenwall {

class RunTimeEstimator {
 public:
  // A task completed now. Jobs without an estimate, or of which a task failed, teach nothing.
  void learn(const Job& job, const Placement& placement, Time now);
  // The job's estimate times the learned ratio of its class, seconds.
  [[nodiscard]] double estimate_s(const Job& job) const;

 private:
  std::map<std::string, double> ratio_by_class_;  // actual run time over the estimate, moving average
};

}  // namespace martenwall
