// State of the core: jobs, tasks, machines, placements and teams.
#pragma once
#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/model/done_set.hpp"
#include "core/reachability/downlink_health.hpp"
#include "core/types.hpp"

namespace martenwall {

// A job array (independent tasks), a gang (all tasks run at once or none does) or a service (replicas that keep
// running).
enum class JobKind { array, gang, service };
// In ascending order: a job may preempt work of lower priority.
enum class Priority { best_effort, normal, high, production };
// `blocked`: not all of the job's dependencies are done; the status API reports `pending`.
enum class JobPhase { pending, running, done, cancelled, blocked };
// Returns the name that users see.
std::string_view name_of(JobPhase p);

constexpr bool is_final(JobPhase p) { return p == JobPhase::done || p == JobPhase::cancelled; }

// Resource amounts: what a task needs, or what a machine or a team has.
struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;
  [[nodiscard]] bool fits_in(const Resources& available) const {
    constexpr double slack = 1e-9;
    return cpus <= available.cpus + slack && gpus <= available.gpus + slack && memory_gb <= available.memory_gb + slack;
  }
  void add(const Resources& r, double times = 1) {
    cpus += r.cpus * times;
    gpus += r.gpus * times;
    memory_gb += r.memory_gb * times;
  }
  // Returns the smaller amount of each resource.
  [[nodiscard]] Resources component_min(const Resources& other) const {
    return {std::min(cpus, other.cpus), std::min(gpus, other.gpus), std::min(memory_gb, other.memory_gb)};
  }
  [[nodiscard]] Resources times(double n) const { return {cpus * n, gpus * n, memory_gb * n}; }
};

// A machine type of the cloud provider: capacity, image cache, prices, nominal boot time and zones.
struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};

// Returns the dominant share of the machine that `need` takes, in GPUs, or in CPUs if the machine type has no GPUs.
inline double dominant_units(const MachineType& type, const Resources& need) {
  const auto part = [](double of, double n) { return of > 0 ? n / of : 0.0; };
  const double dominant = std::max({part(type.capacity.cpus, need.cpus), part(type.capacity.gpus, need.gpus),
                                    part(type.capacity.memory_gb, need.memory_gb)});
  return dominant * (type.capacity.gpus > 0 ? type.capacity.gpus : type.capacity.cpus);
}

// A team, against whose quota its jobs count.
struct Team {
  std::string name;
  Resources guarantee, limit;  // memory is not used; a limit of 0 leaves that resource unlimited
};

// A job as submitted by its user.
struct JobSpec {
  JobId id;
  std::string job_class, team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 1;
  Resources need;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  double estimate_s = 0, checkpoint_interval_s = 0, checkpoint_duration_s = 0;
  std::optional<double> deadline_s;
  std::vector<JobId> dependencies;  // jobs that must be done before any task starts; without duplicates
};

// Progress of a task on its machine, in order: planned (row not stored or start not sent), sent, fetching its image,
// waiting for its gang, running, saving a checkpoint, ended.
enum class TaskState { planned, sent, fetching, waiting, running, saving, ended };
// Returns the name for log lines.
std::string_view name_of(TaskState s);
// Cause of a task's end, as reported by its worker. `peer_lost`: a member of its gang was lost; `gang_incomplete`: its
// gang was not complete in time; `no_capacity` and `busy`: the worker refused the start; `unknown`: the worker has no
// record of the task.
enum class ExitCause { none, done, stopped, peer_lost, gang_incomplete, error, no_capacity, busy, unknown };
// Returns the name for log lines.
std::string_view name_of(ExitCause c);

// A task that may be on a machine. Its record is stored in a task row before its start is sent.
class Placement {
 public:
  // A late copy of a direct command may reach its worker until this long after the command was sent.
  static constexpr Duration max_command_delay = seconds(120);

  Placement(TaskId task_id, Attempt attempt_no, Generation change, Time now)
      : task(std::move(task_id)), attempt(attempt_no), generation(change), placed_at(now) {}

