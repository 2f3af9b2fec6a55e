#include "region.hpp"

#include <spdlog/sinks/base_sink.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "service/peer_link.hpp"
#include "wire/user_codec.hpp"

namespace martenwall::region {

namespace {

using nlohmann::json;

constexpr Duration look_every = seconds(0.05);
constexpr Duration clock_step = seconds(0.005);
constexpr std::array<const char*, 5> names{"ash", "beech", "cedar", "elm", "fir"};
constexpr std::array<double, 5> drifts{0.0005, -0.0005, 0.0001, 0.0003, -0.0002};

class LogSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  LogSink(std::vector<std::string>& to, const Time& now) : to_(to), now_(now) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& msg) override {
    to_.push_back(std::to_string(to_seconds(now_.time_since_epoch())) + " " +
                  std::string{msg.payload.data(), msg.payload.size()});
  }
  void flush_() override {}

 private:
  std::vector<std::string>& to_;
  const Time& now_;
};

rt::HttpResponse reply(int status, const json& body) { return {status, body.dump(), {}, false}; }

rt::Endpoint anywhere() { return *rt::Endpoint::parse("127.0.0.1:0"); }

std::string at_port(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Region::Region(std::uint64_t seed, RegionOptions options)
    : random_(seed),
      options_(options),
      loop_([this] { return now_; }),
      store_(loop_, seed),
      rules_(options.terms, {{"red", {0, 16, 0}, {0, options.team_gpus, 0}}}),
      environment_{loop_,
                   {rules_, options.terms,
                    [this](const JobSpec&) { return environment_.fetch_s + environment_.fetch_more_s * roll(); }},
                   {},
                   {},
                   [this] { return roll(); }},
      cloud_(loop_, anywhere(), {}, [this](rt::HttpMessage m) { return cloud(std::move(m)); }),
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
    n.store_front =
        std::make_unique<rt::HttpServer>(loop_, anywhere(), rt::HttpServer::Bounds{},
                                         [this, c](rt::HttpMessage m) { return store_.handle(c, std::move(m)); });
    rt::spawn(n.store_front->serve());
    for (std::size_t from = 0; from < controllers_.size(); ++from) {
      n.links.push_back(std::make_unique<rt::Listener>(loop_, anywhere()));
      rt::spawn(accept_links(from, c, *n.links.back()));
    }
  }
  store_.limit_writes(options.write_rps);
  rt::spawn(cloud_.serve());
  rt::spawn(ticks());
  for (std::size_t i = 0; i < options.machines; ++i) add_worker(i % 2 == 0 ? "a" : "b", false, 0);
  for (std::size_t c = 0; c < controllers_.size(); ++c) start(c);
}

// ---- time ----

