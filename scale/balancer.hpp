// Load balancer for users as specified in PROTOCOL: health checks with /up, least connections, up to three attempts.
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
  // Checks the health of a node once a second, without end.
  rt::Task<void> probe(std::size_t node);
  // Sends the request to a healthy node. The result is `not_sent` if no healthy node could be reached.
  rt::Task<rt::HttpResult> request(std::string method, std::string target, std::string body, Duration timeout);
  // Returns the number of healthy nodes.
  [[nodiscard]] std::size_t healthy() const;
  [[nodiscard]] std::size_t nodes() const { return nodes_.size(); }

 private:
  struct Node {
    std::string address;
    bool healthy = false, ever_healthy = false;
    int failures = 0, successes = 0;  // consecutive
    std::size_t open_requests = 0;
  };
  // Returns the healthy node with the fewest open requests that is not in `tried`, or nodes_.size() if there is none.
  [[nodiscard]] std::size_t least_loaded(const std::vector<std::size_t>& tried) const;

  rt::Loop& loop_;
  rt::HttpClient client_;
  std::vector<Node> nodes_;
};

}  // namespace martenwall::scale
