#include "stand_ins/worker_model.hpp"

#include <algorithm>

#include "wire/worker_codec.hpp"

namespace martenwall::stand_ins {

using nlohmann::json;

namespace {
constexpr Duration next_target_delay = seconds(1);
}  // namespace

// ---- images ----

Time ImageCache::ready_at(const JobSpec& spec, Time now, const std::function<Duration()>& fetch) {
  if (max_gb_ <= 0) return now + fetch();
  const auto known = std::ranges::find(images_, spec.image, &Image::name);
  Image image{spec.image, spec.image_gb, {}};
  if (known != images_.end()) {
    image = *known;
    images_.erase(known);
  } else {
    image.ready = now + fetch();
  }
  images_.insert(images_.begin(), image);
  double cached_gb = 0;
  for (const auto& i : images_) cached_gb += i.gb;
  while (cached_gb > max_gb_ && images_.size() > 1) {
    cached_gb -= images_.back().gb;
    images_.pop_back();
  }
  return std::max(now, image.ready);
}

void ImageCache::abandon_fetch(const std::string& image, Time now) {
  std::erase_if(images_, [&](const Image& i) { return i.name == image && i.ready > now; });
}

// ---- a machine ----

WorkerModel::WorkerModel(WorkerContext& world, MachineTraits traits, Time boots)
    : world_(world), traits_(std::move(traits)), boots_(boots), lease_renewed_at_(boots), images_(traits_.cache_gb) {}

const char* WorkerModel::name_of(Phase phase) {
  switch (phase) {
    case Phase::fetching:
      return "fetching";
    case Phase::gathering:
      return "gathering";
    case Phase::running:
      return "running";
    case Phase::saving:
      return "saving";
    case Phase::ended:
      break;
  }
  return "ended";
}

Resources WorkerModel::free() const {
  Resources free = traits_.capacity;
  for (const auto& [key, t] : tasks_) {
    if (t.phase != Phase::ended) free.add(spec_of(key).need, -1);
  }
  return free;
}

bool WorkerModel::has(const JobId& job) const {
  return std::ranges::any_of(tasks_,
                             [&](const auto& t) { return t.first.first.job == job && t.second.phase != Phase::ended; });
}

bool WorkerModel::busy() const {
  return std::ranges::any_of(tasks_, [](const auto& t) { return t.second.phase != Phase::ended; });
}

void WorkerModel::drop_all_tasks() {
  for (const auto& [key, t] : tasks_) world_.rules.on_task_removed(key.first, traits_.id);
  tasks_.clear();
  gang_tasks_ = 0;
}

void WorkerModel::terminate() {
  gone_ = true;
  drop_all_tasks();
}

void WorkerModel::restart(Time now) {
  drop_all_tasks();
  images_.clear();
  ++incarnation_;
  lease_renewed_at_ = now;
  changed_ = true;
}

std::string WorkerModel::report() {
  json shards = json::array();
  for (const auto& [key, t] : tasks_) {
    json s{{"shard", to_string(key.first)}, {"try", key.second}, {"phase", name_of(t.phase)}};
    if (t.phase == Phase::ended) s["cause"] = t.cause;
    if (t.saved) s["saved"] = true;
    shards.push_back(std::move(s));
  }
  return json{{"host", traits_.id.value()}, {"endpoint", traits_.endpoint},
              {"breed", traits_.type},      {"yard", traits_.zone},
              {"loaners", traits_.spot},    {"tenure", incarnation_},
              {"tick", ++sequence_},        {"baton", token_},
              {"recallS", nullptr},         {"shards", shards}}
      .dump();
}

bool WorkerModel::apply_response(const json& body, std::uint64_t incarnation, Time sent, Time now) {
  if (gone_ || incarnation != incarnation_ || !body.is_object() || !body.contains("baton")) return false;
  const auto token = body.at("baton").get<std::uint64_t>();
  if (token < token_) return false;
  if (token > token_) changed_ = true;
  token_ = token;
  lease_renewed_at_ = std::max(lease_renewed_at_, sent);
  execute(body.at("orders"), now);
  return true;
}

WorkerModel::Reply WorkerModel::commands(const json& body, Time now) {
  if (!body.is_object() || !body.contains("baton") || !body.contains("tenure")) return {400, "{}", false};
  const auto token = body.at("baton").get<std::uint64_t>();
  const bool needs_cycle = token < token_ || body.at("tenure").get<std::uint64_t>() != incarnation_;
  if (token > token_) {
    token_ = token;
    changed_ = true;
  }
  if (!needs_cycle) execute(body.at("orders"), now);
  return {needs_cycle ? 409 : 200, report(), !needs_cycle};
}

void WorkerModel::execute(const json& command_list, Time now) {
  for (const auto& o : command_list) {
    const auto task = wire::parse_task_id(o.at("shard").get<std::string>());
    const Key key{*task, o.at("try").get<std::uint64_t>()};
    const auto it = tasks_.find(key);
    const auto verb = o.at("verb").get<std::string>();
    if (verb == "run" && it == tasks_.end()) begin_task(key, now);
    if (verb == "stop" && it != tasks_.end()) stop_task(it->second, key, o.value("leewayS", 0.0), now);
    if (verb == "reap" && it != tasks_.end() && it->second.phase == Phase::ended) tasks_.erase(it);
  }
}

void WorkerModel::begin_task(const Key& key, Time now) {
  changed_ = true;
  TaskOnMachine t;
  t.since = t.until = now;
  const auto* work = world_.rules.find(key.first.job);
  const bool busy = std::ranges::any_of(
      tasks_, [&](const auto& other) { return other.first.first == key.first && other.second.phase != Phase::ended; });
  const auto refuse = [&](const char* cause) {
    t.phase = Phase::ended;
    t.cause = cause;
  };
  if (work == nullptr) {
    refuse("no_such");
  } else if (busy) {
    refuse("busy");
  } else if (!work->spec.need.fits_in(free())) {
    refuse("full");
  } else {
    t.until = images_.ready_at(work->spec, now, [&] { return seconds(world_.fetch_s(work->spec)); });
    if (work->spec.kind == JobKind::gang) ++gang_tasks_;
  }
  tasks_.emplace(key, t);
}

void WorkerModel::end_task(TaskOnMachine& t, const Key& key, const char* cause, Time now) {
  const bool fetching = t.phase == Phase::fetching;
  const bool was_on = !fetching && t.phase != Phase::ended;
  const auto& spec = spec_of(key);
  if (t.phase != Phase::ended && spec.kind == JobKind::gang) --gang_tasks_;
  t.phase = Phase::ended;
  t.cause = cause;
  changed_ = true;
  if (was_on) world_.rules.on_task_removed(key.first, traits_.id);
  if (!fetching) return;
  const bool wanted = std::ranges::any_of(tasks_, [&](const auto& other) {
    return other.second.phase == Phase::fetching && spec_of(other.first).image == spec.image;
  });
  if (!wanted) images_.abandon_fetch(spec.image, now);
}

void WorkerModel::stop_task(TaskOnMachine& t, const Key& key, double grace_s, Time now) {
  if (t.phase == Phase::ended || (t.phase == Phase::saving && grace_s > 0)) return;
  const auto& spec = spec_of(key);
  const bool saves =
      t.phase == Phase::running && spec.checkpoint_interval_s > 0 && grace_s >= spec.checkpoint_duration_s;
  if (!saves) return end_task(t, key, "stopped", now);
  t.phase = Phase::saving;
  t.until = now + seconds(spec.checkpoint_duration_s);
  changed_ = true;
}

void WorkerModel::step_task(const Key& key, TaskOnMachine& t, Time now) {
  if (t.phase == Phase::ended) return;
  const auto& work = world_.rules.job(key.first.job);
  const bool gang = work.spec.kind == JobKind::gang;
  if (t.phase == Phase::fetching && now >= t.until) {
    t.phase = gang ? Phase::gathering : Phase::running;
    t.since = now;
    t.until =
        now + seconds(work.completed.contains(key.first.index) ? 0 : work.run_s + work.stagger_s * key.first.index);
    world_.rules.on_task_started(key.first, {traits_.id, traits_.type, traits_.zone, traits_.spot}, now);
    changed_ = true;
  } else if (t.phase == Phase::running && !gang && now >= t.until) {
    world_.rules.on_task_completed(key.first);
    end_task(t, key, "done", now);
  } else if (t.phase == Phase::saving && now >= t.until) {
    t.saved = true;
    end_task(t, key, "stopped", now);
  } else if (t.phase == Phase::gathering && now - t.since > seconds(world_.timings.gang_wait_s)) {
    end_task(t, key, "alone", now);
  } else if (t.phase == Phase::running && t.peer_lost && now >= *t.peer_lost) {
    end_task(t, key, "peers", now);
  }
}

void WorkerModel::tick(Time now, bool hangs) {
  if (!up(now)) return;
  // A worker that hangs keeps its tasks only until its lease expires.
  if (now - lease_renewed_at_ > seconds(world_.timings.lease_s)) {
    lost_to_lease_ += tasks_.size();
    drop_all_tasks();
    ++incarnation_;
    lease_renewed_at_ = now;
    changed_ = true;
  }
  if (hangs) return;
  for (auto& [key, t] : tasks_) step_task(key, t, now);
}

// ---- reports ----

bool HeartbeatRoute::follow(int status, const json& body, const std::vector<std::string>& controllers, Time now) {
  if (status == 200) return true;
  if (status == 421 && body.is_object() && body.contains("steward")) {
    const auto named = std::ranges::find(controllers, body.at("steward").get<std::string>());
    const auto at = static_cast<std::size_t>(named - controllers.begin());
    if (named != controllers.end() && at != target) {
      target = at;
      next_heartbeat = now;
      return false;
    }
  }
  target = (target + 1) % controllers.size();
  next_heartbeat = now + next_target_delay;
  return false;
}

// ---- gangs ----

void Gangs::step(const std::vector<WorkerModel*>& workers, Time now) {
  struct Member {
    WorkerModel* worker;
    WorkerModel::Key key;
    WorkerModel::TaskOnMachine* task;
  };
  using Phase = WorkerModel::Phase;
  std::map<std::pair<JobId, std::uint64_t>, std::vector<Member>> gangs;
  for (auto* w : workers) {
    if (w->gang_tasks_ == 0) continue;
    for (auto& [key, t] : w->tasks_) {
      if (t.phase == Phase::ended || t.phase == Phase::fetching) continue;
      if (w->spec_of(key).kind == JobKind::gang) gangs[{key.first.job, key.second}].push_back({w, key, &t});
    }
  }
  for (auto& [gang, members] : gangs) {
    auto& world = members.front().worker->world_;
    const auto& work = world.rules.job(gang.first);
    const auto in = [&](Phase phase) {
      return static_cast<std::size_t>(
          std::ranges::count_if(members, [&](const Member& m) { return m.task->phase == phase; }));
    };
    if (in(Phase::gathering) == work.spec.tasks) {
      for (auto& m : members) {
        m.task->phase = Phase::running;
        m.task->until = now + seconds(work.run_s);
        m.worker->changed_ = true;
      }
      world.rules.on_gang_running(gang.first, now);
    } else if (in(Phase::running) == work.spec.tasks && now >= members.front().task->until) {
      for (auto& m : members) {
        world.rules.on_task_completed(m.key.first);
        m.worker->end_task(*m.task, m.key, "done", now);
      }
    } else if (in(Phase::running) > 0 && in(Phase::running) < work.spec.tasks) {
      for (auto& m : members) {
        if (!m.task->peer_lost) m.task->peer_lost = now + seconds(world.timings.gang_peer_s);
      }
    }
  }
}

}  // namespace martenwall::stand_ins
