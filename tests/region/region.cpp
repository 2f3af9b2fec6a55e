#include "region.hpp"

#include <array>

#include "addresses.hpp"

namespace martenwall::region {

namespace {

constexpr Duration clock_step = seconds(0.005);
constexpr std::array<const char*, 5> names{"ash", "beech", "cedar", "elm", "fir"};
constexpr std::array<double, 5> drifts{0.0005, -0.0005, 0.0001, 0.0003, -0.0002};

}  // namespace

Region::Region(std::uint64_t seed, RegionOptions options)
    : random_(seed),
      options_(options),
      loop_([this] { return now_; }),
      store_(loop_, seed),
      rules_(options.timings, {{"red", {0, 16, 0}, {0, options.team_gpus, 0}}}),
      environment_{loop_,
                   {rules_, options.timings,
                    [this](const JobSpec&) { return environment_.fetch_s + environment_.max_extra_fetch_s * roll(); }},
                   {},
                   {},
                   [this] { return roll(); }},
      cloud_(loop_, any_port(), {}, [this](rt::HttpMessage m) { return cloud(std::move(m)); }),
      client_(loop_, 10000, 1024 * 1024, 0),
      controllers_(options.controllers) {
  for (std::size_t c = 0; c < controllers_.size(); ++c) environment_.controllers.emplace_back(names.at(c));
  environment_.address = [this](std::size_t c) -> std::optional<std::string> {
    const auto& n = controllers_.at(c);
    return n.process ? std::optional{at_port(n.process->node->users_port())} : std::nullopt;
  };
  for (std::size_t c = 0; c < controllers_.size(); ++c) {
    auto& n = controllers_.at(c);
    n.name = names.at(c);
    n.drift = drifts.at(c);
    n.store_server =
        std::make_unique<rt::HttpServer>(loop_, any_port(), rt::HttpServer::Limits{},
                                         [this, c](rt::HttpMessage m) { return store_.handle(c, std::move(m)); });
    rt::spawn(n.store_server->serve());
    for (std::size_t from = 0; from < controllers_.size(); ++from) {
      n.links.push_back(std::make_unique<rt::Listener>(loop_, any_port()));
      rt::spawn(accept_links(from, c, *n.links.back()));
    }
  }
  store_.limit_writes(options.write_rps);
  rt::spawn(cloud_.serve());
  rt::spawn(ticks());
  for (std::size_t i = 0; i < options.machines; ++i) add_worker(i % 2 == 0 ? "a" : "b", false, 0);
  for (std::size_t c = 0; c < controllers_.size(); ++c) start(c);
}

bool Region::poll_loops() {
  bool any = loop_.poll();
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    if (!controllers_.at(i).process && now_ >= controllers_.at(i).starts_at) start(i);
  }
  for (auto& c : controllers_) {
    if (c.process && now_ >= c.frozen_until) any = c.process->loop.poll() || any;
  }
  return any;
}

void Region::run(double seconds_long) {
  run_until(seconds_long, [] { return false; });
}

bool Region::run_until(double timeout_s, const std::function<bool()>& condition) {
  const Time until = now_ + seconds(timeout_s);
  for (;;) {
    while (poll_loops()) {
    }
    if (condition()) return true;
    if (now_ >= until) return false;
    now_ += clock_step;
  }
}

rt::Task<void> Region::ticks() {
  for (;;) {
    store_.tick();
    for (auto& w : workers_) w->tick();
    std::vector<stand_ins::WorkerModel*> awake;
    for (auto& w : workers_) {
      if (w->up() && !w->hangs()) awake.push_back(&w->model());
    }
    stand_ins::Gangs::step(awake, now_);
    rules_.tick(now_);
    watch_leader();
    if (rules_.faults_over()) check_waiting_jobs();
    co_await loop_.sleep(poll_interval);
  }
}

}  // namespace martenwall::region
