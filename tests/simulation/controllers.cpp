#include <algorithm>

#include "simulation.hpp"

namespace martenwall::sim {

namespace {
constexpr std::size_t max_machines = 14;
}  // namespace

void World::load(Node& n) {
  Scheduler::Options options;
  options.policy = policy_;
  options.timings = timings_;
  options.teams = teams_;
  options.token = *leader_token_;
  options.previous_leader_valid_until = now_ + n.leadership->grace() + policy_.lease_margin;
  options.range_rows = range_rows_allowed_;
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
  // Loads range rows in descending order first, then the numbered v1 rows.
  for (auto it = stored_tasks_.rbegin(); it != stored_tasks_.rend(); ++it) {
    if (it->first.kind == RowKind::tasks) n.scheduler->load_tasks(it->second, now_);
  }
  for (const auto& [key, row] : stored_tasks_) {
    if (key.kind == RowKind::tasks_v1) n.scheduler->load_tasks(row, now_);
  }
  n.scheduler->finish_load(now_);
  n.scheduler->set_types(types_);
}

// Looks up dependencies in the store; results arrive after a delay.
void World::run_lookups(Node& n) {
  for (const auto& id : n.scheduler->take_lookups()) {
    at(now_ + seconds(between(min_network_delay_s, 0.5)), [this, &n, life = n.life, id] {
      if (n.life != life || n.scheduler == nullptr) return;
      const auto it = stored_jobs_.find(id);
      if (now_ < n.cut_until || now_ < n.frozen_until || it == stored_jobs_.end()) return n.scheduler->retry_lookup(id);
      if (it->second.final) return n.scheduler->on_dependency_end_found(id, it->second.job.phase, now_);
      n.scheduler->add_job(it->second.job, now_);
      n.scheduler->retry_lookup(id);
    });
  }
}

void World::become_leader(Node& n) {
  ++failovers_;
  leader_token_ = FencingToken{++revision_};
  leader_lease_until_ = now_ + policy_.lease_ttl;
  n.leadership = std::make_unique<Leadership>(policy_, timings_);
  n.leadership->acquired(*leader_token_, now_);
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
    if (store && !leader_token_) become_leader(n);
    return;
  }
  if (store && now_ >= n.next_renewal) {
    n.next_renewal = now_ + policy_.renew_interval;
    if (leader_token_ != n.leadership->token()) return step_down(n);
    leader_lease_until_ = now_ + policy_.lease_ttl;
    n.leadership->renewed(now_, now_);
  }
  n.leadership->tick(now_);
  if (!n.leadership->has_valid_lease(now_)) {
    n.scheduler->expire_leases(now_);
    return;
  }
  if (now_ >= n.next_round) {
    n.next_round = now_ + policy_.cycle_interval;
    n.scheduler->run_cycle(now_);
  }
  if (range_rows_allowed_) n.scheduler->use_range_rows(now_);
  run_lookups(n);
  if (n.flushing < 3 && n.scheduler->has_writes(true, now_)) flush(n);
  for (auto& batch : n.scheduler->take_command_batches(now_)) send_direct(n, std::move(batch));
  scale_out(n);
  scale_in(n);
}

void World::scale_out(Node& n) {
  for (const auto& request : n.scheduler->take_scale_out_requests()) {
    record_decision(Decision::scale_out, request.name + " " + std::to_string(request.count) + " " + request.type + " " +
                                             request.zone + " " + std::to_string(static_cast<int>(request.spot)));
    if (!scale_out_names_.insert(request.name).second) report_violation("hire name reused: " + request.name);
    std::vector<MachineId> ids;
    if (workers_.size() < max_machines) {
      for (std::uint32_t i = 0; i < request.count && workers_.size() < max_machines; ++i) {
        ids.push_back(add_worker(request.zone, request.spot, seconds(between(1, 30))));
      }
      // The response may be lost: the machines then become known by their heartbeats.
      if (roll() < 0.1) ids.clear();
    }
    n.scheduler->on_scale_out_granted(request, ids, now_);
  }
}

void World::scale_in(Node& n) {
  const auto releases = n.scheduler->scale_in_candidates(now_);
  for (const auto& id : releases) {
    record_decision(Decision::scale_in, id.value());
    workers_.erase(id);
  }
  if (!releases.empty()) n.scheduler->on_machines_released(releases, now_);
}

// Returns the next writes; rows over the node's known size limit are split instead of sent.
std::vector<RowWrite> World::take_writes_within_limits(Node& n) {
  auto rows = n.scheduler->take_writes(n.rows_at_once, true, now_);
  std::erase_if(rows, [&](const RowWrite& row) {
    if (size_of(row) <= n.row_limit) return false;
    ++row_splits_;
    n.scheduler->split_row(row, now_);
    return true;
  });
  return rows;
}

void World::flush(Node& n) {
  ++n.flushing;
  const auto rows = take_writes_within_limits(n);
  for (const auto& row : rows) {
    record_decision(row);
  }
  // During a cut the transaction is delayed; its conditions are evaluated on arrival.
  const Time arrives = std::max(now_, n.cut_until) + seconds(between(min_network_delay_s, 0.3));
  at(arrives, [this, &n, life = n.life, token = n.leadership->token(), rows] { apply(n, life, token, rows); });
}

void World::on_rows_committed(Node& n, const std::vector<RowWrite>& rows) {
  n.scheduler->on_rows_stored(rows, now_);
  std::erase_if(n.cancels, [&](const auto& id) {
    const auto& s = stored_jobs_.at(id);
    if (!s.final) return false;
    if (s.job.phase == JobPhase::cancelled) reported_cancelled_.emplace(id, now_);
    return true;
  });
}

void World::send_direct(Node& n, CommandBatch batch) {
  record_decision(Decision::command, batch.machine, batch.commands);
  const bool delayed = faulty_ && roll() < faults_.delayed_command;
  const Time arrives = now_ + seconds(delayed ? between(3, 150) : between(min_network_delay_s, max_network_delay_s));
  const auto token = n.leadership->token();
  const auto life = n.life;
  const bool response_lost = faulty_ && roll() < faults_.lost_response;
  at(arrives, [this, &n, life, token, batch, delayed, response_lost] {
    Heartbeat report;
    const auto outcome = deliver_direct(token, batch, report);
    if (delayed || response_lost || n.life != life || n.scheduler == nullptr) return;
    at(std::max(now_, n.frozen_until), [this, &n, life, batch, outcome, report] {
      if (n.life != life || n.scheduler == nullptr) return;
      n.scheduler->on_command_outcome(batch, outcome.value_or(CommandOutcome::unknown), now_);
      if (outcome)
        n.scheduler->on_heartbeat(report, StatusSource::command_reply, now_, n.leadership->has_valid_lease(now_));
    });
  });
}

}  // namespace martenwall::sim
