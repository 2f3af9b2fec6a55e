#include <spdlog/sinks/base_sink.h>

#include <algorithm>
#include <array>

#include "addresses.hpp"
#include "region.hpp"

namespace martenwall::region {

namespace {

class LogSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  LogSink(std::vector<std::string>& to, const Time& now) : to_(to), now_(now) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& msg) override {
    to_.push_back(std::to_string(to_seconds(now_.time_since_epoch())) + " " +
                  std::string{msg.payload.data(), msg.payload.size()});
  }
  void flush_() override {}

 private:
  std::vector<std::string>& to_;
  const Time& now_;
};

}  // namespace

config::Settings Region::settings_of(std::size_t c) const {
  config::Settings s;
  s.node = controllers_.at(c).name;
  s.zone = std::string{"a"};
  s.listen = s.peer_listen = "127.0.0.1:0";
  for (std::size_t other = 0; other < controllers_.size(); ++other) {
    if (other == c) continue;
    s.peers.push_back({controllers_.at(other).name, "b", at_port(controllers_.at(other).links.at(c)->port())});
  }
  s.cloud = at_port(cloud_.port());
  s.state = at_port(controllers_.at(c).store_server->port());
  s.teams = {{"red", {0, 16, 0}, {0, options_.team_gpus, 0}}};
  s.objectives = {{"wait", "x", 10, 0.9, 1}};
  s.workers = options_.timings;
  s.state_rps = 300;
  s.state_write_rps = std::min(120.0, options_.write_rps);
  s.state_value_bytes = static_cast<std::size_t>(options_.value_bytes);
  s.state_txn_ops = options_.txn_ops;
  s.cloud_rps = options_.cloud_rps;
  s.cloud_list_lag = seconds(1);
  s.max_connections = 400;
  return s;
}

void Region::start(std::size_t c) {
  auto& n = controllers_.at(c);
  const Time began = now_;
  auto clock = [this, began, rate = 1 + n.drift] { return began + seconds(to_seconds(now_ - began) * rate); };
  n.process = std::make_unique<Process>(clock);
  Policy policy;
  policy.relay_heartbeats = options_.relay;
  auto log = std::make_shared<spdlog::logger>(n.name, std::make_shared<LogSink>(n.log, now_));
  log->set_level(spdlog::level::debug);  // tests match log lines of single tasks
  n.process->node = std::make_unique<service::Node>(n.process->loop, settings_of(c), policy, log);
  n.process->node->start();
}

// Destroying the loop closes the sockets, as the kernel does at process exit; coroutines are never resumed.
void Region::kill(std::size_t c) {
  controllers_.at(c).process.reset();
  controllers_.at(c).starts_at = Time::max();
}

void Region::kill_for(std::size_t c, double s) {
  kill(c);
  controllers_.at(c).starts_at = now_ + seconds(s);
}

std::optional<std::size_t> Region::leader() const {
  const auto row = store_.value(wire::leader_key);
  if (!row) return std::nullopt;
  for (std::size_t c = 0; c < controllers_.size(); ++c) {
    const auto& n = controllers_.at(c);
    const bool holds = n.process && wire::decode_leader(*row).node == n.name;
    if (holds && n.process->node->context().has_valid_lease()) return c;
  }
  return std::nullopt;
}

std::uint64_t Region::token_of(std::size_t c) const {
  const auto& n = controllers_.at(c);
  return n.process ? n.process->node->context().leadership.token().value() : 0;
}

std::size_t Region::logged(std::size_t c, const std::string& part) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      controllers_.at(c).log, [&](const std::string& line) { return line.find(part) != std::string::npos; }));
}

std::set<MachineId> Region::machines_of(std::size_t c, const JobId& id) const {
  std::set<MachineId> out;
  const auto& scheduler = controllers_.at(c).process->node->context().scheduler;
  const auto* job = scheduler == nullptr ? nullptr : scheduler->find_job(id);
  if (job == nullptr) return out;
  for (const auto& [index, machine] : job->placed) out.insert(machine);
  return out;
}

void Region::cut_zone(const std::string& zone, std::size_t c, double s) {
  store_.faults(c).refuses_until = now_ + seconds(s);
  cut_links(c, s);
  for (auto& w : workers_) {
    if (w->zone() == zone) w->confine_to(c, seconds(s));
  }
}

}  // namespace martenwall::region
