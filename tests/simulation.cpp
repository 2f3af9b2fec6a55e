#include "simulation.hpp"

#include <algorithm>
#include <array>

namespace martenwall::sim {

namespace {
constexpr Duration dt = seconds(0.1);
constexpr double hold_s = 2.8;   // how long a node keeps a report that it cannot pass on
constexpr double retry_s = 1.2;  // until it is passed on again

// What a row says, in numbers and ids only.
std::string content_of(const RowWrite& row) {
  std::string out;
  const auto add = [&](const std::string& said) { out += " " + said; };
  if (row.final_job) {
    add(std::to_string(static_cast<int>(row.final_job->phase)));
    add(std::to_string(row.final_job->tasks));
    add(std::to_string(row.final_job->done));
  }
  if (row.tasks) {
    add(std::to_string(row.tasks->first));
    add(std::to_string(row.tasks->size));
    add(std::to_string(static_cast<int>(row.tasks->priority)));
    add(std::to_string(row.tasks->next_attempt));
    add(std::to_string(row.tasks->failed));
    for (const auto& [first, last] : row.tasks->done) add(std::to_string(first) + "-" + std::to_string(last));
    for (const auto& h : row.tasks->placed) {
      add(std::to_string(h.index) + "#" + std::to_string(h.attempt.value()) + "@" + h.machine.value() + h.zone);
    }
  }
  for (const auto& f : row.machines) add(f.id.value() + "~" + std::to_string(f.incarnation.value()));
  return out;
}
}  // namespace

World::World(std::uint64_t seed, Faults faults) : random_(seed), faults_(faults) {
  policy_.idle_release = seconds(30);
  if (faults_.shortage) {
    policy_.shortage_weight = 40;
    policy_.unsaved_stops = true;
    policy_.reserve_limit_headroom = true;
    policy_.begin_weight = 9;
  }
  teams_ = {{"red", {0, 16, 0}, {0, 40, 0}}, {"blue", {0, 8, 0}, {0, 24, 0}}};
  types_ = {{"big", {48, 4, 288}, 80, 0.6, 10, 3, 20, {"a", "b"}}};
  gate_ = faults_.gate_from_start;
  nodes_.resize(2);
  for (auto& n : nodes_) n.leadership = std::make_unique<Leadership>(policy_, terms_);
  for (int i = 0; i < 4; ++i) {
    Worker w;
    w.id = MachineId{"i-" + std::to_string(100000 + machine_no_++)};
    w.zone = i % 2 == 0 ? "a" : "b";
    w.lease_renewed_at = w.next_report = w.boots = now_;
    workers_.emplace(w.id, w);
  }
}

void World::at(Time when, std::function<void()> what) { events_.emplace(when, std::move(what)); }

void World::breach(const std::string& what) {
  if (breaches_.size() < 5) breaches_.push_back(std::to_string(to_seconds(now_.time_since_epoch())) + " " + what);
}

void World::stop_faults() {
  faulty_ = false;
  for (auto& n : nodes_) n.cut_until = std::min(n.cut_until, now_);
  for (auto& n : nodes_) n.frozen_until = std::min(n.frozen_until, now_);
  for (auto& [id, w] : workers_) {
    w.cut_until = std::min(w.cut_until, now_);
    w.downlink_lost_until = std::min(w.downlink_lost_until, now_);
  }
  link_cut_until_ = std::min(link_cut_until_, now_);
}

void World::run(double long_s) {
  const Time until = now_ + seconds(long_s);
  while (now_ < until && breaches_.empty()) step();
}

void World::step() {
  now_ += dt;
  while (!events_.empty() && events_.begin()->first <= now_) {
    auto what = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    what();
  }
  if (lead_ && now_ > lead_until_) lead_.reset();
  if (faulty_) inject();
  users();
  for (auto& n : nodes_) step_node(n);
  for (auto& [id, w] : workers_) {
    if (w.alive && now_ >= w.boots) step_worker(w);
  }
  step_gangs();
  check();
}

void World::inject() {
  const double s = to_seconds(dt);
  if (!gate_ && roll() < faults_.gate * s) {
    gate_ = std::ranges::any_of(nodes_, [&](const Node& n) {
      return n.scheduler != nullptr && n.leadership->has_valid_lease(now_) && lead_ == n.leadership->token();
    });
    if (gate_) gate_token_ = lead_;
  }
  // The store lowers its limits only after all nodes run the new version.
  if (gate_ && roll() < faults_.limit_fall * s) {
    row_limit_ = std::min<std::size_t>(row_limit_, 2 + random_() % 3);
    rows_at_once_ = 3;
  }
  for (auto& n : nodes_) {
    if (roll() < faults_.node_crash * s) {
      n.scheduler.reset();
      n.leadership = std::make_unique<Leadership>(policy_, terms_);
      ++n.life;
      n.flushing = 0;
      n.cancels.clear();
      const bool quick = faults_.quick_return > 0 && roll() < faults_.quick_return;
      n.down_until = now_ + seconds(quick ? between(0, 0.5) : 8);
    }
    if (roll() < faults_.node_freeze * s) freeze(n);
    if (roll() < faults_.state_cut * s) n.cut_until = now_ + seconds(between(2, 60));
  }
  if (faults_.relays && roll() < faults_.link_cut * s) link_cut_until_ = now_ + seconds(between(1, 40));
  for (auto& [id, w] : workers_) {
    if (faults_.deaf > 0 && roll() < faults_.deaf * s) w.downlink_lost_until = now_ + seconds(between(3, 120));
    if (roll() < faults_.worker_cut * s) w.cut_until = now_ + seconds(between(2, 60));
    if (roll() < faults_.machine_death * s) {
      w.alive = false;
      w.tasks.clear();
    }
  }
}

// Just under and over the leader's lease, and about the workers' leases. What it had sent is on its way; what comes
// to it meanwhile waits in its sockets.
void World::freeze(Node& n) {
  constexpr std::array<double, 5> lengths{1.0, 1.9, 2.2, 17.0, 45.0};
  ++freezes_;
  n.frozen_until = now_ + seconds(lengths.at(random_() % lengths.size()));
}

// ---- controllers ----

void World::load(Node& n) {
  Scheduler::Options options;
  options.policy = policy_;
  options.terms = terms_;
  options.teams = teams_;
  options.token = *lead_;
  options.old_leader_until = now_ + n.leadership->grace() + policy_.margin;
  options.range_rows = gate_;
  options.v1_row_size = 7;
  options.range_size = 5;
  n.row_limit = 1000;
  n.rows_at_once = 6;
  n.scheduler = std::make_unique<Scheduler>(options, [this](const std::string& line) {
    if (trace) trace(std::to_string(to_seconds(now_.time_since_epoch())) + " " + line);
  });
  for (const auto& [id, s] : stored_jobs_) {
    if (!s.final) n.scheduler->load_job(s.job, now_);
  }
  for (const auto& [group, row] : stored_machines_) {
    for (const auto& facts : row) n.scheduler->load_machine(facts, now_);
  }
  // Those that begin last first; then those by number.
  for (auto it = stored_tasks_.rbegin(); it != stored_tasks_.rend(); ++it) {
    if (it->first.kind == RowKind::tasks) n.scheduler->load_tasks(it->second, now_);
  }
  for (const auto& [key, row] : stored_tasks_) {
    if (key.kind == RowKind::tasks_v1) n.scheduler->load_tasks(row, now_);
  }
  n.scheduler->finish_load(now_);
  n.scheduler->set_types(types_);
}

// What the store says of awaited jobs comes a moment later.
void World::look_up(Node& n) {
  for (const auto& id : n.scheduler->take_lookups()) {
    at(now_ + seconds(between(wire_low, 0.5)), [this, &n, life = n.life, id] {
      if (n.life != life || n.scheduler == nullptr) return;
      const auto it = stored_jobs_.find(id);
      if (now_ < n.cut_until || now_ < n.frozen_until || it == stored_jobs_.end()) return n.scheduler->retry_lookup(id);
      if (it->second.final) return n.scheduler->on_end_looked_up(id, it->second.job.phase, now_);
      n.scheduler->add_job(it->second.job, now_);
      n.scheduler->retry_lookup(id);
    });
  }
}

void World::take_lead(Node& n) {
  ++takeovers_;
  lead_ = FencingToken{++revision_};
  lead_until_ = now_ + policy_.lease_ttl;
  n.leadership = std::make_unique<Leadership>(policy_, terms_);
  n.leadership->acquired(*lead_, now_);
  ++n.life;
  n.flushing = 0;
  n.cancels.clear();
  load(n);
  n.leadership->loaded(now_);
  n.next_renewal = now_;
  for (auto& batch : n.scheduler->announcements()) send_direct(n, std::move(batch));
}

void World::step_down(Node& n) {
  n.leadership->lost();
  n.scheduler.reset();
  ++n.life;
  n.flushing = 0;
  n.cancels.clear();
}

void World::step_node(Node& n) {
  if (now_ < n.down_until || now_ < n.frozen_until) return;
  const bool store = now_ >= n.cut_until;
  if (n.scheduler == nullptr) {
    if (store && !lead_) take_lead(n);
    return;
  }
  if (store && now_ >= n.next_renewal) {
    n.next_renewal = now_ + policy_.renew_every;
    if (lead_ != n.leadership->token()) return step_down(n);
    lead_until_ = now_ + policy_.lease_ttl;
    n.leadership->renewed(now_, now_);
  }
  n.leadership->tick(now_);
  if (!n.leadership->has_valid_lease(now_)) {
    n.scheduler->expire(now_);
    return;
  }
  if (now_ >= n.next_round) {
    n.next_round = now_ + policy_.cycle_interval;
    n.scheduler->run_cycle(now_);
  }
  if (gate_) n.scheduler->use_range_rows(now_);
  look_up(n);
  if (n.flushing < 3 && n.scheduler->has_writes(true, now_)) flush(n);
  for (auto& batch : n.scheduler->take_command_batches(now_)) send_direct(n, std::move(batch));
  for (const auto& request : n.scheduler->take_scale_out_requests()) {
    note(Given::hire, request.name + " " + std::to_string(request.count) + " " + request.type + " " + request.zone +
                          " " + std::to_string(static_cast<int>(request.spot)));
    if (!hire_names_.insert(request.name).second) breach("hire name reused: " + request.name);
    std::vector<MachineId> ids;
    if (workers_.size() < 14) {
      for (std::uint32_t i = 0; i < request.count && workers_.size() < 14; ++i) {
        Worker w;
        w.id = MachineId{"i-" + std::to_string(100000 + machine_no_++)};
        w.zone = request.zone;
        w.spot = request.spot;
        w.boots = w.next_report = w.lease_renewed_at = now_ + seconds(between(1, 30));
        ids.push_back(w.id);
        workers_.emplace(w.id, w);
      }
      // The answer can be lost: the machines then turn up by themselves.
      if (roll() < 0.1) ids.clear();
    }
    n.scheduler->on_scale_out_granted(request, ids, now_);
  }
  const auto releases = n.scheduler->take_scale_in(now_);
  for (const auto& id : releases) {
    note(Given::release, id.value());
    workers_.erase(id);
  }
  if (!releases.empty()) n.scheduler->on_machines_released(releases, now_);
}

// Rows that the node knows to be too large are divided and not sent.
std::vector<RowWrite> World::take_fitting(Node& n) {
  auto rows = n.scheduler->take_writes(n.rows_at_once, true, now_);
  std::erase_if(rows, [&](const RowWrite& row) {
    if (size_of(row) <= n.row_limit) return false;
    ++divided_;
    n.scheduler->split_row(row, now_);
    return true;
  });
  return rows;
}

void World::flush(Node& n) {
  ++n.flushing;
  const auto rows = take_fitting(n);
  for (const auto& row : rows) {
    note(Given::row, std::to_string(static_cast<int>(row.key.kind)) + " " + row.key.id + " " +
                         std::to_string(row.key.part) + " " + std::to_string(size_of(row)) + content_of(row));
  }
  // Held by a cut, a transaction is applied late; its conditions decide then.
  const Time arrives = std::max(now_, n.cut_until) + seconds(between(wire_low, 0.3));
  at(arrives, [this, &n, life = n.life, token = n.leadership->token(), rows] { apply(n, life, token, rows); });
}

void World::apply_row(const RowWrite& row) {
  const JobId id{row.key.id};
  if (row.final_job) {
    auto& s = stored_jobs_.at(id);
    if (s.final) breach("a final job was written again: " + row.key.id);
    s.final = true;
    s.job.phase = row.final_job->phase;
    const auto stored_cancelled = [&](const JobId& j) {
      const auto& other = stored_jobs_.at(j);
      return other.final && other.job.phase == JobPhase::cancelled;
    };
    if (s.job.phase == JobPhase::cancelled && !cancel_asked_.contains(id)) {
      ++cascaded_;
      if (!needs_cancelled(id, stored_cancelled)) breach("went_back: cancelled by no one: " + row.key.id);
    }
    if (s.job.phase == JobPhase::done && completed_[id].size() != s.job.spec.tasks) breach("not_done " + row.key.id);
  } else if (row.tasks) {
    // One that was under way when the gate was passed may still arrive, but no later leader writes any.
    const bool by_number = row.key.kind == RowKind::tasks_v1;
    if (by_number && gate_ && lead_ != gate_token_) breach("a row by number was written: " + row.key.id);
    stored_tasks_.insert_or_assign(row.key, *row.tasks);
  } else if (!row.machines.empty()) {
    stored_machines_.insert_or_assign(row.key.part, row.machines);
  } else if (row.key.kind != RowKind::machines) {
    stored_tasks_.erase(row.key);
  } else {
    stored_machines_.erase(row.key.part);
  }
}

void World::apply(Node& n, std::uint64_t life, FencingToken token, const std::vector<RowWrite>& rows) {
  // What is too large is refused whatever the conditions are.
  const bool too_large =
      rows.size() > rows_at_once_ || std::ranges::any_of(rows, [&](const auto& r) { return size_of(r) > row_limit_; });
  const bool ours = lead_ == token;
  if (too_large) ++refused_;
  if (ours && !too_large) {
    ++revision_;
    for (const auto& row : rows) apply_row(row);
  }
  const Time back = std::max({now_, n.cut_until, n.frozen_until}) + seconds(wire_low);
  at(back, [this, &n, life, rows, ours, too_large] {
    if (n.life != life || n.scheduler == nullptr) return;
    if (!ours && !too_large) return step_down(n);
    --n.flushing;
    if (too_large) {
      n.row_limit = std::max<std::size_t>(2, std::min(n.row_limit / 2, row_limit_));
      n.rows_at_once = 3;
      n.scheduler->set_row_sizes(3, 25);
      return n.scheduler->requeue_writes(rows, seconds(0.05), now_);
    }
    take_answer(n, rows);
  });
}

void World::take_answer(Node& n, const std::vector<RowWrite>& rows) {
  n.scheduler->on_rows_stored(rows, now_);
  std::erase_if(n.cancels, [&](const auto& id) {
    const auto& s = stored_jobs_.at(id);
    if (!s.final) return false;
    if (s.job.phase == JobPhase::cancelled) reported_cancelled_.emplace(id, now_);
    return true;
  });
}

void World::send_direct(Node& n, CommandBatch batch) {
  note(Given::command, batch.machine, batch.commands);
  const bool held = faulty_ && roll() < faults_.held_command;
  const Time arrives = now_ + seconds(held ? between(3, 150) : between(wire_low, wire_high));
  const auto token = n.leadership->token();
  const auto life = n.life;
  const bool answer_lost = faulty_ && roll() < faults_.lost_answer;
  at(arrives, [this, &n, life, token, batch, held, answer_lost] {
    Heartbeat report;
    const auto outcome = deliver_direct(token, batch, report);
    if (held || answer_lost || n.life != life || n.scheduler == nullptr) return;
    at(std::max(now_, n.frozen_until), [this, &n, life, batch, outcome, report] {
      if (n.life != life || n.scheduler == nullptr) return;
      n.scheduler->on_command_outcome(batch, outcome.value_or(CommandOutcome::unknown), now_);
      if (outcome)
        n.scheduler->on_heartbeat(report, StatusSource::command_reply, now_, n.leadership->has_valid_lease(now_));
    });
  });
}

std::optional<CommandOutcome> World::deliver_direct(FencingToken token, const CommandBatch& batch, Heartbeat& report) {
  const auto it = workers_.find(batch.machine);
  if (it == workers_.end() || !it->second.alive || now_ < it->second.boots || now_ < it->second.cut_until ||
      now_ < it->second.downlink_lost_until) {
    return std::nullopt;
  }
  Worker& w = it->second;
  const bool needs_cycle = token < w.token || batch.incarnation != w.incarnation;
  w.token = std::max(w.token, token);
  if (!needs_cycle) execute(w, batch.commands);
  report = report_of(w);
  return needs_cycle ? CommandOutcome::refused : CommandOutcome::executed;
}

// ---- workers ----

Heartbeat World::report_of(Worker& w) {
  w.tick = HeartbeatSequence{w.tick.value() + 1};
  Heartbeat r;
  r.machine = w.id;
  r.addr = "10.0.0.1:1";
  r.type = "big";
  r.zone = w.zone;
  r.spot = w.spot;
  r.incarnation = w.incarnation;
  r.sequence = w.tick;
  r.token = w.token;
  for (const auto& [key, t] : w.tasks) r.tasks.push_back({key.first, key.second, t.state, t.cause, false});
  return r;
}

void World::step_worker(Worker& w) {
  if (now_ - w.lease_renewed_at > seconds(terms_.lease_s)) {
    w.tasks.clear();
    w.incarnation = Incarnation{w.incarnation.value() + 1};
    w.lease_renewed_at = now_;
    w.waiting_since.reset();
  }
  if (w.waiting_since && now_ - *w.waiting_since > seconds(4)) {
    w.waiting_since.reset();
    w.target = 1 - w.target;
    w.next_report = now_ + seconds(1);
  }
  if (!w.waiting_since && now_ >= w.next_report) send_report(w);
  step_tasks(w);
}

void World::send_report(Worker& w) {
  w.waiting_since = now_;
  w.next_report = now_ + seconds(between(0.75, 1.25) * terms_.heartbeat_interval_s);
  const auto no = ++w.report_no;
  const auto report = report_of(w);
  const bool held = faulty_ && roll() < faults_.held_report;
  if (now_ < w.cut_until && !held) return;
  const Time arrives = std::max(now_, w.cut_until) + seconds(held ? between(1, 90) : between(wire_low, wire_high));
  at(arrives, [this, target = w.target, report, no] { receive_report(target, report, no); });
  if (!faulty_ || faults_.late_copy <= 0 || roll() >= faults_.late_copy) return;
  const auto other = random_() % nodes_.size();
  at(now_ + seconds(between(1, 3 * terms_.lease_s)), [this, other, report, no] { receive_report(other, report, no); });
}

void World::receive_report(std::size_t node, const Heartbeat& report, std::uint64_t no) {
  Node& n = nodes_.at(node);
  if (now_ < n.down_until) return;
  if (now_ < n.frozen_until) {
    at(n.frozen_until + seconds(wire_low), [this, node, report, no] { receive_report(node, report, no); });
    return;
  }
  if (faults_.relays && n.scheduler == nullptr) {
    Relayed r{node, report, no, now_ + seconds(hold_s)};
    at(r.until, [this, r] { hand_out(r, {}); });  // by then the worker is told to go elsewhere
    return relay(r);
  }
  const Answer a = answer_of(n, report);
  if (faulty_ && roll() < faults_.lost_answer) return;
  const Time back = now_ + seconds(between(wire_low, wire_high));
  at(back, [this, id = report.machine, no, incarnation = report.incarnation, a] {
    receive_answer(id, no, incarnation, a.ok, a.token, a.commands);
  });
}

void World::note(Given what, const std::string& said) const {
  if (!decided) return;
  decided(std::to_string(now_.time_since_epoch().count()) + " " + std::to_string(static_cast<int>(what)) + " " + said);
}

void World::note(Given what, const MachineId& to, const std::vector<Command>& commands) const {
  if (!decided) return;
  std::string out = to.value();
  for (const auto& o : commands) {
    out += " " + std::to_string(static_cast<int>(o.verb)) + ":" + o.task.job.value() + "/" +
           std::to_string(o.task.index) + "#" + std::to_string(o.attempt.value()) + "~" + std::to_string(o.grace_s);
  }
  note(what, out);
}

World::Answer World::answer_of(Node& n, const Heartbeat& report) {
  Answer a;
  if (n.scheduler != nullptr && report.token > n.leadership->token()) step_down(n);
  if (n.scheduler != nullptr && n.leadership->serves_workers(now_) && !n.scheduler->is_released(report.machine)) {
    a.commands = n.scheduler->on_heartbeat(report, StatusSource::heartbeat, now_, n.leadership->has_valid_lease(now_));
    if (n.scheduler->must_not_be_answered(report.machine)) return {};
    n.scheduler->on_heartbeat_answered(report.machine, now_);
    note(Given::answer, report.machine, a.commands);
    a.token = n.leadership->token();
    a.ok = true;
  }
  return a;
}

// ---- a node that does not lead passes reports on ----

void World::relay(const Relayed& r) {
  Node& n = nodes_.at(r.by);
  if (now_ < n.down_until || now_ >= r.until || handed_out_.contains({r.report.machine, r.no})) return;
  if (now_ < n.frozen_until) {
    at(n.frozen_until + seconds(wire_low), [this, r] { relay(r); });
    return;
  }
  if (n.scheduler != nullptr) {
    // It took over itself meanwhile.
    const Answer a = answer_of(n, r.report);
    if (a.ok) return hand_out(r, a);
  }
  const int times = faulty_ && roll() < faults_.twice_batch ? 2 : 1;
  for (int i = 0; i < times && n.scheduler == nullptr; ++i) {
    if (faulty_ && (now_ < link_cut_until_ || roll() < faults_.lost_batch)) continue;
    at(now_ + seconds(faulty_ ? link_delay() : wire_low), [this, r] { receive_relayed(r); });
  }
  at(now_ + seconds(retry_s), [this, r] { relay(r); });
}

void World::receive_relayed(const Relayed& r) {
  Node& n = nodes_.at(1 - r.by);
  if (now_ < n.down_until) return;
  if (now_ < n.frozen_until) {
    at(n.frozen_until + seconds(wire_low), [this, r] { receive_relayed(r); });
    return;
  }
  const Answer a = answer_of(n, r.report);
  if (!a.ok || (faulty_ && (now_ < link_cut_until_ || roll() < faults_.lost_batch))) return;
  at(now_ + seconds(faulty_ ? link_delay() : wire_low), [this, r, a] { hand_out(r, a); });
}

// One answer a report at most. What a frozen node holds is handed out when it wakes, however old it is.
void World::hand_out(const Relayed& r, const Answer& a) {
  Node& n = nodes_.at(r.by);
  if (now_ < n.down_until) return;
  if (now_ < n.frozen_until) {
    at(n.frozen_until + seconds(wire_low), [this, r, a] { hand_out(r, a); });
    return;
  }
  if (!handed_out_.emplace(r.report.machine, r.no).second) return;
  if (a.ok) ++relayed_;
  receive_answer(r.report.machine, r.no, r.report.incarnation, a.ok, a.token, a.commands);
}

void World::receive_answer(const MachineId& id, std::uint64_t no, Incarnation incarnation, bool ok, FencingToken token,
                           const std::vector<Command>& commands) {
  const auto it = workers_.find(id);
  if (it == workers_.end()) return;
  Worker& w = it->second;
  if (!w.alive || !w.waiting_since || no != w.report_no || incarnation != w.incarnation || now_ < w.cut_until ||
      now_ < w.downlink_lost_until) {
    return;
  }
  const Time sent = *w.waiting_since;
  w.waiting_since.reset();
  if (!ok) {
    w.target = 1 - w.target;
    w.next_report = std::min(w.next_report, now_ + seconds(1));
    return;
  }
  if (token < w.token) return;
  if (token > w.token) w.next_report = std::min(w.next_report, now_ + seconds(0.5));
  w.token = token;
  w.lease_renewed_at = sent;
  execute(w, commands);
}

void World::execute(Worker& w, const std::vector<Command>& commands) {
  for (const auto& o : commands) {
    const TaskKey key{o.task, o.attempt};
    const auto it = w.tasks.find(key);
    if (o.verb == Command::Verb::forget) {
      if (it != w.tasks.end() && it->second.state == TaskState::ended) w.tasks.erase(it);
    } else if (o.verb == Command::Verb::stop) {
      if (it == w.tasks.end() || it->second.state == TaskState::ended) continue;
      auto& t = it->second;
      if (t.state == TaskState::running && o.grace_s >= 3) {
        t.state = TaskState::saving;
        t.until = now_ + seconds(3);
      } else if (t.state != TaskState::saving || o.grace_s == 0) {
        t.state = TaskState::ended;
        t.cause = ExitCause::stopped;
      }
    } else if (it == w.tasks.end()) {
      const bool busy = std::ranges::any_of(
          w.tasks, [&](const auto& t) { return t.first.first == o.task && t.second.state != TaskState::ended; });
      const auto [other, fresh] = attempts_.emplace(key, w.id);
      if (!fresh && other->second != w.id) breach("attempt reused: " + to_string(o.task));
      WorkTask t;
      t.until = now_ + seconds(between(0, 6));
      t.since = now_;
      double gpus = spec_of(o.task.job).need.gpus;
      for (const auto& [k, x] : w.tasks) {
        if (x.state != TaskState::ended) gpus += spec_of(k.first.job).need.gpus;
      }
      if (busy || gpus > types_[0].room.gpus + 1e-9) {
        t.state = TaskState::ended;
        t.cause = busy ? ExitCause::busy : ExitCause::no_room;
      }
      w.tasks.emplace(key, t);
    }
  }
}

void World::start_on(Worker& w, const TaskKey& key, WorkTask& t) {
  ++started_;
  const auto& spec = spec_of(key.first.job);
  if (w.spot && !spec.spot) breach("wrong_place: spot " + to_string(key.first));
  for (const auto& id : spec.dependencies) {
    const auto& other = stored_jobs_.at(id);
    if (!other.final || other.job.phase != JobPhase::done) breach("too_early " + to_string(key.first));
  }
  for (auto& [id, other] : workers_) {
    for (auto& [k, x] : other.tasks) {
      if (&x == &t || !on_machine(x) || k.first.job != key.first.job) continue;
      if (k.first == key.first)
        breach("ran_twice " + to_string(k.first) + " on " + id.value() + " and " + w.id.value());
      if (spec.one_zone && other.zone != w.zone) breach("wrong_place: zone " + to_string(key.first));
    }
  }
}

void World::step_tasks(Worker& w) {
  for (auto& [key, t] : w.tasks) {
    const auto& spec = spec_of(key.first.job);
    if (t.state == TaskState::fetching && now_ >= t.until) {
      t.state = spec.kind == JobKind::gang ? TaskState::waiting : TaskState::running;
      t.since = now_;
      t.until = now_ + seconds(completed_[key.first.job].contains(key.first.index) ? 0 : between(2, 40));
      start_on(w, key, t);
    } else if (t.state == TaskState::running && spec.kind == JobKind::array && now_ >= t.until) {
      const bool error = faulty_ && roll() < faults_.task_error;
      t.state = TaskState::ended;
      t.cause = error ? ExitCause::error : ExitCause::done;
      if (!error) completed_[key.first.job].insert(key.first.index);
    } else if (t.state == TaskState::saving && now_ >= t.until) {
      t.state = TaskState::ended;
      t.cause = ExitCause::stopped;
    } else if (t.state == TaskState::waiting && now_ - t.since > seconds(terms_.gang_wait_s)) {
      t.state = TaskState::ended;
      t.cause = ExitCause::alone;
    } else if (t.peer_lost && t.state == TaskState::running && now_ >= *t.peer_lost) {
      t.state = TaskState::ended;
      t.cause = ExitCause::peers;
    }
  }
}

void World::step_gangs() {
  std::map<std::pair<JobId, Attempt>, std::vector<std::pair<TaskId, WorkTask*>>> gangs;
  for (auto& [id, w] : workers_) {
    for (auto& [key, t] : w.tasks) {
      if (spec_of(key.first.job).kind == JobKind::gang) gangs[{key.first.job, key.second}].emplace_back(key.first, &t);
    }
  }
  for (auto& [gang, tasks] : gangs) {
    const auto wanted = spec_of(gang.first).tasks;
    const auto count = [&](TaskState s) {
      return static_cast<std::uint32_t>(
          std::ranges::count_if(tasks, [&](const auto& t) { return t.second->state == s; }));
    };
    if (count(TaskState::waiting) == wanted) {
      for (auto& [id, t] : tasks) t->state = TaskState::running;
    } else if (count(TaskState::running) == wanted) {
      if (now_ < tasks.front().second->until) continue;
      for (auto& [id, t] : tasks) {
        t->state = TaskState::ended;
        t->cause = ExitCause::done;
        completed_[gang.first].insert(id.index);
      }
    } else if (count(TaskState::running) > 0) {
      for (auto& [id, t] : tasks) {
        if (!t->peer_lost) t->peer_lost = now_ + seconds(terms_.gang_peer_s);
      }
    }
  }
}

// ---- users and rules ----

std::vector<JobId> World::some_earlier_jobs() {
  std::vector<JobId> out;
  if (roll() >= faults_.chained || stored_jobs_.empty()) return out;
  for (int i = 0; i < 3; ++i) {
    const JobId id{"job-" + std::to_string(job_no_ - 1 - random_() % std::min<std::uint64_t>(job_no_, 6))};
    if (stored_jobs_.contains(id) && std::ranges::find(out, id) == out.end()) out.push_back(id);
  }
  return out;
}

// Is any job cancelled that this one needs, directly or through others?
bool World::needs_cancelled(const JobId& id, const std::function<bool(const JobId&)>& cancelled) const {
  std::vector<JobId> left = spec_of(id).dependencies;
  while (!left.empty()) {
    const JobId next = left.back();
    left.pop_back();
    if (cancelled(next)) return true;
    const auto& more = spec_of(next).dependencies;
    left.insert(left.end(), more.begin(), more.end());
  }
  return false;
}

void World::users() {
  Node* leader = nullptr;
  for (auto& n : nodes_) {
    if (n.scheduler != nullptr && n.leadership->has_valid_lease(now_) && now_ >= n.down_until && now_ >= n.frozen_until)
      leader = &n;
  }
  if (leader == nullptr || !faulty_) return;
  if (now_ >= leader->cut_until && roll() < 0.012) submit(*leader);
  if (roll() < 0.003) {
    for (const auto& [id, s] : stored_jobs_) {
      if (s.final || roll() > 0.3) continue;
      if (leader->scheduler->cancel(id, now_)) {
        leader->cancels.push_back(id);
        cancel_asked_.insert(id);
      }
      break;
    }
  }
}

void World::submit(Node& leader) {
  JobSpec s;
  s.id = JobId{"job-" + std::to_string(job_no_++)};
  s.job_class = "x";
  s.team = roll() < 0.5 ? "red" : "blue";
  s.kind = roll() < 0.5 ? JobKind::gang : JobKind::array;
  s.priority = static_cast<Priority>(random_() % 4);
  s.tasks = 1 + static_cast<std::uint32_t>(random_() % (s.kind == JobKind::gang ? 3 : 12));
  s.need = {4, s.kind == JobKind::gang ? 4.0 : 1.0, 8};
  s.image = "img";
  s.image_gb = 1;
  s.one_zone = roll() < 0.4;
  s.spot = roll() < 0.5;
  s.estimate_s = 20;
  s.checkpoint_duration_s =
      faults_.shortage ? 6 : 3;  // beside checkpoints each 10 s the saving costs more than it saves
  s.checkpoint_interval_s = roll() < 0.5 ? 10 : 0;
  if (roll() < 0.5) s.deadline_s = 100;
  s.dependencies = some_earlier_jobs();
  submitted_.emplace(s.id, s);
  Job job;
  job.spec = s;
  job.submitted = now_;
  // What is done already is no longer waited for.
  std::erase_if(job.spec.dependencies, [&](const JobId& id) {
    return stored_jobs_.at(id).final && stored_jobs_.at(id).job.phase == JobPhase::done;
  });
  stored_jobs_[s.id] = {job, false};
  if (roll() >= faults_.late_note) return leader.scheduler->add_job(job, now_);
  // Accepted at another node: the leader finds the note later, or its successor loads the row.
  at(now_ + seconds(between(0.1, 20)), [this, &leader, life = leader.life, id = s.id] {
    const auto& stored = stored_jobs_.at(id);
    if (leader.life == life && leader.scheduler != nullptr && !stored.final)
      leader.scheduler->add_job(stored.job, now_);
  });
}

void World::check() {
  std::map<std::string, double> used;
  for (const auto& [id, w] : workers_) {
    if (!w.alive) continue;
    for (const auto& [key, t] : w.tasks) {
      if (!on_machine(t)) continue;
      const auto& spec = spec_of(key.first.job);
      used[spec.team] += spec.need.gpus;
      const auto c = reported_cancelled_.find(key.first.job);
      if (c != reported_cancelled_.end() && now_ - c->second > seconds(terms_.cancel_s))
        breach("ran_cancelled " + to_string(key.first));
    }
  }
  // What a leader calls active: nothing that it needs was told to be cancelled so long ago.
  const Duration bound = seconds(terms_.cancel_s);
  const auto told_long_ago = [&](const JobId& id) {
    const auto c = reported_cancelled_.find(id);
    return c != reported_cancelled_.end() && now_ - c->second > bound;
  };
  for (const auto& n : nodes_) {
    if (n.scheduler == nullptr || !n.leadership->has_valid_lease(now_) || now_ < n.frozen_until) continue;
    for (const auto& [id, job] : n.scheduler->jobs()) {
      const auto status = n.scheduler->status(id);
      if (status && !is_final(status->phase) && now_ - job.submitted > bound && needs_cancelled(id, told_long_ago)) {
        breach("orphaned " + id.value());
      }
    }
  }
  for (const auto& t : teams_) {
    if (used[t.name] > t.limit.gpus + 1e-9) breach("quota " + t.name);
  }
}

std::size_t World::unfinished() const {
  return static_cast<std::size_t>(std::ranges::count_if(stored_jobs_, [](const auto& s) { return !s.second.final; }));
}

}  // namespace martenwall::sim
