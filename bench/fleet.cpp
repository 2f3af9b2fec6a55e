#include "fleet.hpp"

#include <algorithm>

namespace martenwall::bench {

namespace {
constexpr double gpus_a_machine = 4;
}

Scheduler::Setup Fleet::setup() const {
  Scheduler::Setup s;
  s.policy = policy_;
  s.terms = {6, 31, 50, 4, 51};
  s.teams = {{"red", {0, 1e6, 0}, {0, 1e6, 0}}, {"blue", {0, 1000, 0}, {0, 1e6, 0}}};
  s.token = Token{7};
  s.span_size = 400;
  s.group_size = 60;
  return s;
}

Fleet::Fleet(std::size_t machines, std::size_t pending, Policy policy) : policy_(std::move(policy)) {
  types_ = {{"big", {48, gpus_a_machine, 288}, 80, 0.6, 10, 3, 45, {"a", "b", "c"}}};
  scheduler_ = std::make_unique<Scheduler>(setup(), [](const std::string&) {});
  scheduler_->set_types(types_);
  add_machines(machines);
  // What fills the fleet, and what then waits.
  add_jobs(static_cast<std::size_t>(static_cast<double>(machines) * gpus_a_machine) + pending);
}

void Fleet::add_machines(std::size_t count) {
  constexpr std::array<const char*, 3> zones{"a", "b", "c"};
  for (std::size_t i = 0; i < count; ++i) {
    Worker w{MachineId{"i-" + std::to_string(100000 + i)}, 0, {}};
    by_id_[w.id] = i;
    workers_.push_back(w);
    WorkerReport r = report_of(workers_.back());
    r.zone = zones.at(i % zones.size());
    report(r);
  }
}

void Fleet::add_job(Shape shape, std::uint32_t tasks, Rank rank) {
  Job job;
  job.spec.id = JobId{"job-" + std::to_string(100000 + job_no_++)};
  job.spec.lane = shape == Shape::gang ? "train" : "scan";
  job.spec.team = job_no_ % 2 == 0 ? "red" : "blue";
  job.spec.shape = shape;
  job.spec.rank = rank;
  job.spec.tasks = tasks;
  job.spec.need = shape == Shape::gang ? Resources{43, 4, 230} : Resources{10, 1, 54};
  job.spec.image = "img-" + std::to_string(job_no_ % 20);
  job.spec.image_gb = 4;
  job.spec.one_zone = shape == Shape::gang && job_no_ % 3 == 0;
  job.spec.estimate_s = 100;
  job.spec.checkpoint_s = 20;
  job.spec.save_s = 3;
  if (shape == Shape::array) job.spec.deadline_s = 400;
  job.submitted = now_;
  scheduler_->add_job(std::move(job), now_);
}

// A third of the work in gangs of 1 to 16, a third in arrays of 30, a third in one array of up to 100,000.
void Fleet::add_jobs(std::size_t tasks) {
  std::size_t left = tasks / 3;
  for (std::uint32_t size = 1; left > 0; size = size >= 16 ? 1 : size * 2) {
    const auto n = static_cast<std::uint32_t>(std::min<std::size_t>(size, std::max<std::size_t>(1, left / 4)));
    add_job(Shape::gang, n, Rank::high);
    left -= std::min<std::size_t>(left, n * 4);
  }
  for (left = tasks / 3; left > 0; left -= std::min<std::size_t>(left, 30)) add_job(Shape::array, 30, Rank::normal);
  for (left = tasks / 3; left > 0;) {
    const auto n = std::min<std::size_t>(left, 100'000);
    add_job(Shape::array, static_cast<std::uint32_t>(n), Rank::best_effort);
    left -= n;
  }
}

WorkerReport Fleet::report_of(Worker& w) {
  WorkerReport r;
  r.machine = w.id;
  r.addr = "10.0.0.1:9000";
  r.type = "big";
  const auto known = scheduler_->machines().find(w.id);
  r.zone = known == scheduler_->machines().end() ? "a" : known->second.zone;
  r.session = Session{1};
  r.tick = Tick{++w.tick};
  r.token = Token{7};
  for (const auto& t : w.tasks) {
    r.tasks.push_back(
        {t.id, t.attempt, t.state, t.state == TaskState::ended ? ExitCause::done : ExitCause::none, false});
  }
  return r;
}

void Fleet::execute(Worker& w, const std::vector<Order>& orders) {
  for (const auto& o : orders) {
    const auto same = [&](const Task& t) { return t.id == o.task && t.attempt == o.attempt; };
    if (o.verb == Order::Verb::start && std::ranges::none_of(w.tasks, same)) w.tasks.push_back({o.task, o.attempt});
    if (o.verb == Order::Verb::stop) std::erase_if(w.tasks, same);
    if (o.verb == Order::Verb::forget) std::erase_if(w.tasks, same);
  }
}

void Fleet::report(const WorkerReport& r) {
  auto& w = workers_.at(by_id_.at(r.machine));
  execute(w, scheduler_->on_report(r, ReportSource::beat, now_, true));
  scheduler_->answered(r.machine, now_);
}

std::vector<WorkerReport> Fleet::reports(std::size_t count) {
  std::vector<WorkerReport> out;
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
  for (const auto& h : scheduler_->take_hires()) scheduler_->on_refused(h, now_);
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
    if (it->second.tasks && !scheduler_->was_final(JobId{it->first.id})) out.tasks.push_back(*it->second.tasks);
    out.machines.insert(out.machines.end(), it->second.facts.begin(), it->second.facts.end());
  }
  return out;
}

std::unique_ptr<Scheduler> Fleet::load(const Rows& rows) const {
  auto next = setup();
  next.token = Token{8};
  auto s = std::make_unique<Scheduler>(next, [](const std::string&) {});
  for (const auto& job : rows.jobs) s->load_job(job, now_);
  for (const auto& m : rows.machines) s->load_machine(m, now_);
  for (const auto& t : rows.tasks) s->load_tasks(t, now_);
  s->finish_load(now_);
  s->set_types(types_);
  return s;
}

}  // namespace martenwall::bench
