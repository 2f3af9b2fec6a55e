// Greedy matching: the highest entry is placed first, its machine's room is lowered, and so on.
#pragma once
#include <optional>
#include <vector>

#include "core/model/quota_usage.hpp"
#include "core/placement/heuristics.hpp"

namespace martenwall {

// A placement decision.
struct Match {
  std::size_t row = 0;
  std::vector<std::size_t> columns;  // one per task; a gang's whole set or one array task
};

// Zones that a job's tasks already hold, by number of tasks.
using ZoneCounts = std::map<std::string, std::uint32_t>;
ZoneCounts count_tasks_by_zone(const Job& job, const std::map<MachineId, Machine>& machines);
// May one more task of the job go to this zone?
bool zone_allows(const JobSpec& spec, const ZoneCounts& counts, const std::string& zone);

// Solves one problem; lowers the room and the quota that it was given as it places.
class Matcher {
 public:
  Matcher(PlacementProblem& problem, ScoreMatrix& matrix, QuotaUsage& quota_usage,
          const std::map<MachineId, Machine>& machines);
  // To be called once.
  std::vector<Match> run();

 private:
  [[nodiscard]] bool can_place(std::size_t row, std::size_t column) const;
  bool place_one(std::size_t row, std::size_t column);
  bool place_gang(std::size_t row);
  bool pick_gang_columns(std::size_t row, const std::string* only_zone, std::vector<std::size_t>& out);
  bool pick_gang_columns(std::size_t row, const std::string* only_zone, std::optional<bool> cached,
                         std::vector<std::size_t>& out);
  [[nodiscard]] std::optional<std::size_t> best_column(std::size_t row) const;
  [[nodiscard]] std::vector<std::size_t> allowed_columns(std::size_t row, const std::string* only_zone) const;
  [[nodiscard]] std::vector<std::size_t> columns_by_score(std::size_t row) const;
  void reserve(std::size_t row, std::size_t column);

  PlacementProblem& problem_;
  ScoreMatrix& matrix_;
  QuotaUsage& quota_usage_;
  const std::map<MachineId, Machine>& machines_;
  std::vector<ZoneCounts> zones_;
  std::vector<Match> matches_;
};

}  // namespace martenwall
