// What is true in the region, and PROTOCOL's rules on it. Written from PROTOCOL alone: of the core it uses types.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model.hpp"
#include "core/policy.hpp"

namespace martenwall::region {

// Which of a user's sending and hearing came first. Much happens in one moment of virtual time: times do not tell.
using Ordinal = std::uint64_t;

// A job as its user knows it.
struct Work {
  JobSpec spec;
  double run_s = 10;                  // of its first task
  double stagger_s = 0;               // each further one takes so much longer
  std::set<std::uint32_t> completed;  // tasks
  Time submitted{};
  std::optional<Time> accepted, cancel_asked, told_done, told_cancelled;
  Ordinal heard_accepted = 0, heard_end = 0;
  Time answered{};                  // the last answer to any question about it
  std::optional<Time> beside_room;  // waits since then, and could have begun
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
  void completes(const TaskId& task);
  [[nodiscard]] Ordinal sends() { return ++order_; }
  // A user's answer to a request that was sent then; `phase` as PROTOCOL names it.
  void told(const JobId& id, const std::string& phase, Ordinal sent, Time now);
  void refused_forever(const JobId& id, int status, Ordinal sent, Time now);
  // With troubles over: whether it waits although a machine that fits has room and its team is under its limit.
  void waits_beside_room(const JobId& id, bool so, Time now);
  [[nodiscard]] bool calm() const { return calm_since_.has_value(); }
  [[nodiscard]] bool within_limit(const JobId& id, std::uint32_t more_tasks) const;
  [[nodiscard]] std::set<std::uint32_t> on_machines(const JobId& id) const;  // tasks
  void tick(Time now);                                                       // what is on a machine too long
  void all_troubles_over(Time now) { calm_since_ = now; }

  [[nodiscard]] const std::vector<std::string>& breaches() const { return breaches_; }
  [[nodiscard]] std::size_t started() const { return started_; }
  // Starts after their user was told of the cancellation, within cancel_s: a start was on its way. Later ones break a
  // rule.
  [[nodiscard]] std::size_t started_after_cancel() const { return started_after_cancel_; }
  // Called when a job's user first hears that it is accepted, done or cancelled.
  std::function<void(const JobId&)> on_news;
  // Called when the last task of a job completes.
  std::function<void(const JobId&)> on_complete;

 private:
  [[nodiscard]] bool asked_to_cancel(const JobId& id) const;
  void breach(const std::string& what, Time now);
  void check_place(const TaskId& task, const std::string& zone, bool spot, Time now);
  void check_limits(Time now);
  [[nodiscard]] Resources used_by(const std::string& team) const;
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
  Ordinal order_ = 0;
  std::size_t started_ = 0, started_after_cancel_ = 0;
};

}  // namespace martenwall::region
