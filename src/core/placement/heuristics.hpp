// The job-machine score matrix and the heuristics that add to it, one function each (Capannini et al., "A Job
// Scheduling Framework for Large Computing Farms", section 4.1).
#pragma once
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/model/model.hpp"
#include "core/model/policy.hpp"
#include "core/model/quota_usage.hpp"

namespace martenwall {

// A row of the matrix: one pending job. All pending tasks of an array share one row.
struct PendingJob {
  Job* job = nullptr;
  std::uint32_t count = 0;  // number of tasks that may be placed in this cycle
  bool within_guarantee = false;
  double estimate_s = 0;               // corrected estimate of the run time (Nxtime in the paper)
  bool uniform_image = false;          // a gang for which either all machines must have the image or none may
  bool spot_only = false;              // restricted to spot machines
  double expected_missed_targets = 0;  // in a shortage: number of its targets that the job is expected to miss
  // In a shortage, for work that can be in time: replaces the rise of the deadline curve; 0 to 1, highest for the least
  // work.
  std::optional<double> shortage_order{};
  bool begin_overdue = false;     // none of its tasks has begun for a long time: the row stands for its first task only
  Resources reserved_headroom{};  // headroom of its team's limit for an earlier row
};

// A column of the matrix: a machine with free capacity.
struct CandidateMachine {
  Machine* machine = nullptr;
  const MachineType* type = nullptr;
  Resources free;
  std::size_t slots = 0;                               // number of further tasks that the machine may hold
  Priority reserved_priority = Priority::best_effort;  // reserved for a gang: lower priorities are excluded
  std::size_t kind = 0;                                // index into `PlacementProblem::kinds`
};

// Machines of one type in one zone, spot or not. A job's constraints are evaluated once per kind.
struct MachineKind {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
};
// Returns the index of the kind, which is added if it is new. There are few kinds: types times zones times two.
std::size_t find_or_add_kind(std::vector<MachineKind>& kinds, const MachineType& type, const std::string& zone,
                             bool spot);
// Returns for each kind whether a task of the job may run there.
std::vector<char> allowed_kinds(const JobSpec& spec, const std::vector<MachineKind>& kinds);

// Scores by pending job and machine, and which of these pairs are allowed.
class ScoreMatrix {
 public:
  ScoreMatrix(std::size_t rows, std::size_t columns)
      : columns_(columns), values_(rows * columns, 0.0), fits_(rows * columns, 0) {}
  double& at(std::size_t row, std::size_t column) { return values_[row * columns_ + column]; }
  [[nodiscard]] double at(std::size_t row, std::size_t column) const { return values_[row * columns_ + column]; }
  void allow(std::size_t row, std::size_t column) { fits_[row * columns_ + column] = 1; }
  [[nodiscard]] bool allowed(std::size_t row, std::size_t column) const { return fits_[row * columns_ + column] != 0; }

 private:
  std::size_t columns_;
  std::vector<double> values_;
  std::vector<char> fits_;
};

// Input of the matcher for one scheduling cycle.
struct PlacementProblem {
  Time now{};
  const Policy& policy;
  std::vector<PendingJob> jobs;
  std::vector<CandidateMachine> machines;  // added by `add`
  std::vector<MachineKind> kinds{};
  std::set<JobId> guaranteed{};  // unfinished jobs within their team's guarantee, including running ones
  // Seconds between heartbeats; idle times are rounded down to multiples of it. Smaller differences depend on the order
  // in which heartbeats arrive, which varies with the node that receives them, and must not influence the choice of a
  // machine.
  double idle_granularity_s = 0;
  void add(CandidateMachine column);
};

// Returns whether a task of the job may run on machines of this type.
bool type_allows(const JobSpec& spec, const MachineType& type);
// Returns whether a task of the job may run in this zone, on a spot machine or not.
bool location_allows(const JobSpec& spec, const std::string& zone, bool spot);

// The paper's f1: rises from the minimum to the maximum as the expected end approaches the deadline. All times are in
// seconds since submission.
double deadline_curve(const Policy& policy, double extime_s, double deadline_s, double nxtime_s);

namespace heuristics {
// `minimal_requirements` allows the entries that fit; each of the others adds to the scores of the allowed entries.
// heuristic_table.cpp describes them.
void minimal_requirements(const PlacementProblem& problem, ScoreMatrix& matrix);
void deadline(const PlacementProblem& problem, ScoreMatrix& matrix);
void wait_minimization(const PlacementProblem& problem, ScoreMatrix& matrix);
void input(const PlacementProblem& problem, ScoreMatrix& matrix);
void anti_aging(const PlacementProblem& problem, ScoreMatrix& matrix);
void priority(const PlacementProblem& problem, ScoreMatrix& matrix);
void guarantee(const PlacementProblem& problem, ScoreMatrix& matrix);
void packing(const PlacementProblem& problem, ScoreMatrix& matrix);
void spot_preference(const PlacementProblem& problem, ScoreMatrix& matrix);
void shortage(const PlacementProblem& problem, ScoreMatrix& matrix);
void beginning(const PlacementProblem& problem, ScoreMatrix& matrix);
void suspicion(const PlacementProblem& problem, ScoreMatrix& matrix);
}  // namespace heuristics

// Reserves machines for waiting gangs, in the order of their priorities. A gang would preempt tasks of lower priority
// that start there meanwhile, and their images would share the machine's fetch bandwidth with the gang's.
void reserve_for_gangs(PlacementProblem& problem, QuotaUsage used);

// For each team, finds the best row that waits for the team's limit. Later rows that need less leave it headroom for
// one task. Capacity under a limit is freed in units of the tasks that end, so small tasks would otherwise use all of
// it indefinitely.
void reserve_limit_headroom(PlacementProblem& problem, QuotaUsage used, const std::vector<MachineType>& types);

// Returns the sum of all heuristics in the table.
ScoreMatrix build_scores(const PlacementProblem& problem);

}  // namespace martenwall
