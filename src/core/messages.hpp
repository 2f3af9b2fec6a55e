// What comes into the core and what goes out of it, in standard terms.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/model/model.hpp"

namespace martenwall {

// What a worker says of one task.
struct TaskStatus {
  TaskId task;
  Attempt attempt;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;
};

// A worker's heartbeat with the status of all its tasks.
struct Heartbeat {
  MachineId machine;
  std::string addr, type, zone;
  bool spot = false;
  Incarnation incarnation;
  HeartbeatSequence sequence;
  FencingToken token;  // highest the worker has seen
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;
};

// A heartbeat that the worker sent by itself, or its reply to a command, which tells the same.
enum class StatusSource { heartbeat, command_reply };

// What a worker is to do with one task; `forget`: its end is stored.
struct Command {
  enum class Verb { start, stop, forget };
  Verb verb = Verb::start;
  TaskId task;
  Attempt attempt;
  double grace_s = 0;
};

// What a worker's heartbeat is answered with, by whichever node.
struct HeartbeatResponse {
  enum class Kind : std::uint8_t {
    commands,     // 200: renews its lease
    misdirected,  // this node is not entitled to act
    released,     // the machine was released
    deferred,     // not looked at: the answer would have become too long
  };
  Kind kind = Kind::misdirected;
  std::vector<Command> commands{};
};

// Commands that are sent straight to a worker; it refuses them in another incarnation.
struct CommandBatch {
  MachineId machine;
  std::string addr;
  Incarnation incarnation;
  std::vector<Command> commands;
};

// `unknown`: no answer came, so that the commands may still be executed.
enum class CommandOutcome { executed, refused, not_sent, unknown };

// A machine in the cloud's list.
struct ListedMachine {
  MachineId id;
  std::string addr, type, zone;
  bool spot = false;
  enum class Phase { booting, running, failed } phase = Phase::running;
  double age_s = 0;
};

// Rows of the store.
struct FinalJob {
  JobId id;
  JobPhase phase = JobPhase::done;
  std::uint32_t tasks = 0, done = 0;
  bool dependent = false;  // where its own row stood
};

// What users are told of a job.
struct JobStatus {
  JobId id;
  JobPhase phase = JobPhase::pending;
  std::uint32_t done = 0, running = 0;
  std::string pending_reason{};  // why nothing of it can start, where that lies with its team
};

// What is worth knowing of a machine by a new leader; no rule depends on it.
struct MachineRecord {
  MachineId id;
  std::uint32_t group = 0;  // machines that share a row
  std::string addr, type, zone;
  bool spot = false;
  Incarnation incarnation;
  std::vector<std::pair<std::string, double>> images;  // cached, most recent first
};

// A run of a job's task indices. It says which of them are done and which may be on a machine, and no attempt
// from `next_attempt` on was used for any of them. Team, need and priority stand here too, since the tasks of a
// cancelled job outlive its own row. Where the runs of several rows overlap, the one that begins last counts.
struct TaskRow {
  JobId job;
  std::uint32_t first = 0, size = 0;
  bool is_v1 = false;  // its key has a number instead of `first`; its run follows from the value's limit
  std::string team;
  Resources need;
  Priority priority = Priority::normal;
  std::uint64_t next_attempt = 1;
  std::vector<DoneSet::Range> done;
  // A task that may be on a machine.
  struct PlacedTask {
    std::uint32_t index = 0;
    Attempt attempt;
    MachineId machine;
    std::string zone;
  };
  std::vector<PlacedTask> placed;
  std::uint32_t failed_machines = 0;  // machines that the job failed on while nothing of it was done
};

// A row of the store that is to be written; what is not set is removed.
enum class RowKind { final_job, tasks_v1, tasks, machines };
// Names a row of the store.
struct RowKey {
  RowKind kind = RowKind::tasks;
  std::string id;          // of the job; empty for facts
  std::uint32_t part = 0;  // first index of the run, the number of a legacy row, or the group of machines
  auto operator<=>(const RowKey&) const = default;
};
struct RowWrite {
  RowKey key;
  Generation generation;   // of the job's part
  std::uint32_t size = 0;  // of its run
  std::optional<FinalJob> final_job;
  std::optional<TaskRow> tasks;
  std::vector<MachineRecord> machines;    // of one group of machines; empty: the row goes
  std::vector<std::string> chunk_keys{};  // further keys of the job's own row, which go with it
};

}  // namespace martenwall
