// Model of a machine's worker as PROTOCOL describes it: incarnations, fencing tokens, tasks, images and commands. No
// I/O and no clock: the owner sends its heartbeats to a controller and passes the responses back.
#pragma once
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "stand_ins/rules.hpp"

namespace martenwall::stand_ins {

// Static properties of a machine.
struct MachineTraits {
  MachineId id;
  std::string endpoint, type, zone;
  bool spot = false;
  Resources capacity;
  double cache_gb = 0;  // image cache; 0: no cache, each task fetches its own image
};

// State shared by all workers.
struct WorkerContext {
  Rules& rules;
  WorkerTimings timings;
  std::function<double(const JobSpec&)> fetch_s;  // image fetch time for such a job, drawn on each call
};

// The image cache of one machine: one fetch serves all waiting tasks; the least recently used images are evicted.
class ImageCache {
 public:
  explicit ImageCache(double max_gb) : max_gb_(max_gb) {}
  // Returns when the image is available; `fetch` gives the duration of a fetch that has to begin now.
  Time ready_at(const JobSpec& spec, Time now, const std::function<Duration()>& fetch);
  void abandon_fetch(const std::string& image, Time now);  // when no task waits for the image
  void clear() { images_.clear(); }

 private:
  struct Image {
    std::string name;
    double gb = 0;
    Time ready{};
  };
  double max_gb_;
  std::vector<Image> images_;  // most recently used first
};

// State and behaviour of one worker: lease, incarnation, fencing token, and the tasks on its machine.
class WorkerModel {
 public:
  WorkerModel(WorkerContext& world, MachineTraits traits, Time boots);
  void tick(Time now, bool hangs);  // advances tasks and lease expiry; if it hangs, lease expiry only
  void terminate();                 // the machine and all its tasks disappear
  void restart(Time now);           // drops all tasks and starts the next incarnation

  // Returns the body of a heartbeat or of a command response.
  [[nodiscard]] std::string report();
  // Applies a 200 response to a heartbeat of that incarnation, sent at `sent`. Returns false if it is dropped.
  bool apply_response(const nlohmann::json& body, std::uint64_t incarnation, Time sent, Time now);
  struct Reply {
    int status = 200;
    std::string body;
    bool executed = false;
  };
  Reply commands(const nlohmann::json& body, Time now);
  // Whether something worth an early heartbeat changed since `reported()`.
  [[nodiscard]] bool changed() const { return changed_; }
  void reported() { changed_ = false; }

  [[nodiscard]] const MachineTraits& traits() const { return traits_; }
  void set_endpoint(std::string endpoint) { traits_.endpoint = std::move(endpoint); }
  [[nodiscard]] bool up(Time now) const { return !gone_ && now >= boots_; }
  [[nodiscard]] bool gone() const { return gone_; }
  // Whether any task has not ended.
  [[nodiscard]] bool busy() const;
  // Returns the capacity that is not used by tasks that have not ended.
  [[nodiscard]] Resources free() const;
  [[nodiscard]] bool has(const JobId& job) const;  // whether any task of the job has not ended
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  [[nodiscard]] std::uint64_t token() const { return token_; }
  [[nodiscard]] std::size_t lost_to_lease() const { return lost_to_lease_; }  // tasks lost to lease expiry

 private:
  enum class Phase { fetching, gathering, running, saving, ended };
  struct TaskOnMachine {
    Phase phase = Phase::fetching;
    std::string cause;
    bool saved = false;
    Time since{}, until{};
    std::optional<Time> peer_lost;
  };
  using Key = std::pair<TaskId, std::uint64_t>;  // task and attempt
  static const char* name_of(Phase phase);
  void execute(const nlohmann::json& command_list, Time now);
  void begin_task(const Key& key, Time now);
  void stop_task(TaskOnMachine& task, const Key& key, double grace_s, Time now);
  void end_task(TaskOnMachine& task, const Key& key, const char* cause, Time now);
  void step_task(const Key& key, TaskOnMachine& task, Time now);
  void drop_all_tasks();
  [[nodiscard]] const JobSpec& spec_of(const Key& key) const { return world_.rules.job(key.first.job).spec; }
  friend class Gangs;

  WorkerContext& world_;
  MachineTraits traits_;
  Time boots_;
  bool gone_ = false;
  std::uint64_t incarnation_ = 1, sequence_ = 0, token_ = 0;
  Time lease_renewed_at_{};
  bool changed_ = false;
  ImageCache images_;
  std::map<Key, TaskOnMachine> tasks_;
  std::size_t gang_tasks_ = 0;  // that have not ended
  std::size_t lost_to_lease_ = 0;
};

// The controller to which a worker sends heartbeats, and the time of the next one.
struct HeartbeatRoute {
  std::size_t target = 0;  // index into the controllers
  Time next_heartbeat{};
  // Applies PROTOCOL's response table; `status` 0 means no response in time. Returns true for a 200, which the worker
  // itself may still drop.
  bool follow(int status, const nlohmann::json& body, const std::vector<std::string>& controllers, Time now);
};

// Advances gangs: tasks with the same job and attempt form one gang, across machines.
class Gangs {
 public:
  // `workers`: all workers that are up and do not hang.
  static void step(const std::vector<WorkerModel*>& workers, Time now);
};

}  // namespace martenwall::stand_ins
