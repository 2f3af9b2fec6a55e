// A region on loopback in virtual time: controllers running the production node code, each with its own event loop and
// drifting clock, and stand-ins for the state service, the cloud, workers and users. The clock advances only when no
// event is pending, so that minutes take seconds and results do not depend on the speed of the machine.
#pragma once
#include <spdlog/logger.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "service/node.hpp"
#include "store.hpp"
#include "wire/configuration_codec.hpp"
#include "worker.hpp"

namespace martenwall::region {

constexpr Duration poll_interval = seconds(0.05);

// Size and limits of a region; the defaults suit most tests.
struct RegionOptions {
  std::size_t controllers = 3, machines = 8;
  bool relay = true;
  WorkerTimings timings{2, 10, 30, 3, 24};
  double team_gpus = 1000;
  double cloud_rps = 10;
  double boot_s = 4;
  std::size_t max_machines = 40;
  double write_rps = 1e9;            // key changes per second that the store accepts
  std::size_t txn_ops = 48;          // changes that the controllers put into one transaction at most
  double value_bytes = 32.0 * 1024;  // size limit of a value that the controllers keep to
};

// Controllers and stand-ins of one region, advanced together in virtual time.
class Region {
 public:
  Region(std::uint64_t seed, RegionOptions options);
  ~Region() = default;
  Region(const Region&) = delete;
  Region& operator=(const Region&) = delete;
  Region(Region&&) = delete;
  Region& operator=(Region&&) = delete;

  void run(double seconds_long);
  // Runs until the condition holds. Returns false if it does not hold within the time.
  bool run_until(double timeout_s, const std::function<bool()>& condition);

  // Controllers.
  // Kills the process; its coroutines are never resumed.
  void kill(std::size_t c);
  void kill_for(std::size_t c, double s);  // starts a new process after `s` seconds
  void start(std::size_t c);               // starts a new process
  void freeze(std::size_t c, double s) { controllers_.at(c).frozen_until = now_ + seconds(s); }
  void cut_links(std::size_t c, double s) { controllers_.at(c).links_cut_until = now_ + seconds(s); }
  // Partitions a zone's workers and this controller from everything else; they still reach each other.
  void cut_zone(const std::string& zone, std::size_t c, double s);
  [[nodiscard]] std::optional<std::size_t> leader() const;  // holds the leader key and a valid lease
  [[nodiscard]] std::uint64_t token_of(std::size_t c) const;
  [[nodiscard]] const service::Context& context(std::size_t c) const {
    return controllers_.at(c).process->node->context();
  }
  [[nodiscard]] bool runs(std::size_t c) const { return controllers_.at(c).process != nullptr; }
  [[nodiscard]] const std::vector<std::string>& log(std::size_t c) const { return controllers_.at(c).log; }
  [[nodiscard]] std::size_t logged(std::size_t c,
                                   const std::string& part) const;  // matching log lines of all its processes

  // Users: a job's user submits it, polls until it ends, and cancels on request.
  JobId submit(JobSpec spec, double run_s);
  JobId submit_array(std::uint32_t tasks, double run_s, std::optional<std::size_t> at = {});
  void cancel(const JobId& id, std::vector<std::size_t> at);  // retries these controllers in turn
  void poll_at(const JobId& id, std::vector<std::size_t> at) { users_.at(id).at = std::move(at); }
  void poll_once(const JobId& id, std::size_t at) { rt::spawn(poll(id, at)); }
  void submit_copy(const JobId& id, std::size_t at) { rt::spawn(resubmit(id, at)); }
  // Makes all users query all controllers repeatedly within milliseconds, and repeat submissions and cancellations,
  // right after a job is reported accepted, done or cancelled. `cancel_share`: share of jobs cancelled on acceptance.
  void query_intensively(double cancel_share = 0);
  // Cancels, polls and resubmits that share of the jobs at the moment of their end.
  void cancel_at_end(double share);
  // Returns this controller's response to an operator's command, or nothing if there is none in time.
  std::optional<wire::PeerReply> configure(std::size_t at, wire::ConfigurationRequest request);
  // Sends the same command without waiting for the response.
  void configure_later(std::size_t at, wire::ConfigurationRequest request);
  // Sends one user request that the rules do not track, and returns its response.
  rt::HttpResult request(std::size_t at, std::string method, std::string target, std::string body);
  [[nodiscard]] std::size_t intensive_queries() const {
    return intensive_queries_;
  }  // polls sent by `query_intensively`
  // Returns the machines on which this leader's state places tasks of the job.
  [[nodiscard]] std::set<MachineId> machines_of(std::size_t c, const JobId& id) const;
  // Returns whether all accepted jobs are reported done or cancelled.
  [[nodiscard]] bool all_ended() const;
  [[nodiscard]] std::string violations() const;
  [[nodiscard]] std::string unfinished() const;  // accepted jobs that have not ended

