#include "core/capacity/scale_out_planner.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

#include "core/placement/heuristics.hpp"

namespace martenwall {

namespace {

struct RentalOption {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double cost = 0;
};

constexpr Duration idle_hold = seconds(2);              // longer than the interval between fleet plans
constexpr std::uint32_t max_machines_per_request = 50;  // limit of the protocol

class Planner {
 public:
  Planner(const FleetView& view, const std::vector<Demand>& demands)
      : view_(view), machines_by_zone_(view.machines_by_zone), pool_(view.forecast) {
    for (const auto& demand : demands) min_need_ = min_need_.component_min(demand.spec->need);
    for (std::size_t i = 0; i < pool_.size(); ++i) index_pool_entry(i);
  }

  void serve(const Demand& demand) {
    demand.job->capacity_expected_at.reset();
    allowed_ = allowed_kinds(*demand.spec, kinds_);
    tasks_by_zone_ = demand.tasks_by_zone;
    if (demand.spec->kind == JobKind::gang && demand.spec->one_zone && demand.zone.empty())
      return serve_in_one_zone(demand);
    serve_in(demand, demand.zone);
  }

  [[nodiscard]] std::vector<ScaleOutRequest> requests() const {
    std::map<CapacityRefusals::Location, std::uint32_t> counts;
    // Locations are listed in the order in which the demands were served: requests for the most urgent demand come
    // first.
    std::vector<CapacityRefusals::Location> locations;
    for (const auto& entry : pool_) {
      if (!entry.to_rent) continue;
      const auto& location = locations.emplace_back(entry.type->name, entry.zone, entry.spot);
      if (++counts[location] > 1) locations.pop_back();
    }
    std::vector<ScaleOutRequest> out;
    for (const auto& location : locations) {
      const auto wanted = counts.at(location);
      const auto& [type, zone, spot] = location;
      for (auto remaining = wanted; remaining > 0; remaining -= std::min(remaining, max_machines_per_request)) {
        out.push_back({{}, type, zone, spot, std::min(remaining, max_machines_per_request)});
      }
    }
    return out;
  }

 private:
  void serve_in(const Demand& demand, const std::string& zone) {
    std::uint32_t remaining = demand.count;
    Time ready = view_.now;
    std::size_t exhausted = 0;
    for (const auto i : usable_) {
      if (remaining == 0) break;
      auto& entry = pool_[i];
      if (!allows(*demand.spec, i, zone) || (demand.spot_only && !entry.spot)) continue;
      const auto placed = fill(*demand.spec, entry, remaining);
      if (placed > 0) ready = std::max(ready, entry.ready);
      if (placed > 0 && entry.idle != nullptr) entry.idle->keep_until = view_.now + idle_hold;
      if (placed > 0 && !min_need_.fits_in(entry.free)) ++exhausted;
      remaining -= placed;
    }
    if (exhausted > 0) std::erase_if(usable_, [&](std::size_t i) { return !min_need_.fits_in(pool_[i].free); });
    while (remaining > 0) {
      const auto option = cheapest_option(*demand.spec, zone, demand.spot_only);
      if (!option) return;
      ++machines_by_zone_[option->zone];
      const Time boot_done = view_.now + seconds(option->type->boot_s * boot_time_factor);
      ready = std::max(ready, boot_done);
      pool_.push_back({option->type, option->zone, option->spot, option->type->capacity, boot_done, true});
      const auto placed = fill(*demand.spec, pool_.back(), remaining);
      index_pool_entry(pool_.size() - 1);
      if (placed == 0) return;
      remaining -= placed;
    }
    demand.job->capacity_expected_at = ready;
  }

  // All capacity must be in one zone: picks the zone that lacks the fewest tasks, and the cheapest among equals.
  void serve_in_one_zone(const Demand& demand) {
    std::set<std::string> zones;
    for (const auto& type : view_.types) zones.insert(type.zones.begin(), type.zones.end());
    const std::string* best = nullptr;
    std::pair<std::uint32_t, double> best_cost;
    for (const auto& zone : zones) {
      std::uint32_t placeable = 0;
      for (const auto i : usable_) {
        if (placeable == demand.count) break;
        if (allows(*demand.spec, i, zone) && demand.spec->need.fits_in(pool_[i].free)) ++placeable;
      }
      const auto option = cheapest_option(*demand.spec, zone, demand.spot_only);
      if (!option && placeable < demand.count) continue;
      const std::pair cost{demand.count - placeable, option ? option->cost : 0.0};
      if (best == nullptr || cost < best_cost) {
        best = &zone;
        best_cost = cost;
      }
    }
    if (best != nullptr) serve_in(demand, *best);
  }

