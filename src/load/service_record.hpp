// Who is served: counts for each class of jobs and team within it, since this leader took over. So that an operator
// sees who is not served while it happens, and not from the users' complaints.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace martenwall::load {

struct ServiceCounts {
  std::string job_class, team;
  std::uint64_t submitted = 0;  // taken by this leader, loaded ones included
  std::uint64_t started = 0;    // all of its tasks were placed
  std::uint64_t done = 0;
  std::uint64_t in_time = 0;  // of these, by the longest time that is asked for its class; all where none is
  std::uint64_t cancelled = 0;
  double wait_s = 0;  // sum over those started, from their release on
  // Of those whose last time has come, or that were done before: the part done in time, 0 to 1; 1 before there are any.
  [[nodiscard]] double share() const {
    const auto judged = in_time + late;
    return judged == 0 ? 1 : static_cast<double>(in_time) / static_cast<double>(judged);
  }
  std::uint64_t late = 0;  // done after it, or not done when it came
};

class ServiceRecord {
 public:
  // Beyond this many pairs of class and team all further ones are counted together, as "other": names come from users,
  // and metrics and memory must not grow with them.
  static constexpr std::size_t max_pairs = 60;

  void submitted(const std::string& job_class, const std::string& team) { ++counts_for(job_class, team).submitted; }
  void started(const std::string& job_class, const std::string& team, double wait_s);
  void done(const std::string& job_class, const std::string& team, bool in_time);
  void cancelled(const std::string& job_class, const std::string& team) { ++counts_for(job_class, team).cancelled; }
  // Its last time passed before it was done: told once, and `done` after that counts no second time.
  void missed(const std::string& job_class, const std::string& team) { ++counts_for(job_class, team).late; }

  [[nodiscard]] std::vector<ServiceCounts> all() const;  // by class, then team
  // "squat-scan/mirror-ops 62 taken, 50 started after 12 s, 41 done, 0.83 in time; ...", those least served first, at
  // most `most` of them; what happened since the line before.
  std::string minute_line(std::size_t max_entries);

 private:
  using ClassAndTeam = std::pair<std::string, std::string>;
  ServiceCounts& counts_for(const std::string& job_class, const std::string& team);
  std::map<ClassAndTeam, ServiceCounts> pairs_, last_reported_;
};

}  // namespace martenwall::load
