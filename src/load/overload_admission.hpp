// Selects the pending jobs that can be served in time under overload, and those that wait.
//
// If all jobs can be in time, nothing is decided here. Otherwise, serving each job shortly before its deadline would
// make all of them slightly late (the domino effect of earliest-deadline-first). Moore's algorithm (J. M. Moore, "An n
// job, one machine sequencing algorithm for minimizing the number of late jobs", Management Science 15, 1968) keeps as
// many jobs in time as possible: it goes through them in the order of their latest starts, and whenever one no longer
// fits, it drops the largest job so far. Here the machines form several pools of capacity that is freed at a steady
// rate, and the classes share the dropped work.
#pragma once
#include <array>
#include <cstddef>
#include <vector>

namespace martenwall::load {

// CPUs, GPUs and GB, or these amounts times seconds.
using Amount = std::array<double, 3>;

// Capacity that some requests share: all machines, the machines of some kinds, or the unused part of a team's limit.
struct Pool {
  Amount free{};               // free now
  Amount capacity{};           // total, free or in use by jobs of the same requests; infinite if it does not bound them
  bool is_team_limit = false;  // the pool is a team's limit, not machines
};

// The pending tasks of one job.
struct WorkRequest {
  std::size_t job_class = 0;       // index of the job's class
  std::vector<std::size_t> pools;  // pools that it uses, without duplicates
  Amount need{};                   // of all its pending tasks together
  double run_s = 0;                // run time of each task
  std::vector<double>
      latest_start_s;  // latest start for each of its targets, in seconds from now, tightest first; may be negative
};

// Outcome for one request.
struct AdmissionResult {
  // Index of the first target that the job is expected to meet; the number of its targets if it meets none. Always 0 if
  // none of its pools is short, and for requests without targets.
  std::size_t first_met_target = 0;
  bool in_short_pool = false;
  bool machines_short = false;  // one of its short pools is not a team's limit
  double work_s = 0;            // its largest share of any pool's capacity, times its run time
};

// Returns one result per request, in their order. `efficiency`: the fraction of freed capacity that becomes running
// work, 0 to 1; the rest is lost to fetches, failures and stops. Takes O(n log n) for n requests and a few pools.
std::vector<AdmissionResult> plan_admission(const std::vector<Pool>& pools, const std::vector<WorkRequest>& requests,
                                            double efficiency);

}  // namespace martenwall::load
