// The scheduler's rows in the store: what a new leader loads, and what is written as things change.
#include <algorithm>

#include "core/scheduler.hpp"

namespace martenwall {

namespace {
constexpr std::size_t max_stored_images = 12;
constexpr Duration facts_delay = seconds(4);    // a group's images come one by one
constexpr Duration removal_delay = seconds(2);  // rows that only a later leader would read
constexpr Duration successor_pause = seconds(0.05);
}  // namespace

// ---- loading ----

void Scheduler::load_job(Job job, Time now) {
  job.waiting_since = std::min(now, job.submitted);
  // When an earlier leader saw the last of those that it awaits done is not stored: its times count from now.
  job.released = job.spec.awaits.empty() ? job.submitted : now;
  job.set_own_urgency();
  job.image = image_id(job.spec.image);
  last_submission_ = std::max(last_submission_, job.waiting_since);
  auto id = job.spec.id;
  jobs_.insert_or_assign(std::move(id), std::move(job));
}

Machine& Scheduler::known_machine(const MachineId& id, Time now) {
  auto [it, fresh] = machines_.try_emplace(id, id);
  Machine& m = it->second;
  if (fresh) {
    m.first_known = m.last_heard = m.idle_since = now;
    // Until it reports, its worker's lease may last as long as the old leader could renew it.
    m.last_ok = setup_.old_leader_until;
    m.enter(MachinePhase::up, now);
  }
  return m;
}

void Scheduler::load_machine(const MachineFacts& facts, Time now) {
  Machine& m = known_machine(facts.id, now);
  m.addr = facts.addr;
  m.type = facts.type;
  m.zone = facts.zone;
  m.spot = facts.spot;
  m.session = facts.session;
  m.group = facts.group;
  groups_[facts.group].insert(facts.id);
  for (const auto& [name, gb] : facts.images) m.images.push_back({image_id(name), gb, true});
}

// The parts of a row's run that no row that begins later tells of become spans; only there the row counts.
void Scheduler::add_spans(Job& job, std::uint32_t first, std::uint32_t end) {
  for (auto at = first; at < end;) {
    const auto next = job.spans.upper_bound(at);
    if (next != job.spans.begin()) {
      const auto before = std::prev(next);
      const auto covered = before->first + before->second.size;
      if (at < covered) {
        at = covered;
        continue;
      }
    }
    const auto to = next == job.spans.end() ? end : std::min(end, next->first);
    job.spans.emplace(at, Job::Part{to - at, {}, {}, 0});
    at = to;
  }
}

void Scheduler::load_tasks(const TaskRow& row, Time now) {
  auto [it, ghost] = jobs_.try_emplace(row.job);
  Job& job = it->second;
  if (ghost) {
    // Its job is over: a cancellation that the old leader stored but could not carry out.
    job.spec.id = row.job;
    job.spec.team = row.team;
    job.spec.need = row.need;
    job.rank = job.spec.rank = row.rank;
    job.enter(JobPhase::cancelled);
    job.ghost = job.final_stored = true;
  }
  // An attempt that was recorded was used.
  job.next_attempt = std::max(job.next_attempt, row.next_attempt);
  job.failed_before = std::max(job.failed_before, row.failed);
  const auto end = row.first + row.size;
  std::set<std::uint32_t> later;  // indices that a row which begins later tells of
  for (auto i = row.first; i < end; ++i) {
    const auto next = job.spans.upper_bound(i);
    if (next != job.spans.begin() && i < std::prev(next)->first + std::prev(next)->second.size) later.insert(i);
  }
  if (row.legacy) {
    job.legacy[row.first] = {row.size, {}, {}, row.size};
  } else {
    add_spans(job, row.first, end);
    if (const auto own = job.spans.find(row.first); own != job.spans.end()) own->second.in_store = row.size;
  }
  for (const auto& [from, to] : row.done) {
    for (auto i = from; i <= to && i < end; ++i) {
      if (!later.contains(i)) job.done.insert(i);
    }
  }
  for (const auto& h : row.held) {
    if (!later.contains(h.index)) load_held(job, row, h, now);
  }
}

void Scheduler::load_held(Job& job, const TaskRow& row, const TaskRow::Held& h, Time now) {
  Machine& m = known_machine(h.machine, now);
  if (m.zone.empty()) m.zone = h.zone;
  if (m.find(TaskId{row.job, h.index}, h.attempt) != nullptr) return;  // versions before told it twice
  Placement p{TaskId{row.job, h.index}, h.attempt, Generation{0}, now};
  p.team = row.team;
  p.need = row.need;
  p.rank = row.rank;
  p.inherited = true;
  p.enter(TaskState::sent, now);
  if (job.ghost) {
    job.spec.tasks = std::max(job.spec.tasks, h.index + 1);
    job.next_fresh = job.spec.tasks;
  }
  if (job.ghost || job.placed.contains(h.index)) {
    p.stop_wanted = true;
    p.stop_since = now;
  }
  p.stray = job.placed.contains(h.index);
  job.hold(h.index, m.id);
  add(m, std::move(p));
}

void Scheduler::finish_load(Time now) {
  std::vector<JobId> over;
  for (auto& [id, job] : jobs_) {
    if (setup_.spans) cover_legacy(job, now);
    // What a crash left of a row that was being divided is written before anything that it tells of changes.
    for (const auto& [first, span] : job.spans) {
      if (span.in_store == 0) writes_.add({RowKind::tasks, id.value(), first}, now, Urgency::spare);
    }
    if (job.ghost) {
      queue_rows(job, now + removal_delay, Urgency::spare);
      continue;
    }
    served_.submitted(job.spec.lane, job.spec.team);
    job.next_fresh = std::max(job.next_fresh, job.done.upper());
    for (std::uint32_t i = job.done.lowest_unfinished(); i < job.next_fresh; ++i) {
      if (!job.done.contains(i) && !job.placed.contains(i)) job.returned.insert(i);
    }
    job.start_counted = job.pending_tasks() == 0;  // by an earlier leader
    if (!job.placed.empty() || job.done.count() > 0) job.enter(JobPhase::running);
    // Where a row of its tasks stands, an earlier leader found all that it awaits done.
    if (job.spans.empty() && job.legacy.empty()) await_others(job, now);
    review(job, now);
    // Its last result was stored, its end was not.
    if (job.done.count() >= job.spec.tasks) over.push_back(id);
    const bool partial = !job.placed.empty() && job.placed.size() != job.spec.tasks;
    if (job.spec.shape == Shape::gang && partial) break_gang(job, now);
  }
  for (const auto& id : over) finish_job(jobs_.at(id), JobPhase::done, now);
}

// ---- writing ----

// Work of the lowest rank whose team is guaranteed nothing takes what others leave, here too.
Urgency Scheduler::urgency_of(const Job& job) const {
  const auto team = teams_.find(job.spec.team);
  const bool guaranteed = team != teams_.end() && (team->second.guarantee.cpus > 0 || team->second.guarantee.gpus > 0);
  return job.rank == Rank::best_effort && !guaranteed ? Urgency::borrowed : Urgency::awaited;
}

Urgency Scheduler::urgency_of(const RowKey& key) const {
  const auto it = jobs_.find(JobId{key.id});
  if (it == jobs_.end()) return Urgency::spare;
  const Job& job = it->second;
  const bool waited_for = awaited_.contains(job.spec.id) || job.phase == JobPhase::cancelled;
  return key.kind == RowKind::final_job && waited_for ? Urgency::awaited : urgency_of(job);
}

Job::Parts::iterator Scheduler::span_for(Job& job, std::uint32_t index) {
  const auto next = job.spans.upper_bound(index);
  auto from = index / setup_.span_size * setup_.span_size;
  auto to = from + setup_.span_size;
  if (next != job.spans.begin()) {
    const auto before = std::prev(next);
    const auto end = before->first + before->second.size;
    if (index < end) return before;
    from = std::max(from, end);
  }
  if (next != job.spans.end()) to = std::min(to, next->first);
  if (!job.legacy.empty()) {
    // Within one row by number: what is stored of it is then stored of the whole span.
    const auto first = index / setup_.legacy_size * setup_.legacy_size;
    from = std::max(from, first);
    to = std::min(to, first + setup_.legacy_size);
  }
  return job.spans.emplace(from, Job::Part{to - from, {}, {}, 0}).first;
}

std::pair<RowKey, Job::Part*> Scheduler::part_for(Job& job, std::uint32_t index) {
  const auto& id = job.spec.id.value();
  if (setup_.spans) {
    const auto span = span_for(job, index);
    return {{RowKind::tasks, id, span->first}, &span->second};
  }
  const auto number = index / setup_.legacy_size;
  auto& part = job.legacy[number * setup_.legacy_size];
  part.size = setup_.legacy_size;
  return {{RowKind::legacy_tasks, id, number}, &part};
}

Generation Scheduler::mark(Job& job, std::uint32_t index, Duration delay, Time now) {
  const auto [key, part] = part_for(job, index);
  part->changed = Generation{++changes_};
  writes_.add(key, now + delay, urgency_of(job));
  return part->changed;
}

template <class F>
void Scheduler::for_rows(const Job& job, std::uint32_t legacy_size, F&& f) {
  for (const auto& [first, part] : job.spans) f(RowKey{RowKind::tasks, job.spec.id.value(), first}, part);
  for (const auto& [first, part] : job.legacy) {
    f(RowKey{RowKind::legacy_tasks, job.spec.id.value(), first / legacy_size}, part);
  }
}

void Scheduler::queue_rows(Job& job, Time due, Urgency urgency) {
  for_rows(job, setup_.legacy_size, [&](const RowKey& key, const Job::Part&) { writes_.add(key, due, urgency); });
}

void Scheduler::drop_rows(const Job& job) {
  for_rows(job, setup_.legacy_size, [&](const RowKey& key, const Job::Part&) { writes_.drop(key); });
}

// ---- rows that name their runs take the place of rows by number ----

void Scheduler::use_spans(Time now) {
  if (std::exchange(setup_.spans, true)) return;
  for (auto& [id, job] : jobs_) cover_legacy(job, now);
}

void Scheduler::set_row_sizes(std::uint32_t span_size, std::size_t group_size) {
  setup_.span_size = std::max(1U, span_size);
  setup_.group_size = std::max<std::size_t>(1, group_size);
}

std::size_t Scheduler::legacy_rows() const {
  std::size_t out = 0;
  for (const auto& [id, job] : jobs_) {
    out += static_cast<std::size_t>(
        std::ranges::count_if(job.legacy, [](const auto& p) { return p.second.in_store > 0; }));
  }
  return out;
}

// Up to where a row by number tells of anything. Of its first index always: which attempts were used stands there
// even if no task of it is placed or done, and must not go with it (the simulation found attempts used twice).
std::uint32_t Scheduler::legacy_end(const Job& job, std::uint32_t first) const {
  auto touched = std::max({job.next_fresh, job.done.upper(), first + 1});
  if (!job.placed.empty()) touched = std::max(touched, job.placed.rbegin()->first + 1);
  return std::min(first + setup_.legacy_size, touched);
}

// Each index that a row by number tells of gets a span. What that row says of it counts until the span's own row
// stands: so it is removed last, and a crash in between loses nothing.
void Scheduler::cover_legacy(Job& job, Time now) {
  for (const auto& [first, part] : job.legacy) {
    const RowKey old{RowKind::legacy_tasks, job.spec.id.value(), first / setup_.legacy_size};
    writes_.drop(old);
    const bool dirty = part.changed > part.stored;
    const auto end = legacy_end(job, first);
    for (auto i = first; i < end;) {
      const auto known = job.spans.size();
      const auto span = span_for(job, i);
      i = span->first + span->second.size;
      if (job.spans.size() == known) continue;
      span->second.changed = part.changed;
      span->second.stored = part.stored;
      writes_.add({RowKind::tasks, job.spec.id.value(), span->first}, now, dirty ? urgency_of(job) : Urgency::spare);
    }
    if (superseded(job, first)) writes_.add(old, now + removal_delay, Urgency::spare);
  }
}

bool Scheduler::superseded(const Job& job, std::uint32_t legacy_first) const {
  if (!setup_.spans || !job.legacy.contains(legacy_first)) return false;
  const auto held = job.placed.lower_bound(legacy_first);
  const bool empty = held == job.placed.end() || held->first >= legacy_first + setup_.legacy_size;
  if (job.final_stored && job.strays.empty() && empty) return true;
  const auto end = legacy_end(job, legacy_first);
  for (auto i = legacy_first; i < end;) {
    const auto next = job.spans.upper_bound(i);
    if (next == job.spans.begin()) return false;
    const auto& [first, span] = *std::prev(next);
    if (span.in_store == 0 || i >= first + span.size) return false;
    i = first + span.size;
  }
  return true;
}

void Scheduler::drop_superseded(Job& job, std::uint32_t first, std::uint32_t size, Time now) {
  for (const auto& [old, part] : job.legacy) {
    if (part.in_store == 0 || old >= first + size || old + part.size <= first || !superseded(job, old)) continue;
    writes_.add({RowKind::legacy_tasks, job.spec.id.value(), old / setup_.legacy_size}, now, Urgency::spare);
  }
}

// A row whose run became shorter is written only once all the rows stand that took over the rest of it.
bool Scheduler::successors_stored(const Job& job, std::uint32_t first, Time now) {
  const auto span = job.spans.find(first);
  if (span == job.spans.end() || span->second.in_store <= span->second.size || job.final_stored) return true;
  const auto end = first + span->second.in_store;
  bool all = true;
  for (auto it = std::next(span); it != job.spans.end() && it->first < end; ++it) {
    if (it->second.in_store > 0) continue;
    all = false;
    writes_.add({RowKind::tasks, job.spec.id.value(), it->first}, now, urgency_of(job));
  }
  return all;
}

bool Scheduler::divide(const RowWrite& w, Time now) {
  writes_.done(w.key);
  const auto it = jobs_.find(JobId{w.key.id});
  if (it == jobs_.end()) return true;
  Job& job = it->second;
  const auto span = job.spans.find(w.key.part);
  if (w.key.kind != RowKind::tasks || span == job.spans.end() || span->second.size < 2) {
    writes_.add(w.key, now + seconds(1), urgency_of(job));
    return false;
  }
  const auto half = span->second.size / 2;
  Job::Part rest{span->second.size - half, span->second.changed, span->second.stored, 0};
  span->second.size = half;
  writes_.add({RowKind::tasks, w.key.id, w.key.part + half}, now, urgency_of(job));
  writes_.add(w.key, now, urgency_of(job));
  job.spans.emplace(w.key.part + half, rest);
  return true;
}

void Scheduler::put_back(const std::vector<RowWrite>& writes, Duration delay, Time now) {
  for (const auto& w : writes) {
    writes_.done(w.key);
    writes_.add(w.key, now + delay, urgency_of(w.key));
  }
}

void Scheduler::mark(Machine& machine, Time now) {
  if (!machine.group) {
    std::uint32_t group = 0;
    while (groups_[group].size() >= setup_.group_size) ++group;
    machine.group = group;
    groups_[group].insert(machine.id);
  }
  writes_.add({RowKind::facts, "", *machine.group}, now + facts_delay, Urgency::spare);
}

void Scheduler::leave_group(Machine& m, Time now) {
  if (!m.group) return;
  groups_[*m.group].erase(m.id);
  writes_.add({RowKind::facts, "", *m.group}, now + facts_delay, Urgency::spare);
}

std::optional<TaskRow> Scheduler::task_row(const Job& job, std::uint32_t first, std::uint32_t size) const {
  const std::uint32_t last = first + size - 1;
  TaskRow row;
  row.job = job.spec.id;
  row.first = first;
  row.size = size;
  row.team = job.spec.team;
  row.need = job.spec.need;
  row.rank = job.rank;
  row.next_attempt = job.next_attempt;
  row.failed = job.failed_machines();
  const auto hold = [&](std::uint32_t index, const MachineId& id) {
    const auto m = machines_.find(id);
    if (m == machines_.end()) return;
    for (const auto& p : m->second.placements) {
      if (p.occupies() && p.task.index == index && p.task.job == job.spec.id) {
        row.held.push_back({index, p.attempt, id, m->second.zone});
      }
    }
  };
  for (auto it = job.placed.lower_bound(first); it != job.placed.end() && it->first <= last; ++it) {
    hold(it->first, it->second);
  }
  for (auto it = job.strays.lower_bound({first, MachineId{}}); it != job.strays.end() && it->first <= last; ++it) {
    hold(it->first, it->second);
  }
  if (job.final_stored && row.held.empty()) return std::nullopt;
  if (!job.ghost) row.done = job.done.ranges_in(first, std::min(last, job.spec.tasks - 1));
  return row;
}

MachineFacts Scheduler::facts_of(const Machine& m) const {
  MachineFacts out{m.id, m.group.value_or(0), m.addr, m.type, m.zone, m.spot, m.session, {}};
  // A new leader that knows no caches would send everyone to cold machines.
  for (const auto& image : m.images) {
    if (image.ready && out.images.size() < max_stored_images) {
      out.images.emplace_back(image_names_.at(image.id.value()), image.gb);
    }
  }
  return out;
}

RowWrite Scheduler::row_write(const RowKey& key) {
  RowWrite w;
  w.key = key;
  if (key.kind == RowKind::facts) {
    for (const auto& id : groups_[key.part]) {
      const auto it = machines_.find(id);
      if (it != machines_.end()) w.facts.push_back(facts_of(it->second));
    }
    return w;
  }
  const auto it = jobs_.find(JobId{key.id});
  if (it == jobs_.end()) return w;
  Job& job = it->second;
  if (key.kind == RowKind::final_job) {
    job.end_sent = true;
    w.final_job = FinalJob{job.spec.id, job.phase, job.spec.tasks, job.done.count(), job.chained};
    w.pieces = job.pieces;
    return w;
  }
  if (key.kind == RowKind::legacy_tasks) {
    const auto first = key.part * setup_.legacy_size;
    const auto part = job.legacy.find(first);
    if (part == job.legacy.end()) return w;
    w.gen = part->second.changed;
    w.size = part->second.size;
    // Once all nodes read rows that name their runs, such a row is left as it is until it can go.
    if (!superseded(job, first)) w.tasks = task_row(job, first, w.size);
    if (w.tasks) w.tasks->legacy = true;
    return w;
  }
  const auto span = job.spans.find(key.part);
  if (span == job.spans.end()) return w;
  w.gen = span->second.changed;
  w.size = span->second.size;
  w.tasks = task_row(job, key.part, w.size);
  return w;
}

std::vector<RowWrite> Scheduler::take_writes(std::size_t most, bool spare, Time now) {
  std::vector<RowWrite> out;
  for (const auto& key : writes_.take(most, spare, now)) {
    const auto it = jobs_.find(JobId{key.id});
    const bool row_of_job = it != jobs_.end() && key.kind != RowKind::facts;
    if (row_of_job && key.kind == RowKind::tasks && !successors_stored(it->second, key.part, now)) {
      writes_.done(key);
      writes_.add(key, now + successor_pause, urgency_of(it->second));
      continue;
    }
    const auto legacy_first = key.part * setup_.legacy_size;
    if (row_of_job && setup_.spans && key.kind == RowKind::legacy_tasks && !superseded(it->second, legacy_first)) {
      writes_.done(key);  // queued again when the last row that takes its place stands
      continue;
    }
    out.push_back(row_write(key));
  }
  return out;
}

void Scheduler::end_stored(Job& job, Time now) {
  job.final_stored = true;
  queue_rows(job, now + removal_delay, Urgency::spare);
  cascaded_end_stored(job.spec.id);
  on_end(job.spec.id, job.phase, now);
}

void Scheduler::tasks_stored(const RowWrite& w, Time now) {
  const auto it = jobs_.find(JobId{w.key.id});
  if (it == jobs_.end()) return;
  Job& job = it->second;
  const bool legacy = w.key.kind == RowKind::legacy_tasks;
  const std::uint32_t first = legacy ? w.key.part * setup_.legacy_size : w.key.part;
  auto& parts = legacy ? job.legacy : job.spans;
  if (const auto part = parts.find(first); part != parts.end()) {
    part->second.stored = std::max(part->second.stored, w.gen);
    part->second.in_store = w.tasks ? w.size : 0;
  }
  // What was written holds for spans that were divided off since, too: until their own rows stand, this one counts.
  for (auto span = job.spans.lower_bound(first); span != job.spans.end() && span->first < first + w.size; ++span) {
    span->second.stored = std::max(span->second.stored, w.gen);
  }
  drop_superseded(job, first, w.size, now);
  for (auto p = job.placed.lower_bound(first); p != job.placed.end() && p->first < first + w.size; ++p) {
    touched_.insert(p->second);
  }
}

void Scheduler::stored(const std::vector<RowWrite>& writes, Time now) {
  for (const auto& w : writes) {
    writes_.done(w.key);
    if (w.key.kind == RowKind::facts) continue;
    const JobId id{w.key.id};
    if (w.key.kind != RowKind::final_job) {
      tasks_stored(w, now);
    } else if (const auto it = jobs_.find(id); it != jobs_.end()) {
      end_stored(it->second, now);
    }
    drop_if_over(id);
  }
}

// A job leaves the memory once nothing of it is on a machine or in an active row.
void Scheduler::drop_if_over(const JobId& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const Job& job = it->second;
  if (!job.final_stored || !job.placed.empty() || !job.strays.empty()) return;
  bool any = false;
  for_rows(job, setup_.legacy_size,
           [&](const RowKey& key, const Job::Part& row) { any = any || row.in_store > 0 || writes_.waits(key); });
  if (!any) jobs_.erase(it);
}

}  // namespace martenwall
