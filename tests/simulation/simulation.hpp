// A deterministic world round the core: store, cloud, workers and two controllers as stand-ins,
// with faults drawn from a seed, and the rules of PROTOCOL checked after each step.
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

struct Faults {
  double node_crash = 0.004;   // chance a second each
  double state_cut = 0.01;     // a controller loses the store
  double node_freeze = 0.006;  // a controller stands still while clocks run on
  double worker_cut = 0.01;    // a machine loses all controllers
  double machine_death = 0.002;
  double held_command = 0.10;  // share of direct commands that arrive minutes late
  double held_report = 0.02;
  double lost_answer = 0.03;
  double task_error = 0.01;
  double chained = 0.4;       // share of jobs that await earlier ones
  double gate = 0.02;         // chance a second that all nodes are found to read rows that name their runs
  double limit_fall = 0.004;  // chance a second that the store takes only smaller rows, and fewer at a time
  double late_note = 0.3;     // share of jobs accepted at another node, of which the leader hears later
  double deaf = 0;            // chance a second that answers and commands stop reaching a machine that is heard
  double late_copy = 0;       // share of reports of which a copy comes later, up to three leases, at any node
  double quick_return = 0;    // share of crashes after which a controller is back within half a second
  bool gate_from_start = false;
  bool shortage = false;      // what cannot be in time is deferred, lone tasks are stopped unsaved
  bool relays = false;        // a node that does not lead passes reports on to the other
  double link_cut = 0.02;     // chance a second that this fails for a while
  double lost_batch = 0.04;   // on either way
  double twice_batch = 0.05;  // share of reports that the link repeats
  double slow_batch = 0.05;   // share that takes seconds
};

constexpr Duration step_length = seconds(0.1);
constexpr double wire_low = 0.002;
constexpr double wire_high = 0.03;

class World {
 public:
  World(std::uint64_t seed, Faults faults);
  void run(double seconds_long);
  void stop_faults();
  [[nodiscard]] const std::vector<std::string>& breaches() const { return breaches_; }
  [[nodiscard]] std::size_t unfinished() const;
  [[nodiscard]] std::size_t started() const { return started_; }
  [[nodiscard]] std::size_t takeovers() const { return takeovers_; }
  [[nodiscard]] std::size_t freezes() const { return freezes_; }
  [[nodiscard]] std::size_t refused() const { return refused_; }    // transactions beyond the store's limits
  [[nodiscard]] std::size_t divided() const { return divided_; }    // rows
  [[nodiscard]] std::size_t relayed() const { return relayed_; }    // answers that another node handed out
  [[nodiscard]] std::size_t cascaded() const { return cascaded_; }  // jobs that others' cancellations took along
  std::function<void(const std::string&)> trace;
  // Everything that a controller's core gave out, in order: orders, rows, hires, releases. Numbers, names that the
  // simulation chose, and the names of hires, which the cloud sees: no word of it follows a renaming in the sources.
  std::function<void(const std::string&)> decided;

