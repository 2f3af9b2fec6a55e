#include "core/capacity/scale_out_planner.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

#include "core/placement/heuristics.hpp"

namespace martenwall {

namespace {

struct Offer {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double cost = 0;
};

constexpr Duration idle_hold = seconds(2);              // the fleet is planned more often than that
constexpr std::uint32_t max_machines_per_request = 50;  // PROTOCOL's bound

class Planner {
 public:
  Planner(const FleetView& view, const std::vector<Demand>& demands)
      : view_(view), machines_by_zone_(view.machines_by_zone), pool_(view.forecast) {
    for (const auto& d : demands) min_need_ = min_need_.component_min(d.spec->need);
    for (std::size_t i = 0; i < pool_.size(); ++i) index_pool_entry(i);
  }

  void serve(const Demand& d) {
    d.job->capacity_expected_at.reset();
    allowed_ = allowed_kinds(*d.spec, kinds_);
    tasks_by_zone_ = d.tasks_by_zone;
    if (d.spec->kind == JobKind::gang && d.spec->one_zone && d.zone.empty()) return serve_in_one_zone(d);
    serve_in(d, d.zone);
  }

  [[nodiscard]] std::vector<ScaleOutRequest> requests() const {
    std::map<CapacityRefusals::Location, std::uint32_t> counts;
    // In the order in which the demands were served: what the most urgent one wants goes first.
    std::vector<CapacityRefusals::Location> locations;
    for (const auto& v : pool_) {
      if (!v.to_rent) continue;
      const auto& location = locations.emplace_back(v.type->name, v.zone, v.spot);
      if (++counts[location] > 1) locations.pop_back();
    }
    std::vector<ScaleOutRequest> out;
    for (const auto& location : locations) {
      const auto wanted = counts.at(location);
      const auto& [type, zone, spot] = location;
      for (auto left = wanted; left > 0; left -= std::min(left, max_machines_per_request)) {
        out.push_back({{}, type, zone, spot, std::min(left, max_machines_per_request)});
      }
    }
    return out;
  }

 private:
  void serve_in(const Demand& d, const std::string& zone) {
    std::uint32_t left = d.count;
    Time ready = view_.now;
    std::size_t exhausted = 0;
    for (const auto i : usable_) {
      if (left == 0) break;
      auto& v = pool_[i];
      if (!allows(*d.spec, i, zone) || (d.spot_only && !v.spot)) continue;
      const auto n = fill(*d.spec, v, left);
      if (n > 0) ready = std::max(ready, v.ready);
      if (n > 0 && v.idle != nullptr) v.idle->keep_until = view_.now + idle_hold;
      if (n > 0 && !min_need_.fits_in(v.free)) ++exhausted;
      left -= n;
    }
    if (exhausted > 0) std::erase_if(usable_, [&](std::size_t i) { return !min_need_.fits_in(pool_[i].free); });
    while (left > 0) {
      const auto offer = best_offer(*d.spec, zone, d.spot_only);
      if (!offer) return;
      ++machines_by_zone_[offer->zone];
      const Time boot_done = view_.now + seconds(offer->type->boot_s * boot_time_factor);
      ready = std::max(ready, boot_done);
      pool_.push_back({offer->type, offer->zone, offer->spot, offer->type->capacity, boot_done, true});
      const auto placed = fill(*d.spec, pool_.back(), left);
      index_pool_entry(pool_.size() - 1);
      if (placed == 0) return;
      left -= placed;
    }
    d.job->capacity_expected_at = ready;
  }

  // All of its room must be in one zone: the one where least is missing; where that is equal, the cheapest.
  void serve_in_one_zone(const Demand& d) {
    std::set<std::string> zones;
    for (const auto& type : view_.types) zones.insert(type.zones.begin(), type.zones.end());
    const std::string* best = nullptr;
    std::pair<std::uint32_t, double> best_cost;
    for (const auto& zone : zones) {
      std::uint32_t placeable = 0;
      for (const auto i : usable_) {
        if (placeable == d.count) break;
        if (allows(*d.spec, i, zone) && d.spec->need.fits_in(pool_[i].free)) ++placeable;
      }
      const auto offer = best_offer(*d.spec, zone, d.spot_only);
      if (!offer && placeable < d.count) continue;
      const std::pair cost{d.count - placeable, offer ? offer->cost : 0.0};
      if (best == nullptr || cost < best_cost) {
        best = &zone;
        best_cost = cost;
      }
    }
    if (best != nullptr) serve_in(d, *best);
  }

