// Which pending jobs can still be served in time when more is wanted than the machines can do, and which wait.
//
// Where all can be in time nothing is decided here. Where not, serving each when it is almost too late makes all of
// them a little late (the domino effect of earliest-deadline-first). Moore's algorithm (J. M. Moore, "An n job, one
// machine sequencing algorithm for minimizing the number of late jobs", Management Science 15, 1968) keeps as many in
// time as can be: in the order of their latest starts, and where one does not fit any more, the largest so far is given
// up. Here the machines are several pools of room that is freed at a steady rate, and classes share what is given up.
#pragma once
#include <array>
#include <cstddef>
#include <vector>

namespace martenwall::load {

// CPUs, GPUs and GB, or these times seconds.
using Amount = std::array<double, 3>;

// Room that some claims draw on together: all machines, those of some kinds, or what a team's limit leaves.
struct Pool {
  Amount free{};               // can be taken now
  Amount capacity{};           // in all, in use by the same claims' jobs or free; what does not bound them is infinite
  bool is_team_limit = false;  // of a team, not machines
};

// What is pending of one job.
struct WorkRequest {
  std::size_t job_class = 0;           // its class, a small number
  std::vector<std::size_t> pools;      // on which it draws, each once
  Amount need{};                       // all its pending tasks at once
  double run_s = 0;                    // of each of them
  std::vector<double> latest_start_s;  // from now, one for each time that it should meet, tightest first; may be past
};

struct AdmissionResult {
  // The first of its times that it is expected to meet, from 0; the number of its times where it meets none. Always 0
  // where nothing that it draws on is short, and for claims that have no times to meet.
  std::size_t first_met_target = 0;
  bool in_short_pool = false;
  bool machines_short = false;  // one of these is not a team's limit
  double work_s = 0;            // its largest part of any pool's room, times its run time
};

// One verdict a claim, in their order. `efficiency`: the part of freed room that becomes running work, 0 to 1; the rest
// goes to fetches, losses and stops. Costs n log n for n claims and a few pools.
std::vector<AdmissionResult> plan_admission(const std::vector<Pool>& pools, const std::vector<WorkRequest>& requests,
                                            double efficiency);

}  // namespace martenwall::load
