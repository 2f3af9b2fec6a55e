// A worker of the scale run: the stand-in's model behind HTTP, in real time, thousands in a process.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "runtime/http_client.hpp"
#include "runtime/http_server.hpp"
#include "scale/plan.hpp"
#include "stand_ins/worker_model.hpp"

namespace martenwall::scale {

// What the workers of one process share.
struct WorkerFleet {
  rt::Loop& loop;
  stand_ins::WorkerContext world;
  const std::vector<ControllerAddress>& controllers;
  std::vector<std::string> names;  // theirs
  std::function<double()> roll;    // 0 to 1
  struct Traffic {
    std::uint64_t reports = 0, answered = 0, report_bytes = 0, answer_bytes = 0, commands = 0, command_bytes = 0;
  } traffic;
};

// One worker with its HTTP client and server; it sends heartbeats and executes commands, but runs nothing.
class HollowWorker {
 public:
  HollowWorker(WorkerFleet& fleet, stand_ins::MachineTraits traits, Time boots);
  void run();                                                             // its loops, spawned
  void tick() { model_.tick(fleet_.loop.now(), false); }                  // tasks, and the end of its lease
  void wake_if_changed();                                                 // so that it reports
  void cut_for(Duration time) { cut_until_ = fleet_.loop.now() + time; }  // no one reaches it, it reaches no one
  // The machine starts anew: all tasks are gone, the next incarnation begins.
  void restart();
  [[nodiscard]] stand_ins::WorkerModel& model() { return model_; }
  [[nodiscard]] const std::string& zone() const { return model_.traits().zone; }
  // Bytes of its reports and their answers, commands and theirs, since the last call.
  std::uint64_t take_bytes() { return std::exchange(bytes_, 0); }

 private:
  rt::Task<void> heartbeat_loop();
  rt::Task<rt::HttpResponse> serve(rt::HttpMessage request);
  void take_answer(const rt::HttpResult& result, Time sent, std::uint64_t incarnation);
  [[nodiscard]] bool cut() const { return fleet_.loop.now() < cut_until_; }

  WorkerFleet& fleet_;
  stand_ins::WorkerModel model_;
  stand_ins::HeartbeatRoute route_;
  Time last_heartbeat_at_{}, cut_until_{};
  std::uint64_t bytes_ = 0;
  rt::Event wake_;
  rt::HttpClient client_;
  rt::HttpServer server_;
};

}  // namespace martenwall::scale
