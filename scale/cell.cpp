#include "scale/cell.hpp"

#include <algorithm>
#include <fstream>

namespace martenwall::scale {

namespace {

using nlohmann::json;

constexpr Duration tick_every = seconds(0.05);
constexpr Duration restart_takes = seconds(5);
constexpr Duration limits_in_force = seconds(8);
constexpr double third = 1.0 / 3;

std::vector<std::string> names_of(const std::vector<ControllerAddress>& controllers) {
  std::vector<std::string> out;
  for (const auto& c : controllers) out.push_back(c.name);
  return out;
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
                  // PROTOCOL: give or take a third. All types of a plan fetch alike.
                  return spec.image_gb / plan_.types.front().fetch_gb_per_s * (1 + third * (2 * workers_.roll() - 1));
                }},
               plan_.controllers,
               names_of(plan_.controllers),
               [this] {
                 return std::uniform_real_distribution<>{0, 1}(random_);
               },
               {}},
      cloud_(loop, plan_, workers_),
      balancer_(loop, plan_.controllers),
      users_(loop, plan_, rules_, balancer_) {}

int Cell::run() {
  began_ = loop_.update_time();
  cloud_.run();
  for (std::size_t n = 0; n < balancer_.nodes(); ++n) rt::spawn(balancer_.probe(n));
  rt::spawn(ticks());
  rt::spawn(run_plan());
  while (!over_) loop_.step();
  write_result();
  return rules_.violations().empty() ? 0 : 1;
}

rt::Task<void> Cell::ticks() {
  Time next_second = loop_.now() + seconds(1);
  std::size_t started_before = 0;
  for (;;) {
    const Time began = loop_.update_time();
    std::vector<stand_ins::WorkerModel*> awake;
    for (const auto& w : cloud_.workers()) {
      if (w->model().gone()) continue;
      w->tick();
      if (w->model().up(began)) awake.push_back(&w->model());
    }
    stand_ins::Gangs::step(awake, began);
    for (const auto& w : cloud_.workers()) {
      w->wake_if_changed();
    }
    rules_.tick(began);
    if (began >= next_second) {
      next_second += seconds(1);
      for (const auto& w : cloud_.workers()) {
        busiest_worker_bytes_ = std::max(busiest_worker_bytes_, static_cast<double>(w->take_bytes()));
      }
      seconds_.push_back({rules_.started() - started_before, rules_.tasks_on_machines()});
      started_before = rules_.started();
    }
    longest_tick_s_ = std::max(longest_tick_s_, to_seconds(loop_.update_time() - began));
    co_await loop_.sleep(tick_every);
  }
}

rt::Task<void> Cell::run_event(Event e) {
  co_await loop_.sleep(seconds(e.at_s));
  if (e.kind == Event::Kind::limits) {
    rules_.change_limits(e.teams, loop_.now(), limits_in_force);
    co_return;
  }
  if (e.kind == Event::Kind::cut_zone) {
    for (const auto& w : cloud_.workers()) {
      if (w->zone() == e.zone) w->cut_for(seconds(e.for_s));
    }
    co_return;
  }
  const Time until = loop_.now() + seconds(e.for_s);
  double due = 0;
  while (loop_.now() < until) {
    co_await loop_.sleep(seconds(1));
    due += e.part_per_minute / 60 * static_cast<double>(cloud_.workers().size());
    for (; due >= 1; --due) {
      const auto n = static_cast<std::size_t>(workers_.roll() * static_cast<double>(cloud_.workers().size()));
      auto& w = *cloud_.workers().at(n);
      if (w.model().gone()) continue;
      w.cut_for(restart_takes);
      w.restart();
    }
  }
}

rt::Task<void> Cell::run_plan() {
  constexpr Duration first_healthy = seconds(60);
  const Time latest = loop_.now() + first_healthy;
  while (balancer_.healthy() < balancer_.nodes() && loop_.now() < latest) co_await loop_.sleep(seconds(0.2));
  co_await loop_.sleep(seconds(plan_.begin_s));
  began_ = loop_.now();
  double faults_end_s = 0;
  for (const auto& e : plan_.events) {
    faults_end_s = std::max(faults_end_s, e.at_s + e.for_s);
    rt::spawn(run_event(e));
  }
  const Time until = began_ + seconds(plan_.arrivals_s);
  for (std::size_t c = 0; c < plan_.classes.size(); ++c) rt::spawn(users_.arrive(c, until));
  rt::spawn(users_.ask_about_unknown(until));
  while (loop_.now() < until || since_began() < faults_end_s) co_await loop_.sleep(seconds(0.2));
  rules_.all_faults_over(loop_.now());
  const Time drained = loop_.now() + seconds(plan_.drain_s);
  while (users_.open() > 0 && loop_.now() < drained) co_await loop_.sleep(seconds(0.2));
  rules_.finish(loop_.now());
  over_ = true;
}

void Cell::write_result() {
  json starts = json::array();
  json running = json::array();
  for (const auto& s : seconds_) {
    starts.push_back(s.started);
    running.push_back(s.on_machines);
  }
  std::size_t lost_to_lease = 0;
  for (const auto& w : cloud_.workers()) lost_to_lease += w->model().lost_to_lease();
  const auto& t = workers_.traffic;
  json result = users_.result(began_);
  result["breaches"] = rules_.violations();
  result["started"] = rules_.started();
  result["open_jobs"] = users_.open();
  result["length_s"] = since_began();
  result["starts_a_second"] = starts;
  result["on_machines"] = running;
  result["workers"] = {{"machines", cloud_.workers().size()},
                       {"reports", t.reports},
                       {"answered", t.answered},
                       {"report_bytes", t.report_bytes},
                       {"answer_bytes", t.answer_bytes},
                       {"commands", t.commands},
                       {"command_bytes", t.command_bytes},
                       {"busiest_bytes_in_a_second", busiest_worker_bytes_},
                       {"lost_to_lease", lost_to_lease}};
  result["cloud_calls"] = cloud_.calls();
  result["longest_tick_s"] = longest_tick_s_;
  std::ofstream{plan_.result} << result.dump() << "\n";
}

}  // namespace martenwall::scale
