#include "scale/users.hpp"

#include <cmath>

#include "wire/user_codec.hpp"

namespace martenwall::scale {

namespace {

using nlohmann::json;

// PROTOCOL, "Users -> controller nodes".
constexpr Duration submit_limit = seconds(5), submit_patience = seconds(60);
constexpr Duration poll_limit = seconds(2), poll_every = seconds(5);
constexpr Duration unknown_every = seconds(2);
constexpr double run_spread = 0.35;  // sigma of the run times' logarithm

std::string numbered(std::size_t n) {
  const std::string number = std::to_string(n);
  return "job-" + std::string(number.size() < 6 ? 6 - number.size() : 0, '0') + number;
}

}  // namespace

Users::Users(rt::Loop& loop, const CellPlan& plan, stand_ins::Rules& rules, Balancer& balancer)
    : loop_(loop), plan_(plan), rules_(rules), balancer_(balancer), random_(plan.seed) {}

void Users::count_error(const rt::HttpResult& r) {
  const bool answered = r.outcome == rt::Outcome::answered;
  if (answered && (r.status == 200 || r.status == 201)) return;
  const bool not_sent = r.outcome == rt::Outcome::not_sent;
  ++errors_[answered ? std::to_string(r.status) : not_sent ? "not sent" : "no answer"];
}

JobId Users::draw(const JobClass& c) {
  JobSpec spec = c.spec;
  spec.id = JobId{numbered(++next_job_)};
  spec.team = plan_.teams.at(static_cast<std::size_t>(roll() * static_cast<double>(plan_.teams.size()))).name;
  spec.tasks = c.sizes.at(boost::random::discrete_distribution<std::size_t, double>{c.weights}(random_));
  spec.image = c.name + "-" + std::to_string(static_cast<std::size_t>(roll() * static_cast<double>(c.images)));
  spec.image_gb = c.image_gb;
  const double drawn = boost::random::lognormal_distribution<double>{std::log(c.run_median_s), run_spread}(random_);
  const double run_s = std::min(c.run_most_s, drawn);
  spec.estimate_s = run_s * (0.6 + 0.8 * roll());
  const JobId id = spec.id;
  rules_.add(std::move(spec), run_s, loop_.now());
  return id;
}

void Users::submit(std::size_t job_class) {
  const auto& c = plan_.classes.at(job_class);
  const bool cancels = roll() < c.cancelled;
  ++open_;
  rt::spawn(user(draw(c), cancels));
}

rt::Task<void> Users::arrive(std::size_t job_class, Time until) {
  const auto& c = plan_.classes.at(job_class);
  for (std::size_t i = 0; i < c.at_start; ++i) submit(job_class);
  while (c.per_second > 0) {
    const Duration gap = seconds(std::exponential_distribution<>{c.per_second}(random_));
    co_await loop_.sleep(gap);
    if (loop_.now() >= until) break;
    submit(job_class);
  }
}

rt::Task<bool> Users::poll(JobId id) {
  ++polls_;
  const stand_ins::Ordinal sent = rules_.on_request_sent();
  std::string target = "/api/jobs/" + id.value();
  const rt::HttpResult r = co_await balancer_.request("GET", std::move(target), "", poll_limit);
  count_error(r);
  if (r.ok()) rules_.on_phase_reported(id, json::parse(r.body).at("phase"), sent, loop_.now());
  if (r.outcome == rt::Outcome::answered && r.status == 404) rules_.on_permanent_refusal(id, 404, sent, loop_.now());
  const auto& work = rules_.job(id);
  co_return work.reported_done || work.reported_cancelled;
}

rt::Task<void> Users::cancel(JobId id) {
  ++cancels_;
  rules_.jobs().at(id).cancel_asked = loop_.now();
  for (;;) {
    const stand_ins::Ordinal sent = rules_.on_request_sent();
    std::string target = "/api/jobs/" + id.value() + "/cancel";
    const rt::HttpResult r = co_await balancer_.request("POST", std::move(target), "", submit_limit);
    count_error(r);
    if (r.ok()) {
      rules_.on_phase_reported(id, json::parse(r.body).at("phase"), sent, loop_.now());
      break;
    }
    co_await loop_.sleep(seconds(1));
  }
}

rt::Task<void> Users::user(JobId id, bool cancels) {
  const std::string body = wire::encode_job(rules_.job(id).spec).dump();
  const Time began = loop_.now();
  while (!rules_.job(id).accepted && loop_.now() < began + submit_patience) {
    const stand_ins::Ordinal sent = rules_.on_request_sent();
    std::string copy = body;
    const rt::HttpResult r = co_await balancer_.request("POST", "/api/jobs", std::move(copy), submit_limit);
    count_error(r);
    const bool taken = r.outcome == rt::Outcome::answered && (r.status == 200 || r.status == 201);
    if (taken) {
      rules_.on_phase_reported(id, json::parse(r.body).at("phase"), sent, loop_.now());
      submit_s_.push_back(to_seconds(loop_.now() - began));
      break;
    }
    const bool never = r.outcome == rt::Outcome::answered && (r.status == 400 || r.status == 422);
    if (never) rules_.on_permanent_refusal(id, r.status, sent, loop_.now());
    if (never) break;
    co_await loop_.sleep(seconds(1 + roll()));
  }
  bool over = !rules_.job(id).accepted;
  const Time cancels_at = cancels ? loop_.now() + seconds(rules_.job(id).run_s * roll()) : Time::max();
  while (!over) {
    co_await loop_.sleep(seconds(to_seconds(poll_every) * (0.8 + 0.4 * roll())));
    if (loop_.now() >= cancels_at && !rules_.job(id).cancel_asked) co_await cancel(id);
    over = co_await poll(id);
  }
  --open_;
}

rt::Task<void> Users::ask_about_unknown(Time until) {
  constexpr std::size_t never_submitted = 900'000;
  while (loop_.now() < until) {
    const JobId id{numbered(never_submitted + static_cast<std::size_t>(roll() * 1000))};
    std::string target = "/api/jobs/" + id.value();
    const rt::HttpResult r = co_await balancer_.request("GET", std::move(target), "", poll_limit);
    if (r.ok()) rules_.on_unknown_job_known(id, loop_.now());
    co_await loop_.sleep(unknown_every);
  }
}

json Users::result(Time began) const {
  json classes = json::object();
  for (const auto& c : plan_.classes) {
    classes[c.name] = {{"jobs", 0},
                       {"tasks", 0},
                       {"begun", 0},
                       {"done", 0},
                       {"cancelled", 0},
                       {"begin_delay_s", json::array()},
                       {"submitted_s", json::array()}};
  }
  for (const auto& [id, w] : rules_.jobs()) {
    auto& c = classes[w.spec.job_class];
    c["jobs"] = c["jobs"].get<std::size_t>() + 1;
    c["tasks"] = c["tasks"].get<std::size_t>() + w.spec.tasks;
    if (w.reported_done) c["done"] = c["done"].get<std::size_t>() + 1;
    if (w.reported_cancelled) c["cancelled"] = c["cancelled"].get<std::size_t>() + 1;
    if (!w.begun) continue;
    c["begun"] = c["begun"].get<std::size_t>() + 1;
    c["begin_delay_s"].push_back(to_seconds(*w.begun - w.submitted));
    c["submitted_s"].push_back(to_seconds(w.submitted - began));
  }
  return {{"classes", classes}, {"submit_s", submit_s_}, {"errors", errors_}, {"polls", polls_}, {"cancels", cancels_}};
}

}  // namespace martenwall::scale