  [[nodiscard]] Store& store() { return store_; }
  [[nodiscard]] Rules& rules() { return rules_; }
  [[nodiscard]] std::vector<std::unique_ptr<Worker>>& workers() { return workers_; }
  [[nodiscard]] Environment& environment() { return environment_; }
  [[nodiscard]] Time now() const { return now_; }
  double roll() { return std::uniform_real_distribution<>{0, 1}(random_); }
  [[nodiscard]] std::size_t controllers() const { return controllers_.size(); }
  [[nodiscard]] std::size_t pick() {
    return static_cast<std::size_t>(roll() * static_cast<double>(options_.controllers));
  }
  [[nodiscard]] std::size_t other_controller(std::size_t c, std::size_t step) const {
    return (c + step) % options_.controllers;
  }
  [[nodiscard]] std::size_t released_busy() const { return released_busy_; }  // machines released while they had tasks

 private:
  struct Process {
    rt::Loop loop;
    std::unique_ptr<service::Node> node;
    explicit Process(rt::Loop::Clock clock) : loop(std::move(clock)) {}
  };
  struct Controller {
    std::string name;
    double drift = 0;
    std::unique_ptr<Process> process;
    std::unique_ptr<rt::HttpServer> store_server;
    std::vector<std::unique_ptr<rt::Listener>> links;  // one per other controller, for its connections to this one
    Time frozen_until{}, links_cut_until{}, starts_at{};
    std::vector<std::string> log;
  };
  struct User {
    std::vector<std::size_t> at;  // controllers that it queries in turn; empty: any
    std::size_t next = 0;
    bool is_cancelling = false;
    std::vector<std::size_t> cancels_at;
  };
  bool poll_loops();  // polls each loop once; false if none had an event
  [[nodiscard]] config::Settings settings_of(std::size_t c) const;
  rt::Task<void> accept_links(std::size_t from, std::size_t to, rt::Listener& listener);
  rt::Task<void> forward_connection(rt::Socket from, std::size_t a, std::size_t b);
  rt::Task<void> forward_bytes(std::shared_ptr<rt::Socket> from, std::shared_ptr<rt::Socket> to, std::size_t a,
                               std::size_t b);
  [[nodiscard]] bool linked(std::size_t a, std::size_t b) const;
  struct PeerResponse {
    std::optional<wire::PeerReply> reply;
    bool ended = false;
  };
  rt::Task<void> call_peer(std::size_t at, wire::ConfigurationRequest request, std::shared_ptr<PeerResponse> response);
  rt::Task<void> ticks();
  rt::Task<void> user(JobId id);
  rt::Task<void> poll(JobId id, std::size_t at);
  rt::Task<void> resubmit(JobId id, std::size_t at);
  rt::Task<void> poll_repeatedly(JobId id);
  rt::Task<void> cancel_once(JobId id, std::size_t at);
  rt::Task<void> deliver_retained(std::string body, std::size_t at);
  void watch_leader();
  void check_waiting_jobs();
  [[nodiscard]] bool could_start(const SubmittedJob& work) const;
  rt::Task<void> cancel_until_answered(JobId id);
  rt::Task<rt::HttpResult> send_request(std::size_t controller, std::string method, std::string target,
                                        std::string body, double limit_s);
  [[nodiscard]] std::size_t next_for(User& u, const std::vector<std::size_t>& at);
  rt::Task<rt::HttpResponse> cloud(rt::HttpMessage request);
  rt::HttpResponse scale_out(const nlohmann::json& wanted);
  Worker& add_worker(const std::string& zone, bool spot, double boots_in);

  Time now_{seconds(5000)};
  std::mt19937_64 random_;
  RegionOptions options_;
  rt::Loop loop_;  // runs everything except the controllers
  Store store_;
  Rules rules_;
  Environment environment_;
  rt::HttpServer cloud_;
  rt::HttpClient client_;
  std::vector<Controller> controllers_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<JobId, User> users_;
  std::map<std::string, nlohmann::json> scale_out_responses_;
  std::size_t released_busy_ = 0, intensive_queries_ = 0;
  std::string last_leader_;  // value of the leader key
  std::size_t next_machine_ = 100, next_job_ = 0;
};

}  // namespace martenwall::region
