// Fleet sizing: what to hire for the work that found no room, and what to give back.
#pragma once
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/placement/heuristics.hpp"

namespace martenwall {

constexpr double boot_time_factor = 1.25;  // times the nominal boot time within which most machines are up

// Machines to be rented: one kind in one zone.
struct ScaleOutRequest {
  std::string name;  // never reused, by any leader
  std::string type, zone;
  bool spot = false;
  std::uint32_t count = 0;
};

// Where the cloud refused lately: type, zone, kind.
struct CapacityRefusals {
  using Location = std::tuple<std::string, std::string, bool>;
  std::map<Location, Time> refused_until;
  [[nodiscard]] bool is_available(const std::string& type, const std::string& zone, bool spot, Time now) const {
    const auto it = refused_until.find({type, zone, spot});
    return it == refused_until.end() || it->second <= now;
  }
};

// Tasks of one job that found no place.
struct Demand {
  const JobSpec* spec = nullptr;
  Job* job = nullptr;
  std::uint32_t count = 0;  // tasks without room; a gang's all or none
  std::string zone;         // where the job's other tasks bind it, or empty
  bool spot_only = false;
  std::map<std::string, std::uint32_t> tasks_by_zone{};  // of a job that is to be spread: its other tasks
};

// Room that is there or on its way: free machines, booting ones, those asked for.
struct CapacityForecast {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  Resources free;
  Time ready{};  // when it is expected to take starts
  bool to_rent = false;
  Machine* idle = nullptr;  // up and empty: kept as long as a job that waits counts on it
};

// What the planner knows of the fleet.
struct FleetView {
  Time now{};
  const Policy& policy;
  const std::vector<MachineType>& types;
  const CapacityRefusals& capacity;
  std::map<std::string, std::uint32_t> machines_by_zone;  // machines there now, to spread over zones
  std::vector<CapacityForecast> forecast;
};

// How many machines of a kind were busy, second by second. Of it follows how many more may be wanted before
// one that is hired now would be up.
class LoadHistory {
 public:
  // One sample a second.
  void add(double busy);
  // What the load may grow by over `horizon` samples: `deviations` times the scatter of its growth lately, or
  // of a load that comes by chance (its root), since a small fleet's history tells too little.
  [[nodiscard]] double reserve(std::size_t horizon, double deviations) const;

 private:
  static constexpr std::size_t max_samples = 150;
  std::deque<double> samples_;
};

// Machines to rent, packed greedily; requests without a name yet. Each demand's job learns when its room is
// expected, or that none is.
std::vector<ScaleOutRequest> pack_scale_out_requests(const FleetView& view, const std::vector<Demand>& demands);

}  // namespace martenwall
