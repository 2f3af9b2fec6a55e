// Greedy matching: places the highest entry of the score matrix first, reduces its machine's free capacity, and
// repeats.
#pragma once
#include <optional>
#include <vector>

#include "core/model/quota_usage.hpp"
#include "core/placement/heuristics.hpp"

namespace martenwall {

// A placement decision.
struct Match {
  std::size_t row = 0;
  std::vector<std::size_t> columns;  // one column per task: all tasks of a gang, or one array task
};

// Number of a job's placed tasks by zone.
using ZoneCounts = std::map<std::string, std::uint32_t>;
ZoneCounts count_tasks_by_zone(const Job& job, const std::map<MachineId, Machine>& machines);
// Returns whether one more task of the job may be placed in this zone.
bool zone_allows(const JobSpec& spec, const ZoneCounts& counts, const std::string& zone);

// Solves one placement problem. Reduces the free capacity and the quota that it was given as it places tasks.
class Matcher {
 public:
  Matcher(PlacementProblem& problem, ScoreMatrix& matrix, QuotaUsage& quota_usage,
          const std::map<MachineId, Machine>& machines);
  // Returns the matches. May be called only once.
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
