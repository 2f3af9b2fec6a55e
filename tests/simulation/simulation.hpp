// A deterministic simulation around the core: models of the store, the cloud, workers and two controllers, with faults
// drawn from a seed. PROTOCOL's rules are checked after each step.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/leadership/leadership.hpp"
#include "core/scheduler/scheduler.hpp"

namespace martenwall::sim {

// Rates and shares of injected faults; the defaults mix the common faults.
struct Faults {
  double node_crash = 0.004;   // probability per second for each controller
  double store_cut = 0.01;     // a controller loses the store
  double node_freeze = 0.006;  // a controller is paused while clocks advance
  double worker_cut = 0.01;    // a machine reaches no controller
  double machine_death = 0.002;
  double delayed_command = 0.10;  // share of direct commands that arrive minutes late
  double delayed_heartbeat = 0.02;
  double lost_response = 0.03;
  double task_error = 0.01;
  double dependent_jobs = 0.4;      // share of jobs that depend on earlier ones
  double range_rows_switch = 0.02;  // probability per second that all nodes are found to support range rows
  double store_limit_drop = 0.004;  // probability per second that the store lowers its limits on row size and count
  double late_notification = 0.3;   // share of jobs accepted at another node and reported to the leader later
  double downlink_loss = 0;   // probability per second that responses and commands are lost although heartbeats arrive
  double late_duplicate = 0;  // share of heartbeats duplicated at any node up to three leases later
  double quick_restart = 0;   // share of crashes with a restart within 0.5 s
  bool range_rows_from_start = false;
  bool shortage = false;         // jobs that cannot meet a target are deferred; single tasks stop without a checkpoint
  bool relays = false;           // a follower forwards heartbeats to the leader
  double link_cut = 0.02;        // probability per second that the link between nodes fails for a while
  double lost_batch = 0.04;      // share of batches lost, in either direction
  double repeated_batch = 0.05;  // share of heartbeats that the link duplicates
  double slow_batch = 0.05;      // share delayed by seconds
};

constexpr Duration step_length = seconds(0.1);
constexpr double min_network_delay_s = 0.002;
constexpr double max_network_delay_s = 0.03;

// The whole simulated system. One seed and one set of faults always give the same run.
class World {
 public:
  World(std::uint64_t seed, Faults faults);
  // Advances by `seconds_long`, or until a rule is violated.
  void run(double seconds_long);
  // Ends current faults and stops injecting new ones, so that all accepted jobs can complete.
  void stop_faults();
  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] std::size_t unfinished() const;
  [[nodiscard]] std::size_t started() const { return started_; }
  [[nodiscard]] std::size_t failovers() const { return failovers_; }
  [[nodiscard]] std::size_t freezes() const { return freezes_; }
  [[nodiscard]] std::size_t refused() const { return refused_; }        // transactions that exceed the store's limits
  [[nodiscard]] std::size_t row_splits() const { return row_splits_; }  // rows split
  [[nodiscard]] std::size_t relayed() const { return relayed_; }        // responses that a follower delivered
  [[nodiscard]] std::size_t cascaded() const { return cascaded_; }      // jobs cancelled with a dependency
  std::function<void(const std::string&)> trace;
  // Receives every output of a controller's core in order: commands, rows, scale-out and scale-in requests. Lines hold
  // numbers, names chosen by the simulation and scale-out request names (visible to the cloud), so that renaming
  // identifiers in the sources does not change them.
  std::function<void(const std::string&)> on_decision;

