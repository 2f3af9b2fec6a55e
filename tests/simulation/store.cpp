#include <algorithm>

#include "simulation.hpp"

namespace martenwall::sim {

void World::apply_row(const RowWrite& row) {
  const JobId id{row.key.id};
  if (row.final_job) {
    auto& s = stored_jobs_.at(id);
    if (s.final) report_violation("a final job was rewritten: " + row.key.id);
    s.final = true;
    s.job.phase = row.final_job->phase;
    const auto stored_cancelled = [&](const JobId& j) {
      const auto& other = stored_jobs_.at(j);
      return other.final && other.job.phase == JobPhase::cancelled;
    };
    if (s.job.phase == JobPhase::cancelled && !cancel_requested_.contains(id)) {
      ++cascaded_;
      if (!depends_on_cancelled(id, stored_cancelled))
        report_violation("went_back: cancelled by no one: " + row.key.id);
    }
    if (s.job.phase == JobPhase::done && completed_[id].size() != s.job.spec.tasks)
      report_violation("not_done " + row.key.id);
  } else if (row.tasks) {
    // A v1 row in flight at the format switch may still arrive; later leaders write none.
    const bool by_number = row.key.kind == RowKind::tasks_v1;
    if (by_number && range_rows_allowed_ && leader_token_ != range_rows_token_)
      report_violation("a v1 row was written after the format switch: " + row.key.id);
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
  // Transactions over the limits are refused whatever their conditions are.
  const bool too_large =
      rows.size() > rows_at_once_ || std::ranges::any_of(rows, [&](const auto& r) { return size_of(r) > row_limit_; });
  const bool is_leader = leader_token_ == token;
  if (too_large) ++refused_;
  if (is_leader && !too_large) {
    ++revision_;
    for (const auto& row : rows) apply_row(row);
  }
  const Time back = std::max({now_, n.cut_until, n.frozen_until}) + seconds(min_network_delay_s);
  at(back, [this, &n, life, rows, is_leader, too_large] {
    if (n.life != life || n.scheduler == nullptr) return;
    if (!is_leader && !too_large) return step_down(n);
    --n.flushing;
    if (too_large) {
      n.row_limit = std::max<std::size_t>(2, std::min(n.row_limit / 2, row_limit_));
      n.rows_at_once = 3;
      n.scheduler->set_row_sizes(3, 25);
      return n.scheduler->requeue_writes(rows, seconds(0.05), now_);
    }
    on_rows_committed(n, rows);
  });
}

}  // namespace martenwall::sim
