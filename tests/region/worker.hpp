// Stand-in for a machine's worker: reports, leases, tokens, sessions and tasks as PROTOCOL describes them.
#pragma once
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "rules.hpp"
#include "runtime/http_client.hpp"
#include "runtime/http_server.hpp"

namespace martenwall::region {

// What a worker needs of the region.
struct Environment {
  rt::Loop& loop;
  Rules& rules;
  WorkerTerms terms;
  std::vector<std::string> controllers;                            // names
  std::function<std::optional<std::string>(std::size_t)> address;  // of a controller; nothing: refused
  std::function<double()> roll;                                    // 0 to 1
  std::size_t late_copies = 0;                                     // that a controller answered with 200
  double late_reports = 0;  // share of reports of which a copy comes again, from 2 s to well over a lease later
  double kept_reports = 0;  // share of reports of which a copy is kept for the next leader
  double kept_for_s = 0;    // once it has begun
  std::vector<std::string> kept{};
  double fetch_s = 0.5, fetch_more_s = 1.5;  // an image takes the first, and up to the second more
};

class Worker {
 public:
  Worker(Environment& environment, MachineId id, std::string zone, bool spot, Time boots);
  void run();   // its loops
  void tick();  // tasks, and the end of its lease
  void take_away();

  [[nodiscard]] const MachineId& id() const { return id_; }
  [[nodiscard]] std::string endpoint() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] bool spot() const { return spot_; }
  [[nodiscard]] bool up() const;
  [[nodiscard]] bool gone() const { return gone_; }
  // Tokens of the answers that renewed its lease, and when.
  [[nodiscard]] const std::vector<std::pair<Time, std::uint64_t>>& renewals() const { return renewals_; }
  [[nodiscard]] bool busy() const;
  [[nodiscard]] double free_gpus() const;
  [[nodiscard]] std::uint64_t token() const { return token_; }
  // Nothing is wrong with it, so that work may be expected to begin there.
  [[nodiscard]] bool sound() const;
  [[nodiscard]] bool has(const JobId& job) const;                             // a task of it, in any state but ended
  [[nodiscard]] std::size_t executed_late() const { return executed_late_; }  // commands, after their sender gave up

  void go_deaf(Duration time) { deaf_until_ = environment_.loop.now() + time; }  // answers and commands are lost
  void hang(Duration time) { hangs_until_ = environment_.loop.now() + time; }    // commands wait meanwhile
  // It opens no connection to any controller; commands reach it.
  void go_mute(Duration time) { silent_until_ = environment_.loop.now() + time; }
  void lose_everyone(Duration time) { cut_until_ = environment_.loop.now() + time; }
  // It reaches this controller alone, and no command reaches it.
  void keep_to(std::size_t controller, Duration time) {
    target_ = kept_ = controller;
    kept_until_ = environment_.loop.now() + time;
  }
  // Commands with a start are held for so long before they are executed; once.
  void hold_next_start(Duration time) { hold_start_ = time; }

 private:
  struct OnMachine {
    std::string phase = "fetching", cause;
    bool saved = false;
    Time since{}, until{};
    std::optional<Time> peer_lost;
  };
  using Key = std::pair<TaskId, std::uint64_t>;  // with the attempt
  rt::Task<void> report_loop();
  rt::Task<void> send_late(std::string body);
  rt::Task<rt::HttpResponse> serve(rt::HttpMessage request);
  void take_answer(const rt::HttpResult& result, Time sent, std::uint64_t session);
  void execute(const nlohmann::json& orders);
  void begin_task(const Key& key);
  void stop_task(OnMachine& t, const Key& key, double grace_s);
  void end_task(OnMachine& t, const Key& key, const char* cause);
  void step_task(const Key& key, OnMachine& t);
  [[nodiscard]] std::string report();
  [[nodiscard]] std::string address() const;  // of the controller that it reports to; empty: not reached
  [[nodiscard]] bool kept() const { return environment_.loop.now() < kept_until_; }
  [[nodiscard]] bool hangs() const { return environment_.loop.now() < hangs_until_; }
  [[nodiscard]] std::size_t gang_members(const Key& of, const char* phase) const;
  void change() { changed_ = true; }
  friend class Gangs;

  Environment& environment_;
  MachineId id_;
  std::string zone_;
  bool spot_;
  Time boots_;
  bool gone_ = false;
  std::uint64_t session_ = 1, tick_ = 0, token_ = 0;
  Time last_ok_{}, next_report_{}, last_report_{};
  Time deaf_until_{}, hangs_until_{}, cut_until_{};
  std::optional<Duration> hold_start_;
  Time kept_until_{}, silent_until_{};
  std::size_t target_ = 0, kept_ = 0, executed_late_ = 0;
  bool changed_ = false;
  std::map<Key, OnMachine> tasks_;
  std::vector<std::pair<Time, std::uint64_t>> renewals_;
  rt::HttpClient client_;
  rt::HttpServer server_;
};

// The tasks of a gang find one another by their attempt, wherever they are.
class Gangs {
 public:
  static void step(std::vector<std::unique_ptr<Worker>>& workers);
};

}  // namespace martenwall::region
