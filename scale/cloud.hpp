// The cloud of one cell: hires and takes back hollow workers.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/http_server.hpp"
#include "scale/hollow_worker.hpp"

namespace martenwall::scale {

// The provider's API over HTTP: flavors, scale-out, release and list of machines.
class Cloud {
 public:
  Cloud(rt::Loop& loop, const CellPlan& plan, WorkerFleet& fleet);
  void run();  // its loops, spawned; the machines that are up at the start
  [[nodiscard]] const std::vector<std::unique_ptr<HollowWorker>>& workers() const { return workers_; }
  [[nodiscard]] std::size_t calls() const { return calls_; }

 private:
  rt::Task<rt::HttpResponse> handle(rt::HttpMessage request);
  rt::HttpResponse scale_out(const nlohmann::json& wanted);
  rt::HttpResponse release(const nlohmann::json& wanted);
  [[nodiscard]] rt::HttpResponse list(const std::string& target) const;
  HollowWorker& add(const MachineType& type, const std::string& zone, bool spot, Time boots);

  rt::Loop& loop_;
  const CellPlan& plan_;
  WorkerFleet& fleet_;
  rt::HttpServer server_;
  std::vector<std::unique_ptr<HollowWorker>> workers_;      // in the order of their names
  std::map<std::string, std::size_t> spare_;                // by type
  std::map<std::string, std::string> scale_out_responses_;  // answers, by the request's name
  std::size_t calls_ = 0;
};

}  // namespace martenwall::scale