  // Changes the state; the only function that does so. Returns false if the transition is not allowed.
  bool transition_to(TaskState next, Time now);
  [[nodiscard]] TaskState state() const { return state_; }
  // Returns whether the task takes capacity, counts against its team's limit and constrains the zones of its job's
  // other tasks.
  [[nodiscard]] bool occupies() const { return !removed && state_ != TaskState::ended; }
  // Returns whether a start that was sent can still take effect on the worker.
  [[nodiscard]] bool start_in_flight() const { return direct_start_unanswered || start_sequence.has_value(); }
  // Returns whether the attempt has ended and a copy of its direct start may still arrive. The worker must keep its
  // record of the attempt until then, since it executes the start of an attempt that it does not know.
  [[nodiscard]] bool is_kept_for_late_copies(Time now) const {
    return state_ == TaskState::ended && direct_start_sent_at && now - *direct_start_sent_at < max_command_delay;
  }
  [[nodiscard]] bool is_reported() const { return state_ != TaskState::planned && state_ != TaskState::sent; }

  TaskId task;
  Attempt attempt;
  std::string team;  // a copy: the job may have ended and been removed from memory
  Resources need;
  Priority priority = Priority::normal;
  Generation generation;   // must be stored before the start is sent (planned) or the worker drops the task (ended)
  bool accounted = false;  // included in the sums of its machine and its team
  bool accounted_running = false;  // included in its job's number of running tasks
  Time placed_at;
  Time state_since{};
  Time running_since{};
  bool unconfirmed = false;              // recorded by an earlier leader and neither confirmed nor refuted yet
  bool direct_start_unanswered = false;  // an unanswered direct start may still be executed in this incarnation
  std::optional<Time> direct_start_sent_at;
  std::optional<HeartbeatSequence> start_sequence;  // heartbeat in whose response the start was last sent
  bool removed = false;                             // certainly not on the machine; erased after the current event
  bool stop_requested = false;
  bool stop_sent = false;
  bool orphan = false;  // reported by a worker without a stored record: it is only stopped and counted
  double stop_grace_s = 0;
  Time stop_requested_at{};
  ExitCause cause = ExitCause::none;

 private:
  TaskState state_ = TaskState::planned;
};

enum class MachinePhase { booting, up, draining, releasing, lost };
std::string_view name_of(MachinePhase p);

// A rented machine: its worker's reports, the tasks that may be on it and the evidence of its reliability.
class Machine {
 public:
  explicit Machine(MachineId machine_id) : id(std::move(machine_id)) {}
  // Changes the phase; the only function that does so. Returns false if the transition is not allowed.
  bool transition_to(MachinePhase next, Time now);
  [[nodiscard]] MachinePhase phase() const { return phase_; }
  [[nodiscard]] bool accepts_starts() const { return phase_ == MachinePhase::up && has_reported; }
  // Returns the placement of this attempt, or nullptr if there is none.
  Placement* find(const TaskId& task, Attempt attempt);
  // Returns the number of ended attempts that the worker keeps because of late copies of their starts.
  [[nodiscard]] std::size_t kept_attempts(Time now) const;
  [[nodiscard]] bool empty() const { return task_count == 0; }
  // State of an image in the machine's cache.
  enum class ImageState { absent, fetching, ready };
  [[nodiscard]] ImageState image_state(ImageId image) const;
  [[nodiscard]] bool has_image(ImageId image) const { return image_state(image) == ImageState::ready; }
  // Records that the image was used, or that its fetch began (`ready` false). Evicts the least recently used images
  // beyond the cache size.
  void touch_image(ImageId image, double gb, double cache_gb, bool ready = true);
  void drop_fetch(ImageId image);  // removes an image whose fetch was abandoned

  MachineId id;
  std::string addr, type, zone;
  bool spot = false;
  Incarnation incarnation;
  Incarnation ended_incarnation{0};  // this incarnation and all earlier ones are certainly over
  HeartbeatSequence sequence;
  bool has_reported = false;       // has reported to this leader
  Time incarnation_known_since{};  // when the incarnation was first seen; it began no later
  Time first_known{}, lease_renewed_at{}, last_report_at{}, last_heartbeat_at{}, phase_since{}, idle_since{};
  std::optional<Time> reclaimed_at;  // time of the provider's preemption notice
  std::optional<Time> listed_at;     // first seen in the cloud provider's list
  std::vector<Placement> placements;
  // Sums over the tasks that may be on the machine, updated as placements are added and removed.
  Resources used;
  std::size_t task_count = 0;
  struct Image {
    ImageId id;
    double gb = 0;
    bool ready = false;
  };
  std::vector<Image> images;  // most recently used first
  std::optional<JobId> reserved_for;
  Time reserved_until{};
  Time no_starts_before{};
  Time keep_until{};  // not released before this time: a job that waits for further machines needs it
  DownlinkHealth downlink;
  bool answered_by_this_leader = false;
  std::set<JobId> failing_jobs;  // jobs that failed here since a task last completed here
  Time evaluate_at{};            // earliest time to decide whether the machine itself is at fault
  bool quarantined = false;
  std::optional<std::uint32_t> group;  // group of machines whose row in the store includes this one

