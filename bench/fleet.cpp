#include "fleet.hpp"

#include <algorithm>

namespace martenwall::bench {

namespace {
constexpr double gpus_per_machine = 4;
}

FleetShape planned_shape(std::size_t machines) {
  FleetShape shape;
  shape.machines = machines;
  shape.zones = 15;
  shape.teams = 48;
  shape.cpu_types = 1;
  shape.gpu_fraction = 1800.0 / 6800;
  shape.max_gang_tasks = 64;
  shape.tasks_per_array = 400;
  return shape;
}

Scheduler::Options Fleet::options() const {
  Scheduler::Options result;
  result.policy = shape_.policy;
  result.timings = {6, 31, 50, 4, 51};
  for (std::size_t t = 0; t < shape_.teams; ++t) {
    result.teams.push_back({team_name(t), {0, t % 2 == 0 ? 1e6 : 1000, 0}, {0, 1e6, 0}});
  }
  result.token = FencingToken{7};
  result.range_size = 400;
  result.group_size = 60;
  result.log_tasks = false;
  return result;
}

Fleet::Fleet(FleetShape shape) : shape_(std::move(shape)) {
  std::vector<std::string> zones;
  for (std::size_t z = 0; z < shape_.zones; ++z) zones.push_back(zone_name(z));
  types_ = {{"big", {48, gpus_per_machine, 288}, 80, 0.6, 10, 3, 45, zones}};
  for (std::size_t k = 0; k < shape_.cpu_types; ++k) {
    types_.push_back({"small-" + std::to_string(k), {8, 0, 32}, 40, 0.6, 0.4, 0.15, 45, zones});
  }
  scheduler_ = std::make_unique<Scheduler>(options(), [](const std::string&) {});
  scheduler_->set_types(types_);
  add_machines(shape_.machines);
  // Adds the jobs that fill the fleet, and those that remain pending.
  if (shape_.cpu_types == 0)
    add_jobs(static_cast<std::size_t>(static_cast<double>(shape_.machines) * gpus_per_machine) + shape_.pending_tasks);
}

void Fleet::add_machines(std::size_t count) {
  const auto gpu_machines = static_cast<std::size_t>(static_cast<double>(count) * shape_.gpu_fraction);
  for (std::size_t i = 0; i < count; ++i) {
    const bool has_gpus = i < gpu_machines || shape_.cpu_types == 0;
    Worker worker{MachineId{"i-" + std::to_string(100000 + i)},
                  has_gpus ? "big" : "small-" + std::to_string(i % shape_.cpu_types),
                  zone_name(i),
                  0,
                  {}};
    worker_index_[worker.id] = i;
    workers_.push_back(worker);
    deliver(make_heartbeat(workers_.back()));
  }
}

JobSpec Fleet::next_spec(JobKind kind, std::uint32_t tasks, Priority priority) {
  JobSpec spec;
  spec.id = JobId{"job-" + std::to_string(100000 + job_count_++)};
  spec.job_class = kind == JobKind::gang ? "train" : "scan";
  spec.team = team_name(job_count_);
  spec.kind = kind;
  spec.priority = priority;
  spec.tasks = tasks;
  spec.need = kind == JobKind::gang ? Resources{43, 4, 230} : Resources{10, 1, 54};
  spec.image = "img-" + std::to_string(job_count_ % 20);
  spec.image_gb = 4;
  spec.one_zone = kind == JobKind::gang && job_count_ % 3 == 0;
  spec.estimate_s = 100;
  spec.checkpoint_interval_s = 20;
  spec.checkpoint_duration_s = 3;
  if (kind == JobKind::array) spec.deadline_s = 400;
  return spec;
}

void Fleet::add_job(JobSpec spec) {
  Job job;
  job.spec = std::move(spec);
  job.submitted = now_;
  scheduler_->add_job(std::move(job), now_);
}

JobId Fleet::add_array(std::uint32_t tasks) {
  auto spec = next_spec(JobKind::array, tasks, Priority::best_effort);
  spec.need = {1, 0, 3};
  spec.types.emplace();
  for (std::size_t k = 0; k < shape_.cpu_types; ++k) spec.types->push_back("small-" + std::to_string(k));
  const JobId id = spec.id;
  add_job(std::move(spec));
  return id;
}

JobId Fleet::add_gang(std::uint32_t tasks) {
  auto spec = next_spec(JobKind::gang, tasks, Priority::high);
  spec.types = {"big"};
  spec.one_zone = false;
  const JobId id = spec.id;
  add_job(std::move(spec));
  return id;
}

// Adds a third of the tasks in gangs of 1 to the largest size, a third in arrays, and a third in arrays of up to
// 100,000.
void Fleet::add_jobs(std::size_t tasks) {
  std::size_t remaining = tasks / 3;
  for (std::uint32_t size = 1; remaining > 0; size = size >= shape_.max_gang_tasks ? 1 : size * 2) {
    const auto gang_tasks =
        static_cast<std::uint32_t>(std::min<std::size_t>(size, std::max<std::size_t>(1, remaining / 4)));
    add_job(next_spec(JobKind::gang, gang_tasks, Priority::high));
    remaining -= std::min<std::size_t>(remaining, gang_tasks * 4);
  }
  for (remaining = tasks / 3; remaining > 0; remaining -= std::min<std::size_t>(remaining, shape_.tasks_per_array)) {
    add_job(next_spec(JobKind::array, shape_.tasks_per_array, Priority::normal));
  }
  for (remaining = tasks / 3; remaining > 0;) {
    const auto array_tasks = std::min<std::size_t>(remaining, 100'000);
    add_job(next_spec(JobKind::array, static_cast<std::uint32_t>(array_tasks), Priority::best_effort));
    remaining -= array_tasks;
  }
}

std::vector<Heartbeat> Fleet::end_tasks(std::size_t count) {
  std::vector<Heartbeat> out;
  for (auto& worker : workers_) {
    if (count == 0) break;
    if (worker.type == "big" || worker.tasks.empty()) continue;
    for (auto& task : worker.tasks) {
      if (count == 0) break;
      task.state = TaskState::ended;
      --count;
    }
    out.push_back(make_heartbeat(worker));
  }
  return out;
}

Heartbeat Fleet::make_heartbeat(Worker& worker) {
  Heartbeat heartbeat;
  heartbeat.machine = worker.id;
  heartbeat.addr = "10.0.0.1:9000";
  heartbeat.type = worker.type;
  heartbeat.zone = worker.zone;
  heartbeat.incarnation = Incarnation{1};
  heartbeat.sequence = HeartbeatSequence{++worker.sequence};
  heartbeat.token = FencingToken{7};
  for (const auto& task : worker.tasks) {
    heartbeat.tasks.push_back(
        {task.id, task.attempt, task.state, task.state == TaskState::ended ? ExitCause::done : ExitCause::none, false});
  }
  return heartbeat;
}

void Fleet::execute(Worker& worker, const std::vector<Command>& commands) {
  for (const auto& command : commands) {
    const auto same_attempt = [&](const Task& task) {
      return task.id == command.task && task.attempt == command.attempt;
    };
    if (command.verb == Command::Verb::start && std::ranges::none_of(worker.tasks, same_attempt))
      worker.tasks.push_back({command.task, command.attempt});
    if (command.verb == Command::Verb::stop) std::erase_if(worker.tasks, same_attempt);
    if (command.verb == Command::Verb::forget) std::erase_if(worker.tasks, same_attempt);
  }
}

void Fleet::deliver(const Heartbeat& heartbeat) {
  auto& worker = workers_.at(worker_index_.at(heartbeat.machine));
  execute(worker, scheduler_->on_heartbeat(heartbeat, StatusSource::heartbeat, now_, true));
  scheduler_->on_heartbeat_answered(heartbeat.machine, now_);
}

std::vector<Heartbeat> Fleet::next_heartbeats(std::size_t count) {
  std::vector<Heartbeat> out;
  for (std::size_t i = 0; i < count; ++i) {
    out.push_back(make_heartbeat(workers_[next_worker_]));
    next_worker_ = (next_worker_ + 1) % workers_.size();
  }
  return out;
}

void Fleet::run_cycle() { scheduler_->run_cycle(now_); }

void Fleet::store_all() {
  for (;;) {
    const auto rows = scheduler_->take_writes(1000, true, now_ + seconds(10));
    if (rows.empty()) return;
    for (const auto& row : rows) stored_writes_[row.key] = row;
    scheduler_->on_rows_stored(rows, now_);
  }
}

void Fleet::fill() {
  for (std::size_t previous = 1, i = 0; i < 200; ++i) {
    run_cycle();
    store_all();
    for (const auto& heartbeat : next_heartbeats(workers_.size())) deliver(heartbeat);
    for (const auto& heartbeat : next_heartbeats(workers_.size())) deliver(heartbeat);
    advance_clock(0.5);
    const auto placed = placed_tasks();
    if (placed == previous) break;
    previous = placed;
  }
  // Refuses all scale-out requests, so that the fleet keeps its size.
  for (const auto& request : scheduler_->take_scale_out_requests()) scheduler_->on_scale_out_refused(request, now_);
}

void Fleet::complete_tasks(std::size_t stride) {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (i % stride != next_worker_ % stride) continue;
    for (auto& task : workers_[i].tasks) task.state = TaskState::ended;
    deliver(make_heartbeat(workers_[i]));
  }
  store_all();
  for (auto& worker : workers_) {
    if (std::ranges::any_of(worker.tasks, [](const Task& task) { return task.state == TaskState::ended; }))
      deliver(make_heartbeat(worker));
  }
  next_worker_ = (next_worker_ + 1) % workers_.size();
}

std::size_t Fleet::placed_tasks() const {
  std::size_t count = 0;
  for (const auto& worker : workers_) count += worker.tasks.size();
  return count;
}

Fleet::StoredRows Fleet::stored_rows() const {
  StoredRows out;
  for (const auto& [id, job] : scheduler_->jobs()) {
    Job stored_job;
    stored_job.spec = job.spec;
    stored_job.submitted = job.submitted;
    if (!is_final(job.phase)) out.jobs.push_back(std::move(stored_job));
  }
  for (auto it = stored_writes_.rbegin(); it != stored_writes_.rend(); ++it) {
    if (it->second.tasks && !scheduler_->was_finished(JobId{it->first.id})) out.tasks.push_back(*it->second.tasks);
    out.machines.insert(out.machines.end(), it->second.machines.begin(), it->second.machines.end());
  }
  return out;
}

std::unique_ptr<Scheduler> Fleet::load(const StoredRows& rows) const {
  auto new_leader = options();
  new_leader.token = FencingToken{8};
  auto loaded = std::make_unique<Scheduler>(new_leader, [](const std::string&) {});
  for (const auto& job : rows.jobs) loaded->load_job(job, now_);
  for (const auto& record : rows.machines) loaded->load_machine(record, now_);
  for (const auto& tasks : rows.tasks) loaded->load_tasks(tasks, now_);
  loaded->finish_load(now_);
  loaded->set_types(types_);
  return loaded;
}

}  // namespace martenwall::bench
