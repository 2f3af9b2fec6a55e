// The users' load balancer as PROTOCOL describes it: health by /up, fewest open connections, up to three tries.
#pragma once
#include <string>
#include <vector>

#include "runtime/http_client.hpp"
#include "scale/plan.hpp"

namespace martenwall::scale {

// Distributes users' requests over the healthy controllers.
class Balancer {
 public:
  Balancer(rt::Loop& loop, const std::vector<ControllerAddress>& controllers);
  rt::Task<void> probe(std::size_t node);  // for ever, once a second
  // By way of some healthy node; not sent where there is none.
  rt::Task<rt::HttpResult> request(std::string method, std::string target, std::string body, Duration limit);
  [[nodiscard]] std::size_t healthy() const;
  [[nodiscard]] std::size_t nodes() const { return nodes_.size(); }

 private:
  struct Node {
    std::string address;
    bool healthy = false, ever_healthy = false;
    int failures = 0, successes = 0;  // in a row
    std::size_t open = 0;
  };
  [[nodiscard]] std::size_t pick(const std::vector<std::size_t>& tried) const;  // nodes_.size(): none

  rt::Loop& loop_;
  rt::HttpClient client_;
  std::vector<Node> nodes_;
};

}  // namespace martenwall::scale
