// A region on loopback in virtual time: controllers with the real code of a whole node, each on a loop and a clock of
// its own, and stand-ins for the state service, the cloud, workers and users. The clock moves only when nothing is
// left to do at this moment, so that minutes take seconds and no verdict depends on how fast the machine is.
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

constexpr Duration look_every = seconds(0.05);

// Size and terms of a region; the defaults suit most tests.
struct RegionOptions {
  std::size_t controllers = 3, machines = 8;
  bool relay = true;
  WorkerTimings timings{2, 10, 30, 3, 24};
  double team_gpus = 1000;
  double cloud_rps = 10;
  double boot_s = 4;
  std::size_t most_machines = 40;
  double write_rps = 1e9;  // changes of the store a second
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
  // Until it is so; false where it did not come to pass in that time.
  bool run_until(double timeout_s, const std::function<bool()>& condition);

  // Controllers.
  // Ends the process; its coroutines are never resumed.
  void kill(std::size_t c);
  void kill_for(std::size_t c, double s);  // and a new process after that
  void start(std::size_t c);               // a new process
  void freeze(std::size_t c, double s) { controllers_.at(c).frozen_until = now_ + seconds(s); }
  void cut_links(std::size_t c, double s) { controllers_.at(c).links_cut_until = now_ + seconds(s); }
  // The zone with its workers and this controller is cut off from everything; inside they reach each other.
  void cut_zone(const std::string& zone, std::size_t c, double s);
  [[nodiscard]] std::optional<std::size_t> leader() const;  // that holds the key in the store
  [[nodiscard]] std::uint64_t token_of(std::size_t c) const;
  [[nodiscard]] const service::Context& context(std::size_t c) const {
    return controllers_.at(c).process->node->context();
  }
  [[nodiscard]] bool runs(std::size_t c) const { return controllers_.at(c).process != nullptr; }
  [[nodiscard]] const std::vector<std::string>& log(std::size_t c) const { return controllers_.at(c).log; }
  [[nodiscard]] std::size_t logged(std::size_t c, const std::string& part) const;  // lines, of all its processes

  // Users: a job's user submits, polls until its end, and cancels when told to.
  JobId submit(JobSpec spec, double run_s);
  JobId submit_array(std::uint32_t tasks, double run_s, std::optional<std::size_t> at = {});
  void cancel(const JobId& id, std::vector<std::size_t> at);  // asks these controllers in turn until it is answered
  void poll_at(const JobId& id, std::vector<std::size_t> at) { users_.at(id).at = std::move(at); }
  void ask_once(const JobId& id, std::size_t at) { rt::spawn(poll(id, at)); }
  void submit_again(const JobId& id, std::size_t at) { rt::spawn(resubmit(id, at)); }
  // All users ask all controllers, again and again within milliseconds, and repeat submissions and cancellations, right
  // after they heard that a job is accepted, done or cancelled. `cancels`: share of the jobs called off at once.
  void look_closely(double cancels = 0);
  // That share of the jobs that end is called off, asked for and submitted again in the moment of the end.
  void cancel_at_end(double share);
  // What an operator's command is answered by this controller; nothing where it does not answer.
  std::optional<wire::PeerReply> configure(std::size_t at, wire::ConfigurationRequest request);
  // The same, for an operator who does not wait.
  void configure_later(std::size_t at, wire::ConfigurationRequest request);
  // One request outside of any job's life, and its answer.
  rt::HttpResult request(std::size_t at, std::string method, std::string target, std::string body);
  [[nodiscard]] std::size_t looks() const { return looks_; }  // questions asked by those that look closely
  // Where this leader believes tasks of the job to be.
  [[nodiscard]] std::set<MachineId> machines_of(std::size_t c, const JobId& id) const;
  // Whether all accepted jobs are reported done or cancelled.
  [[nodiscard]] bool all_over() const;
  [[nodiscard]] std::string violations() const;
  [[nodiscard]] std::string unfinished() const;  // accepted jobs that are not over

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
  [[nodiscard]] std::size_t others_of(std::size_t c, std::size_t step) const {
    return (c + step) % options_.controllers;
  }
  [[nodiscard]] std::size_t released_busy() const { return released_busy_; }  // machines, with work on them

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
    std::vector<std::unique_ptr<rt::Listener>> links;  // from each other controller to this one
    Time frozen_until{}, links_cut_until{}, starts_at{};
    std::vector<std::string> log;
  };
  struct User {
    std::vector<std::size_t> at;  // asks these in turn; empty: any
    std::size_t next = 0;
    bool is_cancelling = false;
    std::vector<std::size_t> cancels_at;
  };
  bool poll_loops();  // all loops once; false where none had anything to do
  [[nodiscard]] config::Settings settings_of(std::size_t c) const;
  rt::Task<void> accept_links(std::size_t from, std::size_t to, rt::Listener& listener);
  rt::Task<void> forward_connection(rt::Socket from, std::size_t a, std::size_t b);
  rt::Task<void> forward_bytes(std::shared_ptr<rt::Socket> from, std::shared_ptr<rt::Socket> to, std::size_t a,
                               std::size_t b);
  [[nodiscard]] bool linked(std::size_t a, std::size_t b) const;
  struct PeerAnswer {
    std::optional<wire::PeerReply> reply;
    bool over = false;
  };
  rt::Task<void> ask_peer(std::size_t at, wire::ConfigurationRequest request, std::shared_ptr<PeerAnswer> asked);
  rt::Task<void> ticks();
  rt::Task<void> user(JobId id);
  rt::Task<void> poll(JobId id, std::size_t at);
  rt::Task<void> resubmit(JobId id, std::size_t at);
  rt::Task<void> ask_repeatedly(JobId id);
  rt::Task<void> cancel_once(JobId id, std::size_t at);
  rt::Task<void> deliver_retained(std::string body, std::size_t at);
  void watch_leader();
  void check_waiting_jobs();
  [[nodiscard]] bool could_start(const SubmittedJob& work) const;
  rt::Task<void> cancel_until_answered(JobId id);
  rt::Task<rt::HttpResult> ask(std::size_t controller, std::string method, std::string target, std::string body,
                               double limit_s);
  [[nodiscard]] std::size_t next_for(User& u, const std::vector<std::size_t>& at);
  rt::Task<rt::HttpResponse> cloud(rt::HttpMessage request);
  rt::HttpResponse scale_out(const nlohmann::json& wanted);
  Worker& add_worker(const std::string& zone, bool spot, double boots_in);

  Time now_{seconds(5000)};
  std::mt19937_64 random_;
  RegionOptions options_;
  rt::Loop loop_;  // of everything but the controllers
  Store store_;
  Rules rules_;
  Environment environment_;
  rt::HttpServer cloud_;
  rt::HttpClient client_;
  std::vector<Controller> controllers_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<JobId, User> users_;
  std::map<std::string, nlohmann::json> scale_out_responses_;
  std::size_t released_busy_ = 0, looks_ = 0;
  std::string last_leader_;  // the value of its key
  std::size_t next_machine_ = 100, next_job_ = 0;
};

}  // namespace martenwall::region
