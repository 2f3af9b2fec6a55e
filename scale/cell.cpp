#include "scale/cell.hpp"

#include <algorithm>
#include <fstream>

namespace martenwall::scale {

namespace {

using nlohmann::json;

constexpr Duration tick_interval = seconds(0.05);
constexpr Duration restart_duration = seconds(5);
constexpr Duration limits_adoption_time = seconds(8);
constexpr double third = 1.0 / 3;

std::vector<std::string> controller_names(const std::vector<ControllerAddress>& controllers) {
  std::vector<std::string> names;
  for (const auto& c : controllers) names.push_back(c.name);
  return names;
}

}  // namespace

Cell::Cell(rt::Loop& loop, CellPlan plan)
    : loop_(loop),
      plan_(std::move(plan)),
      random_(plan_.seed + 1),
      rules_(plan_.timings, plan_.teams),
      workers_{loop,
               {rules_, plan_.timings,
                [this](const JobSpec& spec) {
                  // PROTOCOL: fetch times vary by a third. All machine types of a plan have the same fetch rate.
                  return spec.image_gb / plan_.types.front().fetch_gb_per_s *
                         (1 + third * (2 * workers_.uniform() - 1));
                }},
               plan_.controllers,
               controller_names(plan_.controllers),
               [this] {
                 return std::uniform_real_distribution<>{0, 1}(random_);
               },
               {}},
      cloud_(loop, plan_, workers_),
      balancer_(loop, plan_.controllers),
      users_(loop, plan_, rules_, balancer_) {}

int Cell::run() {
  started_at_ = loop_.update_time();
  cloud_.run();
  for (std::size_t node = 0; node < balancer_.nodes(); ++node) rt::spawn(balancer_.probe(node));
  rt::spawn(tick_loop());
  rt::spawn(run_plan());
  while (!finished_) loop_.step();
  write_result();
  return rules_.violations().empty() ? 0 : 1;
}

rt::Task<void> Cell::tick_loop() {
  Time next_second = loop_.now() + seconds(1);
  std::size_t started_before = 0;
  for (;;) {
    const Time began = loop_.update_time();
    std::vector<stand_ins::WorkerModel*> running_workers;
    for (const auto& worker : cloud_.workers()) {
      if (worker->model().gone()) continue;
      worker->tick();
      if (worker->model().up(began)) running_workers.push_back(&worker->model());
    }
    stand_ins::Gangs::step(running_workers, began);
    for (const auto& worker : cloud_.workers()) {
      worker->wake_if_changed();
    }
    rules_.tick(began);
    if (began >= next_second) {
      next_second += seconds(1);
      for (const auto& worker : cloud_.workers()) {
        busiest_worker_bytes_ = std::max(busiest_worker_bytes_, static_cast<double>(worker->reset_traffic_bytes()));
      }
      samples_.push_back({rules_.started() - started_before, rules_.tasks_on_machines()});
      started_before = rules_.started();
    }
    longest_tick_s_ = std::max(longest_tick_s_, to_seconds(loop_.update_time() - began));
    co_await loop_.sleep(tick_interval);
  }
}

rt::Task<void> Cell::run_event(Event event) {
  co_await loop_.sleep(seconds(event.at_s));
  if (event.kind == Event::Kind::limits) {
    rules_.change_limits(event.teams, loop_.now(), limits_adoption_time);
    co_return;
  }
  if (event.kind == Event::Kind::cut_zone) {
    for (const auto& worker : cloud_.workers()) {
      if (worker->zone() == event.zone) worker->partition_for(seconds(event.for_s));
    }
    co_return;
  }
  const Time until = loop_.now() + seconds(event.for_s);
  double pending_restarts = 0;
  while (loop_.now() < until) {
    co_await loop_.sleep(seconds(1));
    pending_restarts += event.restarts_per_minute / 60 * static_cast<double>(cloud_.workers().size());
    for (; pending_restarts >= 1; --pending_restarts) {
      const auto index = static_cast<std::size_t>(workers_.uniform() * static_cast<double>(cloud_.workers().size()));
      auto& worker = *cloud_.workers().at(index);
      if (worker.model().gone()) continue;
      worker.partition_for(restart_duration);
      worker.restart();
    }
  }
}

rt::Task<void> Cell::run_plan() {
  constexpr Duration startup_timeout = seconds(60);
  const Time startup_deadline = loop_.now() + startup_timeout;
  while (balancer_.healthy() < balancer_.nodes() && loop_.now() < startup_deadline) co_await loop_.sleep(seconds(0.2));
  co_await loop_.sleep(seconds(plan_.begin_s));
  started_at_ = loop_.now();
  double faults_end_s = 0;
  for (const auto& event : plan_.events) {
    faults_end_s = std::max(faults_end_s, event.at_s + event.for_s);
    rt::spawn(run_event(event));
  }
  const Time until = started_at_ + seconds(plan_.arrivals_s);
  for (std::size_t c = 0; c < plan_.classes.size(); ++c) rt::spawn(users_.submit_jobs(c, until));
  rt::spawn(users_.poll_unknown_jobs(until));
  while (loop_.now() < until || elapsed_s() < faults_end_s) co_await loop_.sleep(seconds(0.2));
  rules_.all_faults_over(loop_.now());
  const Time drain_deadline = loop_.now() + seconds(plan_.drain_s);
  while (users_.open_jobs() > 0 && loop_.now() < drain_deadline) co_await loop_.sleep(seconds(0.2));
  rules_.finish(loop_.now());
  finished_ = true;
}

void Cell::write_result() {
  json starts = json::array();
  json running = json::array();
  for (const auto& s : samples_) {
    starts.push_back(s.started);
    running.push_back(s.on_machines);
  }
  std::size_t lost_to_lease = 0;
  for (const auto& worker : cloud_.workers()) lost_to_lease += worker->model().lost_to_lease();
  const auto& traffic = workers_.traffic;
  json result = users_.result(started_at_);
  result["breaches"] = rules_.violations();
  result["started"] = rules_.started();
  result["open_jobs"] = users_.open_jobs();
  result["length_s"] = elapsed_s();
  result["starts_a_second"] = starts;
  result["on_machines"] = running;
  result["workers"] = {{"machines", cloud_.workers().size()},    {"reports", traffic.reports},
                       {"answered", traffic.answered},           {"report_bytes", traffic.report_bytes},
                       {"answer_bytes", traffic.answer_bytes},   {"commands", traffic.commands},
                       {"command_bytes", traffic.command_bytes}, {"busiest_bytes_in_a_second", busiest_worker_bytes_},
                       {"lost_to_lease", lost_to_lease}};
  result["cloud_calls"] = cloud_.calls();
  result["longest_tick_s"] = longest_tick_s_;
  std::ofstream{plan_.result} << result.dump() << "\n";
}

}  // namespace martenwall::scale