 private:
  struct SimulatedTask {
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
    Time until{};  // end of the fetch, the run or the checkpoint
    Time since{};
    std::optional<Time> peer_lost;
  };
  using TaskKey = std::pair<TaskId, Attempt>;
  struct Worker {
    MachineId id;
    std::string zone;
    bool spot = false, alive = true;
    Incarnation incarnation{1};
    HeartbeatSequence sequence{0};
    FencingToken token{0};
    Time lease_renewed_at{}, next_heartbeat{}, cut_until{}, downlink_lost_until{}, boots{};
    std::optional<Time> waiting_since;  // a heartbeat is in flight
    std::uint64_t heartbeat_no = 0;
    std::size_t target = 0;
    std::map<TaskKey, SimulatedTask> tasks;
  };
  struct Node {
    std::unique_ptr<Leadership> leadership;
    std::unique_ptr<Scheduler> scheduler;
    std::uint64_t life = 0;
    Time cut_until{}, down_until{}, frozen_until{}, next_renewal{}, next_round{};
    std::size_t flushing = 0;  // transactions in flight
    std::vector<JobId> cancels;
    std::size_t row_limit = 1000, rows_at_once = 6;  // the store's limits as known to this node
  };
  struct StoredJob {
    Job job;
    bool final = false;
  };
  void step();
  void at(Time when, std::function<void()> what);
  double roll() { return std::uniform_real_distribution<>{0, 1}(random_); }
  double between(double a, double b) { return std::uniform_real_distribution<>{a, b}(random_); }
  void inject_faults();
  void step_node(Node& n);
  void scale_out(Node& n);
  void scale_in(Node& n);
  MachineId add_worker(const std::string& zone, bool spot, Duration boots_in);
  void freeze(Node& n);
  void become_leader(Node& n);
  void step_down(Node& n);
  void flush(Node& n);
  void apply(Node& n, std::uint64_t life, FencingToken token, const std::vector<RowWrite>& rows);
  void apply_row(const RowWrite& row);
  void load(Node& n);
  void run_lookups(Node& n);
  std::vector<RowWrite> take_writes_within_limits(Node& n);
  void on_rows_committed(Node& n, const std::vector<RowWrite>& rows);
  void submit(Node& leader);
  [[nodiscard]] std::vector<JobId> draw_dependencies();
  [[nodiscard]] bool depends_on_cancelled(const JobId& id, const std::function<bool(const JobId&)>& cancelled) const;
  [[nodiscard]] static std::size_t size_of(const RowWrite& row) {
    return row.tasks ? row.tasks->placed.size() + row.tasks->done.size() : 0;
  }
  void send_direct(Node& n, CommandBatch batch);
  std::optional<CommandOutcome> deliver_direct(FencingToken token, const CommandBatch& batch, Heartbeat& report);
  void step_worker(Worker& w);
  void send_heartbeat(Worker& w);
  void receive_heartbeat(std::size_t node, const Heartbeat& report, std::uint64_t heartbeat_no);
  struct RelayedHeartbeat {
    std::size_t by = 0;  // the node that received the heartbeat
    Heartbeat report;
    std::uint64_t no = 0;
    Time until{};
  };
  struct Response {
    bool ok = false;
    FencingToken token;
    std::vector<Command> commands;
  };
  Response response_to(Node& n, const Heartbeat& report);
  void relay(const RelayedHeartbeat& r);
  void receive_relayed_heartbeat(const RelayedHeartbeat& r);
  void deliver_response(const RelayedHeartbeat& r, const Response& response);
  [[nodiscard]] double link_delay() {
    return roll() < faults_.slow_batch ? between(0.3, 6) : between(min_network_delay_s, 0.05);
  }
  void receive_response(const MachineId& id, std::uint64_t no, Incarnation incarnation, bool ok, FencingToken token,
                        const std::vector<Command>& commands);
  void execute(Worker& w, const std::vector<Command>& commands);
  void execute_start(Worker& w, const TaskKey& key);
  void execute_stop(SimulatedTask& t, double grace_s);
  void step_tasks(Worker& w);
  void step_gangs();
  void check_start(Worker& w, const TaskKey& key, SimulatedTask& t);
  Heartbeat make_heartbeat(Worker& w);
  void step_users();
  void check_rules();
  void check_machines();
  void check_cancelled_dependencies();
  void report_violation(const std::string& what);
  // The values enter the digests in tests/data/recorded_rounds.txt and must not change.
  enum class Decision { scale_out = 1, scale_in = 2, row = 3, command = 4, response = 5 };
  void record_decision(Decision what, const MachineId& to, const std::vector<Command>& commands) const;
  void record_decision(Decision what, const std::string& content) const;
  void record_decision(const RowWrite& row) const;
  const JobSpec& spec_of(const JobId& id) const { return submitted_.at(id); }
  [[nodiscard]] static bool on_machine(const SimulatedTask& t) {
    return t.state >= TaskState::waiting && t.state != TaskState::ended;
  }

  std::mt19937_64 random_;
  Faults faults_;
  bool faulty_ = true;
  Time now_{seconds(1000)};
  std::multimap<Time, std::function<void()>> events_;
  Policy policy_;
  WorkerTimings timings_{3, 19, 50, 4, 39};
  std::vector<Team> teams_;
  std::vector<MachineType> types_;
  std::vector<Node> nodes_;
  std::map<MachineId, Worker> workers_;
  std::uint64_t machine_no_ = 0, job_no_ = 0;
  // store
  std::uint64_t revision_ = 10;
  std::optional<FencingToken> leader_token_;
  Time leader_lease_until_{};
  std::map<JobId, StoredJob> stored_jobs_;
  std::map<std::uint32_t, std::vector<MachineRecord>> stored_machines_;
  std::map<RowKey, TaskRow> stored_tasks_;
  bool range_rows_allowed_ = false;
  std::optional<FencingToken> range_rows_token_;
  std::size_t row_limit_ = 1000, rows_at_once_ = 6;
  // ground truth
  std::map<JobId, JobSpec> submitted_;
  std::map<JobId, std::set<std::uint32_t>> completed_;
  std::map<JobId, Time> reported_cancelled_;
  std::map<TaskKey, MachineId> attempts_;
  std::set<std::string> scale_out_names_;
  std::vector<std::string> violations_;
  std::set<JobId> cancel_requested_;
  Time link_cut_until_{};                                    // link between the nodes
  std::set<std::pair<MachineId, std::uint64_t>> delivered_;  // heartbeats answered by a relaying node
  std::size_t relayed_ = 0;
  std::size_t started_ = 0, failovers_ = 0, freezes_ = 0, refused_ = 0, row_splits_ = 0, cascaded_ = 0;
};

}  // namespace martenwall::sim
