#include "worker.hpp"

#include <algorithm>

namespace martenwall::region {

namespace {

using nlohmann::json;

constexpr Duration response_timeout = seconds(4);
constexpr Duration min_heartbeat_gap = seconds(0.5);
constexpr Duration poll_interval = seconds(0.1);
constexpr Resources machine_capacity{48, 4, 288};

}  // namespace

Worker::Worker(Environment& environment, MachineId id, std::string zone, bool spot, Time boots)
    : environment_(environment),
      model_(environment.world, {std::move(id), "", "big", std::move(zone), spot, machine_capacity}, boots),
      client_(environment.loop, 8, 1024 * 1024, 4),
      server_(environment.loop, *rt::Endpoint::parse("127.0.0.1:0"), {},
              [this](rt::HttpMessage m) { return serve(std::move(m)); }) {
  model_.set_endpoint("127.0.0.1:" + std::to_string(server_.port()));
  route_.next_heartbeat = boots;
  route_.target = static_cast<std::size_t>(environment_.roll() * static_cast<double>(environment_.controllers.size()));
}

std::string Worker::address() const {
  const bool cut = environment_.loop.now() < std::max(cut_until_, uplink_lost_until_) ||
                   (is_confined() && route_.target != confined_to_);
  return cut ? "" : environment_.address(route_.target).value_or("");
}

void Worker::run() {
  rt::spawn(server_.serve());
  rt::spawn(heartbeat_loop());
}

bool Worker::is_healthy() const {
  const Time now = environment_.loop.now();
  return up() && now >= std::max({downlink_lost_until_, hangs_until_, cut_until_, confined_until_, uplink_lost_until_});
}

rt::Task<void> Worker::send_late(std::string body) {
  const double max_delay_s = 1.5 * environment_.world.timings.lease_s;
  co_await environment_.loop.sleep(seconds(2 + environment_.roll() * (max_delay_s - 2)));
  const auto to = static_cast<std::size_t>(environment_.roll() * static_cast<double>(environment_.controllers.size()));
  const auto address = environment_.address(to);
  if (!address) co_return;
  const auto r = co_await client_.request(*address, "POST", "/agent/beat", std::move(body), response_timeout);
  if (r.ok()) ++environment_.late_copies;
}

rt::Task<void> Worker::heartbeat_loop() {
  while (!gone()) {
    const Time now = environment_.loop.now();
    const bool due =
        now >= route_.next_heartbeat || (model_.changed() && now >= last_heartbeat_at_ + min_heartbeat_gap);
    if (!up() || hangs() || !due) {
      co_await environment_.loop.sleep(poll_interval);
      continue;
    }
    model_.reported();
    last_heartbeat_at_ = now;
    route_.next_heartbeat =
        now + seconds(environment_.world.timings.heartbeat_interval_s * (0.75 + 0.5 * environment_.roll()));
    const auto incarnation = model_.incarnation();
    std::string body = model_.report();
    if (environment_.roll() < environment_.late_heartbeats) {
      std::string copy = body;
      rt::spawn(send_late(std::move(copy)));
    }
    if (environment_.retained_heartbeats > 0 && environment_.roll() < environment_.retained_heartbeats)
      environment_.retained.push_back(body);
    std::string to = address();
    rt::HttpResult result;
    if (!to.empty()) {
      result = co_await client_.request(std::move(to), "POST", "/agent/beat", std::move(body), response_timeout);
    } else if (now < std::max(cut_until_, uplink_lost_until_)) {
      co_await environment_.loop.sleep(response_timeout);
    }
    while (hangs()) co_await environment_.loop.sleep(poll_interval);
    if (environment_.loop.now() < downlink_lost_until_) {
      result = {};  // the response is lost
      co_await environment_.loop.sleep(std::max(Duration{0}, now + response_timeout - environment_.loop.now()));
    }
    apply_response(result, now, incarnation);
  }
}

void Worker::apply_response(const rt::HttpResult& result, Time sent, std::uint64_t incarnation) {
  const Time now = environment_.loop.now();
  const bool in_time = result.outcome == rt::Outcome::answered && now - sent <= response_timeout;
  const json body = in_time ? json::parse(result.body, nullptr, false) : json{};
  if (!route_.follow(in_time ? result.status : 0, body, environment_.controllers, now)) return;
  if (model_.apply_response(body, incarnation, sent, now)) renewals_.emplace_back(now, model_.token());
}

rt::Task<rt::HttpResponse> Worker::serve(rt::HttpMessage request) {
  const Time received_at = environment_.loop.now();
  const bool lost = !up() || received_at < downlink_lost_until_ || received_at < cut_until_ || is_confined();
  if (lost) {
    co_await environment_.loop.sleep(response_timeout);
    co_return rt::HttpResponse{503, "{}", {}, true};
  }
  const json body = json::parse(request.body, nullptr, false);
  const bool starts = body.is_object() && std::ranges::any_of(body.value("orders", json::array()),
                                                              [](const json& o) { return o.at("verb") == "run"; });
  if (hold_start_ && starts) {
    const Duration delay = *std::exchange(hold_start_, std::nullopt);
    co_await environment_.loop.sleep(delay);
  }
  while (hangs()) co_await environment_.loop.sleep(poll_interval);
  if (!up()) co_return rt::HttpResponse{503, "{}", {}, true};
  if (request.target == "/inspect") co_return rt::HttpResponse{200, model_.report(), {}, false};
  const Time now = environment_.loop.now();
  auto reply = model_.commands(body, now);
  if (reply.executed && now - received_at > seconds(2)) ++executed_late_;
  if (reply.executed && starts) executed_starts_.push_back(body);
  co_return rt::HttpResponse{reply.status, std::move(reply.body), {}, false};
}

}  // namespace martenwall::region
