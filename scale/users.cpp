#include "scale/users.hpp"

#include <cmath>

#include "wire/user_codec.hpp"

namespace martenwall::scale {

namespace {

using nlohmann::json;

// PROTOCOL, "Users -> controller nodes".
constexpr Duration submit_timeout = seconds(5), submit_retry_period = seconds(60);
constexpr Duration poll_timeout = seconds(2), poll_interval = seconds(5);
constexpr Duration unknown_job_poll_interval = seconds(2);
constexpr double run_time_sigma = 0.35;  // standard deviation of the logarithm of run times

std::string job_name(std::size_t n) {
  const std::string number = std::to_string(n);
  return "job-" + std::string(number.size() < 6 ? 6 - number.size() : 0, '0') + number;
}

}  // namespace

Users::Users(rt::Loop& loop, const CellPlan& plan, stand_ins::Rules& rules, Balancer& balancer)
    : loop_(loop), plan_(plan), rules_(rules), balancer_(balancer), random_(plan.seed) {}

void Users::count_error(const rt::HttpResult& response) {
  const bool answered = response.outcome == rt::Outcome::answered;
  if (answered && (response.status == 200 || response.status == 201)) return;
  const bool not_sent = response.outcome == rt::Outcome::not_sent;
  ++errors_[answered ? std::to_string(response.status) : not_sent ? "not sent" : "no answer"];
}

JobId Users::draw_job(const JobClass& job_class) {
  JobSpec spec = job_class.spec;
  spec.id = JobId{job_name(++next_job_)};
  spec.team = plan_.teams.at(static_cast<std::size_t>(uniform() * static_cast<double>(plan_.teams.size()))).name;
  spec.tasks =
      job_class.sizes.at(boost::random::discrete_distribution<std::size_t, double>{job_class.weights}(random_));
  spec.image = job_class.name + "-" +
               std::to_string(static_cast<std::size_t>(uniform() * static_cast<double>(job_class.images)));
  spec.image_gb = job_class.image_gb;
  const double drawn =
      boost::random::lognormal_distribution<double>{std::log(job_class.run_median_s), run_time_sigma}(random_);
  const double run_s = std::min(job_class.max_run_s, drawn);
  spec.estimate_s = run_s * (0.6 + 0.8 * uniform());
  const JobId id = spec.id;
  rules_.add(std::move(spec), run_s, loop_.now());
  return id;
}

void Users::submit(std::size_t job_class) {
  const auto& class_plan = plan_.classes.at(job_class);
  const bool cancels = uniform() < class_plan.cancel_fraction;
  ++open_jobs_;
  rt::spawn(simulate_user(draw_job(class_plan), cancels));
}

rt::Task<void> Users::submit_jobs(std::size_t job_class, Time until) {
  const auto& class_plan = plan_.classes.at(job_class);
  for (std::size_t i = 0; i < class_plan.at_start; ++i) submit(job_class);
  while (class_plan.per_second > 0) {
    const Duration gap = seconds(std::exponential_distribution<>{class_plan.per_second}(random_));
    co_await loop_.sleep(gap);
    if (loop_.now() >= until) break;
    submit(job_class);
  }
}

rt::Task<bool> Users::poll(JobId id) {
  ++poll_count_;
  const stand_ins::Ordinal sent = rules_.on_request_sent();
  std::string target = "/api/jobs/" + id.value();
  const rt::HttpResult response = co_await balancer_.request("GET", std::move(target), "", poll_timeout);
  count_error(response);
  if (response.ok()) rules_.on_phase_reported(id, json::parse(response.body).at("phase"), sent, loop_.now());
  if (response.outcome == rt::Outcome::answered && response.status == 404)
    rules_.on_permanent_refusal(id, 404, sent, loop_.now());
  const auto& work = rules_.job(id);
  co_return work.reported_done || work.reported_cancelled;
}

rt::Task<void> Users::cancel(JobId id) {
  ++cancel_count_;
  rules_.jobs().at(id).cancel_requested = loop_.now();
  for (;;) {
    const stand_ins::Ordinal sent = rules_.on_request_sent();
    std::string target = "/api/jobs/" + id.value() + "/cancel";
    const rt::HttpResult response = co_await balancer_.request("POST", std::move(target), "", submit_timeout);
    count_error(response);
    if (response.ok()) {
      rules_.on_phase_reported(id, json::parse(response.body).at("phase"), sent, loop_.now());
      break;
    }
    co_await loop_.sleep(seconds(1));
  }
}

rt::Task<void> Users::simulate_user(JobId id, bool cancels) {
  const std::string body = wire::encode_job(rules_.job(id).spec).dump();
  const Time began = loop_.now();
  while (!rules_.job(id).accepted && loop_.now() < began + submit_retry_period) {
    const stand_ins::Ordinal sent = rules_.on_request_sent();
    std::string body_copy = body;
    const rt::HttpResult response =
        co_await balancer_.request("POST", "/api/jobs", std::move(body_copy), submit_timeout);
    count_error(response);
    const bool accepted =
        response.outcome == rt::Outcome::answered && (response.status == 200 || response.status == 201);
    if (accepted) {
      rules_.on_phase_reported(id, json::parse(response.body).at("phase"), sent, loop_.now());
      submit_s_.push_back(to_seconds(loop_.now() - began));
      break;
    }
    const bool rejected =
        response.outcome == rt::Outcome::answered && (response.status == 400 || response.status == 422);
    if (rejected) rules_.on_permanent_refusal(id, response.status, sent, loop_.now());
    if (rejected) break;
    co_await loop_.sleep(seconds(1 + uniform()));
  }
  bool finished = !rules_.job(id).accepted;
  const Time cancel_at = cancels ? loop_.now() + seconds(rules_.job(id).run_s * uniform()) : Time::max();
  while (!finished) {
    co_await loop_.sleep(seconds(to_seconds(poll_interval) * (0.8 + 0.4 * uniform())));
    if (loop_.now() >= cancel_at && !rules_.job(id).cancel_requested) co_await cancel(id);
    finished = co_await poll(id);
  }
  --open_jobs_;
}

rt::Task<void> Users::poll_unknown_jobs(Time until) {
  constexpr std::size_t first_unknown_job = 900'000;
  while (loop_.now() < until) {
    const JobId id{job_name(first_unknown_job + static_cast<std::size_t>(uniform() * 1000))};
    std::string target = "/api/jobs/" + id.value();
    const rt::HttpResult response = co_await balancer_.request("GET", std::move(target), "", poll_timeout);
    if (response.ok()) rules_.on_unsubmitted_job_found(id, loop_.now());
    co_await loop_.sleep(unknown_job_poll_interval);
  }
}

json Users::result(Time began) const {
  json classes = json::object();
  for (const auto& class_plan : plan_.classes) {
    classes[class_plan.name] = {{"jobs", 0},
                                {"tasks", 0},
                                {"begun", 0},
                                {"done", 0},
                                {"cancelled", 0},
                                {"begin_delay_s", json::array()},
                                {"submitted_s", json::array()}};
  }
  for (const auto& [id, work] : rules_.jobs()) {
    auto& class_result = classes[work.spec.job_class];
    class_result["jobs"] = class_result["jobs"].get<std::size_t>() + 1;
    class_result["tasks"] = class_result["tasks"].get<std::size_t>() + work.spec.tasks;
    if (work.reported_done) class_result["done"] = class_result["done"].get<std::size_t>() + 1;
    if (work.reported_cancelled) class_result["cancelled"] = class_result["cancelled"].get<std::size_t>() + 1;
    if (!work.started) continue;
    class_result["begun"] = class_result["begun"].get<std::size_t>() + 1;
    class_result["begin_delay_s"].push_back(to_seconds(*work.started - work.submitted));
    class_result["submitted_s"].push_back(to_seconds(work.submitted - began));
  }
  return {{"classes", classes},
          {"submit_s", submit_s_},
          {"errors", errors_},
          {"polls", poll_count_},
          {"cancels", cancel_count_}};
}

}  // namespace martenwall::scale
