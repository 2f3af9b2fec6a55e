// The cloud of one cell: creates and releases hollow workers.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/http_server.hpp"
#include "scale/hollow_worker.hpp"

namespace martenwall::scale {

// Serves the provider's API over HTTP: flavors, scale-out, release and list of machines.
class Cloud {
 public:
  Cloud(rt::Loop& loop, const CellPlan& plan, WorkerFleet& fleet);
  // Starts the server and adds the machines that are up at the start.
  void run();
  [[nodiscard]] const std::vector<std::unique_ptr<HollowWorker>>& workers() const { return workers_; }
  // Returns the number of API calls.
  [[nodiscard]] std::size_t calls() const { return calls_; }

 private:
  rt::Task<rt::HttpResponse> handle(rt::HttpMessage request);
  rt::HttpResponse scale_out(const nlohmann::json& body);
  rt::HttpResponse release(const nlohmann::json& body);
  [[nodiscard]] rt::HttpResponse list(const std::string& target) const;
  HollowWorker& add(const MachineType& type, const std::string& zone, bool spot, Time boot_time);

  rt::Loop& loop_;
  const CellPlan& plan_;
  WorkerFleet& fleet_;
  rt::HttpServer server_;
  std::vector<std::unique_ptr<HollowWorker>> workers_;      // ordered by name
  std::map<std::string, std::size_t> spare_;                // by machine type
  std::map<std::string, std::string> scale_out_responses_;  // response bodies by request name
  std::size_t calls_ = 0;
};

}  // namespace martenwall::scale
