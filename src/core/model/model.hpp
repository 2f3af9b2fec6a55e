// What the core knows: jobs, tasks, machines, placements, teams.
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

// A job array (independent tasks), a gang (all tasks at once or none) or a service (replicas that keep running).
enum class JobKind { array, gang, service };
// Ordered: a job may preempt work of lower priority.
enum class Priority { best_effort, normal, high, production };
// `waiting`: blocked: jobs that it depends on are not all done; users are told `pending`.
enum class JobPhase { pending, running, done, cancelled, blocked };
// As users are told.
std::string_view name_of(JobPhase p);

constexpr bool is_final(JobPhase p) { return p == JobPhase::done || p == JobPhase::cancelled; }

// Amounts of what a task needs, or a machine or team has.
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
  // Of each the lesser.
  [[nodiscard]] Resources component_min(const Resources& o) const {
    return {std::min(cpus, o.cpus), std::min(gpus, o.gpus), std::min(memory_gb, o.memory_gb)};
  }
  [[nodiscard]] Resources times(double n) const { return {cpus * n, gpus * n, memory_gb * n}; }
};

// A kind of machine that the cloud rents: capacity, image cache, prices, nominal boot time, zones.
struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};

// How much of such a machine a need takes, in its GPUs, or in its CPUs where it has none.
inline double dominant_units(const MachineType& type, const Resources& need) {
  const auto part = [](double of, double n) { return of > 0 ? n / of : 0.0; };
  const double dominant = std::max({part(type.capacity.cpus, need.cpus), part(type.capacity.gpus, need.gpus),
                                    part(type.capacity.memory_gb, need.memory_gb)});
  return dominant * (type.capacity.gpus > 0 ? type.capacity.gpus : type.capacity.cpus);
}

// Whose quota work counts for.
struct Team {
  std::string name;
  Resources guarantee, limit;  // memory unused; 0 in `limit` of a kind means none may be used
};

// A job as its user submitted it.
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
  std::vector<JobId> dependencies;  // have to be done before any task of it starts; no two alike
};

// How far a task is on its machine, in order: planned (row not stored or start not sent), sent, fetching its image,
// waiting for its gang, running, saving a checkpoint, ended.
enum class TaskState { planned, sent, fetching, waiting, running, saving, ended };
// For the log.
std::string_view name_of(TaskState s);
// Why a task ended, as its worker reports it; `peers`: a member of its gang was lost, `alone`: its gang was not
// complete in time, `no_room` and `busy`: the worker refused the start, `unknown`: the worker does not know the task.
enum class ExitCause { none, done, stopped, peer_lost, gang_incomplete, error, no_capacity, busy, unknown };
// For the log.
std::string_view name_of(ExitCause c);

// A task that may be on a machine. It is stored in the machine's row before its start is sent.
class Placement {
 public:
  Placement(TaskId task_id, Attempt attempt_no, Generation change, Time now)
      : task(std::move(task_id)), attempt(attempt_no), generation(change), placed_at(now) {}

  // The one function that changes the state; returns false where the change is not a legal one.
  bool transition_to(TaskState next, Time now);
  [[nodiscard]] TaskState state() const { return state_; }
  // While true it takes room, counts for its team's limit and binds its zone.
  [[nodiscard]] bool occupies() const { return !removed && state_ != TaskState::ended; }
  // A start that was sent can still take effect on the worker.
  [[nodiscard]] bool start_in_flight() const { return direct_start_unanswered || start_sequence.has_value(); }
  [[nodiscard]] bool is_reported() const { return state_ != TaskState::planned && state_ != TaskState::sent; }

  TaskId task;
  Attempt attempt;
  std::string team;  // kept here too: the job itself may be final and forgotten
  Resources need;
  Priority priority = Priority::normal;
  Generation generation;           // must be stored before the start (planned) or the reap (ended)
  bool accounted = false;          // in its machine's and its team's sums
  bool accounted_running = false;  // in its job's number of running tasks
  Time placed_at;
  Time state_since{};
  Time running_since{};
  bool unconfirmed = false;                         // recorded by an earlier leader, not yet confirmed or refuted
  bool direct_start_unanswered = false;             // an unanswered direct start may still execute in this incarnation
  std::optional<HeartbeatSequence> start_sequence;  // the heartbeat in whose response the start went out last
  bool removed = false;                             // surely not on the machine; swept after the event
  bool stop_requested = false;
  bool stop_sent = false;
  bool orphan = false;  // reported by a worker without a record: only stopped and counted
  double stop_grace_s = 0;
  Time stop_requested_at{};
  ExitCause cause = ExitCause::none;

 private:
  TaskState state_ = TaskState::planned;
};

enum class MachinePhase { booting, up, draining, releasing, lost };
std::string_view name_of(MachinePhase p);

// A rented machine: what its worker reported, what may be on it, and how far it can be trusted.
class Machine {
 public:
  explicit Machine(MachineId machine_id) : id(std::move(machine_id)) {}
  // The one function that changes the phase; returns false where the change is not a legal one.
  bool transition_to(MachinePhase next, Time now);
  [[nodiscard]] MachinePhase phase() const { return phase_; }
  [[nodiscard]] bool accepts_starts() const { return phase_ == MachinePhase::up && has_reported; }
  // nullptr where there is none.
  Placement* find(const TaskId& task, Attempt attempt);
  [[nodiscard]] bool empty() const { return task_count == 0; }
  // Of an image in the machine's cache.
  enum class ImageState { absent, fetching, ready };
  [[nodiscard]] ImageState image_state(ImageId image) const;
  [[nodiscard]] bool has_image(ImageId image) const { return image_state(image) == ImageState::ready; }
  // The image was used, or its fetch began (`ready` false): the least recently used ones leave the cache.
  void touch_image(ImageId image, double gb, double cache_gb, bool ready = true);
  void drop_fetch(ImageId image);  // given up before it was complete

