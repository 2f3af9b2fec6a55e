// Resources that each team's tasks may be using, compared with the team's limit and guarantee.
#pragma once
#include <algorithm>
#include <map>
#include <string>

#include "core/model/model.hpp"

namespace martenwall {

// Sums by team. A copy can be used to evaluate trial placements.
class QuotaUsage {
 public:
  explicit QuotaUsage(const std::map<std::string, Team>& teams) : teams_(teams) {}
  // Adds `resources` times `factor`, which may be negative, to the team's usage.
  void add(const std::string& team, const Resources& resources, double factor = 1) {
    used_[team].add(resources, factor);
  }
  [[nodiscard]] Resources used(const std::string& team) const {
    const auto it = used_.find(team);
    return it == used_.end() ? Resources{} : it->second;
  }
  [[nodiscard]] const std::map<std::string, Resources>& all() const { return used_; }
  // Returns the number of further tasks with this need that the team may run within its limit less `reserved`.
  [[nodiscard]] std::uint32_t max_additional_tasks(const std::string& team, const Resources& need,
                                                   const Resources& reserved = {}) const {
    const auto it = teams_.find(team);
    if (it == teams_.end()) return 0;
    auto usage = used(team);
    usage.add(reserved);
    return std::min(max_tasks(it->second.limit.cpus, usage.cpus, need.cpus),
                    max_tasks(it->second.limit.gpus, usage.gpus, need.gpus));
  }
  // Returns whether the team uses more than its guaranteed quota or has none.
  [[nodiscard]] bool over_guarantee(const std::string& team) const {
    const auto it = teams_.find(team);
    if (it == teams_.end()) return true;
    const auto usage = used(team);
    const auto& guarantee = it->second.guarantee;
    if (guarantee.cpus <= 0 && guarantee.gpus <= 0) return true;  // without a guarantee, all usage is borrowed
    return exceeds(it->second.guarantee.cpus, usage.cpus) || exceeds(it->second.guarantee.gpus, usage.gpus);
  }

 private:
  // In the settings, a limit of 0 means that the resource is unlimited: both deployments set cpus_max to 0 for teams
  // whose tasks all use CPUs.
  static std::uint32_t max_tasks(double limit, double used, double need) {
    constexpr std::uint32_t unlimited = 1'000'000;
    if (limit <= 0 || need <= 0) return unlimited;
    const double fitting = (limit - used + 1e-6) / need;
    return fitting <= 0 ? 0 : static_cast<std::uint32_t>(std::min<double>(fitting, unlimited));
  }
  static bool exceeds(double guarantee, double used) { return guarantee > 0 && used > guarantee + 1e-6; }

  const std::map<std::string, Team>& teams_;
  std::map<std::string, Resources> used_;
};

}  // namespace martenwall
