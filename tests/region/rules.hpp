// What is true in the region, and PROTOCOL's rules on it. Written from PROTOCOL alone: of the core it uses types.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model.hpp"
#include "core/policy.hpp"

namespace martenwall::region {

// A job as its user knows it.
struct Work {
  JobSpec spec;
  double run_s = 10;                  // of its first task
  double stagger_s = 0;               // each further one takes so much longer
  std::set<std::uint32_t> completed;  // tasks
  Time submitted{};
  std::optional<Time> accepted, cancel_asked, told_done, told_cancelled;
  Time answered{};  // the last answer to any question about it
};

class Rules {
 public:
  Rules(WorkerTerms terms, std::vector<Team> teams) : terms_(terms), teams_(std::move(teams)) {}
  Work& add(JobSpec spec, double run_s, Time now);
  [[nodiscard]] const Work& work(const JobId& id) const { return works_.at(id); }
  [[nodiscard]] std::map<JobId, Work>& works() { return works_; }
  [[nodiscard]] const std::map<JobId, Work>& works() const { return works_; }
  [[nodiscard]] const Work* find(const JobId& id) const;

  void starts(const TaskId& task, const MachineId& on, const std::string& zone, bool spot, Time now);
  void leaves(const TaskId& task, const MachineId& on);
  void completes(const TaskId& task) { works_.at(task.job).completed.insert(task.index); }
  // A user's answer to a request that was sent at `sent`; `phase` as PROTOCOL names it.
  void told(const JobId& id, const std::string& phase, Time sent, Time now);
  void refused_forever(const JobId& id, int status, Time sent, Time now);
  void tick(Time now);  // what is on a machine too long
  void all_troubles_over(Time now) { calm_since_ = now; }

  [[nodiscard]] const std::vector<std::string>& breaches() const { return breaches_; }
  [[nodiscard]] std::size_t started() const { return started_; }

 private:
  [[nodiscard]] bool asked_to_cancel(const JobId& id) const;
  void breach(const std::string& what, Time now);
  struct On {
    TaskId task;
    MachineId machine;
    auto operator<=>(const On&) const = default;
  };
  WorkerTerms terms_;
  std::vector<Team> teams_;
  std::map<JobId, Work> works_;
  std::map<On, std::string> on_;  // the machine's zone
  std::optional<Time> calm_since_;
  std::vector<std::string> breaches_;
  std::size_t started_ = 0;
};

}  // namespace martenwall::region