bool Region::pass() {
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

bool Region::run_until(double longest, const std::function<bool()>& so) {
  const Time until = now_ + seconds(longest);
  for (;;) {
    while (pass()) {
    }
    if (so()) return true;
    if (now_ >= until) return false;
    now_ += clock_step;
  }
}

// ---- controllers ----

config::Settings Region::settings_of(std::size_t c) const {
  config::Settings s;
  s.node = controllers_.at(c).name;
  s.zone = "a";
  s.listen = s.peer_listen = "127.0.0.1:0";
  for (std::size_t other = 0; other < controllers_.size(); ++other) {
    if (other == c) continue;
    s.peers.push_back({controllers_.at(other).name, "b", at_port(controllers_.at(other).links.at(c)->port())});
  }
  s.cloud = at_port(cloud_.port());
  s.state = at_port(controllers_.at(c).store_front->port());
  s.teams = {{"red", {0, 16, 0}, {0, options_.team_gpus, 0}}};
  s.objectives = {{"wait", "x", 10, 0.9, 1}};
  s.workers = options_.terms;
  s.state_rps = 300;
  s.state_write_rps = std::min(120.0, options_.write_rps);
  s.state_value_bytes = 32 * 1024;
  s.state_txn_ops = 48;
  s.cloud_rps = options_.cloud_rps;
  s.cloud_lag = seconds(1);
  s.max_connections = 400;
  return s;
}

void Region::start(std::size_t c) {
  auto& n = controllers_.at(c);
  const Time began = now_;
  auto clock = [this, began, rate = 1 + n.drift] { return began + seconds(to_seconds(now_ - began) * rate); };
  n.process = std::make_unique<Process>(clock);
  Policy policy;
  policy.relay_heartbeats = options_.relay;
  auto log = std::make_shared<spdlog::logger>(n.name, std::make_shared<LogSink>(n.log, now_));
  log->set_level(spdlog::level::debug);  // tests look for what becomes of single tasks
  n.process->node = std::make_unique<service::Node>(n.process->loop, settings_of(c), policy, log);
  n.process->node->start();
}

// Its sockets are closed with its loop, as the kernel does; its coroutines are never resumed.
void Region::kill(std::size_t c) {
  controllers_.at(c).process.reset();
  controllers_.at(c).starts_at = Time::max();
}

void Region::kill_for(std::size_t c, double s) {
  kill(c);
  controllers_.at(c).starts_at = now_ + seconds(s);
}

std::optional<std::size_t> Region::leader() const {
  const auto row = store_.value(wire::leader_key);
  if (!row) return std::nullopt;
  for (std::size_t c = 0; c < controllers_.size(); ++c) {
    const auto& n = controllers_.at(c);
    const bool holds = n.process && wire::decode_leader(*row).node == n.name;
    if (holds && n.process->node->context().has_valid_lease()) return c;
  }
  return std::nullopt;
}

std::uint64_t Region::token_of(std::size_t c) const {
  const auto& n = controllers_.at(c);
  return n.process ? n.process->node->context().leadership.token().value() : 0;
}

std::size_t Region::logged(std::size_t c, const std::string& part) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      controllers_.at(c).log, [&](const std::string& line) { return line.find(part) != std::string::npos; }));
}

bool Region::linked(std::size_t a, std::size_t b) const {
  const auto whole = [&](std::size_t c) {
    const auto& n = controllers_.at(c);
    return n.process != nullptr && now_ >= n.links_cut_until;
  };
  return whole(a) && whole(b);
}

rt::Task<void> Region::accept_links(std::size_t from, std::size_t to, rt::Listener& listener) {
  for (;;) {
    auto socket = co_await listener.accept();
    if (socket && linked(from, to)) rt::spawn(carry(std::move(*socket), from, to));
  }
}

rt::Task<void> Region::carry(rt::Socket from, std::size_t a, std::size_t b) {
  rt::Endpoint to = *rt::Endpoint::parse(at_port(controllers_.at(b).process->node->peers_port()));
  auto there = co_await rt::Socket::connect(loop_, std::move(to), loop_.now() + seconds(1));
  if (!there) co_return;
  auto here = std::make_shared<rt::Socket>(std::move(from));
  auto other = std::make_shared<rt::Socket>(std::move(*there));
  rt::spawn(pump(here, other, a, b));
  rt::spawn(pump(other, here, a, b));
}

// Both ends are closed once either is, or the link is cut.
rt::Task<void> Region::pump(std::shared_ptr<rt::Socket> from, std::shared_ptr<rt::Socket> to, std::size_t a,
                            std::size_t b) {
  std::array<char, 16384> buffer{};
  while (linked(a, b) && from->fd() >= 0) {
    const Time look = loop_.now() + look_every;
    const long n = co_await from->read_some(buffer.data(), buffer.size(), look);
    if (n == 0 || (n < 0 && from->abandoned())) break;
    if (n < 0) continue;
    if (!linked(a, b) || to->fd() < 0) break;
    const std::string_view got{buffer.data(), static_cast<std::size_t>(n)};
    const bool sent = co_await to->write_all(got, loop_.now() + seconds(5));
    if (!sent) break;
  }
  // The other direction may wait on it: it sees the end by itself.
  if (to->fd() >= 0) ::shutdown(to->fd(), SHUT_RDWR);
  if (from->fd() >= 0) ::shutdown(from->fd(), SHUT_RDWR);
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
    if (rules_.calm()) watch_waiting();
    co_await loop_.sleep(look_every);
  }
}

