// A worker of the scale run: the stand-in's worker model behind HTTP, in real time. One process runs thousands.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "runtime/http_client.hpp"
#include "runtime/http_server.hpp"
#include "scale/plan.hpp"
#include "stand_ins/worker_model.hpp"

namespace martenwall::scale {

// State that the workers of one process share.
struct WorkerFleet {
  rt::Loop& loop;
  stand_ins::WorkerContext context;
  const std::vector<ControllerAddress>& controllers;
  std::vector<std::string> controller_names;
  std::function<double()> uniform;  // random number from 0 to 1
  struct Traffic {
    std::uint64_t reports = 0, answered = 0, report_bytes = 0, answer_bytes = 0, commands = 0, command_bytes = 0;
  } traffic;
};

// A worker with its HTTP client and server. It sends heartbeats and accepts commands, but runs no programs.
class HollowWorker {
 public:
  HollowWorker(WorkerFleet& fleet, stand_ins::MachineTraits traits, Time boot_time);
  // Starts the server and the heartbeat loop.
  void run();
  // Advances the tasks and the lease.
  void tick() { model_.tick(fleet_.loop.now(), false); }
  // Wakes the heartbeat loop if the state changed.
  void wake_if_changed();
  // Drops all messages to and from the worker for that time.
  void partition_for(Duration time) { partitioned_until_ = fleet_.loop.now() + time; }
  // Restarts the machine: all tasks are lost and the next incarnation begins.
  void restart();
  [[nodiscard]] stand_ins::WorkerModel& model() { return model_; }
  [[nodiscard]] const std::string& zone() const { return model_.traits().zone; }
  // Returns the bytes of heartbeats, commands and the responses to both since the last call.
  std::uint64_t reset_traffic_bytes() { return std::exchange(bytes_, 0); }

 private:
  rt::Task<void> heartbeat_loop();
  rt::Task<rt::HttpResponse> serve(rt::HttpMessage request);
  void handle_heartbeat_response(const rt::HttpResult& result, Time sent, std::uint64_t incarnation);
  [[nodiscard]] bool partitioned() const { return fleet_.loop.now() < partitioned_until_; }

  WorkerFleet& fleet_;
  stand_ins::WorkerModel model_;
  stand_ins::HeartbeatRoute route_;
  Time last_heartbeat_at_{}, partitioned_until_{};
  std::uint64_t bytes_ = 0;
  rt::Event wake_;
  rt::HttpClient client_;
  rt::HttpServer server_;
};

}  // namespace martenwall::scale
