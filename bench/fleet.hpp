// A fleet for measurements: machines, jobs and what workers report, made from a size and nothing else. No I/O, no
// clock.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/scheduler/scheduler.hpp"

namespace martenwall::bench {

struct FleetShape {
  std::size_t machines = 0;  // all up
  std::size_t pending = 0;   // tasks that find no place
  std::size_t zones = 3, teams = 2;
  std::size_t cpu_kinds = 0;  // types of 8 CPUs without GPUs, beside the one of 4 GPUs
  double gpu_part = 1;        // of the machines
  std::uint32_t largest_gang = 16;
  std::uint32_t array = 30;  // tasks of an array
  Policy policy{};           // what the leader weighs by
};

// docs/CAPACITY.md's size, or a part of it: two kinds of machine, 15 zones, 48 teams, gangs of up to 64.
FleetShape planned_shape(std::size_t machines);

class Fleet {
 public:
  explicit Fleet(FleetShape kind);
  // Rounds and reports until nothing more can be placed.
  void fill();
  // An array of one-CPU tasks for machines without GPUs, or a gang of whole machines with them.
  JobId add_array(std::uint32_t tasks);
  JobId add_gang(std::uint32_t tasks);
  [[nodiscard]] JobSpec next_spec(JobKind kind, std::uint32_t tasks, Priority priority);
  // Reports in which `count` tasks of machines without GPUs have just ended.
  std::vector<Heartbeat> ends(std::size_t count);
  // Tasks on one machine in `part` complete, and their ends are reported and stored.
  void complete(std::size_t part);
  // Reports of the next `count` machines, in turn; each is sent by its worker as things stand.
  std::vector<Heartbeat> reports(std::size_t count);
  void report(const Heartbeat& r);
  void round();
  void store_all();
  void pass(double s) { now_ += seconds(s); }
  // Everything that a successor reads, handed over in the order in which it is loaded.
  struct Rows {
    std::vector<Job> jobs;
    std::vector<MachineRecord> machines;
    std::vector<TaskRow> tasks;
  };
  [[nodiscard]] Rows rows() const;
  [[nodiscard]] std::unique_ptr<Scheduler> load(const Rows& rows) const;
  [[nodiscard]] Scheduler& scheduler() { return *scheduler_; }
  [[nodiscard]] std::size_t placed() const;
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
  void add_jobs(std::size_t pending);
  void add_job(JobSpec spec);
  void execute(Worker& w, const std::vector<Command>& commands);
  Heartbeat report_of(Worker& w);
  [[nodiscard]] Scheduler::Options options() const;

  [[nodiscard]] std::string team(std::size_t n) const { return "team-" + std::to_string(n % shape_.teams); }
  [[nodiscard]] std::string zone(std::size_t n) const { return "zone-" + std::to_string(n % shape_.zones); }

  Time now_{seconds(1000)};
  FleetShape shape_;
  std::vector<MachineType> types_;
  std::unique_ptr<Scheduler> scheduler_;
  std::vector<Worker> workers_;
  std::map<MachineId, std::size_t> by_id_;
  std::size_t next_worker_ = 0;
  std::uint64_t job_no_ = 0;
  std::map<RowKey, RowWrite> stored_;
};

}  // namespace martenwall::bench