// Copies of reports that were kept come to all controllers just as a new leader begins.
void Region::watch_leader() {
  const auto row = store_.value(wire::leader_key);
  if (!row || row->dump() == last_leader_) return;
  last_leader_ = row->dump();
  for (auto& body : std::exchange(environment_.kept, {})) {
    for (std::size_t c = 0; c < controllers_.size(); ++c) rt::spawn(pass_kept(body, c));
  }
}

rt::Task<void> Region::pass_kept(std::string body, std::size_t at) {
  co_await loop_.sleep(seconds(environment_.kept_for_s));
  const auto r = co_await ask(at, "POST", "/agent/beat", std::move(body), 4);
  if (r.ok()) ++environment_.late_copies;
}

// Room now for a task that is missing, or for all of a gang.
bool Region::could_begin(const Work& work) const {
  const auto& spec = work.spec;
  const auto on = rules_.on_machines(spec.id);
  const bool dependencies_done = std::ranges::all_of(spec.dependencies, [&](const JobId& id) {
    const auto& other = rules_.work(id);
    return other.reported_done.has_value();
  });
  const bool fetching = std::ranges::any_of(workers_, [&](const auto& w) { return w->has(spec.id); });
  const bool whole = spec.kind == JobKind::gang;
  const bool begins = whole ? fetching : work.completed.size() + on.size() >= spec.tasks;
  if (begins || !dependencies_done || !rules_.within_limit(spec.id, whole ? spec.tasks : 1)) return false;
  std::map<std::string, std::size_t> places;  // by zone
  for (const auto& w : workers_) {
    const bool allowed =
        w->sound() && !w->has(spec.id) && (spec.spot || !w->spot()) && (!spec.zone || *spec.zone == w->zone());
    if (allowed && spec.need.gpus > 0)
      places[w->zone()] += static_cast<std::size_t>(w->free_gpus() / spec.need.gpus + 1e-6);
  }
  std::size_t most = 0;
  const std::size_t most_each = spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;
  for (const auto& [zone, n] : places) {
    most = spec.one_zone ? std::max(most, n) : most + std::min(n, most_each);
  }
  // Of an array in one zone or spread over several other tasks decide the place: not judged here.
  if (!whole && (spec.one_zone || spec.spread) && fetching) return false;
  return most >= (whole ? spec.tasks : 1);
}

void Region::watch_waiting() {
  for (const auto& [id, work] : rules_.works()) {
    const bool open = work.accepted && !work.cancel_asked && work.completed.size() < work.spec.tasks;
    rules_.waits_beside_room(id, open && could_begin(work), now_);
  }
}

void Region::cut_zone(const std::string& zone, std::size_t c, double s) {
  store_.faults(c).refuses_until = now_ + seconds(s);
  cut_links(c, s);
  for (auto& w : workers_) {
    if (w->zone() == zone) w->keep_to(c, seconds(s));
  }
}

rt::Task<void> Region::ask_peer(std::size_t at, wire::ConfigurationRequest request, std::shared_ptr<Asked> asked) {
  constexpr double patience = 12;
  const wire::PeerRequest frame{wire::PeerVerb::configuration, "", wire::encode_configuration_request(request), {}};
  rt::Endpoint to = *rt::Endpoint::parse(at_port(controllers_.at(at).process->node->peers_port()));
  const Time deadline = loop_.now() + seconds(patience);
  asked->reply = co_await service::call_once(loop_, std::move(to), wire::encode_frame(frame), deadline);
  asked->over = true;
}

