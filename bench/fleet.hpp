// A fleet for measurements: machines, jobs and what workers report, made from a size and nothing else. No I/O, no
// clock.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/scheduler.hpp"

namespace martenwall::bench {

class Fleet {
 public:
  // `machines`: of 4 GPUs each, all up. `pending`: tasks that find no place, in arrays and gangs of 1 to 16.
  // `policy`: what the leader weighs by.
  Fleet(std::size_t machines, std::size_t pending, Policy policy = {});
  // Rounds and reports until nothing more can be placed.
  void fill();
  // Tasks on one machine in `part` complete, and their ends are reported and stored.
  void complete(std::size_t part);
  // Reports of the next `count` machines, in turn; each is sent by its worker as things stand.
  std::vector<WorkerReport> reports(std::size_t count);
  void report(const WorkerReport& r);
  void round();
  void store_all();
  void pass(double s) { now_ += seconds(s); }
  // Everything that a successor reads, handed over in the order in which it is loaded.
  struct Rows {
    std::vector<Job> jobs;
    std::vector<MachineFacts> machines;
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
    std::uint64_t tick = 0;
    std::vector<Task> tasks;
  };
  void add_machines(std::size_t count);
  void add_jobs(std::size_t pending);
  void add_job(Shape shape, std::uint32_t tasks, Rank rank);
  void execute(Worker& w, const std::vector<Order>& orders);
  WorkerReport report_of(Worker& w);
  [[nodiscard]] Scheduler::Setup setup() const;

  Time now_{seconds(1000)};
  Policy policy_;
  std::vector<MachineType> types_;
  std::unique_ptr<Scheduler> scheduler_;
  std::vector<Worker> workers_;
  std::map<MachineId, std::size_t> by_id_;
  std::size_t next_worker_ = 0;
  std::uint64_t job_no_ = 0;
  std::map<RowKey, RowWrite> stored_;
};

}  // namespace martenwall::bench
