// Messages that the core receives and sends.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/model/model.hpp"

namespace martenwall {

// Status of one task as its worker reports it.
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
  FencingToken token;  // highest token that the worker has seen
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;
};

// Source of a task status: a periodic heartbeat or the reply to a command, which carries the same data.
enum class StatusSource { heartbeat, command_reply };

// Instruction to a worker about one task. `forget`: the end of the task is stored, so the worker may drop its record.
struct Command {
  enum class Verb { start, stop, forget };
  Verb verb = Verb::start;
  TaskId task;
  Attempt attempt;
  double grace_s = 0;
};

// Response to a heartbeat, whichever node received it.
struct HeartbeatResponse {
  enum class Kind : std::uint8_t {
    commands,     // HTTP 200: renews the worker's lease
    misdirected,  // this node may not act as leader
    released,     // the machine has been released
    deferred,     // not processed: the response would have exceeded its size limit
  };
  Kind kind = Kind::misdirected;
  std::vector<Command> commands{};
};

// Commands sent directly to a worker, which refuses them if its incarnation differs.
struct CommandBatch {
  MachineId machine;
  std::string addr;
  Incarnation incarnation;
  std::vector<Command> commands;
};

// `unknown`: no response arrived, so the commands may still be executed.
enum class CommandOutcome { executed, refused, not_sent, unknown };

// A machine in the cloud provider's list.
struct ListedMachine {
  MachineId id;
  std::string addr, type, zone;
  bool spot = false;
  enum class Phase { booting, running, failed } phase = Phase::running;
  double age_s = 0;
};

// Stored result of a job that ended.
struct FinalJob {
  JobId id;
  JobPhase phase = JobPhase::done;
  std::uint32_t tasks = 0, done = 0;
  bool dependent = false;  // the job's row has the key prefix for dependent jobs
};

// Status of a job as reported to users.
struct JobStatus {
  JobId id;
  JobPhase phase = JobPhase::pending;
  std::uint32_t done = 0, running = 0;
  std::string pending_reason{};  // set if no task of the job can start because of its team
};

// Data about a machine that helps a new leader; correctness does not depend on it.
struct MachineRecord {
  MachineId id;
  std::uint32_t group = 0;  // group of machines that share a row
  std::string addr, type, zone;
  bool spot = false;
  Incarnation incarnation;
  std::vector<std::pair<std::string, double>> images;  // cached images with their size in GB, most recently used first
};

// State of a contiguous range of a job's task indices: which tasks are done and which may be on a machine. No attempt
// number from `next_attempt` on has been used for any of them. Team, need and priority are included because the tasks
// of a cancelled job outlive the job's own row. If the ranges of several rows overlap, the row with the highest first
// index takes precedence.
struct TaskRow {
  JobId job;
  std::uint32_t first = 0, size = 0;
  bool is_v1 = false;  // the key holds a row number; the size follows from the store's value limit
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
  std::uint32_t failed_machines = 0;  // machines on which the job failed while none of its tasks was done
};

// Kind of a row in the store.
enum class RowKind { final_job, tasks_v1, tasks, machines };
// Identifies a row in the store.
struct RowKey {
  RowKind kind = RowKind::tasks;
  std::string id;          // job id; empty for machine rows
  std::uint32_t part = 0;  // first task index, row number (format 1) or machine group
  auto operator<=>(const RowKey&) const = default;
};
// A row to be written to the store; a row without content is removed.
struct RowWrite {
  RowKey key;
  Generation generation;   // generation of the range that the row holds
  std::uint32_t size = 0;  // number of task indices in the range
  std::optional<FinalJob> final_job;
  std::optional<TaskRow> tasks;
  std::vector<MachineRecord> machines;    // records of one machine group; empty: the row is removed
  std::vector<std::string> chunk_keys{};  // further keys of the job's own row, removed together with it
};

}  // namespace martenwall