void Region::configure_later(std::size_t at, wire::ConfigurationRequest request) {
  rt::spawn(ask_peer(at, std::move(request), std::make_shared<Asked>()));
}

std::optional<wire::PeerReply> Region::configure(std::size_t at, wire::ConfigurationRequest request) {
  const auto asked = std::make_shared<Asked>();
  rt::spawn(ask_peer(at, std::move(request), asked));
  run_until(13, [&] { return asked->over; });
  return asked->reply;
}

// ---- users ----

JobId Region::submit(JobSpec spec, double run_s) {
  const std::string number = std::to_string(next_job_++);
  spec.id = JobId{"job-" + std::string(6 - number.size(), '0') + number};
  spec.team = "red";
  spec.job_class = "x";
  spec.image = "img";
  spec.image_gb = 1;
  spec.estimate_s = run_s;
  const JobId id = spec.id;
  rules_.add(std::move(spec), run_s, now_);
  users_[id];
  rt::spawn(user(id));
  return id;
}

JobId Region::submit_array(std::uint32_t tasks, double run_s, std::optional<std::size_t> at) {
  JobSpec s;
  s.tasks = tasks;
  s.need = {1, 1, 8};
  s.spot = false;
  const JobId id = submit(std::move(s), run_s);
  if (at) users_.at(id).at = {*at};
  return id;
}

void Region::cancel(const JobId& id, std::vector<std::size_t> at) {
  auto& u = users_.at(id);
  u.cancels_at = std::move(at);
  if (std::exchange(u.cancelling, true)) return;
  rules_.works().at(id).cancel_asked = now_;
  rt::spawn(cancelling(id));
}

std::size_t Region::next_for(User& u, const std::vector<std::size_t>& at) {
  ++u.next;
  return at.empty() ? pick() : at.at(u.next % at.size());
}

rt::Task<rt::HttpResult> Region::ask(std::size_t controller, std::string method, std::string target, std::string body,
                                     double limit_s) {
  const auto& n = controllers_.at(controller);
  if (!n.process) co_return rt::HttpResult{};
  std::string to = at_port(n.process->node->users_port());
  co_return co_await client_.request(std::move(to), std::move(method), std::move(target), std::move(body),
                                     seconds(limit_s));
}

rt::Task<void> Region::user(JobId id) {
  co_await loop_.sleep(look_every);  // until it is said whom it asks
  auto& work = rules_.works().at(id);
  const std::string body = wire::encode_job(work.spec).dump();
  const Time give_up = now_ + seconds(60);
  while (!work.accepted && now_ < give_up) {
    const Ordinal sent = rules_.sends();
    auto& u = users_.at(id);
    const auto to = next_for(u, u.at);
    std::string copy = body;
    const auto r = co_await ask(to, "POST", "/api/jobs", std::move(copy), 5);
    const bool taken = r.outcome == rt::Outcome::answered && (r.status == 200 || r.status == 201);
    if (taken) rules_.told(id, json::parse(r.body).at("phase"), sent, now_);
    if (r.status == 400 || r.status == 422) rules_.refused_forever(id, r.status, sent, now_);
    if (!taken) co_await loop_.sleep(seconds(1 + roll()));
  }
  while (!work.reported_done && !work.reported_cancelled) {
    co_await loop_.sleep(seconds(2 + 2 * roll()));
    auto& u = users_.at(id);
    co_await poll(id, next_for(u, u.at));
  }
  // It asks everyone once more, now and then: what was over stays over.
  for (int i = 0; i < 12; ++i) {
    co_await loop_.sleep(seconds(3 + 3 * roll()));
    co_await poll(id, pick());
  }
}