 private:
  struct WorkTask {
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
    Time until{};  // end of the fetch, of the run, or of the saving
    Time since{};
    std::optional<Time> peer_lost;
  };
  using TaskKey = std::pair<TaskId, Attempt>;
  struct Worker {
    MachineId id;
    std::string zone;
    bool spot = false, alive = true;
    Incarnation incarnation{1};
    HeartbeatSequence tick{0};
    FencingToken token{0};
    Time lease_renewed_at{}, next_report{}, cut_until{}, downlink_lost_until{}, boots{};
    std::optional<Time> waiting_since;  // a report is in flight
    std::uint64_t report_no = 0;
    std::size_t target = 0;
    std::map<TaskKey, WorkTask> tasks;
  };
  struct Node {
    std::unique_ptr<Leadership> leadership;
    std::unique_ptr<Scheduler> scheduler;
    std::uint64_t life = 0;
    Time cut_until{}, down_until{}, frozen_until{}, next_renewal{}, next_round{};
    std::size_t flushing = 0;  // transactions under way
    std::vector<JobId> cancels;
    std::size_t row_limit = 1000, rows_at_once = 6;  // of the store's, as far as this node knows
  };
  struct StoredJob {
    Job job;
    bool final = false;
  };
  void step();
  void at(Time when, std::function<void()> what);
  double roll() { return std::uniform_real_distribution<>{0, 1}(random_); }
  double between(double a, double b) { return std::uniform_real_distribution<>{a, b}(random_); }
  void inject();
  void step_node(Node& n);
  void scale_out(Node& n);
  void scale_in(Node& n);
  MachineId add_worker(const std::string& zone, bool spot, Duration boots_in);
  void freeze(Node& n);
  void take_lead(Node& n);
  void step_down(Node& n);
  void flush(Node& n);
  void apply(Node& n, std::uint64_t life, FencingToken token, const std::vector<RowWrite>& rows);
  void apply_row(const RowWrite& row);
  void load(Node& n);
  void look_up(Node& n);
  std::vector<RowWrite> take_fitting(Node& n);
  void take_answer(Node& n, const std::vector<RowWrite>& rows);
  void submit(Node& leader);
  [[nodiscard]] std::vector<JobId> some_earlier_jobs();
  [[nodiscard]] bool needs_cancelled(const JobId& id, const std::function<bool(const JobId&)>& cancelled) const;
  [[nodiscard]] static std::size_t size_of(const RowWrite& row) {
    return row.tasks ? row.tasks->placed.size() + row.tasks->done.size() : 0;
  }
  void send_direct(Node& n, CommandBatch batch);
  std::optional<CommandOutcome> deliver_direct(FencingToken token, const CommandBatch& batch, Heartbeat& report);
  void step_worker(Worker& w);
  void send_report(Worker& w);
  void receive_report(std::size_t node, const Heartbeat& report, std::uint64_t report_no);
  struct Relayed {
    std::size_t by = 0;  // the node that the worker reported to
    Heartbeat report;
    std::uint64_t no = 0;
    Time until{};
  };
  struct Answer {
    bool ok = false;
    FencingToken token;
    std::vector<Command> commands;
  };
  Answer answer_of(Node& n, const Heartbeat& report);
  void relay(const Relayed& r);
  void receive_relayed(const Relayed& r);
  void hand_out(const Relayed& r, const Answer& answer);
  [[nodiscard]] double link_delay() { return roll() < faults_.slow_batch ? between(0.3, 6) : between(wire_low, 0.05); }
  void receive_answer(const MachineId& id, std::uint64_t no, Incarnation incarnation, bool ok, FencingToken token,
                      const std::vector<Command>& commands);
  void execute(Worker& w, const std::vector<Command>& commands);
  void execute_start(Worker& w, const TaskKey& key);
  void execute_stop(WorkTask& t, double grace_s);
  void step_tasks(Worker& w);
  void step_gangs();
  void start_on(Worker& w, const TaskKey& key, WorkTask& t);
  Heartbeat report_of(Worker& w);
  void users();
  void check();
  void check_machines();
  void check_cancelled_dependencies();
  void breach(const std::string& what);
  // Their numbers stand in tests/data/recorded_rounds.txt (as digests): they stay.
  enum class Given { hire = 1, release = 2, row = 3, command = 4, answer = 5 };
  void note(Given what, const MachineId& to, const std::vector<Command>& commands) const;
  void note(Given what, const std::string& said) const;
  void note(const RowWrite& row) const;
  const JobSpec& spec_of(const JobId& id) const { return submitted_.at(id); }
  [[nodiscard]] static bool on_machine(const WorkTask& t) {
    return t.state >= TaskState::waiting && t.state != TaskState::ended;
  }

  std::mt19937_64 random_;
  Faults faults_;
  bool faulty_ = true;
  Time now_{seconds(1000)};
  std::multimap<Time, std::function<void()>> events_;
  Policy policy_;
  WorkerTerms terms_{3, 19, 50, 4, 39};
  std::vector<Team> teams_;
  std::vector<MachineType> types_;
  std::vector<Node> nodes_;
  std::map<MachineId, Worker> workers_;
  std::uint64_t machine_no_ = 0, job_no_ = 0;
  // store
  std::uint64_t revision_ = 10;
  std::optional<FencingToken> lead_;
  Time lead_until_{};
  std::map<JobId, StoredJob> stored_jobs_;
  std::map<std::uint32_t, std::vector<MachineRecord>> stored_machines_;
  std::map<RowKey, TaskRow> stored_tasks_;
  bool gate_ = false;
  std::optional<FencingToken> gate_token_;
  std::size_t row_limit_ = 1000, rows_at_once_ = 6;
  // truth
  std::map<JobId, JobSpec> submitted_;
  std::map<JobId, std::set<std::uint32_t>> completed_;
  std::map<JobId, Time> reported_cancelled_;
  std::map<TaskKey, MachineId> attempts_;
  std::set<std::string> hire_names_;
  std::vector<std::string> breaches_;
  std::set<JobId> cancel_asked_;
  Time link_cut_until_{};                                     // between the nodes
  std::set<std::pair<MachineId, std::uint64_t>> handed_out_;  // reports whose workers were answered by a relaying node
  std::size_t relayed_ = 0;
  std::size_t started_ = 0, takeovers_ = 0, freezes_ = 0, refused_ = 0, divided_ = 0, cascaded_ = 0;
};

}  // namespace martenwall::sim
