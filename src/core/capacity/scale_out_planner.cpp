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

constexpr Duration kept_for_a_job = seconds(2);  // the fleet is planned more often than that
constexpr std::uint32_t most_per_request = 50;   // PROTOCOL's bound

class Planner {
 public:
  Planner(const FleetView& view, const std::vector<Demand>& demands)
      : view_(view), per_zone_(view.per_zone), pool_(view.forecast) {
    for (const auto& d : demands) least_ = least_.least(d.spec->need);
    for (std::size_t i = 0; i < pool_.size(); ++i) enter(i);
  }

  void serve(const Demand& d) {
    d.job->capacity_expected_at.reset();
    allowed_ = allowed_kinds(*d.spec, kinds_);
    in_zone_ = d.in_zone;
    if (d.spec->kind == JobKind::gang && d.spec->one_zone && d.zone.empty()) return serve_in_one_zone(d);
    serve_in(d, d.zone);
  }

  [[nodiscard]] std::vector<ScaleOutRequest> requests() const {
    std::map<CapacityMemory::Place, std::uint32_t> counts;
    // In the order in which the demands were served: what the most urgent one wants goes first.
    std::vector<CapacityMemory::Place> places;
    for (const auto& v : pool_) {
      if (!v.to_hire) continue;
      const auto& place = places.emplace_back(v.type->name, v.zone, v.spot);
      if (++counts[place] > 1) places.pop_back();
    }
    std::vector<ScaleOutRequest> out;
    for (const auto& place : places) {
      const auto wanted = counts.at(place);
      const auto& [type, zone, spot] = place;
      for (auto left = wanted; left > 0; left -= std::min(left, most_per_request)) {
        out.push_back({{}, type, zone, spot, std::min(left, most_per_request)});
      }
    }
    return out;
  }

 private:
  void serve_in(const Demand& d, const std::string& zone) {
    std::uint32_t left = d.count;
    Time ready = view_.now;
    std::size_t exhausted = 0;
    for (const auto i : open_) {
      if (left == 0) break;
      auto& v = pool_[i];
      if (!allows(*d.spec, i, zone) || (d.spot_only && !v.spot)) continue;
      const auto n = fill(*d.spec, v, left);
      if (n > 0) ready = std::max(ready, v.ready);
      if (n > 0 && v.idle != nullptr) v.idle->keep_until = view_.now + kept_for_a_job;
      if (n > 0 && !least_.fits_in(v.room)) ++exhausted;
      left -= n;
    }
    if (exhausted > 0) std::erase_if(open_, [&](std::size_t i) { return !least_.fits_in(pool_[i].room); });
    while (left > 0) {
      const auto offer = best_offer(*d.spec, zone, d.spot_only);
      if (!offer) return;
      ++per_zone_[offer->zone];
      const Time up = view_.now + seconds(offer->type->boot_s * usual_boot);
      ready = std::max(ready, up);
      pool_.push_back({offer->type, offer->zone, offer->spot, offer->type->room, up, true});
      const auto placed = fill(*d.spec, pool_.back(), left);
      enter(pool_.size() - 1);
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
      std::uint32_t there = 0;
      for (const auto i : open_) {
        if (there == d.count) break;
        if (allows(*d.spec, i, zone) && d.spec->need.fits_in(pool_[i].room)) ++there;
      }
      const auto offer = best_offer(*d.spec, zone, d.spot_only);
      if (!offer && there < d.count) continue;
      const std::pair cost{d.count - there, offer ? offer->cost : 0.0};
      if (best == nullptr || cost < best_cost) {
        best = &zone;
        best_cost = cost;
      }
    }
    if (best != nullptr) serve_in(d, *best);
  }

  // Of a demand that is being served: what it allows was looked up for all kinds that were there.
  bool allows(const JobSpec& spec, std::size_t i, const std::string& zone) {
    const auto kind = kind_[i];
    if (kind >= allowed_.size()) allowed_ = allowed_kinds(spec, kinds_);
    return allowed_[kind] != 0 && (zone.empty() || kinds_[kind].zone == zone);
  }
  void enter(std::size_t i) {
    const auto& v = pool_[i];
    kind_.push_back(kind_of(kinds_, *v.type, v.zone, v.spot));
    if (least_.fits_in(v.room)) open_.push_back(i);
  }
  // A zone that has its half of a job that is to be spread is no room for the rest of it, however many machines idle
  // there: such a job waited for ever, with machines kept for it and none hired in another zone.
  [[nodiscard]] std::uint32_t room_in(const JobSpec& spec, const std::string& zone) const {
    if (!spec.spread) return spec.tasks;
    const auto it = in_zone_.find(zone);
    const auto there = it == in_zone_.end() ? 0 : it->second;
    return (spec.tasks + 1) / 2 - std::min(there, (spec.tasks + 1) / 2);
  }
  std::uint32_t fill(const JobSpec& spec, CapacityForecast& v, std::uint32_t most) {
    const auto limit = std::min(most, room_in(spec, v.zone));
    std::uint32_t n = 0;
    for (; n < limit && spec.need.fits_in(v.room); ++n) v.room.add(spec.need, -1);
    if (spec.spread) in_zone_[v.zone] += n;
    return n;
  }

  [[nodiscard]] std::optional<Offer> best_offer(const JobSpec& spec, const std::string& zone, bool spot_only) const {
    std::optional<Offer> best;
    for (const auto& type : view_.types) {
      if (!type_allows(spec, type)) continue;
      for (const auto& z : type.zones) {
        if ((!zone.empty() && z != zone) || room_in(spec, z) == 0) continue;
        for (const bool spot : {true, false}) {
          if ((spot_only && !spot) || !place_allows(spec, z, spot) ||
              !view_.capacity.open(type.name, z, spot, view_.now))
            continue;
          const auto it = per_zone_.find(z);
          // Cheapest first; among equals the zone with fewest machines, so that one zone's loss hurts less.
          const double crowd = it == per_zone_.end() ? 0 : it->second;
          const double cost = (spot ? type.spot_price : type.price) * (1 + 0.002 * crowd);
          if (!best || cost < best->cost) best = Offer{&type, z, spot, cost};
        }
      }
    }
    return best;
  }

  const FleetView& view_;
  std::map<std::string, std::uint32_t> per_zone_;
  std::vector<CapacityForecast> pool_;
  std::vector<MachineKind> kinds_;
  std::vector<std::size_t> kind_;  // of each in the pool
  std::vector<std::size_t> open_;  // those in the pool with room for the smallest need of all, in its order
  std::vector<char> allowed_;      // by kind, for the demand that is being served
  std::map<std::string, std::uint32_t> in_zone_;  // its tasks, if it is to be spread
  Resources least_{1e18, 1e18, 1e18};
};

}  // namespace

void LoadHistory::add(double busy) {
  samples_.push_back(busy);
  if (samples_.size() > kept) samples_.pop_front();
}

double LoadHistory::reserve(std::size_t horizon, double deviations) const {
  if (samples_.empty()) return 0;
  const double by_chance = deviations * std::sqrt(*std::ranges::max_element(samples_));
  if (samples_.size() <= horizon + 1) return std::max(by_chance, samples_.back());  // too early to tell more
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
  return std::max(by_chance, std::min(mean, 0.0) + deviations * std::sqrt(variance));
}

std::vector<ScaleOutRequest> pack_scale_out_requests(const FleetView& view, const std::vector<Demand>& demands) {
  Planner planner{view, demands};
  for (const auto& d : demands) planner.serve(d);
  return planner.requests();
}

}  // namespace martenwall
