#include "load/overload_admission.hpp"

#include <algorithm>
#include <cmath>
#include <compare>
#include <map>
#include <queue>
#include <utility>

namespace martenwall::load {

namespace {

constexpr std::size_t resource_kinds = std::tuple_size_v<Amount>;

// Runs passes of Moore's algorithm over all pools. Requests that an earlier pass admitted stay admitted.
class AdmissionPass {
 public:
  AdmissionPass(const std::vector<Pool>& pools, const std::vector<WorkRequest>& requests, double efficiency)
      : pools_(pools),
        requests_(requests),
        efficiency_(efficiency),
        accounts_(pools.size()),
        admitted_(requests.size(), 0),
        admitted_latest_start_s_(requests.size(), 0) {
    double need = 0;
    double work = 0;
    for (std::size_t i = 0; i < requests.size(); ++i) {
      sizes_.push_back(size_of(i));
      need += sizes_[i];
      work += sizes_[i] * requests[i].run_s;
    }
    mean_run_s_ = need > 0 ? work / need : 0;
  }

  struct Candidate {
    double latest_s = 0;
    std::size_t request = 0;
    auto operator<=>(const Candidate&) const = default;
  };

  // Admits the candidates that can start in time in addition to all requests admitted by earlier passes.
  void pass(std::vector<Candidate> candidates) {
    for (auto& account : accounts_) {
      account.classes.clear();
      account.work = {};
    }
    std::vector<char> previously_admitted = admitted_;
    for (std::size_t i = 0; i < admitted_.size(); ++i) {
      if (admitted_[i] != 0) candidates.push_back({admitted_latest_start_s_[i], i});
    }
    std::ranges::sort(candidates);
    for (const auto& candidate : candidates) {
      set_admitted(candidate.request, 1);
      admitted_latest_start_s_[candidate.request] = candidate.latest_s;
      if (previously_admitted[candidate.request] == 0) enqueue(candidate.request);
      for (const auto pool : requests_[candidate.request].pools) evict_until_fit(pool, candidate.latest_s);
    }
  }
  [[nodiscard]] bool is_admitted(std::size_t request) const { return admitted_[request] != 0; }
  [[nodiscard]] double work_s(std::size_t request) const { return sizes_[request] * requests_[request].run_s; }
  [[nodiscard]] bool had_shortage(std::size_t pool) const { return accounts_[pool].had_shortage; }

 private:
  struct ClassQueue {
    std::priority_queue<std::pair<double, std::size_t>> by_work;  // may contain requests that have been evicted
    std::size_t admitted = 0, total = 0;
    [[nodiscard]] double share() const { return static_cast<double>(admitted) / static_cast<double>(total); }
  };
  struct PoolAccount {
    Amount work{};  // need times run time of the admitted requests
    std::map<std::size_t, ClassQueue> classes;
    bool had_shortage = false;
  };

  // Returns the request's dominant share: its largest share of any pool's capacity.
  [[nodiscard]] double size_of(std::size_t request) const {
    double out = 0;
    for (const auto pool : requests_[request].pools) {
      for (std::size_t k = 0; k < resource_kinds; ++k) {
        if (pools_[pool].capacity[k] > 0) out = std::max(out, requests_[request].need[k] / pools_[pool].capacity[k]);
      }
    }
    return out;
  }

  // Makes the request a candidate for eviction in all its pools.
  void enqueue(std::size_t request) {
    for (const auto pool : requests_[request].pools) {
      auto& job_class = accounts_[pool].classes[requests_[request].job_class];
      job_class.by_work.emplace(work_s(request), request);
      ++job_class.admitted;
      ++job_class.total;
    }
  }

  void set_admitted(std::size_t request, double sign) {
    admitted_[request] = sign > 0 ? 1 : 0;
    for (const auto pool : requests_[request].pools) {
      for (std::size_t k = 0; k < resource_kinds; ++k) {
        accounts_[pool].work[k] += sign * requests_[request].need[k] * requests_[request].run_s;
      }
    }
  }

