// Users who submit jobs of each class at its rate, poll every few seconds until the jobs are finished, and cancel some.
#pragma once
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "scale/balancer.hpp"
#include "scale/plan.hpp"
#include "stand_ins/rules.hpp"

namespace martenwall::scale {

// All users of a cell. They report their observations to the rule checker.
class Users {
 public:
  Users(rt::Loop& loop, const CellPlan& plan, stand_ins::Rules& rules, Balancer& balancer);
  rt::Task<void> submit_jobs(std::size_t job_class, Time until);      // submits jobs of one class
  rt::Task<void> poll_unknown_jobs(Time until);                       // polls jobs that were never submitted
  [[nodiscard]] std::size_t open_jobs() const { return open_jobs_; }  // unfinished jobs
  [[nodiscard]] nlohmann::json result(Time began) const;

 private:
  rt::Task<void> simulate_user(JobId id, bool cancels);
  rt::Task<void> cancel(JobId id);
  rt::Task<bool> poll(JobId id);  // returns whether the job is finished
  JobId draw_job(const JobClass& job_class);
  void submit(std::size_t job_class);
  double uniform() { return std::uniform_real_distribution<>{0, 1}(random_); }
  void count_error(const rt::HttpResult& response);

  rt::Loop& loop_;
  const CellPlan& plan_;
  stand_ins::Rules& rules_;
  Balancer& balancer_;
  std::mt19937_64 random_;
  std::size_t next_job_ = 0, open_jobs_ = 0, poll_count_ = 0, cancel_count_ = 0;
  std::vector<double> submit_s_;
  std::map<std::string, std::size_t> errors_;
};

}  // namespace martenwall::scale
