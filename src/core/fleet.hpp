// Fleet sizing: what to hire for the work that found no room, and what to give back.
#pragma once
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/heuristics.hpp"

namespace martenwall {

struct HireRequest {
  std::string name;  // never reused, by any leader
  std::string type, zone;
  bool spot = false;
  std::uint32_t count = 0;
};

// Where the cloud refused lately: type, zone, kind.
struct CapacityMemory {
  using Place = std::tuple<std::string, std::string, bool>;
  std::map<Place, Time> refused_until;
  [[nodiscard]] bool open(const std::string& type, const std::string& zone, bool spot, Time now) const {
    const auto it = refused_until.find({type, zone, spot});
    return it == refused_until.end() || it->second <= now;
  }
};

struct Demand {
  const JobSpec* spec = nullptr;
  std::uint32_t count = 0;  // tasks without room; a gang's all or none
  std::string zone;         // where the job's other tasks bind it, or empty
};

// Room that is there or on its way: free machines, booting ones, those asked for.
struct Prospect {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  Resources room;
  bool to_hire = false;
};

struct FleetView {
  Time now{};
  const Policy& policy;
  const std::vector<MachineType>& types;
  const CapacityMemory& capacity;
  std::map<std::string, std::uint32_t> per_zone;  // machines there now, to spread over zones
  std::vector<Prospect> prospects;
};

// Machines to rent, packed greedily; requests without a name yet.
std::vector<HireRequest> plan_hires(const FleetView& view, const std::vector<Demand>& demands);

}  // namespace martenwall
