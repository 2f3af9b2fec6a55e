// Corrects the users' run time estimates by the actual run times of tasks of the same class.
#pragma once
#include <map>
#include <string>

#include "core/model/model.hpp"

namespace martenwall {

class RunTimeEstimator {
 public:
  // Updates the ratio of the job's class with a task that completed at `now`. Jobs without an estimate or with a failed
  // task are ignored.
  void learn(const Job& job, const Placement& placement, Time now);
  // Returns the job's estimate times the learned ratio of its class, in seconds.
  [[nodiscard]] double estimate_s(const Job& job) const;

 private:
  std::map<std::string, double> ratio_by_class_;  // moving average of actual run time divided by estimate
};

}  // namespace martenwall
