#include "load/triage.hpp"

#include <algorithm>
#include <cmath>
#include <compare>
#include <map>
#include <queue>
#include <utility>

namespace martenwall::load {

namespace {

constexpr std::size_t kinds = std::tuple_size_v<Amount>;

// One pass of Moore's algorithm over all pools. What an earlier pass took stays taken.
class Keeper {
 public:
  Keeper(const std::vector<Pool>& pools, const std::vector<Claim>& claims, double efficiency)
      : pools_(pools),
        claims_(claims),
        efficiency_(efficiency),
        books_(pools.size()),
        kept_(claims.size(), 0),
        kept_for_s_(claims.size(), 0) {
    double need = 0;
    double work = 0;
    for (std::size_t i = 0; i < claims.size(); ++i) {
      sizes_.push_back(size_of(i));
      need += sizes_[i];
      work += sizes_[i] * claims[i].run_s;
    }
    usual_run_s_ = need > 0 ? work / need : 0;
  }

  struct Candidate {
    double latest_s = 0;
    std::size_t claim = 0;
    auto operator<=>(const Candidate&) const = default;
  };

  // Of the candidates those are kept that can start in time beside all that was kept before, which stays.
  void pass(std::vector<Candidate> candidates) {
    for (auto& b : books_) {
      b.lanes.clear();
      b.work = {};
    }
    std::vector<char> settled = kept_;
    for (std::size_t i = 0; i < kept_.size(); ++i) {
      if (kept_[i] != 0) candidates.push_back({kept_for_s_[i], i});
    }
    std::ranges::sort(candidates);
    for (const auto& c : candidates) {
      take(c.claim, 1);
      kept_for_s_[c.claim] = c.latest_s;
      if (settled[c.claim] == 0) enter(c.claim);
      for (const auto pool : claims_[c.claim].pools) make_fit(pool, c.latest_s);
    }
  }
  [[nodiscard]] bool kept(std::size_t i) const { return kept_[i] != 0; }
  [[nodiscard]] double work_s(std::size_t i) const { return sizes_[i] * claims_[i].run_s; }
  [[nodiscard]] bool was_short(std::size_t pool) const { return books_[pool].was_short; }

 private:
  struct Lane {
    std::priority_queue<std::pair<double, std::size_t>> by_work;  // with claims that were given up meanwhile
    std::size_t kept = 0, all = 0;
    [[nodiscard]] double share() const { return static_cast<double>(kept) / static_cast<double>(all); }
  };
  struct Book {
    Amount work{};  // need times seconds, of those kept
    std::map<std::size_t, Lane> lanes;
    bool was_short = false;
  };

  // The largest part that it takes of any pool's room: its dominant share.
  [[nodiscard]] double size_of(std::size_t i) const {
    double out = 0;
    for (const auto pool : claims_[i].pools) {
      for (std::size_t k = 0; k < kinds; ++k) {
        if (pools_[pool].room[k] > 0) out = std::max(out, claims_[i].need[k] / pools_[pool].room[k]);
      }
    }
    return out;
  }

  // From now on it may be given up for others of its pools.
  void enter(std::size_t i) {
    for (const auto pool : claims_[i].pools) {
      auto& lane = books_[pool].lanes[claims_[i].lane];
      lane.by_work.emplace(work_s(i), i);
      ++lane.kept;
      ++lane.all;
    }
  }

  void take(std::size_t i, double sign) {
    kept_[i] = sign > 0 ? 1 : 0;
    for (const auto pool : claims_[i].pools) {
      for (std::size_t k = 0; k < kinds; ++k) {
        books_[pool].work[k] += sign * claims_[i].need[k] * claims_[i].run_s;
      }
    }
  }

  // What is free takes work at once; the rest comes as running work ends, as much a second as there is room.
  [[nodiscard]] bool fits(std::size_t pool, double latest_s) const {
    const auto& p = pools_[pool];
    for (std::size_t k = 0; k < kinds; ++k) {
      if (std::isinf(p.room[k])) continue;
      const double can = p.free[k] * usual_run_s_ + efficiency_ * p.room[k] * latest_s;
      if (books_[pool].work[k] > can * (1 + 1e-9) + 1e-9) return false;
    }
    return true;
  }

  void make_fit(std::size_t pool, double latest_s) {
    while (!fits(pool, latest_s)) {
      books_[pool].was_short = true;
      if (!give_up_one(pool)) return;
    }
  }

  // The largest of the class of which most is kept: no class carries the shortage alone.
  bool give_up_one(std::size_t pool) {
    Lane* best = nullptr;
    for (auto& [id, lane] : books_[pool].lanes) {
      while (!lane.by_work.empty() && kept_[lane.by_work.top().second] == 0) lane.by_work.pop();
      if (!lane.by_work.empty() && (best == nullptr || lane.share() > best->share())) best = &lane;
    }
    if (best == nullptr) return false;
    const auto i = best->by_work.top().second;
    take(i, -1);
    for (const auto other : claims_[i].pools) --books_[other].lanes[claims_[i].lane].kept;
    return true;
  }

  const std::vector<Pool>& pools_;
  const std::vector<Claim>& claims_;
  double efficiency_;
  double usual_run_s_ = 0;
  std::vector<Book> books_;
  std::vector<double> sizes_;
  std::vector<char> kept_;
  std::vector<double> kept_for_s_;  // the latest start for which each was kept
};

std::vector<Verdict> in_short_pools(const std::vector<Pool>& pools, const std::vector<Claim>& claims,
                                    double efficiency) {
  Keeper all{pools, claims, efficiency};
  std::vector<Keeper::Candidate> candidates;
  std::vector<Verdict> out(claims.size());
  for (std::size_t i = 0; i < claims.size(); ++i) {
    const auto& times = claims[i].latest_start_s;
    const auto next = std::ranges::find_if(times, [](double s) { return s >= 0; });
    if (next != times.end()) candidates.push_back({*next, i});
  }
  all.pass(std::move(candidates));
  for (std::size_t i = 0; i < claims.size(); ++i) {
    out[i].work_s = all.work_s(i);
    for (const auto p : claims[i].pools) {
      out[i].in_short_pool = out[i].in_short_pool || all.was_short(p);
      out[i].machines_short = out[i].machines_short || (all.was_short(p) && !pools[p].limit);
    }
  }
  return out;
}

}  // namespace

std::vector<Verdict> triage(const std::vector<Pool>& pools, const std::vector<Claim>& claims, double efficiency) {
  auto out = in_short_pools(pools, claims, efficiency);
  if (std::ranges::none_of(out, &Verdict::in_short_pool)) return out;
  std::size_t most_times = 0;
  for (const auto& c : claims) most_times = std::max(most_times, c.latest_start_s.size());
  Keeper keeper{pools, claims, efficiency};
  for (std::size_t tier = 0; tier < most_times; ++tier) {
    std::vector<Keeper::Candidate> candidates;
    for (std::size_t i = 0; i < claims.size(); ++i) {
      const auto& times = claims[i].latest_start_s;
      if (!keeper.kept(i) && tier < times.size() && times[tier] >= 0) candidates.push_back({times[tier], i});
    }
    keeper.pass(std::move(candidates));
    for (std::size_t i = 0; i < claims.size(); ++i) {
      const bool passed_over = out[i].in_short_pool && !keeper.kept(i) && tier < claims[i].latest_start_s.size();
      if (passed_over) out[i].tier = tier + 1;
    }
  }
  return out;
}

}  // namespace martenwall::load
