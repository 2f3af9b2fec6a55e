// What each team's tasks may be using at this moment, against its limit.
#pragma once
#include <algorithm>
#include <map>
#include <string>

#include "core/model/model.hpp"

namespace martenwall {

// Sums by team; a copy can be used to try placements out.
class QuotaUsage {
 public:
  explicit QuotaUsage(const std::map<std::string, Team>& teams) : teams_(teams) {}
  // `times` may be negative.
  void add(const std::string& team, const Resources& r, double times = 1) { used_[team].add(r, times); }
  [[nodiscard]] Resources used(const std::string& team) const {
    const auto it = used_.find(team);
    return it == used_.end() ? Resources{} : it->second;
  }
  [[nodiscard]] const std::map<std::string, Resources>& all() const { return used_; }
  // How many tasks of this need the team may add without passing its limit, or what is to be left free of it.
  [[nodiscard]] std::uint32_t max_additional_tasks(const std::string& team, const Resources& need,
                                                   const Resources& reserved = {}) const {
    const auto it = teams_.find(team);
    if (it == teams_.end()) return 0;
    auto u = used(team);
    u.add(reserved);
    return std::min(max_tasks(it->second.limit.cpus, u.cpus, need.cpus),
                    max_tasks(it->second.limit.gpus, u.gpus, need.gpus));
  }
  // Whether the team uses more than its guaranteed quota, or has none.
  [[nodiscard]] bool over_guarantee(const std::string& team) const {
    const auto it = teams_.find(team);
    if (it == teams_.end()) return true;
    const auto u = used(team);
    const auto& g = it->second.guarantee;
    if (g.cpus <= 0 && g.gpus <= 0) return true;  // no guarantee at all: all of it is borrowed
    return exceeds(it->second.guarantee.cpus, u.cpus) || exceeds(it->second.guarantee.gpus, u.gpus);
  }

 private:
  // In the settings a limit of 0 means that none is set for that kind of resource: both
  // deployments give cpus_max 0 for teams whose tasks all use CPUs.
  static std::uint32_t max_tasks(double limit, double used, double need) {
    constexpr std::uint32_t unlimited = 1'000'000;
    if (limit <= 0 || need <= 0) return unlimited;
    const double n = (limit - used + 1e-6) / need;
    return n <= 0 ? 0 : static_cast<std::uint32_t>(std::min<double>(n, unlimited));
  }
  static bool exceeds(double guarantee, double used) { return guarantee > 0 && used > guarantee + 1e-6; }

  const std::map<std::string, Team>& teams_;
  std::map<std::string, Resources> used_;
};

}  // namespace martenwall
