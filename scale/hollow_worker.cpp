#include "scale/hollow_worker.hpp"

#include <algorithm>

namespace martenwall::scale {

namespace {

using nlohmann::json;

// PROTOCOL, "Workers -> controller nodes".
constexpr Duration answer_limit = seconds(4);
constexpr Duration least_gap = seconds(0.5);
constexpr std::size_t most_answer = 256 * 1024;
constexpr std::size_t most_commands = 8;  // connections of controllers at once

rt::HttpServer::Limits bounds() {
  rt::HttpServer::Limits b;
  b.max_connections = most_commands;
  return b;
}

}  // namespace

HollowWorker::HollowWorker(WorkerFleet& fleet, stand_ins::MachineTraits traits, Time boots)
    : fleet_(fleet),
      model_(fleet.world, std::move(traits), boots),
      wake_(fleet.loop),
      client_(fleet.loop, 2, most_answer, 1),
      server_(fleet.loop, *rt::Endpoint::parse("127.0.0.1:0"), bounds(),
              [this](rt::HttpMessage m) { return serve(std::move(m)); }) {
  model_.set_endpoint("127.0.0.1:" + std::to_string(server_.port()));
  route_.next_heartbeat = boots;
  route_.target = static_cast<std::size_t>(fleet_.roll() * static_cast<double>(fleet_.controllers.size()));
}

void HollowWorker::run() {
  rt::spawn(server_.serve());
  rt::spawn(heartbeat_loop());
}

void HollowWorker::wake_if_changed() {
  if (model_.changed()) wake_.notify();
}

void HollowWorker::restart() {
  model_.restart(fleet_.loop.now());
  wake_if_changed();
}

rt::Task<void> HollowWorker::heartbeat_loop() {
  while (!model_.gone()) {
    const Time now = fleet_.loop.now();
    const Time sooner = model_.changed() ? std::max(last_heartbeat_at_ + least_gap, Time{}) : route_.next_heartbeat;
    const Time due = std::max({std::min(route_.next_heartbeat, sooner), cut_until_, last_heartbeat_at_ + Duration{1}});
    if (!model_.up(now) || now < due) {
      const Time until = model_.up(now) ? due : std::max(due, now + seconds(0.2));
      co_await wake_.wait(until);
      continue;
    }
    model_.reported();
    last_heartbeat_at_ = now;
    route_.next_heartbeat = now + seconds(fleet_.world.timings.heartbeat_interval_s * (0.75 + 0.5 * fleet_.roll()));
    const auto incarnation = model_.incarnation();
    std::string body = model_.report();
    ++fleet_.traffic.reports;
    fleet_.traffic.report_bytes += body.size();
    bytes_ += body.size();
    std::string to = fleet_.controllers.at(route_.target).users;
    const rt::HttpResult result =
        co_await client_.request(std::move(to), "POST", "/agent/beat", std::move(body), answer_limit);
    // What was under way when it was cut off is lost.
    if (!cut()) take_answer(result, now, incarnation);
  }
}

void HollowWorker::take_answer(const rt::HttpResult& result, Time sent, std::uint64_t incarnation) {
  const Time now = fleet_.loop.update_time();
  const bool in_time = result.outcome == rt::Outcome::answered && now - sent <= answer_limit;
  const json body = in_time ? json::parse(result.body, nullptr, false) : json{};
  fleet_.traffic.answer_bytes += result.body.size();
  bytes_ += result.body.size();
  if (!route_.follow(in_time ? result.status : 0, body, fleet_.names, now)) return;
  ++fleet_.traffic.answered;
  model_.take_answer(body, incarnation, sent, now);
}

rt::Task<rt::HttpResponse> HollowWorker::serve(rt::HttpMessage request) {
  const Time now = fleet_.loop.update_time();
  if (!model_.up(now) || cut()) {
    co_await fleet_.loop.sleep(answer_limit);
    co_return rt::HttpResponse{503, "{}", {}, true};
  }
  if (request.target == "/inspect") co_return rt::HttpResponse{200, model_.report(), {}, false};
  const json body = json::parse(request.body, nullptr, false);
  auto reply = model_.commands(body, now);
  ++fleet_.traffic.commands;
  fleet_.traffic.command_bytes += request.body.size() + reply.body.size();
  bytes_ += request.body.size() + reply.body.size();
  wake_if_changed();
  co_return rt::HttpResponse{reply.status, std::move(reply.body), {}, false};
}

}  // namespace martenwall::scale
