#include "worker.hpp"

#include <algorithm>

#include "wire/worker_codec.hpp"

namespace martenwall::region {

namespace {

using nlohmann::json;

constexpr Duration answer_limit = seconds(4);
constexpr Duration least_gap = seconds(0.5);
constexpr Duration look_every = seconds(0.1);
constexpr double gpus_each = 4;

}  // namespace

Worker::Worker(Environment& environment, MachineId id, std::string zone, bool spot, Time boots)
    : environment_(environment),
      id_(std::move(id)),
      zone_(std::move(zone)),
      spot_(spot),
      boots_(boots),
      last_ok_(boots),
      next_report_(boots),
      client_(environment.loop, 8, 1024 * 1024, 4),
      server_(environment.loop, *rt::Endpoint::parse("127.0.0.1:0"), {},
              [this](rt::HttpMessage m) { return serve(std::move(m)); }) {
  target_ = static_cast<std::size_t>(environment_.roll() * static_cast<double>(environment_.controllers.size()));
}

bool Worker::up() const { return !gone_ && environment_.loop.now() >= boots_; }

std::string Worker::address() const {
  const bool cut = environment_.loop.now() < std::max(cut_until_, silent_until_) || (kept() && target_ != kept_);
  return cut ? "" : environment_.address(target_).value_or("");
}

void Worker::run() {
  rt::spawn(server_.serve());
  rt::spawn(report_loop());
}

double Worker::free_gpus() const {
  double free = gpus_each;
  for (const auto& [key, t] : tasks_) {
    if (t.phase != "ended") free -= environment_.rules.work(key.first.job).spec.need.gpus;
  }
  return free;
}

bool Worker::has(const JobId& job) const {
  return std::ranges::any_of(tasks_,
                             [&](const auto& t) { return t.first.first.job == job && t.second.phase != "ended"; });
}

bool Worker::sound() const {
  const Time now = environment_.loop.now();
  return up() && now >= std::max({deaf_until_, hangs_until_, cut_until_, kept_until_, silent_until_});
}

bool Worker::busy() const {
  return std::ranges::any_of(tasks_, [](const auto& t) { return t.second.phase != "ended"; });
}

void Worker::take_away() {
  gone_ = true;
  for (auto& [key, t] : tasks_) environment_.rules.leaves(key.first, id_);
  tasks_.clear();
}

std::string Worker::report() {
  json shards = json::array();
  for (const auto& [key, t] : tasks_) {
    json s{{"shard", to_string(key.first)}, {"try", key.second}, {"phase", t.phase}};
    if (t.phase == "ended") s["cause"] = t.cause;
    if (t.saved) s["saved"] = true;
    shards.push_back(std::move(s));
  }
  return json{{"host", id_.value()}, {"endpoint", endpoint()}, {"breed", "big"},  {"yard", zone_},
              {"loaners", spot_},    {"tenure", session_},     {"tick", ++tick_}, {"baton", token_},
              {"recallS", nullptr},  {"shards", shards}}
      .dump();
}

rt::Task<void> Worker::send_late(std::string body) {
  const double most = 1.5 * environment_.terms.lease_s;
  co_await environment_.loop.sleep(seconds(2 + environment_.roll() * (most - 2)));
  const auto to = static_cast<std::size_t>(environment_.roll() * static_cast<double>(environment_.controllers.size()));
  const auto address = environment_.address(to);
  if (!address) co_return;
  const auto r = co_await client_.request(*address, "POST", "/agent/beat", std::move(body), answer_limit);
  if (r.ok()) ++environment_.late_copies;
}

rt::Task<void> Worker::report_loop() {
  while (!gone_) {
    const Time now = environment_.loop.now();
    const bool due = now >= next_report_ || (changed_ && now >= last_report_ + least_gap);
    if (!up() || hangs() || !due) {
      co_await environment_.loop.sleep(look_every);
      continue;
    }
    changed_ = false;
    last_report_ = now;
    next_report_ = now + seconds(environment_.terms.report_s * (0.75 + 0.5 * environment_.roll()));
    const auto session = session_;
    std::string body = report();
    if (environment_.roll() < environment_.late_reports) {
      std::string copy = body;
      rt::spawn(send_late(std::move(copy)));
    }
    if (environment_.kept_reports > 0 && environment_.roll() < environment_.kept_reports)
      environment_.kept.push_back(body);
    std::string to = address();
    rt::HttpResult result;
    if (!to.empty()) {
      result = co_await client_.request(std::move(to), "POST", "/agent/beat", std::move(body), answer_limit);
    } else if (now < std::max(cut_until_, silent_until_)) {
      co_await environment_.loop.sleep(answer_limit);
    }
    while (hangs()) co_await environment_.loop.sleep(look_every);
    if (environment_.loop.now() < deaf_until_) {
      result = {};  // the answer is lost
      co_await environment_.loop.sleep(std::max(Duration{0}, now + answer_limit - environment_.loop.now()));
    }
    take_answer(result, now, session);
  }
}

void Worker::take_answer(const rt::HttpResult& result, Time sent, std::uint64_t session) {
  const Time now = environment_.loop.now();
  const bool in_time = result.outcome == rt::Outcome::answered && now - sent <= answer_limit;
  const json body = in_time ? json::parse(result.body, nullptr, false) : json{};
  if (in_time && result.status == 421 && body.is_object() && body.contains("steward")) {
    const auto named = std::ranges::find(environment_.controllers, body.at("steward").get<std::string>());
    const auto at = static_cast<std::size_t>(named - environment_.controllers.begin());
    if (named != environment_.controllers.end() && at != target_) {
      target_ = at;
      next_report_ = now;
      return;
    }
  }
  if (!in_time || result.status != 200) {
    target_ = (target_ + 1) % environment_.controllers.size();
    next_report_ = now + seconds(1);
    return;
  }
  if (gone_ || session != session_ || !body.is_object() || !body.contains("baton")) return;
  const auto token = body.at("baton").get<std::uint64_t>();
  if (token < token_) return;
  if (token > token_) change();
  token_ = token;
  last_ok_ = std::max(last_ok_, sent);
  renewals_.emplace_back(now, token);
  execute(body.at("orders"));
}

rt::Task<rt::HttpResponse> Worker::serve(rt::HttpMessage request) {
  const Time came = environment_.loop.now();
  const bool lost = !up() || came < deaf_until_ || came < cut_until_ || kept();
  if (lost) {
    co_await environment_.loop.sleep(answer_limit);
    co_return rt::HttpResponse{503, "{}", {}, true};
  }
  const json body = json::parse(request.body, nullptr, false);
  const bool starts = body.is_object() && std::ranges::any_of(body.value("orders", json::array()),
                                                              [](const json& o) { return o.at("verb") == "run"; });
  if (hold_start_ && starts) {
    const Duration held = *std::exchange(hold_start_, std::nullopt);
    co_await environment_.loop.sleep(held);
  }
  while (hangs()) co_await environment_.loop.sleep(look_every);
  if (!up()) co_return rt::HttpResponse{503, "{}", {}, true};
  if (request.target == "/inspect") co_return rt::HttpResponse{200, report(), {}, false};
  if (!body.is_object() || !body.contains("baton") || !body.contains("tenure")) {
    co_return rt::HttpResponse{400, "{}", {}, false};
  }
  const auto token = body.at("baton").get<std::uint64_t>();
  const bool stale = token < token_ || body.at("tenure").get<std::uint64_t>() != session_;
  if (token > token_) {
    token_ = token;
    change();
  }
  if (!stale) {
    if (environment_.loop.now() - came > seconds(2)) ++executed_late_;
    execute(body.at("orders"));
  }
  co_return rt::HttpResponse{stale ? 409 : 200, report(), {}, false};
}

void Worker::execute(const json& orders) {
  for (const auto& o : orders) {
    const auto task = wire::parse_task_id(o.at("shard").get<std::string>());
    const Key key{*task, o.at("try").get<std::uint64_t>()};
    const auto it = tasks_.find(key);
    const auto verb = o.at("verb").get<std::string>();
    if (verb == "run" && it == tasks_.end()) begin_task(key);
    if (verb == "stop" && it != tasks_.end()) stop_task(it->second, key, o.value("leewayS", 0.0));
    if (verb == "reap" && it != tasks_.end() && it->second.phase == "ended") tasks_.erase(it);
  }
}

void Worker::begin_task(const Key& key) {
  change();
  OnMachine t;
  t.since = environment_.loop.now();
  t.until = t.since + seconds(environment_.fetch_s + environment_.fetch_more_s * environment_.roll());  // its image
  const auto* work = environment_.rules.find(key.first.job);
  double gpus = work == nullptr ? 0 : work->spec.need.gpus;
  bool busy = false;
  for (const auto& [k, other] : tasks_) {
    if (other.phase == "ended") continue;
    busy = busy || k.first == key.first;
    gpus += environment_.rules.work(k.first.job).spec.need.gpus;
  }
  if (work == nullptr) t = {"ended", "no_such", false, t.since, t.since, {}};
  if (busy) t = {"ended", "busy", false, t.since, t.since, {}};
  if (!busy && gpus > gpus_each + 1e-6) t = {"ended", "full", false, t.since, t.since, {}};
  tasks_.emplace(key, t);
}

void Worker::end_task(OnMachine& t, const Key& key, const char* cause) {
  const bool was_on = t.phase != "fetching" && t.phase != "ended";
  t.phase = "ended";
  t.cause = cause;
  if (was_on) environment_.rules.leaves(key.first, id_);
  change();
}

void Worker::stop_task(OnMachine& t, const Key& key, double grace_s) {
  const auto& spec = environment_.rules.work(key.first.job).spec;
  const bool saves = t.phase == "running" && spec.checkpoint_s > 0 && grace_s >= spec.save_s;
  if (t.phase == "ended" || (t.phase == "saving" && grace_s > 0)) return;
  if (!saves) return end_task(t, key, "stopped");
  t.phase = "saving";
  t.until = environment_.loop.now() + seconds(spec.save_s);
  change();
}

void Worker::step_task(const Key& key, OnMachine& t) {
  const Time now = environment_.loop.now();
  const auto& work = environment_.rules.work(key.first.job);
  const bool gang = work.spec.shape == Shape::gang;
  if (t.phase == "fetching" && now >= t.until) {
    t.phase = gang ? "gathering" : "running";
    t.since = now;
    t.until =
        now + seconds(work.completed.contains(key.first.index) ? 0 : work.run_s + work.stagger_s * key.first.index);
    environment_.rules.starts(key.first, id_, zone_, spot_, now);
    change();
  } else if (t.phase == "running" && !gang && now >= t.until) {
    environment_.rules.completes(key.first);
    end_task(t, key, "done");
  } else if (t.phase == "saving" && now >= t.until) {
    t.saved = true;
    end_task(t, key, "stopped");
  } else if (t.phase == "gathering" && now - t.since > seconds(environment_.terms.gang_wait_s)) {
    end_task(t, key, "alone");
  } else if (t.phase == "running" && t.peer_lost && now >= *t.peer_lost) {
    end_task(t, key, "peers");
  }
}

void Worker::tick() {
  if (!up()) return;
  // One that hangs may go on within its lease, and no longer.
  if (environment_.loop.now() - last_ok_ > seconds(environment_.terms.lease_s)) {
    for (auto& [key, t] : tasks_) environment_.rules.leaves(key.first, id_);
    tasks_.clear();
    ++session_;
    last_ok_ = environment_.loop.now();
    change();
  }
  if (hangs()) return;
  for (auto& [key, t] : tasks_) step_task(key, t);
}

void Gangs::step(std::vector<std::unique_ptr<Worker>>& workers) {
  struct Member {
    Worker* worker;
    Worker::Key key;
    Worker::OnMachine* task;
  };
  std::map<std::pair<JobId, std::uint64_t>, std::vector<Member>> gangs;
  for (auto& w : workers) {
    if (!w->up() || w->hangs()) continue;
    for (auto& [key, t] : w->tasks_) {
      if (w->environment_.rules.work(key.first.job).spec.shape != Shape::gang) continue;
      if (t.phase == "ended" || t.phase == "fetching") continue;
      gangs[{key.first.job, key.second}].push_back({w.get(), key, &t});
    }
  }
  for (auto& [gang, members] : gangs) {
    auto& environment = members.front().worker->environment_;
    const auto& work = environment.rules.work(gang.first);
    const auto in = [&](const char* phase) {
      return static_cast<std::size_t>(
          std::ranges::count_if(members, [&](const Member& m) { return m.task->phase == phase; }));
    };
    const Time now = environment.loop.now();
    if (in("gathering") == work.spec.tasks) {
      for (auto& m : members) {
        m.task->phase = "running";
        m.task->until = now + seconds(work.run_s);
        m.worker->change();
      }
    } else if (in("running") == work.spec.tasks && now >= members.front().task->until) {
      for (auto& m : members) {
        environment.rules.completes(m.key.first);
        m.worker->end_task(*m.task, m.key, "done");
      }
    } else if (in("running") > 0 && in("running") < work.spec.tasks) {
      for (auto& m : members) {
        if (!m.task->peer_lost) m.task->peer_lost = now + seconds(environment.terms.gang_peer_s);
      }
    }
  }
}

}  // namespace martenwall::region
