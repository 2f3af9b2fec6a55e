// The scheduler's rows in the store: what a new leader loads, and what is written as things change.
#include <algorithm>

#include "core/scheduler/scheduler.hpp"

namespace martenwall {

namespace {
constexpr std::size_t max_stored_images = 12;
constexpr Duration machine_row_delay = seconds(4);  // a group's images come one by one
constexpr Duration removal_delay = seconds(2);      // rows that only a later leader would read
constexpr Duration successor_pause = seconds(0.05);
}  // namespace

// ---- loading ----

void Scheduler::load_job(Job job, Time now) {
  job.waiting_since = std::min(now, job.submitted);
  // When an earlier leader saw the last of those that it awaits done is not stored: its times count from now.
  job.ready_at = job.spec.dependencies.empty() ? job.submitted : now;
  job.reset_urgency();
  job.image = image_id(job.spec.image);
  last_submission_ = std::max(last_submission_, job.waiting_since);
  auto id = job.spec.id;
  jobs_.insert_or_assign(std::move(id), std::move(job));
}

Machine& Scheduler::find_or_add_machine(const MachineId& id, Time now) {
  auto [it, fresh] = machines_.try_emplace(id, id);
  Machine& m = it->second;
  if (fresh) {
    m.first_known = m.last_report_at = m.idle_since = now;
    // Until it reports, its worker's lease may last as long as the old leader could renew it.
    m.lease_renewed_at = options_.old_leader_until;
    m.enter(MachinePhase::up, now);
  }
  return m;
}

void Scheduler::load_machine(const MachineRecord& record, Time now) {
  Machine& m = find_or_add_machine(record.id, now);
  m.addr = record.addr;
  m.type = record.type;
  m.zone = record.zone;
  m.spot = record.spot;
  m.incarnation = record.incarnation;
  m.group = record.group;
  machine_row_groups_[record.group].insert(record.id);
  for (const auto& [name, gb] : record.images) m.images.push_back({image_id(name), gb, true});
}

// The parts of a row's run that no row that begins later tells of become spans; only there the row counts.
void Scheduler::add_ranges(Job& job, std::uint32_t first, std::uint32_t end) {
  for (auto at = first; at < end;) {
    const auto next = job.task_ranges.upper_bound(at);
    if (next != job.task_ranges.begin()) {
      const auto before = std::prev(next);
      const auto covered = before->first + before->second.size;
      if (at < covered) {
        at = covered;
        continue;
      }
    }
    const auto to = next == job.task_ranges.end() ? end : std::min(end, next->first);
    job.task_ranges.emplace(at, Job::RowState{to - at, {}, {}, 0});
    at = to;
  }
}

void Scheduler::load_tasks(const TaskRow& row, Time now) {
  auto [it, residual] = jobs_.try_emplace(row.job);
  Job& job = it->second;
  if (residual) {
    // Its job is over: a cancellation that the old leader stored but could not carry out.
    job.spec.id = row.job;
    job.spec.team = row.team;
    job.spec.need = row.need;
    job.priority = job.spec.priority = row.priority;
    job.enter(JobPhase::cancelled);
    job.residual = job.end_is_stored = true;
  }
  // An attempt that was recorded was used.
  job.next_attempt = std::max(job.next_attempt, row.next_attempt);
  job.failed_before = std::max(job.failed_before, row.failed);
  const auto end = row.first + row.size;
  std::set<std::uint32_t> later;  // indices that a row which begins later tells of
  for (auto i = row.first; i < end; ++i) {
    const auto next = job.task_ranges.upper_bound(i);
    if (next != job.task_ranges.begin() && i < std::prev(next)->first + std::prev(next)->second.size) later.insert(i);
  }
  if (row.is_v1) {
    job.v1_rows[row.first] = {row.size, {}, {}, row.size};
  } else {
    add_ranges(job, row.first, end);
    if (const auto own = job.task_ranges.find(row.first); own != job.task_ranges.end()) own->second.in_store = row.size;
  }
  for (const auto& [from, to] : row.done) {
    for (auto i = from; i <= to && i < end; ++i) {
      if (!later.contains(i)) job.done.insert(i);
    }
  }
  for (const auto& h : row.placed) {
    if (!later.contains(h.index)) load_placed_task(job, row, h, now);
  }
}

void Scheduler::load_placed_task(Job& job, const TaskRow& row, const TaskRow::PlacedTask& h, Time now) {
  Machine& m = find_or_add_machine(h.machine, now);
  if (m.zone.empty()) m.zone = h.zone;
  if (m.find(TaskId{row.job, h.index}, h.attempt) != nullptr) return;  // versions before told it twice
  Placement p{TaskId{row.job, h.index}, h.attempt, Generation{0}, now};
  p.team = row.team;
  p.need = row.need;
  p.priority = row.priority;
  p.unconfirmed = true;
  p.enter(TaskState::sent, now);
  if (job.residual) {
    job.spec.tasks = std::max(job.spec.tasks, h.index + 1);
    job.next_unstarted = job.spec.tasks;
  }
  if (job.residual || job.placed.contains(h.index)) {
    p.stop_requested = true;
    p.stop_requested_at = now;
  }
  p.orphan = job.placed.contains(h.index);
  job.hold(h.index, m.id);
  add(m, std::move(p));
}

void Scheduler::finish_load(Time now) {
  std::vector<JobId> over;
  for (auto& [id, job] : jobs_) {
    if (options_.range_rows) migrate_v1_rows(job, now);
    // What a crash left of a row that was being divided is written before anything that it tells of changes.
    for (const auto& [first, range] : job.task_ranges) {
      if (range.in_store == 0) writes_.add({RowKind::tasks, id.value(), first}, now, WritePriority::deferrable);
    }
    if (job.residual) {
      queue_rows(job, now + removal_delay, WritePriority::deferrable);
      continue;
    }
    service_record_.submitted(job.spec.job_class, job.spec.team);
    job.next_unstarted = std::max(job.next_unstarted, job.done.upper());
    for (std::uint32_t i = job.done.lowest_unfinished(); i < job.next_unstarted; ++i) {
      if (!job.done.contains(i) && !job.placed.contains(i)) job.requeued.insert(i);
    }
    job.start_counted = job.pending_tasks() == 0;  // by an earlier leader
    if (!job.placed.empty() || job.done.count() > 0) job.enter(JobPhase::running);
    // Where a row of its tasks stands, an earlier leader found all that it awaits done.
    if (job.task_ranges.empty() && job.v1_rows.empty()) register_dependencies(job, now);
    review_suspicion(job, now);
    // Its last result was stored, its end was not.
    if (job.done.count() >= job.spec.tasks) over.push_back(id);
    const bool partial = !job.placed.empty() && job.placed.size() != job.spec.tasks;
    if (job.spec.kind == JobKind::gang && partial) stop_broken_gang(job, now);
  }
  for (const auto& id : over) finish_job(jobs_.at(id), JobPhase::done, now);
}

// ---- writing ----

// Work of the lowest rank whose team is guaranteed nothing takes what others leave, here too.
WritePriority Scheduler::write_priority_of(const Job& job) const {
  const auto team = teams_.find(job.spec.team);
  const bool guaranteed = team != teams_.end() && (team->second.guarantee.cpus > 0 || team->second.guarantee.gpus > 0);
  return job.priority == Priority::best_effort && !guaranteed ? WritePriority::best_effort : WritePriority::foreground;
}

WritePriority Scheduler::write_priority_of(const RowKey& key) const {
  const auto it = jobs_.find(JobId{key.id});
  if (it == jobs_.end()) return WritePriority::deferrable;
  const Job& job = it->second;
  const bool waited_for = dependents_.contains(job.spec.id) || job.phase == JobPhase::cancelled;
  return key.kind == RowKind::final_job && waited_for ? WritePriority::foreground : write_priority_of(job);
}

Job::RowStates::iterator Scheduler::range_for(Job& job, std::uint32_t index) {
  const auto next = job.task_ranges.upper_bound(index);
  auto from = index / options_.range_size * options_.range_size;
  auto to = from + options_.range_size;
  if (next != job.task_ranges.begin()) {
    const auto before = std::prev(next);
    const auto end = before->first + before->second.size;
    if (index < end) return before;
    from = std::max(from, end);
  }
  if (next != job.task_ranges.end()) to = std::min(to, next->first);
  if (!job.v1_rows.empty()) {
    // Within one row by number: what is stored of it is then stored of the whole span.
    const auto first = index / options_.v1_row_size * options_.v1_row_size;
    from = std::max(from, first);
    to = std::min(to, first + options_.v1_row_size);
  }
  return job.task_ranges.emplace(from, Job::RowState{to - from, {}, {}, 0}).first;
}

std::pair<RowKey, Job::RowState*> Scheduler::row_for(Job& job, std::uint32_t index) {
  const auto& id = job.spec.id.value();
  if (options_.range_rows) {
    const auto range = range_for(job, index);
    return {{RowKind::tasks, id, range->first}, &range->second};
  }
  const auto number = index / options_.v1_row_size;
  auto& part = job.v1_rows[number * options_.v1_row_size];
  part.size = options_.v1_row_size;
  return {{RowKind::tasks_v1, id, number}, &part};
}

Generation Scheduler::mark_dirty(Job& job, std::uint32_t index, Duration delay, Time now) {
  const auto [key, part] = row_for(job, index);
  part->changed = Generation{++last_generation_};
  writes_.add(key, now + delay, write_priority_of(job));
  return part->changed;
}

template <class F>
void Scheduler::for_each_row(const Job& job, std::uint32_t v1_row_size, F&& f) {
  for (const auto& [first, part] : job.task_ranges) f(RowKey{RowKind::tasks, job.spec.id.value(), first}, part);
  for (const auto& [first, part] : job.v1_rows) {
    f(RowKey{RowKind::tasks_v1, job.spec.id.value(), first / v1_row_size}, part);
  }
}

void Scheduler::queue_rows(Job& job, Time due, WritePriority priority) {
  for_each_row(job, options_.v1_row_size,
               [&](const RowKey& key, const Job::RowState&) { writes_.add(key, due, priority); });
}

void Scheduler::drop_rows(const Job& job) {
  for_each_row(job, options_.v1_row_size, [&](const RowKey& key, const Job::RowState&) { writes_.drop(key); });
}

// ---- rows that name their runs take the place of rows by number ----

void Scheduler::use_range_rows(Time now) {
  if (std::exchange(options_.range_rows, true)) return;
  for (auto& [id, job] : jobs_) migrate_v1_rows(job, now);
}

void Scheduler::set_row_sizes(std::uint32_t range_size, std::size_t group_size) {
  options_.range_size = std::max(1U, range_size);
  options_.group_size = std::max<std::size_t>(1, group_size);
}

std::size_t Scheduler::v1_row_count() const {
  std::size_t out = 0;
  for (const auto& [id, job] : jobs_) {
    out += static_cast<std::size_t>(
        std::ranges::count_if(job.v1_rows, [](const auto& p) { return p.second.in_store > 0; }));
  }
  return out;
}

// Up to where a row by number tells of anything. Of its first index always: which attempts were used stands there
// even if no task of it is placed or done, and must not go with it (the simulation found attempts used twice).
std::uint32_t Scheduler::v1_row_end(const Job& job, std::uint32_t first) const {
  auto touched = std::max({job.next_unstarted, job.done.upper(), first + 1});
  if (!job.placed.empty()) touched = std::max(touched, job.placed.rbegin()->first + 1);
  return std::min(first + options_.v1_row_size, touched);
}

// Each index that a row by number tells of gets a span. What that row says of it counts until the span's own row
// stands: so it is removed last, and a crash in between loses nothing.
void Scheduler::migrate_v1_rows(Job& job, Time now) {
  for (const auto& [first, part] : job.v1_rows) {
    const RowKey old{RowKind::tasks_v1, job.spec.id.value(), first / options_.v1_row_size};
    writes_.drop(old);
    const bool dirty = part.changed > part.stored;
    const auto end = v1_row_end(job, first);
    for (auto i = first; i < end;) {
      const auto known = job.task_ranges.size();
      const auto range = range_for(job, i);
      i = range->first + range->second.size;
      if (job.task_ranges.size() == known) continue;
      range->second.changed = part.changed;
      range->second.stored = part.stored;
      writes_.add({RowKind::tasks, job.spec.id.value(), range->first}, now,
                  dirty ? write_priority_of(job) : WritePriority::deferrable);
    }
    if (is_superseded(job, first)) writes_.add(old, now + removal_delay, WritePriority::deferrable);
  }
}

bool Scheduler::is_superseded(const Job& job, std::uint32_t v1_first) const {
  if (!options_.range_rows || !job.v1_rows.contains(v1_first)) return false;
  const auto held = job.placed.lower_bound(v1_first);
  const bool empty = held == job.placed.end() || held->first >= v1_first + options_.v1_row_size;
  if (job.end_is_stored && job.orphans.empty() && empty) return true;
  const auto end = v1_row_end(job, v1_first);
  for (auto i = v1_first; i < end;) {
    const auto next = job.task_ranges.upper_bound(i);
    if (next == job.task_ranges.begin()) return false;
    const auto& [first, range] = *std::prev(next);
    if (range.in_store == 0 || i >= first + range.size) return false;
    i = first + range.size;
  }
  return true;
}

void Scheduler::drop_superseded(Job& job, std::uint32_t first, std::uint32_t size, Time now) {
  for (const auto& [old, part] : job.v1_rows) {
    if (part.in_store == 0 || old >= first + size || old + part.size <= first || !is_superseded(job, old)) continue;
    writes_.add({RowKind::tasks_v1, job.spec.id.value(), old / options_.v1_row_size}, now, WritePriority::deferrable);
  }
}

// A row whose run became shorter is written only once all the rows stand that took over the rest of it.
bool Scheduler::successors_stored(const Job& job, std::uint32_t first, Time now) {
  const auto range = job.task_ranges.find(first);
  if (range == job.task_ranges.end() || range->second.in_store <= range->second.size || job.end_is_stored) return true;
  const auto end = first + range->second.in_store;
  bool all = true;
  for (auto it = std::next(range); it != job.task_ranges.end() && it->first < end; ++it) {
    if (it->second.in_store > 0) continue;
    all = false;
    writes_.add({RowKind::tasks, job.spec.id.value(), it->first}, now, write_priority_of(job));
  }
  return all;
}

bool Scheduler::split_row(const RowWrite& w, Time now) {
  writes_.done(w.key);
  const auto it = jobs_.find(JobId{w.key.id});
  if (it == jobs_.end()) return true;
  Job& job = it->second;
  const auto range = job.task_ranges.find(w.key.part);
  if (w.key.kind != RowKind::tasks || range == job.task_ranges.end() || range->second.size < 2) {
    writes_.add(w.key, now + seconds(1), write_priority_of(job));
    return false;
  }
  const auto half = range->second.size / 2;
  Job::RowState rest{range->second.size - half, range->second.changed, range->second.stored, 0};
  range->second.size = half;
  writes_.add({RowKind::tasks, w.key.id, w.key.part + half}, now, write_priority_of(job));
  writes_.add(w.key, now, write_priority_of(job));
  job.task_ranges.emplace(w.key.part + half, rest);
  return true;
}

void Scheduler::requeue_writes(const std::vector<RowWrite>& writes, Duration delay, Time now) {
  for (const auto& w : writes) {
    writes_.done(w.key);
    writes_.add(w.key, now + delay, write_priority_of(w.key));
  }
}

void Scheduler::mark_dirty(Machine& machine, Time now) {
  if (!machine.group) {
    std::uint32_t group = 0;
    while (machine_row_groups_[group].size() >= options_.group_size) ++group;
    machine.group = group;
    machine_row_groups_[group].insert(machine.id);
  }
  writes_.add({RowKind::machines, "", *machine.group}, now + machine_row_delay, WritePriority::deferrable);
}

void Scheduler::leave_row_group(Machine& m, Time now) {
  if (!m.group) return;
  machine_row_groups_[*m.group].erase(m.id);
  writes_.add({RowKind::machines, "", *m.group}, now + machine_row_delay, WritePriority::deferrable);
}

std::optional<TaskRow> Scheduler::task_row(const Job& job, std::uint32_t first, std::uint32_t size) const {
  const std::uint32_t last = first + size - 1;
  TaskRow row;
  row.job = job.spec.id;
  row.first = first;
  row.size = size;
  row.team = job.spec.team;
  row.need = job.spec.need;
  row.priority = job.priority;
  row.next_attempt = job.next_attempt;
  row.failed = job.failed_machines();
  const auto hold = [&](std::uint32_t index, const MachineId& id) {
    const auto m = machines_.find(id);
    if (m == machines_.end()) return;
    for (const auto& p : m->second.placements) {
      if (p.occupies() && p.task.index == index && p.task.job == job.spec.id) {
        row.placed.push_back({index, p.attempt, id, m->second.zone});
      }
    }
  };
  for (auto it = job.placed.lower_bound(first); it != job.placed.end() && it->first <= last; ++it) {
    hold(it->first, it->second);
  }
  for (auto it = job.orphans.lower_bound({first, MachineId{}}); it != job.orphans.end() && it->first <= last; ++it) {
    hold(it->first, it->second);
  }
  if (job.end_is_stored && row.placed.empty()) return std::nullopt;
  if (!job.residual) row.done = job.done.ranges_in(first, std::min(last, job.spec.tasks - 1));
  return row;
}

MachineRecord Scheduler::machine_record_of(const Machine& m) const {
  MachineRecord out{m.id, m.group.value_or(0), m.addr, m.type, m.zone, m.spot, m.incarnation, {}};
  // A new leader that knows no caches would send everyone to cold machines.
  for (const auto& image : m.images) {
    if (image.ready && out.images.size() < max_stored_images) {
      out.images.emplace_back(image_names_.at(image.id.value()), image.gb);
    }
  }
  return out;
}

RowWrite Scheduler::build_row_write(const RowKey& key) {
  RowWrite w;
  w.key = key;
  if (key.kind == RowKind::machines) {
    for (const auto& id : machine_row_groups_[key.part]) {
      const auto it = machines_.find(id);
      if (it != machines_.end()) w.machines.push_back(machine_record_of(it->second));
    }
    return w;
  }
  const auto it = jobs_.find(JobId{key.id});
  if (it == jobs_.end()) return w;
  Job& job = it->second;
  if (key.kind == RowKind::final_job) {
    job.end_write_sent = true;
    w.final_job = FinalJob{job.spec.id, job.phase, job.spec.tasks, job.done.count(), job.dependent};
    w.chunk_keys = job.chunk_keys;
    return w;
  }
  if (key.kind == RowKind::tasks_v1) {
    const auto first = key.part * options_.v1_row_size;
    const auto part = job.v1_rows.find(first);
    if (part == job.v1_rows.end()) return w;
    w.generation = part->second.changed;
    w.size = part->second.size;
    // Once all nodes read rows that name their runs, such a row is left as it is until it can go.
    if (!is_superseded(job, first)) w.tasks = task_row(job, first, w.size);
    if (w.tasks) w.tasks->is_v1 = true;
    return w;
  }
  const auto range = job.task_ranges.find(key.part);
  if (range == job.task_ranges.end()) return w;
  w.generation = range->second.changed;
  w.size = range->second.size;
  w.tasks = task_row(job, key.part, w.size);
  return w;
}

std::vector<RowWrite> Scheduler::take_writes(std::size_t most, bool deferrable, Time now) {
  std::vector<RowWrite> out;
  for (const auto& key : writes_.take(most, deferrable, now)) {
    const auto it = jobs_.find(JobId{key.id});
    const bool row_of_job = it != jobs_.end() && key.kind != RowKind::machines;
    if (row_of_job && key.kind == RowKind::tasks && !successors_stored(it->second, key.part, now)) {
      writes_.done(key);
      writes_.add(key, now + successor_pause, write_priority_of(it->second));
      continue;
    }
    const auto v1_first = key.part * options_.v1_row_size;
    if (row_of_job && options_.range_rows && key.kind == RowKind::tasks_v1 && !is_superseded(it->second, v1_first)) {
      writes_.done(key);  // queued again when the last row that takes its place stands
      continue;
    }
    out.push_back(build_row_write(key));
  }
  return out;
}

void Scheduler::on_end_stored(Job& job, Time now) {
  job.end_is_stored = true;
  queue_rows(job, now + removal_delay, WritePriority::deferrable);
  on_cascaded_end_stored(job.spec.id);
  on_job_ended(job.spec.id, job.phase, now);
}

void Scheduler::on_task_row_stored(const RowWrite& w, Time now) {
  const auto it = jobs_.find(JobId{w.key.id});
  if (it == jobs_.end()) return;
  Job& job = it->second;
  const bool is_v1 = w.key.kind == RowKind::tasks_v1;
  const std::uint32_t first = is_v1 ? w.key.part * options_.v1_row_size : w.key.part;
  auto& parts = is_v1 ? job.v1_rows : job.task_ranges;
  if (const auto part = parts.find(first); part != parts.end()) {
    part->second.stored = std::max(part->second.stored, w.generation);
    part->second.in_store = w.tasks ? w.size : 0;
  }
  // What was written holds for spans that were divided off since, too: until their own rows stand, this one counts.
  for (auto range = job.task_ranges.lower_bound(first); range != job.task_ranges.end() && range->first < first + w.size;
       ++range) {
    range->second.stored = std::max(range->second.stored, w.generation);
  }
  drop_superseded(job, first, w.size, now);
  for (auto p = job.placed.lower_bound(first); p != job.placed.end() && p->first < first + w.size; ++p) {
    machines_to_command_.insert(p->second);
  }
}

void Scheduler::on_rows_stored(const std::vector<RowWrite>& writes, Time now) {
  for (const auto& w : writes) {
    writes_.done(w.key);
    if (w.key.kind == RowKind::machines) continue;
    const JobId id{w.key.id};
    if (w.key.kind != RowKind::final_job) {
      on_task_row_stored(w, now);
    } else if (const auto it = jobs_.find(id); it != jobs_.end()) {
      on_end_stored(it->second, now);
    }
    drop_if_finished(id);
  }
}

// A job leaves the memory once nothing of it is on a machine or in an active row.
void Scheduler::drop_if_finished(const JobId& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const Job& job = it->second;
  if (!job.end_is_stored || !job.placed.empty() || !job.orphans.empty()) return;
  bool any = false;
  for_each_row(job, options_.v1_row_size, [&](const RowKey& key, const Job::RowState& row) {
    any = any || row.in_store > 0 || writes_.contains(key);
  });
  if (!any) jobs_.erase(it);
}

}  // namespace martenwall
