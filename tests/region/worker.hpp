// The region's workers: the stand-in's model of a machine behind HTTP, with what goes wrong on the way.
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

// What a worker needs of the region.
struct Environment {
  rt::Loop& loop;
  stand_ins::WorkerContext world;
  std::vector<std::string> controllers;                            // names
  std::function<std::optional<std::string>(std::size_t)> address;  // of a controller; nothing: refused
  std::function<double()> roll;                                    // 0 to 1
  std::size_t late_copies = 0;                                     // that a controller answered with 200
  double late_heartbeats = 0;      // share of reports of which a copy comes again, from 2 s to well over a lease later
  double retained_heartbeats = 0;  // share of reports of which a copy is kept for the next leader
  double retained_for_s = 0;       // once it has begun
  std::vector<std::string> retained{};
  double fetch_s = 0.5, fetch_more_s = 1.5;  // an image takes the first, and up to the second more
};

// One worker over HTTP on loopback, with injectable network faults.
class Worker {
 public:
  Worker(Environment& environment, MachineId id, std::string zone, bool spot, Time boots);
  void run();                                                     // its loops
  void tick() { model_.tick(environment_.loop.now(), hangs()); }  // tasks, and the end of its lease
  void take_away() { model_.take_away(); }

  [[nodiscard]] stand_ins::WorkerModel& model() { return model_; }
  [[nodiscard]] const MachineId& id() const { return model_.traits().id; }
  [[nodiscard]] const std::string& endpoint() const { return model_.traits().endpoint; }
  [[nodiscard]] const std::string& zone() const { return model_.traits().zone; }
  [[nodiscard]] bool spot() const { return model_.traits().spot; }
  [[nodiscard]] bool up() const { return model_.up(environment_.loop.now()); }
  [[nodiscard]] bool gone() const { return model_.gone(); }
  // Tokens of the answers that renewed its lease, and when.
  [[nodiscard]] const std::vector<std::pair<Time, std::uint64_t>>& renewals() const { return renewals_; }
  [[nodiscard]] bool busy() const { return model_.busy(); }
  [[nodiscard]] double free_gpus() const { return model_.free().gpus; }
  [[nodiscard]] std::uint64_t token() const { return model_.token(); }
  // Nothing is wrong with it, so that work may be expected to begin there.
  [[nodiscard]] bool is_healthy() const;
  [[nodiscard]] bool has(const JobId& job) const { return model_.has(job); }
  [[nodiscard]] std::size_t executed_late() const { return executed_late_; }  // commands, after their sender gave up
  [[nodiscard]] bool hangs() const { return environment_.loop.now() < hangs_until_; }

  void lose_downlink(Duration time) {
    downlink_lost_until_ = environment_.loop.now() + time;
  }                                                                            // answers and commands are lost
  void hang(Duration time) { hangs_until_ = environment_.loop.now() + time; }  // commands wait meanwhile
  // It opens no connection to any controller; commands reach it.
  void lose_uplink(Duration time) { silent_until_ = environment_.loop.now() + time; }
  void lose_everyone(Duration time) { cut_until_ = environment_.loop.now() + time; }
  // It reaches this controller alone, and no command reaches it.
  void confine_to(std::size_t controller, Duration time) {
    route_.target = confined_to_ = controller;
    confined_until_ = environment_.loop.now() + time;
  }
  // Commands with a start are held for so long before they are executed; once.
  void hold_next_start(Duration time) { hold_start_ = time; }

 private:
  rt::Task<void> heartbeat_loop();
  rt::Task<void> send_late(std::string body);
  rt::Task<rt::HttpResponse> serve(rt::HttpMessage request);
  void take_answer(const rt::HttpResult& result, Time sent, std::uint64_t incarnation);
  [[nodiscard]] std::string address() const;  // of the controller that it reports to; empty: not reached
  [[nodiscard]] bool is_confined() const { return environment_.loop.now() < confined_until_; }

  Environment& environment_;
  stand_ins::WorkerModel model_;
  stand_ins::HeartbeatRoute route_;
  Time last_heartbeat_at_{};
  Time downlink_lost_until_{}, hangs_until_{}, cut_until_{};
  std::optional<Duration> hold_start_;
  Time confined_until_{}, silent_until_{};
  std::size_t confined_to_ = 0, executed_late_ = 0;
  std::vector<std::pair<Time, std::uint64_t>> renewals_;
  rt::HttpClient client_;
  rt::HttpServer server_;
};

}  // namespace martenwall::region