rt::Task<void> Region::poll(JobId id, std::size_t at) {
  const Ordinal sent = rules_.sends();
  const auto r = co_await ask(at, "GET", "/api/jobs/" + id.value(), "", 2);
  if (r.outcome != rt::Outcome::answered) co_return;
  if (r.status == 200) rules_.told(id, json::parse(r.body).at("phase"), sent, now_);
  if (r.status == 404) rules_.refused_forever(id, r.status, sent, now_);
}

rt::Task<void> Region::repeat(JobId id, std::size_t at) {
  std::string body = wire::encode_job(rules_.work(id).spec).dump();
  const Ordinal sent = rules_.sends();
  const auto r = co_await ask(at, "POST", "/api/jobs", std::move(body), 5);
  if (r.outcome != rt::Outcome::answered) co_return;
  if (r.status == 200 || r.status == 201) rules_.told(id, json::parse(r.body).at("phase"), sent, now_);
  if (r.status == 400 || r.status == 422) rules_.refused_forever(id, r.status, sent, now_);
}

rt::Task<void> Region::cancel_once(JobId id, std::size_t at) {
  const Ordinal sent = rules_.sends();
  const auto r = co_await ask(at, "POST", "/api/jobs/" + id.value() + "/cancel", "", 5);
  if (r.outcome != rt::Outcome::answered) co_return;
  if (r.status == 200) rules_.told(id, json::parse(r.body).at("phase"), sent, now_);
  if (r.status == 404) rules_.refused_forever(id, r.status, sent, now_);
}

rt::Task<void> Region::look(JobId id) {
  constexpr int times = 6;
  for (int i = 0; i < times; ++i) {
    const auto& work = rules_.work(id);
    for (std::size_t c = 0; c < controllers_.size(); ++c) {
      if (!controllers_.at(c).process) continue;
      ++looks_;
      rt::spawn(poll(id, c));
      if (i % 2 == 0) rt::spawn(repeat(id, c));
      if (i % 3 == 0 && (work.reported_done || work.reported_cancelled)) rt::spawn(cancel_once(id, c));
    }
    co_await loop_.sleep(seconds(0.003 + 0.06 * roll() * i));
  }
}

void Region::look_closely(double cancels) {
  rules_.on_news = [this, cancels](const JobId& id) {
    rt::spawn(look(id));
    const auto& work = rules_.work(id);
    const bool fresh = !work.reported_done && !work.reported_cancelled;
    if (fresh && cancels > 0 && roll() < cancels) cancel(id, {pick(), pick()});
  };
}

void Region::cancel_at_end(double share) {
  rules_.on_complete = [this, share](const JobId& id) {
    if (roll() >= share) return;
    cancel(id, {pick(), pick()});
    for (std::size_t c = 0; c < controllers_.size(); ++c) {
      ask_once(id, c);
      submit_again(id, c);
    }
  };
}

rt::HttpResult Region::request(std::size_t at, std::string method, std::string target, std::string body) {
  std::optional<rt::HttpResult> result;
  const auto send = [](Region& r, std::optional<rt::HttpResult>& out, std::size_t c, std::string m, std::string t,
                       std::string b) -> rt::Task<void> {
    out = co_await r.ask(c, std::move(m), std::move(t), std::move(b), 5);
  };
  rt::spawn(send(*this, result, at, std::move(method), std::move(target), std::move(body)));
  run_until(6, [&] { return result.has_value(); });
  return result.value_or(rt::HttpResult{});
}

rt::Task<void> Region::cancelling(JobId id) {
  auto& work = rules_.works().at(id);
  while (!work.reported_done && !work.reported_cancelled) {
    const Ordinal sent = rules_.sends();
    auto& u = users_.at(id);
    const auto to = next_for(u, u.cancels_at);
    const auto r = co_await ask(to, "POST", "/api/jobs/" + id.value() + "/cancel", "", 5);
    const bool answered = r.outcome == rt::Outcome::answered && r.status == 200;
    if (answered) rules_.told(id, json::parse(r.body).at("phase"), sent, now_);
    if (!answered) co_await loop_.sleep(seconds(0.5 + 0.5 * roll()));
  }
}

