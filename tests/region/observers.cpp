#include <algorithm>

#include "region.hpp"

namespace martenwall::region {

// Copies of reports that were kept come to all controllers just as a new leader begins.
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
  const auto r = co_await ask(at, "POST", "/agent/beat", std::move(body), 4);
  if (r.ok()) ++environment_.late_copies;
}

// Room now for a task that is missing, or for all of a gang.
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
  std::size_t most = 0;
  const std::size_t most_each = spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;
  for (const auto& [zone, n] : places) {
    most = spec.one_zone ? std::max(most, n) : most + std::min(n, most_each);
  }
  // Of an array in one zone or spread over several other tasks decide the place: not judged here.
  if (!whole && (spec.one_zone || spec.spread) && fetching) return false;
  return most >= (whole ? spec.tasks : 1);
}

void Region::check_waiting_jobs() {
  for (const auto& [id, work] : rules_.jobs()) {
    const bool open = work.accepted && !work.cancel_asked && work.completed.size() < work.spec.tasks;
    rules_.check_neglected(id, open && could_start(work), now_);
  }
}

bool Region::all_over() const {
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
