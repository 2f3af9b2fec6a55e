#include "addresses.hpp"
#include "region.hpp"
#include "wire/user_codec.hpp"

namespace martenwall::region {

using nlohmann::json;

JobId Region::submit(JobSpec spec, double run_s) {
  const std::string number = std::to_string(next_job_++);
  spec.id = JobId{"job-" + std::string(6 - number.size(), '0') + number};
  spec.team = "red";
  spec.job_class = "x";
  spec.image = "img";
  spec.image_gb = 1;
  spec.estimate_s = run_s;
  const JobId id = spec.id;
  rules_.add(std::move(spec), run_s, now_);
  users_[id];
  rt::spawn(user(id));
  return id;
}

JobId Region::submit_array(std::uint32_t tasks, double run_s, std::optional<std::size_t> at) {
  JobSpec s;
  s.tasks = tasks;
  s.need = {1, 1, 8};
  s.spot = false;
  const JobId id = submit(std::move(s), run_s);
  if (at) users_.at(id).at = {*at};
  return id;
}

void Region::cancel(const JobId& id, std::vector<std::size_t> at) {
  auto& u = users_.at(id);
  u.cancels_at = std::move(at);
  if (std::exchange(u.is_cancelling, true)) return;
  rules_.jobs().at(id).cancel_requested = now_;
  rt::spawn(cancel_until_answered(id));
}

std::size_t Region::next_for(User& u, const std::vector<std::size_t>& at) {
  ++u.next;
  return at.empty() ? pick() : at.at(u.next % at.size());
}

rt::Task<rt::HttpResult> Region::send_request(std::size_t controller, std::string method, std::string target,
                                              std::string body, double limit_s) {
  const auto& n = controllers_.at(controller);
  if (!n.process) co_return rt::HttpResult{};
  std::string to = at_port(n.process->node->users_port());
  co_return co_await client_.request(std::move(to), std::move(method), std::move(target), std::move(body),
                                     seconds(limit_s));
}

rt::Task<void> Region::user(JobId id) {
  co_await loop_.sleep(poll_interval);  // the test may set the controllers to query
  auto& work = rules_.jobs().at(id);
  const std::string body = wire::encode_job(work.spec).dump();
  const Time deadline = now_ + seconds(60);
  while (!work.accepted && now_ < deadline) {
    const Ordinal sent = rules_.on_request_sent();
    auto& u = users_.at(id);
    const auto to = next_for(u, u.at);
    std::string copy = body;
    const auto r = co_await send_request(to, "POST", "/api/jobs", std::move(copy), 5);
    const bool accepted = r.outcome == rt::Outcome::answered && (r.status == 200 || r.status == 201);
    if (accepted) rules_.on_phase_reported(id, json::parse(r.body).at("phase"), sent, now_);
    if (r.status == 400 || r.status == 422) rules_.on_permanent_refusal(id, r.status, sent, now_);
    if (!accepted) co_await loop_.sleep(seconds(1 + roll()));
  }
  while (!work.reported_done && !work.reported_cancelled) {
    co_await loop_.sleep(seconds(2 + 2 * roll()));
    auto& u = users_.at(id);
    co_await poll(id, next_for(u, u.at));
  }
  // Polls random controllers after the end: a final phase must not change.
  for (int i = 0; i < 12; ++i) {
    co_await loop_.sleep(seconds(3 + 3 * roll()));
    co_await poll(id, pick());
  }
}

rt::Task<void> Region::poll(JobId id, std::size_t at) {
  const Ordinal sent = rules_.on_request_sent();
  const auto r = co_await send_request(at, "GET", "/api/jobs/" + id.value(), "", 2);
  if (r.outcome != rt::Outcome::answered) co_return;
  if (r.status == 200) rules_.on_phase_reported(id, json::parse(r.body).at("phase"), sent, now_);
  if (r.status == 404) rules_.on_permanent_refusal(id, r.status, sent, now_);
}

rt::Task<void> Region::resubmit(JobId id, std::size_t at) {
  std::string body = wire::encode_job(rules_.job(id).spec).dump();
  const Ordinal sent = rules_.on_request_sent();
  const auto r = co_await send_request(at, "POST", "/api/jobs", std::move(body), 5);
  if (r.outcome != rt::Outcome::answered) co_return;
  if (r.status == 200 || r.status == 201) rules_.on_phase_reported(id, json::parse(r.body).at("phase"), sent, now_);
  if (r.status == 400 || r.status == 422) rules_.on_permanent_refusal(id, r.status, sent, now_);
}

rt::Task<void> Region::cancel_once(JobId id, std::size_t at) {
  const Ordinal sent = rules_.on_request_sent();
  const auto r = co_await send_request(at, "POST", "/api/jobs/" + id.value() + "/cancel", "", 5);
  if (r.outcome != rt::Outcome::answered) co_return;
  if (r.status == 200) rules_.on_phase_reported(id, json::parse(r.body).at("phase"), sent, now_);
  if (r.status == 404) rules_.on_permanent_refusal(id, r.status, sent, now_);
}

rt::Task<void> Region::cancel_until_answered(JobId id) {
  auto& work = rules_.jobs().at(id);
  while (!work.reported_done && !work.reported_cancelled) {
    const Ordinal sent = rules_.on_request_sent();
    auto& u = users_.at(id);
    const auto to = next_for(u, u.cancels_at);
    const auto r = co_await send_request(to, "POST", "/api/jobs/" + id.value() + "/cancel", "", 5);
    const bool answered = r.outcome == rt::Outcome::answered && r.status == 200;
    if (answered) rules_.on_phase_reported(id, json::parse(r.body).at("phase"), sent, now_);
    if (!answered) co_await loop_.sleep(seconds(0.5 + 0.5 * roll()));
  }
}

rt::Task<void> Region::poll_repeatedly(JobId id) {
  constexpr int times = 6;
  for (int i = 0; i < times; ++i) {
    const auto& work = rules_.job(id);
    for (std::size_t c = 0; c < controllers_.size(); ++c) {
      if (!controllers_.at(c).process) continue;
      ++intensive_queries_;
      rt::spawn(poll(id, c));
      if (i % 2 == 0) rt::spawn(resubmit(id, c));
      if (i % 3 == 0 && (work.reported_done || work.reported_cancelled)) rt::spawn(cancel_once(id, c));
    }
    co_await loop_.sleep(seconds(0.003 + 0.06 * roll() * i));
  }
}

void Region::query_intensively(double cancel_share) {
  rules_.on_status_change = [this, cancel_share](const JobId& id) {
    rt::spawn(poll_repeatedly(id));
    const auto& work = rules_.job(id);
    const bool newly_accepted = !work.reported_done && !work.reported_cancelled;
    if (newly_accepted && cancel_share > 0 && roll() < cancel_share) cancel(id, {pick(), pick()});
  };
}

void Region::cancel_at_end(double share) {
  rules_.on_complete = [this, share](const JobId& id) {
    if (roll() >= share) return;
    cancel(id, {pick(), pick()});
    for (std::size_t c = 0; c < controllers_.size(); ++c) {
      poll_once(id, c);
      submit_copy(id, c);
    }
  };
}

rt::HttpResult Region::request(std::size_t at, std::string method, std::string target, std::string body) {
  std::optional<rt::HttpResult> result;
  const auto send = [](Region& r, std::optional<rt::HttpResult>& out, std::size_t c, std::string m, std::string t,
                       std::string b) -> rt::Task<void> {
    out = co_await r.send_request(c, std::move(m), std::move(t), std::move(b), 5);
  };
  rt::spawn(send(*this, result, at, std::move(method), std::move(target), std::move(body)));
  run_until(6, [&] { return result.has_value(); });
  return result.value_or(rt::HttpResult{});
}

}  // namespace martenwall::region
