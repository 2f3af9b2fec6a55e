// Users: submit jobs of each class at its rate, ask every few seconds until they are over, call some off.
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

// All users of a cell; what they observe is handed to the rules.
class Users {
 public:
  Users(rt::Loop& loop, const CellPlan& plan, stand_ins::Rules& rules, Balancer& balancer);
  rt::Task<void> arrive(std::size_t job_class, Time until);  // jobs of one class
  rt::Task<void> ask_about_unknown(Time until);              // jobs that nobody submitted
  [[nodiscard]] std::size_t open() const { return open_; }   // jobs that are not over
  [[nodiscard]] nlohmann::json result(Time began) const;

 private:
  rt::Task<void> user(JobId id, bool cancels);
  rt::Task<void> cancel(JobId id);
  rt::Task<bool> poll(JobId id);  // whether it is over
  JobId draw(const JobClass& job_class);
  void submit(std::size_t job_class);
  double roll() { return std::uniform_real_distribution<>{0, 1}(random_); }
  void count_error(const rt::HttpResult& r);

  rt::Loop& loop_;
  const CellPlan& plan_;
  stand_ins::Rules& rules_;
  Balancer& balancer_;
  std::mt19937_64 random_;
  std::size_t next_job_ = 0, open_ = 0, polls_ = 0, cancels_ = 0;
  std::vector<double> submit_s_;
  std::map<std::string, std::size_t> errors_;
};

}  // namespace martenwall::scale
