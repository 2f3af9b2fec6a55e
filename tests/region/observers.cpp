#include <algorithm>

#include "region.hpp"

namespace martenwall::region {

// Sends retained heartbeats to all controllers when a new leader is elected.
void Region::watch_leader() {
  const auto row = store_.value(wire::leader_key);
  if (!row || row->dump() == last_leader_) return;
  last_leader_ = row->dump();
  for (auto& body : std::exchange(environment_.retained, {})) {
    for (std::size_t c = 0; c < controllers_.size(); ++c) rt::spawn(deliver_retained(body, c));
  }
}

rt::Task<void> Region::deliver_retained(std::string body, std::size_t at) {
  co_await loop_.sleep(seconds(environment_.retained_for_s));
  const auto r = co_await send_request(at, "POST", "/agent/beat", std::move(body), 4);
  if (r.ok()) ++environment_.late_copies;
}

// Returns whether there is capacity for a missing task, or for all tasks of a gang.
bool Region::could_start(const SubmittedJob& work) const {
  const auto& spec = work.spec;
  const auto on = rules_.on_machines(spec.id);
  const bool dependencies_done = std::ranges::all_of(spec.dependencies, [&](const JobId& id) {
    const auto& other = rules_.job(id);
    return other.reported_done.has_value();
  });
  const bool fetching = std::ranges::any_of(workers_, [&](const auto& w) { return w->has(spec.id); });
  const bool whole = spec.kind == JobKind::gang;
  const bool begins = whole ? fetching : work.completed.size() + on.size() >= spec.tasks;
  if (begins || !dependencies_done || !rules_.within_limit(spec.id, whole ? spec.tasks : 1)) return false;
  std::map<std::string, std::size_t> places;  // by zone
  for (const auto& w : workers_) {
    const bool allowed =
        w->is_healthy() && !w->has(spec.id) && (spec.spot || !w->spot()) && (!spec.zone || *spec.zone == w->zone());
    if (allowed && spec.need.gpus > 0)
      places[w->zone()] += static_cast<std::size_t>(w->free_gpus() / spec.need.gpus + 1e-6);
  }
  std::size_t startable = 0;
  const std::size_t max_per_zone = spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;
  for (const auto& [zone, n] : places) {
    startable = spec.one_zone ? std::max(startable, n) : startable + std::min(n, max_per_zone);
  }
  // For one-zone and spread arrays, other tasks restrict the placement: not judged here.
  if (!whole && (spec.one_zone || spec.spread) && fetching) return false;
  return startable >= (whole ? spec.tasks : 1);
}

void Region::check_waiting_jobs() {
  for (const auto& [id, work] : rules_.jobs()) {
    const bool open = work.accepted && !work.cancel_requested && work.completed.size() < work.spec.tasks;
    rules_.check_neglected(id, open && could_start(work), now_);
  }
}

bool Region::all_ended() const {
  const auto& works = rules_.jobs();
  return std::ranges::all_of(
      works, [](const auto& w) { return w.second.reported_done || w.second.reported_cancelled || !w.second.accepted; });
}

std::string Region::unfinished() const {
  std::string out;
  for (const auto& [id, w] : rules_.jobs()) {
    if (!w.reported_done && !w.reported_cancelled && w.accepted) {
      out += id.value() + " " + std::to_string(w.completed.size()) + "/" + std::to_string(w.spec.tasks) + " ";
    }
  }
  return out;
}

std::string Region::violations() const {
  std::string out;
  for (const auto& b : rules_.violations()) out += b + "\n";
  return out;
}

}  // namespace martenwall::region
