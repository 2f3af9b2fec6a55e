// The region's workers: the worker model behind HTTP, with injected network faults.
#pragma once
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "runtime/http_client.hpp"
#include "runtime/http_server.hpp"
#include "stand_ins/worker_model.hpp"

namespace martenwall::region {

using stand_ins::Ordinal;
using stand_ins::Rules;
using stand_ins::SubmittedJob;

// Parts of the region that workers use, and the faults of their heartbeats.
struct Environment {
  rt::Loop& loop;
  stand_ins::WorkerContext world;
  std::vector<std::string> controllers;                            // controller names
  std::function<std::optional<std::string>(std::size_t)> address;  // of a controller; nothing: connection refused
  std::function<double()> roll;                                    // uniform in [0, 1)
  std::size_t late_copies = 0;                                     // late copies answered with 200
  double late_heartbeats = 0;                                      // share with a duplicate 2 s to 1.5 leases later
  double retained_heartbeats = 0;                                  // share of which a copy is sent to the next leader
  double retained_for_s = 0;                                       // delay after the new leader's election
  std::vector<std::string> retained{};
  double fetch_s = 0.5, max_extra_fetch_s = 1.5;  // fetch time: base, and maximum random addition
};

// One worker over HTTP on loopback, with injectable network faults.
class Worker {
 public:
  Worker(Environment& environment, MachineId id, std::string zone, bool spot, Time boots);
  void run();                                                     // starts the server and the heartbeat loop
  void tick() { model_.tick(environment_.loop.now(), hangs()); }  // advances tasks and lease expiry
  void terminate() { model_.terminate(); }

  [[nodiscard]] stand_ins::WorkerModel& model() { return model_; }
  [[nodiscard]] const MachineId& id() const { return model_.traits().id; }
  [[nodiscard]] const std::string& endpoint() const { return model_.traits().endpoint; }
  [[nodiscard]] const std::string& zone() const { return model_.traits().zone; }
  [[nodiscard]] bool spot() const { return model_.traits().spot; }
  [[nodiscard]] bool up() const { return model_.up(environment_.loop.now()); }
  [[nodiscard]] bool gone() const { return model_.gone(); }
  // Time and token of each response that renewed the lease.
  [[nodiscard]] const std::vector<std::pair<Time, std::uint64_t>>& renewals() const { return renewals_; }
  [[nodiscard]] bool busy() const { return model_.busy(); }
  [[nodiscard]] double free_gpus() const { return model_.free().gpus; }
  [[nodiscard]] std::uint64_t token() const { return model_.token(); }
  // Returns whether it is up and free of injected faults, so that tasks can start on it.
  [[nodiscard]] bool is_healthy() const;
  [[nodiscard]] bool has(const JobId& job) const { return model_.has(job); }
  // Returns the number of command lists executed more than 2 s after arrival, when their sender has timed out.
  [[nodiscard]] std::size_t executed_late() const { return executed_late_; }
  // Returns the bodies of the direct command lists with a start that were executed and answered.
  [[nodiscard]] const std::vector<nlohmann::json>& executed_starts() const { return executed_starts_; }
  // A late copy of a direct command list arrives; its response reaches no one. Returns whether it was executed.
  bool receive_copy(const nlohmann::json& body) { return model_.commands(body, environment_.loop.now()).executed; }
  [[nodiscard]] bool hangs() const { return environment_.loop.now() < hangs_until_; }

  // Responses and commands are lost; heartbeats still arrive.
  void lose_downlink(Duration time) { downlink_lost_until_ = environment_.loop.now() + time; }
  void hang(Duration time) { hangs_until_ = environment_.loop.now() + time; }  // commands wait until then
  // Heartbeats reach no controller; commands still arrive.
  void lose_uplink(Duration time) { uplink_lost_until_ = environment_.loop.now() + time; }
  // Neither heartbeats nor commands get through.
  void lose_network(Duration time) { cut_until_ = environment_.loop.now() + time; }
  // Heartbeats reach this controller only, and no commands arrive.
  void confine_to(std::size_t controller, Duration time) {
    route_.target = confined_to_ = controller;
    confined_until_ = environment_.loop.now() + time;
  }
  // Delays the next command list with a start by `time`.
  void hold_next_start(Duration time) { hold_start_ = time; }

 private:
  rt::Task<void> heartbeat_loop();
  rt::Task<void> send_late(std::string body);
  rt::Task<rt::HttpResponse> serve(rt::HttpMessage request);
  void apply_response(const rt::HttpResult& result, Time sent, std::uint64_t incarnation);
  [[nodiscard]] std::string address() const;  // of the current controller; empty: unreachable
  [[nodiscard]] bool is_confined() const { return environment_.loop.now() < confined_until_; }

  Environment& environment_;
  stand_ins::WorkerModel model_;
  stand_ins::HeartbeatRoute route_;
  Time last_heartbeat_at_{};
  Time downlink_lost_until_{}, hangs_until_{}, cut_until_{};
  std::optional<Duration> hold_start_;
  Time confined_until_{}, uplink_lost_until_{};
  std::size_t confined_to_ = 0, executed_late_ = 0;
  std::vector<std::pair<Time, std::uint64_t>> renewals_;
  std::vector<nlohmann::json> executed_starts_;
  rt::HttpClient client_;
  rt::HttpServer server_;
};

}  // namespace martenwall::region
