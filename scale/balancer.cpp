#include "scale/balancer.hpp"

#include <algorithm>

namespace martenwall::scale {

namespace {

constexpr std::size_t max_open_requests = 4000;
constexpr std::size_t max_body_bytes = 1024 * 1024;
constexpr std::size_t max_attempts = 3;
constexpr int unhealthy_threshold = 2, healthy_threshold = 2;
constexpr Duration probe_interval = seconds(1), probe_timeout = seconds(1);

}  // namespace

Balancer::Balancer(rt::Loop& loop, const std::vector<ControllerAddress>& controllers)
    : loop_(loop), client_(loop, max_open_requests, max_body_bytes, 0) {
  for (const auto& c : controllers) nodes_.push_back({c.users});
}

std::size_t Balancer::healthy() const {
  return static_cast<std::size_t>(std::ranges::count_if(nodes_, &Node::healthy));
}

rt::Task<void> Balancer::probe(std::size_t node) {
  for (;;) {
    std::string address = nodes_.at(node).address;
    const rt::HttpResult response = co_await client_.request(std::move(address), "GET", "/up", "", probe_timeout);
    auto& state = nodes_.at(node);
    state.failures = response.ok() ? 0 : state.failures + 1;
    state.successes = response.ok() ? state.successes + 1 : 0;
    if (state.failures >= unhealthy_threshold) state.healthy = false;
    if (response.ok() && (!state.ever_healthy || state.successes >= healthy_threshold))
      state.healthy = state.ever_healthy = true;
    co_await loop_.sleep(probe_interval);
  }
}

std::size_t Balancer::least_loaded(const std::vector<std::size_t>& tried) const {
  std::size_t best = nodes_.size();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].healthy || std::ranges::find(tried, i) != tried.end()) continue;
    if (best == nodes_.size() || nodes_[i].open_requests < nodes_[best].open_requests) best = i;
  }
  return best;
}

rt::Task<rt::HttpResult> Balancer::request(std::string method, std::string target, std::string body, Duration timeout) {
  rt::HttpResult result;
  std::vector<std::size_t> tried;
  while (tried.size() < max_attempts) {
    const auto index = least_loaded(tried);
    if (index == nodes_.size()) break;
    tried.push_back(index);
    ++nodes_.at(index).open_requests;
    std::string address = nodes_.at(index).address;
    std::string verb = method;
    std::string path = target;
    std::string body_copy = body;
    result =
        co_await client_.request(std::move(address), std::move(verb), std::move(path), std::move(body_copy), timeout);
    --nodes_.at(index).open_requests;
    if (result.outcome != rt::Outcome::not_sent) break;
  }
  co_return result;
}

}  // namespace martenwall::scale
