// A machine's worker as PROTOCOL describes it: sessions, tokens, tasks, images and commands. No I/O and no clock:
// whoever owns it carries its reports to a controller and hands it what comes back.
#pragma once
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "stand_ins/rules.hpp"

namespace martenwall::stand_ins {

// What a machine is.
struct MachineTraits {
  MachineId id;
  std::string endpoint, type, zone;
  bool spot = false;
  Resources room;
  double cache_gb = 0;  // of images; 0: none is kept, each task fetches its own
};

// What workers share.
struct WorkerContext {
  Rules& rules;
  WorkerTimings timings;
  std::function<double(const JobSpec&)> fetch_s;  // how long the image of such a job takes to come, drawn anew
};

// The images of one machine: fetched once for all tasks that wait, the most recently used ones kept.
class ImageCache {
 public:
  explicit ImageCache(double most_gb) : most_gb_(most_gb) {}
  // When the image is there; `fetch` is the time of a fetch that has to begin now.
  Time ready_at(const JobSpec& spec, Time now, const std::function<Duration()>& fetch);
  void abandon_fetch(const std::string& image, Time now);  // no task waits for it any more
  void clear() { images_.clear(); }

 private:
  struct Image {
    std::string name;
    double gb = 0;
    Time ready{};
  };
  double most_gb_;
  std::vector<Image> images_;  // most recently used first
};

// State and behaviour of one worker: lease, incarnation, fencing token, and the tasks on its machine.
class WorkerModel {
 public:
  WorkerModel(WorkerContext& world, MachineTraits traits, Time boots);
  void tick(Time now, bool hangs);  // tasks, and the end of its lease; a machine that hangs only loses its lease
  void take_away();                 // the machine and all that is on it are gone
  void restart(Time now);           // the same machine anew: all tasks gone, the next session

  // The body of a report, or of an answer to a command.
  [[nodiscard]] std::string report();
  // A controller's answer with 200 to a report of that session, sent then; false where it is dropped.
  bool take_answer(const nlohmann::json& body, std::uint64_t incarnation, Time sent, Time now);
  struct Reply {
    int status = 200;
    std::string body;
    bool executed = false;
  };
  Reply commands(const nlohmann::json& body, Time now);
  // Something changed since the last call that is worth a report.
  [[nodiscard]] bool changed() const { return changed_; }
  void reported() { changed_ = false; }

  [[nodiscard]] const MachineTraits& traits() const { return traits_; }
  void set_endpoint(std::string endpoint) { traits_.endpoint = std::move(endpoint); }
  [[nodiscard]] bool up(Time now) const { return !gone_ && now >= boots_; }
  [[nodiscard]] bool gone() const { return gone_; }
  // Whether any task on it has not ended.
  [[nodiscard]] bool busy() const;
  // What the tasks that have not ended leave of the machine.
  [[nodiscard]] Resources free() const;
  [[nodiscard]] bool has(const JobId& job) const;  // a task of it, in any state but ended
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  [[nodiscard]] std::uint64_t token() const { return token_; }
  [[nodiscard]] std::size_t lost_to_lease() const { return lost_to_lease_; }  // tasks

 private:
  enum class Phase { fetching, gathering, running, saving, ended };
  struct TaskOnMachine {
    Phase phase = Phase::fetching;
    std::string cause;
    bool saved = false;
    Time since{}, until{};
    std::optional<Time> peer_lost;
  };
  using Key = std::pair<TaskId, std::uint64_t>;  // with the attempt
  static const char* name_of(Phase phase);
  void execute(const nlohmann::json& command_list, Time now);
  void begin_task(const Key& key, Time now);
  void stop_task(TaskOnMachine& task, const Key& key, double grace_s, Time now);
  void end_task(TaskOnMachine& task, const Key& key, const char* cause, Time now);
  void step_task(const Key& key, TaskOnMachine& task, Time now);
  void forget_all();
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
  std::size_t gang_tasks_ = 0;  // not ended
  std::size_t lost_to_lease_ = 0;
};

// Where a worker reports to, and when next.
struct HeartbeatRoute {
  std::size_t target = 0;  // of the controllers
  Time next_heartbeat{};
  // PROTOCOL's table of responses; `status` 0: none in time. True for a 200, which the worker itself may still drop.
  bool follow(int status, const nlohmann::json& body, const std::vector<std::string>& controllers, Time now);
};

// The tasks of a gang find one another by their attempt, wherever they are.
class Gangs {
 public:
  // `workers`: all that are up and do not hang.
  static void step(const std::vector<WorkerModel*>& workers, Time now);
};

}  // namespace martenwall::stand_ins