  // Returns whether the admitted work can start by `latest_s`. Free capacity is available at once; capacity in use
  // becomes available as running work ends, at a rate proportional to the total capacity.
  [[nodiscard]] bool fits(std::size_t pool, double latest_s) const {
    const auto& shared = pools_[pool];
    for (std::size_t k = 0; k < resource_kinds; ++k) {
      if (std::isinf(shared.capacity[k])) continue;
      const double available = shared.free[k] * mean_run_s_ + efficiency_ * shared.capacity[k] * latest_s;
      if (accounts_[pool].work[k] > available * (1 + 1e-9) + 1e-9) return false;
    }
    return true;
  }

  void evict_until_fit(std::size_t pool, double latest_s) {
    while (!fits(pool, latest_s)) {
      accounts_[pool].had_shortage = true;
      if (!evict_one(pool)) return;
    }
  }

  // Evicts the largest request of the class with the highest admitted share, so that no class bears the shortage alone.
  // Returns false if there is none.
  bool evict_one(std::size_t pool) {
    ClassQueue* best = nullptr;
    for (auto& [id, job_class] : accounts_[pool].classes) {
      while (!job_class.by_work.empty() && admitted_[job_class.by_work.top().second] == 0) job_class.by_work.pop();
      if (!job_class.by_work.empty() && (best == nullptr || job_class.share() > best->share())) best = &job_class;
    }
    if (best == nullptr) return false;
    const auto largest = best->by_work.top().second;
    set_admitted(largest, -1);
    for (const auto other : requests_[largest].pools) --accounts_[other].classes[requests_[largest].job_class].admitted;
    return true;
  }

  const std::vector<Pool>& pools_;
  const std::vector<WorkRequest>& requests_;
  double efficiency_;
  double mean_run_s_ = 0;
  std::vector<PoolAccount> accounts_;
  std::vector<double> sizes_;
  std::vector<char> admitted_;
  std::vector<double> admitted_latest_start_s_;  // latest start for which each was admitted
};

std::vector<AdmissionResult> find_short_pools(const std::vector<Pool>& pools, const std::vector<WorkRequest>& requests,
                                              double efficiency) {
  AdmissionPass pass{pools, requests, efficiency};
  std::vector<AdmissionPass::Candidate> candidates;
  std::vector<AdmissionResult> out(requests.size());
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const auto& times = requests[i].latest_start_s;
    const auto next = std::ranges::find_if(times, [](double s) { return s >= 0; });
    if (next != times.end()) candidates.push_back({*next, i});
  }
  pass.pass(std::move(candidates));
  for (std::size_t i = 0; i < requests.size(); ++i) {
    out[i].work_s = pass.work_s(i);
    for (const auto pool : requests[i].pools) {
      out[i].in_short_pool = out[i].in_short_pool || pass.had_shortage(pool);
      out[i].machines_short = out[i].machines_short || (pass.had_shortage(pool) && !pools[pool].is_team_limit);
    }
  }
  return out;
}

}  // namespace

std::vector<AdmissionResult> plan_admission(const std::vector<Pool>& pools, const std::vector<WorkRequest>& requests,
                                            double efficiency) {
  auto out = find_short_pools(pools, requests, efficiency);
  if (std::ranges::none_of(out, &AdmissionResult::in_short_pool)) return out;
  std::size_t max_targets = 0;
  for (const auto& request : requests) max_targets = std::max(max_targets, request.latest_start_s.size());
  AdmissionPass pass_by_target{pools, requests, efficiency};
  for (std::size_t first_met_target = 0; first_met_target < max_targets; ++first_met_target) {
    std::vector<AdmissionPass::Candidate> candidates;
    for (std::size_t i = 0; i < requests.size(); ++i) {
      const auto& times = requests[i].latest_start_s;
      if (!pass_by_target.is_admitted(i) && first_met_target < times.size() && times[first_met_target] >= 0)
        candidates.push_back({times[first_met_target], i});
    }
    pass_by_target.pass(std::move(candidates));
    for (std::size_t i = 0; i < requests.size(); ++i) {
      const bool passed_over = out[i].in_short_pool && !pass_by_target.is_admitted(i) &&
                               first_met_target < requests[i].latest_start_s.size();
      if (passed_over) out[i].first_met_target = first_met_target + 1;
    }
  }
  return out;
}

}  // namespace martenwall::load