 private:
  MachinePhase phase_ = MachinePhase::booting;
};

// A job with the progress of its tasks.
struct Job {
  JobSpec spec;
  Time submitted{};
  std::int64_t submitted_wall_ms = 0;
  JobPhase phase = JobPhase::pending;
  Priority priority = Priority::normal;  // as submitted, or the higher priority of a dependent job
  std::uint64_t next_attempt = 1;
  DoneSet done;
  bool end_write_sent = false;  // its end may be in the store before this node knows the result
  bool end_is_stored = false;   // its end is stored and may be reported
  bool residual = false;        // its end was stored by an earlier leader; only its remaining tasks are managed
  bool unreadable = false;      // its own row cannot be decoded; its tasks are counted, and neither started nor stopped
  bool dependent = false;       // its own row has a key prefix that nodes of format version 1 do not read
  ImageId image;
  // State of one of the job's task rows in the store; each row covers a range of task indices.
  struct RowState {
    std::uint32_t size = 0;  // number of task indices in the range
    Generation changed, stored;
    std::uint32_t in_store = 0;  // number of indices that the possibly stored row covers; 0: no row is stored
  };
  using RowStates = std::map<std::uint32_t, RowState>;  // by first index; ranges do not overlap
  RowStates task_ranges;                                // rows of format 2, which name their range in their key
  RowStates v1_rows;                                    // rows of format 1, which are numbered
  std::vector<std::string> chunk_keys;                  // keys of the chunks into which its own row is split
  std::optional<Time> effective_deadline;               // latest end with which it and all its dependents are in time
  Time ready_at{};                                      // time at which its last dependency was done
  std::set<JobId> open_dependencies;                    // dependencies that are not known to be done
  // The following members are kept in memory only.
  std::map<std::uint32_t, MachineId> placed;              // tasks that may be on a machine
  std::set<std::pair<std::uint32_t, MachineId>> orphans;  // further machines of tasks found on more than one
  std::set<std::uint32_t> requeued;                       // tasks to be started again
  std::uint32_t next_unstarted = 0;                       // no task from this index on was ever started
  Time not_before{};
  int failures = 0;
  int failed_waves = 0;             // failures since the last result; tasks that fail at the same time count once
  std::set<MachineId> failed_on;    // machines on which it failed since the last result
  std::uint32_t failed_before = 0;  // number of machines on which it failed under earlier leaders
  std::uint32_t running = 0;        // number of tasks reported as running
  bool suspect = false;             // fails on every machine, most likely because it was submitted with an error
  bool limit_logged = false, all_run_logged = false;
  double total_run_s = 0;                            // total run time of its ended tasks under this leader
  bool start_counted = false, late_counted = false;  // counted in the service record
  Time waiting_since{};
  Time preempt_after{};
  std::optional<Time> capacity_expected_at;  // time from which new machines should have capacity for all of it

  void reset_urgency();  // restores the submitted priority and deadline
  // Changes the phase; the only function that does so. Returns false if the job has already ended in another phase.
  bool transition_to(JobPhase next);
  // Returns the number of tasks that may be placed; 0 if the job is blocked or has ended.
  [[nodiscard]] std::uint32_t pending_tasks() const;
  [[nodiscard]] std::optional<std::uint32_t> next_pending() const;
  // Returns the number of tasks that are not done.
  [[nodiscard]] std::uint32_t unfinished() const { return spec.tasks - done.count(); }
  // Records that the task is placed on the machine.
  void assign(std::uint32_t index, const MachineId& machine);
  // Records that the task is on no machine; it becomes pending unless it is done or the job has ended.
  void return_to_pending(std::uint32_t index);
  // Records that a task of an array completed, including a task that this leader did not start.
  void complete(std::uint32_t index);
  // Records that the task may be on the machine: as its only placement, or as an orphan if it is placed on another one.
  void record_placement(std::uint32_t index, const MachineId& machine);
  // Returns the number of machines on which the job failed while none of its tasks was done, including under earlier
  // leaders.
  [[nodiscard]] std::uint32_t failed_machines() const {
    return failed_before + static_cast<std::uint32_t>(failed_on.size());
  }
};

}  // namespace martenwall
