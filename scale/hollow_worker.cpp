#include "scale/hollow_worker.hpp"

#include <algorithm>

namespace martenwall::scale {

namespace {

using nlohmann::json;

// PROTOCOL, "Workers -> controller nodes".
constexpr Duration response_timeout = seconds(4);
constexpr Duration min_heartbeat_gap = seconds(0.5);
constexpr std::size_t max_response_bytes = 256 * 1024;
constexpr std::size_t max_command_connections = 8;  // concurrent connections of controllers

rt::HttpServer::Limits server_limits() {
  rt::HttpServer::Limits limits;
  limits.max_connections = max_command_connections;
  return limits;
}

}  // namespace

HollowWorker::HollowWorker(WorkerFleet& fleet, stand_ins::MachineTraits traits, Time boot_time)
    : fleet_(fleet),
      model_(fleet.context, std::move(traits), boot_time),
      wake_(fleet.loop),
      client_(fleet.loop, 2, max_response_bytes, 1),
      server_(fleet.loop, *rt::Endpoint::parse("127.0.0.1:0"), server_limits(),
              [this](rt::HttpMessage m) { return serve(std::move(m)); }) {
  model_.set_endpoint("127.0.0.1:" + std::to_string(server_.port()));
  route_.next_heartbeat = boot_time;
  route_.target = static_cast<std::size_t>(fleet_.uniform() * static_cast<double>(fleet_.controllers.size()));
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
    const Time earliest =
        model_.changed() ? std::max(last_heartbeat_at_ + min_heartbeat_gap, Time{}) : route_.next_heartbeat;
    const Time due =
        std::max({std::min(route_.next_heartbeat, earliest), partitioned_until_, last_heartbeat_at_ + Duration{1}});
    if (!model_.up(now) || now < due) {
      const Time until = model_.up(now) ? due : std::max(due, now + seconds(0.2));
      co_await wake_.wait(until);
      continue;
    }
    model_.reported();
    last_heartbeat_at_ = now;
    route_.next_heartbeat =
        now + seconds(fleet_.context.timings.heartbeat_interval_s * (0.75 + 0.5 * fleet_.uniform()));
    const auto incarnation = model_.incarnation();
    std::string body = model_.report();
    ++fleet_.traffic.reports;
    fleet_.traffic.report_bytes += body.size();
    bytes_ += body.size();
    std::string address = fleet_.controllers.at(route_.target).users;
    const rt::HttpResult result =
        co_await client_.request(std::move(address), "POST", "/agent/beat", std::move(body), response_timeout);
    // Messages in flight when the partition began are lost.
    if (!partitioned()) handle_heartbeat_response(result, now, incarnation);
  }
}

void HollowWorker::handle_heartbeat_response(const rt::HttpResult& result, Time sent, std::uint64_t incarnation) {
  const Time now = fleet_.loop.update_time();
  const bool in_time = result.outcome == rt::Outcome::answered && now - sent <= response_timeout;
  const json body = in_time ? json::parse(result.body, nullptr, false) : json{};
  fleet_.traffic.answer_bytes += result.body.size();
  bytes_ += result.body.size();
  if (!route_.follow(in_time ? result.status : 0, body, fleet_.controller_names, now)) return;
  ++fleet_.traffic.answered;
  model_.apply_response(body, incarnation, sent, now);
}

rt::Task<rt::HttpResponse> HollowWorker::serve(rt::HttpMessage request) {
  const Time now = fleet_.loop.update_time();
  if (!model_.up(now) || partitioned()) {
    co_await fleet_.loop.sleep(response_timeout);
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
