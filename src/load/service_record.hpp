// Counts of the service that each job class and team received since this leader took over. They show operators which
// users are not being served at present, before those users report it.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace martenwall::load {

// Counts of one class and team.
struct ServiceCounts {
  std::string job_class, team;
  std::uint64_t submitted = 0;  // accepted by this leader, including jobs loaded from the store
  std::uint64_t started = 0;    // jobs whose tasks were all placed
  std::uint64_t done = 0;
  std::uint64_t in_time = 0;  // of these, within the longest target of the class; all if it has none
  std::uint64_t cancelled = 0;
  double wait_s = 0;  // sum over the started jobs, counted from when each was ready
  // Returns the share of jobs done in time, 0 to 1, among those done and those whose last target has passed; 1 if there
  // are none.
  [[nodiscard]] double share() const {
    const auto judged = in_time + late;
    return judged == 0 ? 1 : static_cast<double>(in_time) / static_cast<double>(judged);
  }
  std::uint64_t late = 0;  // done after the last target, or not done when it passed
};

// Service counts by job class and team.
class ServiceRecord {
 public:
  // Maximum number of class and team pairs; all further pairs are counted together as "other". Users choose the names,
  // and metrics and memory must not grow with their number.
  static constexpr std::size_t max_pairs = 60;

  void submitted(const std::string& job_class, const std::string& team) { ++counts_for(job_class, team).submitted; }
  void started(const std::string& job_class, const std::string& team, double wait_s);
  void done(const std::string& job_class, const std::string& team, bool in_time);
  void cancelled(const std::string& job_class, const std::string& team) { ++counts_for(job_class, team).cancelled; }
  // Records that a job's last target passed before it was done. Called once per job; a later `done` does not count it
  // again.
  void missed(const std::string& job_class, const std::string& team) { ++counts_for(job_class, team).late; }

  [[nodiscard]] std::vector<ServiceCounts> all() const;  // ordered by class, then team
  // Returns the changes since the previous line: "render/blue 62 taken, 50 started after 12 s, 41 done, 0.83 in time;
  // ...", least served first, at most `max_entries` entries.
  std::string minute_line(std::size_t max_entries);

 private:
  using ClassAndTeam = std::pair<std::string, std::string>;
  ServiceCounts& counts_for(const std::string& job_class, const std::string& team);
  std::map<ClassAndTeam, ServiceCounts> counts_, last_reported_;
};

}  // namespace martenwall::load
