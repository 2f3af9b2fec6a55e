// The Job-Machine matrix and the heuristics that add to it, one function each
// (Capannini et al., "A Job Scheduling Framework for Large Computing Farms", section 4.1).
#pragma once
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/model/model.hpp"
#include "core/model/policy.hpp"
#include "core/model/quota_usage.hpp"

namespace martenwall {

// One pending job; an array's pending tasks share one row.
struct PendingJob {
  Job* job = nullptr;
  std::uint32_t count = 0;  // tasks that may be placed now
  bool within_guarantee = false;
  double estimate_s = 0;       // Nxtime: corrected estimate
  bool uniform_image = false;  // a gang whose tasks must all have their image, or all fetch it
  bool spot_only = false;      // takes what others leave: keeps off the ordinary machines
  double expected_missed_targets =
      0;  // in a shortage: of the times that it should meet, those that it is expected to miss
  // In a shortage, of work that can be in time: 0 to 1 in place of the curve's rise, the least work highest.
  std::optional<double> shortage_order{};
  bool begin_overdue = false;     // nothing of it began for long: this is about its first task alone
  Resources reserved_headroom{};  // of its team's limit, to a row that goes before it and needs more for one task
};

// A machine with room; a column of the matrix.
struct CandidateMachine {
  Machine* machine = nullptr;
  const MachineType* type = nullptr;
  Resources free;
  std::size_t slots = 0;  // further tasks that one machine may hold
  Priority reserved_priority =
      Priority::best_effort;  // a gang of this priority gathers the machine: lower ones keep off
  std::size_t kind = 0;       // of `PlacementProblem::kinds`
};

// Machines of one type in one zone, spot or not: what a job demands of its place is looked up once for all of them.
struct MachineKind {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
};
// The index of the kind, which is added where it is new. There are few: types times zones times two.
std::size_t find_or_add_kind(std::vector<MachineKind>& kinds, const MachineType& type, const std::string& zone,
                             bool spot);
// For each kind: may a task of the job run there?
std::vector<char> allowed_kinds(const JobSpec& spec, const std::vector<MachineKind>& kinds);

// One score for each pending job and machine that fits.
class ScoreMatrix {
 public:
  ScoreMatrix(std::size_t rows, std::size_t columns)
      : columns_(columns), values_(rows * columns, 0.0), fits_(rows * columns, 0) {}
  double& at(std::size_t r, std::size_t c) { return values_[r * columns_ + c]; }
  [[nodiscard]] double at(std::size_t r, std::size_t c) const { return values_[r * columns_ + c]; }
  void allow(std::size_t r, std::size_t c) { fits_[r * columns_ + c] = 1; }
  [[nodiscard]] bool allowed(std::size_t r, std::size_t c) const { return fits_[r * columns_ + c] != 0; }

 private:
  std::size_t columns_;
  std::vector<double> values_;
  std::vector<char> fits_;
};

// What one scheduling cycle has to solve.
struct PlacementProblem {
  Time now{};
  const Policy& policy;
  std::vector<PendingJob> jobs;
  std::vector<CandidateMachine> machines;  // by `add`
  std::vector<MachineKind> kinds{};
  std::set<JobId> guaranteed{};  // unfinished jobs within their team's guarantee, running ones too
  // Seconds between heartbeats. When a machine became idle is known no better: finer differences are accidents of the
  // order in which heartbeats arrive, which differs with the node that takes them, and must not choose a machine.
  double idle_granularity_s = 0;
  void add(CandidateMachine column);
};

// May a task of this job ever run on such a machine?
bool type_allows(const JobSpec& spec, const MachineType& type);
// May it run in this zone, on a spot machine or not?
bool location_allows(const JobSpec& spec, const std::string& zone, bool spot);

// The paper's f1: rises from the minimum to the maximum as the expected end nears the deadline. All in seconds from the
// submission.
double deadline_curve(const Policy& p, double extime_s, double deadline_s, double nxtime_s);

namespace heuristics {
// Each adds to the scores of the allowed entries; this one allows the entries that fit. What each is for stands in
// heuristic_table.cpp.
void minimal_requirements(const PlacementProblem& problem, ScoreMatrix& m);
void deadline(const PlacementProblem& problem, ScoreMatrix& m);
void wait_minimization(const PlacementProblem& problem, ScoreMatrix& m);
void input(const PlacementProblem& problem, ScoreMatrix& m);
void anti_aging(const PlacementProblem& problem, ScoreMatrix& m);
void priority(const PlacementProblem& problem, ScoreMatrix& m);
void guarantee(const PlacementProblem& problem, ScoreMatrix& m);
void packing(const PlacementProblem& problem, ScoreMatrix& m);
void spot_preference(const PlacementProblem& problem, ScoreMatrix& m);
void shortage(const PlacementProblem& problem, ScoreMatrix& m);
void beginning(const PlacementProblem& problem, ScoreMatrix& m);
void suspicion(const PlacementProblem& problem, ScoreMatrix& m);
}  // namespace heuristics

// Machines that waiting gangs gather, in the order of their ranks. A gang would stop what lower ranks start
// there meanwhile, and its image would share the machine's fetch with theirs.
void reserve_for_gangs(PlacementProblem& problem, QuotaUsage used);

// Of each team the best row that its limit keeps waiting: rows after it that need less leave it room for one task.
// What comes free of a limit comes in the size of the tasks that end, and small ones would take it for ever.
void reserve_limit_headroom(PlacementProblem& problem, QuotaUsage used, const std::vector<MachineType>& types);

// All heuristics of the table, added up.
ScoreMatrix build_scores(const PlacementProblem& problem);

}  // namespace martenwall