  // Of a demand that is being served: what it allows was looked up for all kinds that were there.
  bool allows(const JobSpec& spec, std::size_t i, const std::string& zone) {
    const auto kind = pool_kinds_[i];
    if (kind >= allowed_.size()) allowed_ = allowed_kinds(spec, kinds_);
    return allowed_[kind] != 0 && (zone.empty() || kinds_[kind].zone == zone);
  }
  void index_pool_entry(std::size_t i) {
    const auto& v = pool_[i];
    pool_kinds_.push_back(find_or_add_kind(kinds_, *v.type, v.zone, v.spot));
    if (min_need_.fits_in(v.free)) usable_.push_back(i);
  }
  // A zone that has its half of a job that is to be spread is no room for the rest of it, however many machines idle
  // there: such a job waited for ever, with machines kept for it and none hired in another zone.
  [[nodiscard]] std::uint32_t zone_capacity(const JobSpec& spec, const std::string& zone) const {
    if (!spec.spread) return spec.tasks;
    const auto it = tasks_by_zone_.find(zone);
    const auto placed_there = it == tasks_by_zone_.end() ? 0 : it->second;
    return (spec.tasks + 1) / 2 - std::min(placed_there, (spec.tasks + 1) / 2);
  }
  std::uint32_t fill(const JobSpec& spec, CapacityForecast& v, std::uint32_t max_tasks) {
    const auto limit = std::min(max_tasks, zone_capacity(spec, v.zone));
    std::uint32_t n = 0;
    for (; n < limit && spec.need.fits_in(v.free); ++n) v.free.add(spec.need, -1);
    if (spec.spread) tasks_by_zone_[v.zone] += n;
    return n;
  }

  [[nodiscard]] std::optional<Offer> best_offer(const JobSpec& spec, const std::string& zone, bool spot_only) const {
    std::optional<Offer> best;
    for (const auto& type : view_.types) {
      if (!type_allows(spec, type)) continue;
      for (const auto& z : type.zones) {
        if ((!zone.empty() && z != zone) || zone_capacity(spec, z) == 0) continue;
        for (const bool spot : {true, false}) {
          if ((spot_only && !spot) || !location_allows(spec, z, spot) ||
              !view_.capacity.is_available(type.name, z, spot, view_.now))
            continue;
          const auto it = machines_by_zone_.find(z);
          // Cheapest first; among equals the zone with fewest machines, so that one zone's loss hurts less.
          const double machines_in_zone = it == machines_by_zone_.end() ? 0 : it->second;
          const double cost = (spot ? type.spot_price : type.price) * (1 + 0.002 * machines_in_zone);
          if (!best || cost < best->cost) best = Offer{&type, z, spot, cost};
        }
      }
    }
    return best;
  }

  const FleetView& view_;
  std::map<std::string, std::uint32_t> machines_by_zone_;
  std::vector<CapacityForecast> pool_;
  std::vector<MachineKind> kinds_;
  std::vector<std::size_t> pool_kinds_;  // of each in the pool
  std::vector<std::size_t> usable_;      // those in the pool with room for the smallest need of all, in its order
  std::vector<char> allowed_;            // by kind, for the demand that is being served
  std::map<std::string, std::uint32_t> tasks_by_zone_;  // its tasks, if it is to be spread
  Resources min_need_{1e18, 1e18, 1e18};
};

}  // namespace

void LoadHistory::add(double busy) {
  samples_.push_back(busy);
  if (samples_.size() > max_samples) samples_.pop_front();
}

double LoadHistory::reserve(std::size_t horizon, double deviations) const {
  if (samples_.empty()) return 0;
  const double random_growth = deviations * std::sqrt(*std::ranges::max_element(samples_));
  if (samples_.size() <= horizon + 1) return std::max(random_growth, samples_.back());  // too early to tell more
  double sum = 0;
  double sum_of_squares = 0;
  const std::size_t n = samples_.size() - horizon;
  for (std::size_t i = 0; i < n; ++i) {
    const double growth = samples_[i + horizon] - samples_[i];
    sum += growth;
    sum_of_squares += growth * growth;
  }
  const double mean = sum / static_cast<double>(n);
  const double variance = std::max(0.0, sum_of_squares / static_cast<double>(n) - mean * mean);
  return std::max(random_growth, std::min(mean, 0.0) + deviations * std::sqrt(variance));
}

std::vector<ScaleOutRequest> pack_scale_out_requests(const FleetView& view, const std::vector<Demand>& demands) {
  Planner planner{view, demands};
  for (const auto& d : demands) planner.serve(d);
  return planner.requests();
}

}  // namespace martenwall
