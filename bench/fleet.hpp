// A fleet for benchmarks: machines, jobs and heartbeats that are derived from the fleet's shape alone. It uses no I/O
// and no clock.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/scheduler/scheduler.hpp"

namespace martenwall::bench {

// Size and composition of a fleet.
struct FleetShape {
  std::size_t machines = 0;       // all up
  std::size_t pending_tasks = 0;  // tasks that cannot be placed
  std::size_t zones = 3, teams = 2;
  std::size_t cpu_types = 0;  // machine types with 8 CPUs and no GPUs, besides the type with 4 GPUs
  double gpu_fraction = 1;    // fraction of the machines with GPUs
  std::uint32_t max_gang_tasks = 16;
  std::uint32_t tasks_per_array = 30;
  Policy policy{};  // policy of the leader
};

// Returns the shape of docs/CAPACITY.md for that number of machines: two machine types, 15 zones, 48 teams, gangs of up
// to 64.
FleetShape planned_shape(std::size_t machines);

// A scheduler with simulated workers, driven by explicit calls.
class Fleet {
 public:
  explicit Fleet(FleetShape shape);
  // Runs rounds and heartbeats until no more tasks can be placed.
  void fill();
  // Add an array of one-CPU tasks for machines without GPUs, or a gang of tasks that each use a whole GPU machine.
  JobId add_array(std::uint32_t tasks);
  JobId add_gang(std::uint32_t tasks);
  [[nodiscard]] JobSpec next_spec(JobKind kind, std::uint32_t tasks, Priority priority);
  // Returns heartbeats in which `count` tasks on machines without GPUs have just ended.
  std::vector<Heartbeat> end_tasks(std::size_t count);
  // Ends the tasks on one of every `stride` machines; the ends are reported and stored.
  void complete_tasks(std::size_t stride);
  // Returns heartbeats of the next `count` machines in rotation, with the current state of each worker.
  std::vector<Heartbeat> next_heartbeats(std::size_t count);
  void deliver(const Heartbeat& heartbeat);
  void run_cycle();
  void store_all();
  void advance_clock(double elapsed_s) { now_ += seconds(elapsed_s); }
  // The stored rows that a new leader reads, in load order.
  struct StoredRows {
    std::vector<Job> jobs;
    std::vector<MachineRecord> machines;
    std::vector<TaskRow> tasks;
  };
  [[nodiscard]] StoredRows stored_rows() const;
  [[nodiscard]] std::unique_ptr<Scheduler> load(const StoredRows& rows) const;
  [[nodiscard]] Scheduler& scheduler() { return *scheduler_; }
  [[nodiscard]] std::size_t placed_tasks() const;
  [[nodiscard]] Time now() const { return now_; }

 private:
  struct Task {
    TaskId id;
    Attempt attempt;
    TaskState state = TaskState::running;
  };
  struct Worker {
    MachineId id;
    std::string type, zone;
    std::uint64_t sequence = 0;
    std::vector<Task> tasks;
  };
  void add_machines(std::size_t count);
  void add_jobs(std::size_t tasks);
  void add_job(JobSpec spec);
  void execute(Worker& worker, const std::vector<Command>& commands);
  Heartbeat make_heartbeat(Worker& worker);
  [[nodiscard]] Scheduler::Options options() const;

  [[nodiscard]] std::string team_name(std::size_t index) const {
    return "team-" + std::to_string(index % shape_.teams);
  }
  [[nodiscard]] std::string zone_name(std::size_t index) const {
    return "zone-" + std::to_string(index % shape_.zones);
  }

  Time now_{seconds(1000)};
  FleetShape shape_;
  std::vector<MachineType> types_;
  std::unique_ptr<Scheduler> scheduler_;
  std::vector<Worker> workers_;
  std::map<MachineId, std::size_t> worker_index_;
  std::size_t next_worker_ = 0;
  std::uint64_t job_count_ = 0;
  std::map<RowKey, RowWrite> stored_writes_;
};

}  // namespace martenwall::bench
