// Fleet sizing: selects the machines to rent for work without capacity, and estimates how many idle machines to keep.
#pragma once
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/placement/heuristics.hpp"

namespace martenwall {

constexpr double boot_time_factor = 1.25;  // multiple of the nominal boot time within which most machines are up

// A request to rent machines of one type in one zone, spot or not.
struct ScaleOutRequest {
  std::string name;  // never reused, not even by another leader
  std::string type, zone;
  bool spot = false;
  std::uint32_t count = 0;
};

// Recent refusals of the cloud provider, by type, zone and spot flag.
struct CapacityRefusals {
  using Location = std::tuple<std::string, std::string, bool>;
  std::map<Location, Time> refused_until;
  [[nodiscard]] bool is_available(const std::string& type, const std::string& zone, bool spot, Time now) const {
    const auto it = refused_until.find({type, zone, spot});
    return it == refused_until.end() || it->second <= now;
  }
};

// Tasks of one job that could not be placed.
struct Demand {
  const JobSpec* spec = nullptr;
  Job* job = nullptr;
  std::uint32_t count = 0;  // tasks without capacity; for a gang all or none
  std::string zone;         // zone to which the job's other tasks bind it, or empty
  bool spot_only = false;
  std::map<std::string, std::uint32_t> tasks_by_zone{};  // for a job that must be spread: its other tasks by zone
};

// Capacity that exists or is expected: free machines, booting machines and requested ones.
struct CapacityForecast {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  Resources free;
  Time ready{};  // time from which it is expected to accept starts
  bool to_rent = false;
  Machine* idle = nullptr;  // the machine if it is up and empty: it is not released while a waiting job counts on it
};

// Input of the planner.
struct FleetView {
  Time now{};
  const Policy& policy;
  const std::vector<MachineType>& types;
  const CapacityRefusals& capacity;
  std::map<std::string, std::uint32_t> machines_by_zone;  // current machines, to balance rentals over the zones
  std::vector<CapacityForecast> forecast;
};

// Number of busy machines of a kind, sampled once a second. Used to estimate how many more may be needed before a
// machine rented now is up.
class LoadHistory {
 public:
  // Adds a sample; called once a second.
  void add(double busy);
  // Returns the growth of the load to provide for over `horizon` samples: `deviations` times the standard deviation of
  // its recent growth, or of a random load (the square root of its maximum) if that is more, because the history of a
  // small fleet has too few samples.
  [[nodiscard]] double reserve(std::size_t horizon, double deviations) const;

 private:
  static constexpr std::size_t max_samples = 150;
  std::deque<double> samples_;
};

// Returns the machines to rent, packed greedily; the requests have no name yet. Sets `capacity_expected_at` of each
// demand's job to the time at which its capacity is expected, or clears it if none is.
std::vector<ScaleOutRequest> pack_scale_out_requests(const FleetView& view, const std::vector<Demand>& demands);

}  // namespace martenwall