  MachineId id;
  std::string addr, type, zone;
  bool spot = false;
  Incarnation incarnation;
  Incarnation ended_incarnation{0};  // this one and all before it are surely over
  HeartbeatSequence sequence;
  bool has_reported = false;       // reported to this leadership
  Time incarnation_known_since{};  // when the incarnation was first known: it began no later
  Time first_known{}, lease_renewed_at{}, last_report_at{}, last_heartbeat_at{}, phase_since{}, idle_since{};
  std::optional<Time> reclaimed_at;  // spot notice
  std::optional<Time> listed_at;     // first seen in the cloud's list
  std::vector<Placement> placements;
  // Sums over what may be on the machine, kept up to date as placements come and go.
  Resources used;
  std::size_t task_count = 0;
  struct Image {
    ImageId id;
    double gb = 0;
    bool ready = false;
  };
  std::vector<Image> images;  // most recent first
  std::optional<JobId> reserved_for;
  Time reserved_until{};
  Time no_starts_before{};
  Time keep_until{};  // a job that waits for further machines counts on it
  DownlinkHealth downlink;
  bool answered_by_this_leader = false;
  std::set<JobId> failing_jobs;  // jobs that failed here since a task last completed here
  Time evaluate_at{};            // no sooner is it decided whether the fault is its own
  bool quarantined = false;
  std::optional<std::uint32_t> group;  // whose row in the store tells of it

 private:
  MachinePhase phase_ = MachinePhase::booting;
};

// A job with the progress of its tasks.
struct Job {
  JobSpec spec;
  Time submitted{};
  std::int64_t submitted_wall_ms = 0;
  JobPhase phase = JobPhase::pending;
  Priority priority = Priority::normal;  // its own, or a higher one of a job that needs it
  std::uint64_t next_attempt = 1;
  DoneSet done;
  bool end_write_sent = false;  // its end is on its way to the store: others may read it there before this node knows
  bool end_is_stored = false;   // its end is in the store and may be told
  bool residual = false;        // its end was stored by an earlier leader; only its last tasks are looked after
  bool dependent = false;       // its own row stands where level 1 does not look
  ImageId image;
  // What is known of each row of its tasks in the store; a row tells of a run of task indices.
  struct RowState {
    std::uint32_t size = 0;  // of the run
    Generation changed, stored;
    std::uint32_t in_store = 0;  // how many indices the row that may exist tells of; 0: there is none
  };
  using RowStates = std::map<std::uint32_t, RowState>;  // by the first index; no two overlap
  RowStates task_ranges;                                // rows that name their runs themselves
  RowStates v1_rows;                                    // rows by number, which versions of level 1 read and write
  std::vector<std::string> chunk_keys;                  // further keys that its own row is spread over
  std::optional<Time> effective_deadline;  // the latest end that lets it and all that need it meet their deadlines
  Time ready_at{};                         // when the last job that it awaits was done
  std::set<JobId> open_dependencies;       // of those that it awaits, the ones not known to be done
  // In memory only:
  std::map<std::uint32_t, MachineId> placed;              // tasks that may be on a machine
  std::set<std::pair<std::uint32_t, MachineId>> orphans;  // found on a second machine besides, never on the same
  std::set<std::uint32_t> requeued;                       // came back, to be started again
  std::uint32_t next_unstarted = 0;                       // no index from here on was ever started
  Time not_before{};
  int failures = 0;
  int failed_waves = 0;             // times that it failed, all tasks of one moment together, since the last result
  std::set<MachineId> failed_on;    // and nothing was done since
  std::uint32_t failed_before = 0;  // machines that it failed on under earlier leaders
  std::uint32_t running = 0;        // tasks reported as running
  bool suspect = false;             // fails wherever it goes: most likely it was submitted with a mistake
  bool limit_logged = false, all_run_logged = false;
  double total_run_s = 0;                            // run time of its tasks that are over, under this leader
  bool start_counted = false, late_counted = false;  // in the service record
  Time waiting_since{};
  Time preempt_after{};
  std::optional<Time> capacity_expected_at;  // when machines that are on their way will have room for all of it

  void reset_urgency();  // as its user stated it
  // The one function that changes the phase; an end is for good.
  bool transition_to(JobPhase next);
  // Tasks that may be placed now; 0 while it is blocked or over.
  [[nodiscard]] std::uint32_t pending_tasks() const;
  [[nodiscard]] std::optional<std::uint32_t> next_pending() const;
  // Tasks that are not done.
  [[nodiscard]] std::uint32_t unfinished() const { return spec.tasks - done.count(); }
  // The task is placed on the machine.
  void assign(std::uint32_t index, const MachineId& machine);
  // The task is on no machine any more.
  void return_to_pending(std::uint32_t index);
  // A task of an array completed, also one that this leader did not start.
  void complete(std::uint32_t index);
  // May be there: as the one place of the task, or besides another.
  void record_placement(std::uint32_t index, const MachineId& machine);
  // On so many machines it failed while nothing of it was done, under earlier leaders too.
  [[nodiscard]] std::uint32_t failed_machines() const {
    return failed_before + static_cast<std::uint32_t>(failed_on.size());
  }
};

}  // namespace martenwall
