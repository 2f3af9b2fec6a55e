#include "fleet.hpp"

#include <algorithm>

namespace martenwall::bench {

namespace {
constexpr double gpus_a_machine = 4;
}

FleetShape planned_shape(std::size_t machines) {
  FleetShape s;
  s.machines = machines;
  s.zones = 15;
  s.teams = 48;
  s.cpu_kinds = 1;
  s.gpu_part = 1800.0 / 6800;
  s.largest_gang = 64;
  s.array = 400;
  return s;
}

Scheduler::Options Fleet::options() const {
  Scheduler::Options s;
  s.policy = shape_.policy;
  s.timings = {6, 31, 50, 4, 51};
  for (std::size_t t = 0; t < shape_.teams; ++t) {
    s.teams.push_back({team(t), {0, t % 2 == 0 ? 1e6 : 1000, 0}, {0, 1e6, 0}});
  }
  s.token = FencingToken{7};
  s.range_size = 400;
  s.group_size = 60;
  s.log_tasks = false;
  return s;
}

Fleet::Fleet(FleetShape kind) : shape_(std::move(kind)) {
  std::vector<std::string> zones;
  for (std::size_t z = 0; z < shape_.zones; ++z) zones.push_back(zone(z));
  types_ = {{"big", {48, gpus_a_machine, 288}, 80, 0.6, 10, 3, 45, zones}};
  for (std::size_t k = 0; k < shape_.cpu_kinds; ++k) {
    types_.push_back({"small-" + std::to_string(k), {8, 0, 32}, 40, 0.6, 0.4, 0.15, 45, zones});
  }
  scheduler_ = std::make_unique<Scheduler>(options(), [](const std::string&) {});
  scheduler_->set_types(types_);
  add_machines(shape_.machines);
  // What fills the fleet, and what then waits.
  if (shape_.cpu_kinds == 0)
    add_jobs(static_cast<std::size_t>(static_cast<double>(shape_.machines) * gpus_a_machine) + shape_.pending);
}

void Fleet::add_machines(std::size_t count) {
  const auto gpu_machines = static_cast<std::size_t>(static_cast<double>(count) * shape_.gpu_part);
  for (std::size_t i = 0; i < count; ++i) {
    const bool big = i < gpu_machines || shape_.cpu_kinds == 0;
    Worker w{MachineId{"i-" + std::to_string(100000 + i)},
             big ? "big" : "small-" + std::to_string(i % shape_.cpu_kinds),
             zone(i),
             0,
             {}};
    by_id_[w.id] = i;
    workers_.push_back(w);
    report(report_of(workers_.back()));
  }
}

JobSpec Fleet::next_spec(JobKind kind, std::uint32_t tasks, Priority priority) {
  JobSpec spec;
  spec.id = JobId{"job-" + std::to_string(100000 + job_no_++)};
  spec.job_class = kind == JobKind::gang ? "train" : "scan";
  spec.team = team(job_no_);
  spec.kind = kind;
  spec.priority = priority;
  spec.tasks = tasks;
  spec.need = kind == JobKind::gang ? Resources{43, 4, 230} : Resources{10, 1, 54};
  spec.image = "img-" + std::to_string(job_no_ % 20);
  spec.image_gb = 4;
  spec.one_zone = kind == JobKind::gang && job_no_ % 3 == 0;
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
  for (std::size_t k = 0; k < shape_.cpu_kinds; ++k) spec.types->push_back("small-" + std::to_string(k));
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

// A third of the work in gangs of 1 to the largest, a third in arrays, a third in one array of up to 100,000.
void Fleet::add_jobs(std::size_t tasks) {
  std::size_t left = tasks / 3;
  for (std::uint32_t size = 1; left > 0; size = size >= shape_.largest_gang ? 1 : size * 2) {
    const auto n = static_cast<std::uint32_t>(std::min<std::size_t>(size, std::max<std::size_t>(1, left / 4)));
    add_job(next_spec(JobKind::gang, n, Priority::high));
    left -= std::min<std::size_t>(left, n * 4);
  }
  for (left = tasks / 3; left > 0; left -= std::min<std::size_t>(left, shape_.array)) {
    add_job(next_spec(JobKind::array, shape_.array, Priority::normal));
  }
  for (left = tasks / 3; left > 0;) {
    const auto n = std::min<std::size_t>(left, 100'000);
    add_job(next_spec(JobKind::array, static_cast<std::uint32_t>(n), Priority::best_effort));
    left -= n;
  }
}

std::vector<Heartbeat> Fleet::ends(std::size_t count) {
  std::vector<Heartbeat> out;
  for (auto& w : workers_) {
    if (count == 0) break;
    if (w.type == "big" || w.tasks.empty()) continue;
    for (auto& t : w.tasks) {
      if (count == 0) break;
      t.state = TaskState::ended;
      --count;
    }
    out.push_back(report_of(w));
  }
  return out;
}

Heartbeat Fleet::report_of(Worker& w) {
  Heartbeat r;
  r.machine = w.id;
  r.addr = "10.0.0.1:9000";
  r.type = w.type;
  r.zone = w.zone;
  r.incarnation = Incarnation{1};
  r.sequence = HeartbeatSequence{++w.sequence};
  r.token = FencingToken{7};
  for (const auto& t : w.tasks) {
    r.tasks.push_back(
        {t.id, t.attempt, t.state, t.state == TaskState::ended ? ExitCause::done : ExitCause::none, false});
  }
  return r;
}

void Fleet::execute(Worker& w, const std::vector<Command>& commands) {
  for (const auto& o : commands) {
    const auto same = [&](const Task& t) { return t.id == o.task && t.attempt == o.attempt; };
    if (o.verb == Command::Verb::start && std::ranges::none_of(w.tasks, same)) w.tasks.push_back({o.task, o.attempt});
    if (o.verb == Command::Verb::stop) std::erase_if(w.tasks, same);
    if (o.verb == Command::Verb::forget) std::erase_if(w.tasks, same);
  }
}

void Fleet::report(const Heartbeat& r) {
  auto& w = workers_.at(by_id_.at(r.machine));
  execute(w, scheduler_->on_heartbeat(r, StatusSource::heartbeat, now_, true));
  scheduler_->answered(r.machine, now_);
}

std::vector<Heartbeat> Fleet::reports(std::size_t count) {
  std::vector<Heartbeat> out;
  for (std::size_t i = 0; i < count; ++i) {
    out.push_back(report_of(workers_[next_worker_]));
    next_worker_ = (next_worker_ + 1) % workers_.size();
  }
  return out;
}

void Fleet::round() { scheduler_->round(now_); }

void Fleet::store_all() {
  for (;;) {
    const auto rows = scheduler_->take_writes(1000, true, now_ + seconds(10));
    if (rows.empty()) return;
    for (const auto& row : rows) stored_[row.key] = row;
    scheduler_->stored(rows, now_);
  }
}

void Fleet::fill() {
  for (std::size_t before = 1, i = 0; i < 200; ++i) {
    round();
    store_all();
    for (const auto& r : reports(workers_.size())) report(r);
    for (const auto& r : reports(workers_.size())) report(r);
    pass(0.5);
    const auto held = placed();
    if (held == before) break;
    before = held;
  }
  // Hires that were asked for are refused: the fleet is what it is.
  for (const auto& h : scheduler_->take_scale_out_requests()) scheduler_->on_scale_out_refused(h, now_);
}

void Fleet::complete(std::size_t part) {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (i % part != next_worker_ % part) continue;
    for (auto& t : workers_[i].tasks) t.state = TaskState::ended;
    report(report_of(workers_[i]));
  }
  store_all();
  for (auto& w : workers_) {
    if (std::ranges::any_of(w.tasks, [](const Task& t) { return t.state == TaskState::ended; })) report(report_of(w));
  }
  next_worker_ = (next_worker_ + 1) % workers_.size();
}

std::size_t Fleet::placed() const {
  std::size_t n = 0;
  for (const auto& w : workers_) n += w.tasks.size();
  return n;
}

Fleet::Rows Fleet::rows() const {
  Rows out;
  for (const auto& [id, job] : scheduler_->jobs()) {
    Job fresh;
    fresh.spec = job.spec;
    fresh.submitted = job.submitted;
    if (!is_final(job.phase)) out.jobs.push_back(std::move(fresh));
  }
  for (auto it = stored_.rbegin(); it != stored_.rend(); ++it) {
    if (it->second.tasks && !scheduler_->was_finished(JobId{it->first.id})) out.tasks.push_back(*it->second.tasks);
    out.machines.insert(out.machines.end(), it->second.machines.begin(), it->second.machines.end());
  }
  return out;
}

std::unique_ptr<Scheduler> Fleet::load(const Rows& rows) const {
  auto next = options();
  next.token = FencingToken{8};
  auto s = std::make_unique<Scheduler>(next, [](const std::string&) {});
  for (const auto& job : rows.jobs) s->load_job(job, now_);
  for (const auto& m : rows.machines) s->load_machine(m, now_);
  for (const auto& t : rows.tasks) s->load_tasks(t, now_);
  s->finish_load(now_);
  s->set_types(types_);
  return s;
}

}  // namespace martenwall::bench
