#include "scale/balancer.hpp"

#include <algorithm>

namespace martenwall::scale {

namespace {

constexpr std::size_t most_open = 4000;
constexpr std::size_t most_body = 1024 * 1024;
constexpr std::size_t tries = 3;
constexpr int failures_to_leave = 2, successes_to_return = 2;
constexpr Duration probe_every = seconds(1), probe_limit = seconds(1);

}  // namespace

Balancer::Balancer(rt::Loop& loop, const std::vector<ControllerAddress>& controllers)
    : loop_(loop), client_(loop, most_open, most_body, 0) {
  for (const auto& c : controllers) nodes_.push_back({c.users});
}

std::size_t Balancer::healthy() const {
  return static_cast<std::size_t>(std::ranges::count_if(nodes_, &Node::healthy));
}

rt::Task<void> Balancer::probe(std::size_t node) {
  for (;;) {
    std::string to = nodes_.at(node).address;
    const rt::HttpResult r = co_await client_.request(std::move(to), "GET", "/up", "", probe_limit);
    auto& n = nodes_.at(node);
    n.failures = r.ok() ? 0 : n.failures + 1;
    n.successes = r.ok() ? n.successes + 1 : 0;
    if (n.failures >= failures_to_leave) n.healthy = false;
    if (r.ok() && (!n.ever_healthy || n.successes >= successes_to_return)) n.healthy = n.ever_healthy = true;
    co_await loop_.sleep(probe_every);
  }
}

std::size_t Balancer::pick(const std::vector<std::size_t>& tried) const {
  std::size_t best = nodes_.size();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].healthy || std::ranges::find(tried, i) != tried.end()) continue;
    if (best == nodes_.size() || nodes_[i].open < nodes_[best].open) best = i;
  }
  return best;
}

rt::Task<rt::HttpResult> Balancer::request(std::string method, std::string target, std::string body, Duration limit) {
  rt::HttpResult result;
  std::vector<std::size_t> tried;
  while (tried.size() < tries) {
    const auto at = pick(tried);
    if (at == nodes_.size()) break;
    tried.push_back(at);
    ++nodes_.at(at).open;
    std::string to = nodes_.at(at).address;
    std::string verb = method;
    std::string path = target;
    std::string copy = body;
    result = co_await client_.request(std::move(to), std::move(verb), std::move(path), std::move(copy), limit);
    --nodes_.at(at).open;
    if (result.outcome != rt::Outcome::not_sent) break;
  }
  co_return result;
}

}  // namespace martenwall::scale