std::set<MachineId> Region::machines_of(std::size_t c, const JobId& id) const {
  std::set<MachineId> out;
  const auto& scheduler = controllers_.at(c).process->node->context().scheduler;
  const auto* job = scheduler == nullptr ? nullptr : scheduler->find_job(id);
  if (job == nullptr) return out;
  for (const auto& [index, machine] : job->placed) out.insert(machine);
  return out;
}

bool Region::all_over() const {
  const auto& works = rules_.works();
  return std::ranges::all_of(
      works, [](const auto& w) { return w.second.reported_done || w.second.reported_cancelled || !w.second.accepted; });
}

std::string Region::unfinished() const {
  std::string out;
  for (const auto& [id, w] : rules_.works()) {
    if (!w.reported_done && !w.reported_cancelled && w.accepted) {
      out += id.value() + " " + std::to_string(w.completed.size()) + "/" + std::to_string(w.spec.tasks) + " ";
    }
  }
  return out;
}

std::string Region::breaches() const {
  std::string out;
  for (const auto& b : rules_.breaches()) out += b + "\n";
  return out;
}

// ---- the cloud ----

Worker& Region::add_worker(const std::string& zone, bool spot, double boots_in) {
  MachineId id{"i-" + std::to_string(100000 + next_machine_++)};
  workers_.push_back(std::make_unique<Worker>(environment_, std::move(id), zone, spot, now_ + seconds(boots_in)));
  workers_.back()->run();
  return *workers_.back();
}

rt::HttpResponse Region::hire(const json& wanted) {
  const auto name = wanted.at("hire").get<std::string>();
  if (const auto known = hired_.find(name); known != hired_.end()) return reply(200, known->second);
  json hosts = json::array();
  const auto count = wanted.at("count").get<std::size_t>();
  for (std::size_t i = 0; i < count && workers_.size() < options_.most_machines; ++i) {
    hosts.push_back(add_worker(wanted.at("yard"), wanted.at("loaners"), options_.boot_s).id().value());
  }
  if (hosts.empty()) return reply(503, {{"error", "no capacity"}});
  hired_[name] = {{"hosts", hosts}};
  return reply(200, hired_[name]);
}

rt::Task<rt::HttpResponse> Region::cloud(rt::HttpMessage request) {
  if (request.target == "/flavors") {
    json big{{"sku", "big"},       {"cpus", 48.0},     {"accelerators", 4.0},
             {"memGb", 288.0},     {"cacheGb", 80.0},  {"pullGbPerS", 1},
             {"hourly", 10.0},     {"spotPrice", 3.0}, {"readyS", options_.boot_s},
             {"yards", {"a", "b"}}};
    co_return reply(200, {{"breeds", json::array({big})}});
  }
  if (request.target == "/machines/release") {
    const json body = json::parse(request.body);
    for (auto& w : workers_) {
      const auto& hosts = body.at("hosts");
      const bool named = std::ranges::any_of(hosts, [&](const json& h) { return h == w->id().value(); });
      if (named && w->busy()) ++released_busy_;
      if (named) w->take_away();
    }
    co_return reply(200, json::object());
  }
  if (request.method == "POST") co_return hire(json::parse(request.body));
  const auto after_at = request.target.find("after=");
  const std::string after = after_at == std::string::npos ? "" : request.target.substr(after_at + 6);
  json hosts = json::array();
  for (const auto& w : workers_) {
    if (w->gone() || w->id().value() <= after) continue;
    hosts.push_back({{"ref", w->id().value()},
                     {"endpoint", w->endpoint()},
                     {"breed", "big"},
                     {"yard", w->zone()},
                     {"loaners", w->spot()},
                     {"phase", w->up() ? "running" : "starting"},
                     {"ageS", 10.0}});
  }
  co_return reply(200, {{"hosts", hosts}, {"more", false}});
}

}  // namespace martenwall::region