  // Returns whether the demand being served may use the pool entry. Extends the cached result if kinds were added.
  bool allows(const JobSpec& spec, std::size_t i, const std::string& zone) {
    const auto kind = pool_kinds_[i];
    if (kind >= allowed_.size()) allowed_ = allowed_kinds(spec, kinds_);
    return allowed_[kind] != 0 && (zone.empty() || kinds_[kind].zone == zone);
  }
  void index_pool_entry(std::size_t i) {
    const auto& entry = pool_[i];
    pool_kinds_.push_back(find_or_add_kind(kinds_, *entry.type, entry.zone, entry.spot));
    if (min_need_.fits_in(entry.free)) usable_.push_back(i);
  }
  // Returns the number of further tasks of the job that the zone may take. If the job must be spread, a zone that
  // already has half of its tasks cannot take more, however many of its machines are idle. Without this limit such a
  // job waited forever: idle machines were kept for it, and none were rented in another zone.
  [[nodiscard]] std::uint32_t zone_capacity(const JobSpec& spec, const std::string& zone) const {
    if (!spec.spread) return spec.tasks;
    const auto it = tasks_by_zone_.find(zone);
    const auto placed_there = it == tasks_by_zone_.end() ? 0 : it->second;
    return (spec.tasks + 1) / 2 - std::min(placed_there, (spec.tasks + 1) / 2);
  }
  std::uint32_t fill(const JobSpec& spec, CapacityForecast& entry, std::uint32_t max_tasks) {
    const auto limit = std::min(max_tasks, zone_capacity(spec, entry.zone));
    std::uint32_t placed = 0;
    for (; placed < limit && spec.need.fits_in(entry.free); ++placed) entry.free.add(spec.need, -1);
    if (spec.spread) tasks_by_zone_[entry.zone] += placed;
    return placed;
  }

  [[nodiscard]] std::optional<RentalOption> cheapest_option(const JobSpec& spec, const std::string& zone,
                                                            bool spot_only) const {
    std::optional<RentalOption> best;
    for (const auto& type : view_.types) {
      if (!type_allows(spec, type)) continue;
      for (const auto& type_zone : type.zones) {
        if ((!zone.empty() && type_zone != zone) || zone_capacity(spec, type_zone) == 0) continue;
        for (const bool spot : {true, false}) {
          if ((spot_only && !spot) || !location_allows(spec, type_zone, spot) ||
              !view_.capacity.is_available(type.name, type_zone, spot, view_.now))
            continue;
          const auto it = machines_by_zone_.find(type_zone);
          // Cheapest first; among equals the zone with the fewest machines, to limit the damage if a zone is lost.
          const double machines_in_zone = it == machines_by_zone_.end() ? 0 : it->second;
          const double cost = (spot ? type.spot_price : type.price) * (1 + 0.002 * machines_in_zone);
          if (!best || cost < best->cost) best = RentalOption{&type, type_zone, spot, cost};
        }
      }
    }
    return best;
  }

  const FleetView& view_;
  std::map<std::string, std::uint32_t> machines_by_zone_;
  std::vector<CapacityForecast> pool_;
  std::vector<MachineKind> kinds_;
  std::vector<std::size_t> pool_kinds_;  // index into `kinds_` of each pool entry
  std::vector<std::size_t> usable_;      // pool entries with capacity for the smallest need of all, in pool order
  std::vector<char> allowed_;            // by kind, for the demand being served
  std::map<std::string, std::uint32_t> tasks_by_zone_;  // tasks of the demand's job, if it must be spread
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
  if (samples_.size() <= horizon + 1)
    return std::max(random_growth, samples_.back());  // not enough samples for an estimate of growth
  double sum = 0;
  double sum_of_squares = 0;
  const std::size_t growth_samples = samples_.size() - horizon;
  for (std::size_t i = 0; i < growth_samples; ++i) {
    const double growth = samples_[i + horizon] - samples_[i];
    sum += growth;
    sum_of_squares += growth * growth;
  }
  const double mean = sum / static_cast<double>(growth_samples);
  const double variance = std::max(0.0, sum_of_squares / static_cast<double>(growth_samples) - mean * mean);
  return std::max(random_growth, std::min(mean, 0.0) + deviations * std::sqrt(variance));
}

std::vector<ScaleOutRequest> pack_scale_out_requests(const FleetView& view, const std::vector<Demand>& demands) {
  Planner planner{view, demands};
  for (const auto& demand : demands) planner.serve(demand);
  return planner.requests();
}

}  // namespace martenwall
