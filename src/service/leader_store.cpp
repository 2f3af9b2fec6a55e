#include "service/leader_store.hpp"

#include <algorithm>
#include <chrono>

#include "wire/user_codec.hpp"

namespace martenwall::service {

namespace {
// Enough to keep the cloud busy through slow answers, and no longer than a boot is worth.
constexpr double longest_hire_line_s = 4;
constexpr std::size_t max_txn_bytes = 48 * 1024;  // of the 64 KiB, the rest is for conditions and framing
constexpr Duration watch_hold = seconds(2);
constexpr std::size_t max_under_way = 4;
constexpr Duration too_large_pause = seconds(0.05);
constexpr Duration look_up_every = seconds(0.1);
constexpr Duration look_up_pause = seconds(0.2);
constexpr Duration look_up_again = seconds(1);  // a job that is to be found at neither key nor among those over
constexpr Duration read_again = seconds(0.2);
constexpr std::size_t worth_a_run = 3;  // so many ends are read in runs of neighbours rather than one by one
}  // namespace

std::uint32_t Context::legacy_size_for(std::size_t value_bytes) {
  constexpr std::size_t bytes_per_task = 60;
  constexpr std::size_t row_overhead = 1200;
  const auto value = std::max(value_bytes, 2 * row_overhead);
  return static_cast<std::uint32_t>(std::min<std::size_t>(400, (value - row_overhead) / bytes_per_task));
}

std::int64_t Context::wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

rt::Task<void> LeaderStore::run() {
  for (;;) {
    co_await follow();
    // Those that workers reach go first.
    const Duration delay = ctx_.hearing.campaign_delay(ctx_.now());
    if (delay > Duration{0}) co_await ctx_.loop.sleep(delay);
    const bool acquired = co_await acquire();
    if (!acquired) {
      co_await ctx_.loop.sleep(seconds(0.1));
      continue;
    }
    const auto term = ctx_.term;
    rt::spawn(renew(term));
    const bool loaded = co_await load(term, old_grace_);
    if (!loaded) {
      if (ctx_.term == term) step_down("the store could not be read");
      co_await ctx_.loop.sleep(seconds(0.2));
      continue;
    }
    rt::spawn(watch_inbox(term));
    rt::spawn(write(term));
    rt::spawn(look_up(term));
    ctx_.leader_changed.notify();
    ctx_.kick();
    while (ctx_.term == term) {
      const Time until = ctx_.now() + seconds(1);
      co_await ctx_.leader_changed.wait(until);
    }
  }
}

// Returns once no one holds the key.
rt::Task<void> LeaderStore::follow() {
  for (;;) {
    const ReadResult r = co_await state_.get(wire::leader_key, seconds(1));
    if (r.outcome == ReadOutcome::absent) {
      ctx_.leader.clear();
      co_return;
    }
    if (r.outcome == ReadOutcome::failed) {
      co_await ctx_.loop.sleep(seconds(0.3));
      continue;
    }
    const auto row = wire::decode_leader(r.item.value);
    if (row.node != ctx_.leader) {
      ctx_.log->info("{} leads with token {}", row.node, r.item.version.value());
      ctx_.turned_away.clear();
    }
    ctx_.leader = row.node;
    Revision after{r.item.version.value()};
    for (;;) {
      const auto w = co_await state_.watch(wire::leader_key, after, watch_hold);
      if (w.outcome != StateClient::WatchOutcome::events) break;
      after = std::max(after, w.page.revision);
      if (!w.page.items.empty()) break;
    }
  }
}

rt::Task<bool> LeaderStore::acquire() {
  const ReadResult reign = co_await state_.get(wire::reign_key, seconds(1));
  if (reign.outcome == ReadOutcome::failed) co_return false;
  const bool reigned = reign.outcome == ReadOutcome::found;
  const Stamp reign_version = reigned ? reign.item.version : Stamp{0};
  // The last leader's own grace counts, not this node's: the settings may have changed since.
  old_grace_ = reigned ? wire::decode_reign(reign.item.value).value_or(ctx_.leadership.grace()) : Duration{0};
  const Time sent = ctx_.loop.refresh();
  const auto lease = co_await state_.create_lease(ctx_.policy.lease_ttl);
  if (!lease) co_return false;
  const std::string nonce = std::to_string(ctx_.random());
  std::vector<wire::Condition> when{{wire::leader_key, Stamp{0}}, {wire::reign_key, reign_version}};
  std::vector<wire::StoreOp> then;
  then.push_back({wire::leader_key, wire::encode_leader({ctx_.settings.node, nonce}), *lease});
  then.push_back({wire::reign_key, wire::encode_reign(ctx_.leadership.grace()), std::nullopt});
  co_await state_.txn(std::move(when), std::move(then), seconds(1));
  // Whatever the answer was, the key itself tells who leads, and its version is the token.
  const ReadResult r = co_await state_.get(wire::leader_key, seconds(1));
  if (r.outcome != ReadOutcome::found || wire::decode_leader(r.item.value).nonce != nonce) {
    co_await state_.end_lease(*lease);
    co_return false;
  }
  lease_ = *lease;
  lease_sent_ = sent;
  versions_.clear();
  inbox_done_.clear();
  inbox_cancels_.clear();
  leftover_pieces_.clear();
  under_way_ = 0;
  ctx_.leadership.acquired(Token{r.item.version.value()}, sent);
  ctx_.leader = ctx_.settings.node;
  ++ctx_.term;
  ctx_.log->info("this node leads with token {}", r.item.version.value());
  co_return true;
}

rt::Task<bool> LeaderStore::read_rows(std::uint64_t term, Rows& rows) {
  struct Part {
    const char* prefix;
    std::vector<wire::StoreItem>* into;
  };
  std::vector<Part> parts{{"j/", &rows.jobs}};
  // Below that level there are none, and every request of a take-over counts.
  if (ctx_.level >= wire::this_level) parts.push_back({"k/", &rows.jobs});
  parts.push_back({"m/", &rows.machines});
  parts.push_back({"p/", &rows.legacy});
  if (ctx_.level >= wire::this_level) parts.push_back({"q/", &rows.spans});
  parts.push_back({"i/", &rows.notes});
  for (const auto& part : parts) {
    auto page = co_await state_.list(part.prefix);
    if (!page || ctx_.term != term) co_return false;
    rows.notes_revision = page->revision;
    for (auto& item : page->items) {
      versions_[item.key] = item.version;
      part.into->push_back(std::move(item));
    }
  }
  co_return true;
}

Scheduler::Setup LeaderStore::setup_of(Duration old_grace, Time acquired) const {
  Scheduler::Setup setup;
  setup.policy = ctx_.policy;
  setup.terms = ctx_.settings.workers;
  setup.teams = ctx_.settings.teams;
  for (const auto& o : ctx_.settings.objectives) {
    if (o.kind == "wait") setup.aims.by_lane[o.lane].push_back(o.within_s);
    if (o.kind == "deadline") setup.aims.deadlines_by_lane[o.lane].push_back(o.times);
    if (o.kind == "guarantee") setup.aims.guarantee_s = o.within_s;
  }
  setup.token = ctx_.leadership.token();
  // The old key is gone, so its holder's last renewal is over; it may have gone on answering
  // workers for its grace from then.
  setup.old_leader_until = old_grace.count() > 0 ? acquired + old_grace + ctx_.policy.margin : acquired;
  setup.spans = ctx_.level >= wire::this_level;
  setup.legacy_size = ctx_.legacy_size;
  setup.hires_in_line = static_cast<std::size_t>(std::max(4.0, ctx_.settings.cloud_rps * longest_hire_line_s));
  return setup;
}

rt::Task<bool> LeaderStore::load_jobs(std::uint64_t term, Scheduler& scheduler,
                                      const std::vector<wire::StoreItem>& items) {
  for (const auto& item : items) {
    JobId id{item.key.substr(2)};
    auto job = co_await job_rows_.decode(std::move(id), item.value);
    if (ctx_.term != term) co_return false;
    if (job) {
      job->chained = item.key.starts_with("k/");
      scheduler.load_job(std::move(*job), ctx_.now());
    } else {
      ctx_.log->error("row {} cannot be read; it is left as it is", item.key);
    }
  }
  co_return true;
}

// False where a row cannot be read: not knowing what may be on a machine, this node must not place anything.
bool LeaderStore::load_tasks(Scheduler& scheduler, const Rows& rows) {
  std::vector<TaskRow> tasks;
  const auto take = [&](const wire::StoreItem& item, std::optional<TaskRow> row) {
    if (!row) ctx_.log->error("row {} cannot be read: not leading", item.key);
    if (row) tasks.push_back(std::move(*row));
    return row.has_value();
  };
  for (const auto& item : rows.spans) {
    if (!take(item, wire::decode_tasks(item.key, item.value))) return false;
  }
  // Of overlapping runs the one that begins last counts: it comes first.
  std::ranges::stable_sort(
      tasks, [](const TaskRow& a, const TaskRow& b) { return a.job != b.job ? a.job < b.job : a.first > b.first; });
  for (const auto& item : rows.legacy) {
    if (!take(item, wire::decode_legacy_tasks(item.key, item.value, ctx_.legacy_size))) return false;
  }
  for (const auto& row : tasks) scheduler.load_tasks(row, ctx_.now());
  return true;
}

rt::Task<bool> LeaderStore::load(std::uint64_t term, Duration old_grace) {
  const Time acquired = ctx_.now();
  // First: it tells where rows are, and only the leader raises it.
  const bool level_known = co_await levels_.read();
  if (!level_known || ctx_.term != term) co_return false;
  Rows rows;
  const bool read = co_await read_rows(term, rows);
  if (!read) co_return false;
  auto log = ctx_.log;
  auto scheduler =
      std::make_unique<Scheduler>(setup_of(old_grace, acquired), [log](const std::string& line) { log->info(line); });
  const bool jobs_loaded = co_await load_jobs(term, *scheduler, rows.jobs);
  if (!jobs_loaded) co_return false;
  for (const auto& item : rows.machines) {
    for (const auto& facts : wire::decode_machines(item.key, item.value)) scheduler->load_machine(facts, ctx_.now());
  }
  if (!load_tasks(*scheduler, rows)) co_return false;
  for (const auto& item : rows.notes) {
    if (wire::is_reach_key(item.key)) continue;  // meant for an earlier leader
    inbox_done_.emplace_back(item.key.substr(2));
    if (wire::asks_to_cancel(item.value)) inbox_cancels_.emplace_back(item.key.substr(2));
  }
  inbox_after_ = rows.notes_revision;
  ctx_.scheduler = std::move(scheduler);
  apply_limits(ctx_);
  ctx_.scheduler->finish_load(ctx_.now());
  for (const auto& id : std::exchange(inbox_cancels_, {})) ctx_.scheduler->cancel(id, ctx_.now());
  ctx_.scheduler->set_types(ctx_.types);
  ctx_.leadership.loaded(ctx_.now());
  ctx_.hearing.began(ctx_.now());
  ctx_.metrics.count_takeover();
  ctx_.log->info("loaded {} jobs and {} machines in {} s, level {}; {} rows by number are to be divided",
                 rows.jobs.size(), rows.machines.size(), to_seconds(ctx_.now() - acquired), ctx_.level,
                 ctx_.level >= wire::this_level ? ctx_.scheduler->legacy_rows() : 0);
  co_return true;
}

void LeaderStore::step_down(const char* why) {
  if (ctx_.leadership.state() == LeaderState::follower) return;
  ctx_.log->info("this node leads no more: {}", why);
  ctx_.leadership.lost();
  ++ctx_.term;
  ctx_.scheduler.reset();
  if (ctx_.leader == ctx_.settings.node) ctx_.leader.clear();
  rt::spawn(state_.end_lease(lease_));
  ctx_.leader_changed.notify();
  ctx_.flushed.notify();
  ctx_.flush.notify();
  ctx_.wake.notify();
}

rt::Task<void> LeaderStore::renew(std::uint64_t term) {
  while (ctx_.term == term) {
    const Time sent = ctx_.loop.refresh();
    const auto touch = co_await state_.touch(lease_, seconds(1));
    if (ctx_.term != term) co_return;
    ctx_.lease_checked = sent;
    if (touch == StateClient::Touch::ended) {
      step_down("its lease ended");
      co_return;
    }
    const bool was_proven = ctx_.leadership.proven(ctx_.now());
    if (touch == StateClient::Touch::renewed) ctx_.leadership.renewed(sent, ctx_.now());
    ctx_.leadership.tick(ctx_.now());
    const bool proven = ctx_.leadership.proven(ctx_.now());
    if (proven != was_proven) {
      ctx_.log->info(proven ? "leadership is proven again" : "leadership cannot be proven: nothing is placed");
      ctx_.kick();
    }
    const Duration pause = touch == StateClient::Touch::renewed ? ctx_.policy.renew_every : seconds(0.2);
    const Duration spent = ctx_.now() - sent;
    co_await ctx_.loop.sleep(std::max(Duration{20000}, pause - spent));
  }
}

// ---- jobs accepted by other nodes ----

void LeaderStore::adopt(std::uint64_t term, Job job, Stamp version) {
  if (!ctx_.leads(term)) return;
  const auto id = job.spec.id;
  // A row that was read before its job became final must not start it again: users were told.
  if (ctx_.scheduler->find_job(id) != nullptr || ctx_.scheduler->was_final(id) || ctx_.finals.find(id)) return;
  versions_[wire::job_key(id, job.chained)] = version;
  ctx_.scheduler->add_job(std::move(job), ctx_.now());
  ctx_.kick();
}

// Read until the store tells: a note comes once, and its job was accepted.
rt::Task<void> LeaderStore::take_inbox(std::uint64_t term, JobId id, bool cancel) {
  while (ctx_.scheduler->find_job(id) == nullptr) {
    JobRows::Read r = co_await job_rows_.read(id);
    if (!ctx_.leads(term)) co_return;
    if (r.job) adopt(term, std::move(*r.job), r.version);
    if (r.outcome != ReadOutcome::failed) break;
    co_await ctx_.loop.sleep(read_again);
    if (!ctx_.leads(term)) co_return;
  }
  if (cancel) {
    ctx_.scheduler->cancel(id, ctx_.now());
    ctx_.kick();
  }
  inbox_done_.push_back(id);
}

rt::Task<void> LeaderStore::watch_inbox(std::uint64_t term) {
  while (ctx_.leads(term)) {
    const auto w = co_await state_.watch("i/", inbox_after_, seconds(10));
    if (!ctx_.leads(term)) co_return;
    std::vector<wire::StoreItem> items = w.page.items;
    if (w.outcome == StateClient::WatchOutcome::too_old) {
      auto all = co_await state_.list("i/");
      if (!ctx_.leads(term)) co_return;
      if (all) items = std::move(all->items);
      if (all) inbox_after_ = all->revision;
    } else if (w.outcome == StateClient::WatchOutcome::events) {
      inbox_after_ = std::max(inbox_after_, w.page.revision);
    } else {
      co_await ctx_.loop.sleep(seconds(0.3));
    }
    for (const auto& item : items) {
      if (item.removed) continue;
      ctx_.others_wrote = ctx_.now();
      versions_[item.key] = item.version;
      if (wire::is_reach_key(item.key)) {
        const auto stranded = wire::decode_reach(item.value);
        if (stranded) ctx_.hearing.claim(item.key.substr(3), *stranded, ctx_.now());
        continue;
      }
      JobId id{item.key.substr(2)};
      co_await take_inbox(term, std::move(id), wire::asks_to_cancel(item.value));
      if (!ctx_.leads(term)) co_return;
    }
  }
}

// ---- ends of awaited jobs ----

// The job is not over: accepted at another node a moment ago, or its end comes between the two looks.
rt::Task<void> LeaderStore::find_active(std::uint64_t term, JobId id) {
  JobRows::Read r = co_await job_rows_.read(id);
  if (!ctx_.leads(term)) co_return;
  if (r.job) adopt(term, std::move(*r.job), r.version);
  if (ctx_.scheduler->find_job(id) == nullptr) co_await ctx_.loop.sleep(look_up_again);
  if (ctx_.leads(term)) ctx_.scheduler->ask_again(id);
}

rt::Task<void> LeaderStore::look_up_one(std::uint64_t term, JobId id) {
  const ReadResult r = co_await state_.get(wire::final_key(id), seconds(1));
  if (!ctx_.leads(term)) co_return;
  const auto end = r.outcome == ReadOutcome::found ? wire::decode_final(id, r.item.value) : std::nullopt;
  if (end) {
    ctx_.finals.add({id, end->phase, end->done, 0});
    ctx_.scheduler->on_end_found(id, end->phase, ctx_.now());
    ctx_.kick();
  } else if (r.outcome == ReadOutcome::absent) {
    rt::spawn(find_active(term, id));
  } else {
    ctx_.scheduler->ask_again(id);
    co_await ctx_.loop.sleep(look_up_pause);  // an outage, or no request to spare
  }
}

// Ends lie in the order of their keys: a page tells of all that are asked for between its first and its last.
rt::Task<void> LeaderStore::look_up_run(std::uint64_t term, std::vector<JobId> ids) {
  for (std::size_t i = 0; i < ids.size();) {
    if (ids.size() - i < worth_a_run) {
      co_await look_up_one(term, ids[i++]);
      if (!ctx_.leads(term)) co_return;
      continue;
    }
    const auto page = co_await state_.page("f/", wire::just_before_final(ids[i]));
    if (!ctx_.leads(term)) co_return;
    if (!page) {
      for (; i < ids.size(); ++i) ctx_.scheduler->ask_again(ids[i]);
      co_await ctx_.loop.sleep(look_up_pause);
      co_return;
    }
    std::map<std::string, const wire::json*> ends;
    for (const auto& item : page->items) ends.emplace(item.key, &item.value);
    const auto reached = [&](const std::string& key) {
      return !page->more || ends.empty() || key <= ends.rbegin()->first;
    };
    for (; i < ids.size() && reached(wire::final_key(ids[i])); ++i) {
      const auto found = ends.find(wire::final_key(ids[i]));
      const auto end = found == ends.end() ? std::nullopt : wire::decode_final(ids[i], *found->second);
      if (end) {
        ctx_.finals.add({ids[i], end->phase, end->done, 0});
        ctx_.scheduler->on_end_found(ids[i], end->phase, ctx_.now());
      } else {
        rt::spawn(find_active(term, ids[i]));
      }
    }
    ctx_.kick();
  }
}

rt::Task<void> LeaderStore::look_up(std::uint64_t term) {
  while (ctx_.leads(term)) {
    std::vector<JobId> ids = ctx_.scheduler->take_lookups();
    const auto began = ctx_.now();
    const auto asked = ids.size();
    std::erase_if(ids, [&](const JobId& id) {
      const auto over = ctx_.finals.find(id);
      if (over) ctx_.scheduler->on_end_found(id, over->phase, ctx_.now());
      return over.has_value();
    });
    if (asked > 0) ctx_.kick();
    if (!ids.empty()) {
      const auto read = ids.size();
      co_await look_up_run(term, std::move(ids));
      ctx_.log->info("ends of {} awaited jobs looked up, {} of them in the store, in {} s", asked, read,
                     to_seconds(ctx_.now() - began));
      continue;
    }
    co_await ctx_.loop.sleep(look_up_every);
  }
}

// ---- the leader's writes ----

LeaderStore::Chunk LeaderStore::new_chunk() const {
  Chunk chunk;
  chunk.when.push_back({wire::leader_key, Stamp{ctx_.leadership.token().value()}});
  return chunk;
}

void LeaderStore::append(Chunk& chunk, std::vector<wire::StoreOp> ops) {
  for (auto& op : ops) {
    const auto it = versions_.find(op.key);
    chunk.when.push_back({op.key, it == versions_.end() ? Stamp{0} : it->second});
    chunk.then.push_back(std::move(op));
  }
}

// Nothing rests on facts of machines: what does not fit is left out, cached images first.
wire::json LeaderStore::facts_row(std::vector<MachineFacts> facts) const {
  for (;;) {
    auto row = wire::encode_machines(facts);
    if (row.dump().size() <= ctx_.limits.value_bytes() || facts.empty()) return row;
    bool images = false;
    for (auto& m : facts) {
      images = images || !m.images.empty();
      m.images.resize(m.images.size() / 2);
    }
    if (!images) facts.resize(facts.size() / 2);
  }
}

std::vector<wire::StoreOp> LeaderStore::ops_of(const RowWrite& row) {
  std::vector<wire::StoreOp> ops;
  const auto key = wire::key_of(row.key);
  if (row.final_job) {
    ops.push_back({wire::job_key(row.final_job->id, row.final_job->chained), std::nullopt, std::nullopt});
    ops.push_back({key, wire::encode_final(*row.final_job), std::nullopt});
  } else if (row.tasks) {
    ops.push_back({key, wire::encode_tasks(*row.tasks), std::nullopt});
  } else if (!row.facts.empty()) {
    ops.push_back({key, facts_row(row.facts), std::nullopt});
  } else if (versions_.contains(key)) {
    ops.push_back({key, std::nullopt, std::nullopt});
  }
  return ops;
}

// What is really encoded is measured: names may be longer than a row's size was reckoned with.
bool LeaderStore::fits_value(const RowWrite& row, const std::vector<wire::StoreOp>& ops) {
  const bool fits = std::ranges::all_of(
      ops, [&](const wire::StoreOp& op) { return !op.value || op.value->dump().size() <= ctx_.limits.value_bytes(); });
  if (fits) return true;
  if (!ctx_.scheduler->divide(row, ctx_.now())) {
    ctx_.log->error("row {} is too large for the state service and cannot be divided", wire::key_of(row.key));
  }
  return false;
}

std::vector<LeaderStore::Chunk> LeaderStore::chunks_of(std::vector<RowWrite> rows) {
  std::vector<Chunk> chunks;
  for (auto& row : rows) {
    auto ops = ops_of(row);
    if (!fits_value(row, ops)) continue;
    std::size_t bytes = 0;
    for (const auto& op : ops) bytes += 2 * op.key.size() + 100 + (op.value ? op.value->dump().size() : 0);
    const bool fits = !chunks.empty() && chunks.back().then.size() + ops.size() <= ctx_.limits.txn_ops() &&
                      chunks.back().bytes + bytes <= max_txn_bytes;
    if (!fits) chunks.push_back(new_chunk());
    auto& chunk = chunks.back();
    chunk.bytes += bytes;
    append(chunk, std::move(ops));
    chunk.rows.push_back(std::move(row));
  }
  for (auto& chunk : chunks) sign(chunk);
  return chunks;
}

// Notes that were taken, and pieces of rows of jobs that are over; what no one reads any more.
LeaderStore::Chunk LeaderStore::note_removals() {
  Chunk chunk = new_chunk();
  const auto most = ctx_.limits.txn_ops();
  while (!inbox_done_.empty() && chunk.then.size() < most) {
    const auto key = wire::inbox_key(inbox_done_.back());
    inbox_done_.pop_back();
    const bool listed = std::ranges::any_of(chunk.then, [&](const auto& op) { return op.key == key; });
    if (versions_.contains(key) && !listed) append(chunk, {{key, std::nullopt, std::nullopt}});
  }
  for (; !leftover_pieces_.empty() && chunk.then.size() < most; leftover_pieces_.pop_back()) {
    chunk.then.push_back({leftover_pieces_.back(), std::nullopt, std::nullopt});
  }
  return chunk;
}

void LeaderStore::return_notes(const Chunk& chunk) {
  for (const auto& op : chunk.then) {
    if (op.key.starts_with("i/")) {
      inbox_done_.emplace_back(op.key.substr(2));
    } else {
      leftover_pieces_.push_back(op.key);
    }
  }
}

// Every value carries its writer, so that a transaction whose answer was lost can be recognised.
void LeaderStore::sign(Chunk& chunk) {
  const auto by = std::to_string(ctx_.leadership.token().value()) + "." + std::to_string(++write_serial_);
  for (auto& op : chunk.then) {
    if (op.value) (*op.value)["by"] = by;
  }
}

void LeaderStore::remember(const Chunk& chunk, Revision revision) {
  for (const auto& op : chunk.then) {
    if (op.value) {
      versions_[op.key] = Stamp{revision.value()};
    } else {
      versions_.erase(op.key);
    }
  }
}

// A read that is repeated until the store answers, or this leadership is over.
rt::Task<ReadResult> LeaderStore::read_surely(std::uint64_t term, std::string key) {
  ReadResult r;
  while (ctx_.term == term) {
    std::string copy = key;
    r = co_await state_.get(std::move(copy), seconds(1));
    if (r.outcome != ReadOutcome::failed) break;
    co_await ctx_.loop.sleep(read_again);
  }
  co_return r;
}

rt::Task<bool> LeaderStore::holds_lead(std::uint64_t term) {
  const ReadResult lead = co_await read_surely(term, wire::leader_key);
  co_return ctx_.term == term&& lead.outcome == ReadOutcome::found&& lead.item.version.value() ==
      ctx_.leadership.token().value();
}

// Whether a transaction whose answer was lost was applied after all; if so its versions are taken over. That a key is
// gone proves nothing: a later leader may have removed it, and ended the job in another way.
rt::Task<bool> LeaderStore::recognise(std::uint64_t term, const Chunk& chunk) {
  const bool ours = co_await holds_lead(term);
  if (!ours) co_return false;
  const auto written = std::ranges::find_if(chunk.then, [](const auto& op) { return op.value.has_value(); });
  const auto& telling = written == chunk.then.end() ? chunk.then.front() : *written;
  const ReadResult r = co_await read_surely(term, telling.key);
  if (ctx_.term != term) co_return false;
  const bool applied = telling.value
                           ? r.outcome == ReadOutcome::found && r.item.value.value("by", "") == (*telling.value)["by"]
                           : r.outcome == ReadOutcome::absent;
  if (applied) remember(chunk, Revision{r.item.version.value()});
  co_return applied;
}

// Tries until the outcome is known. The same conditions hold each time, so at most one try is applied. One that was
// called too large is not applied later either, since limits do not rise; but an earlier try may have been.
rt::Task<LeaderStore::Commit> LeaderStore::commit(std::uint64_t term, const Chunk& chunk) {
  bool doubtful = false;
  const Time began = ctx_.now();
  while (ctx_.term == term) {
    std::vector<wire::Condition> when = chunk.when;
    std::vector<wire::StoreOp> then = chunk.then;
    const TxnResult r = co_await state_.txn(std::move(when), std::move(then), seconds(1.5), StateClient::Turn::in_line);
    if (ctx_.term != term) co_return Commit::lost;
    switch (r.outcome) {
      case TxnOutcome::committed:
        remember(chunk, r.revision);
        ctx_.metrics.store_writes.observe(ctx_.now() - began);
        co_return Commit::stored;
      case TxnOutcome::conflict:
      case TxnOutcome::no_lease:
      case TxnOutcome::too_large: {
        const bool applied = doubtful && co_await recognise(term, chunk);
        if (applied) co_return Commit::stored;
        co_return r.outcome == TxnOutcome::too_large&& ctx_.term == term ? Commit::too_large : Commit::lost;
      }
      case TxnOutcome::unknown:
        doubtful = true;
        break;
      case TxnOutcome::refused:
        break;
    }
    co_await ctx_.loop.sleep(seconds(0.1));
  }
  co_return Commit::lost;
}

void LeaderStore::told(const std::vector<RowWrite>& rows) {
  for (const auto& row : rows) {
    if (!row.final_job) continue;
    const auto& f = *row.final_job;
    ctx_.finals.add({f.id, f.phase, f.done, 0});
    leftover_pieces_.insert(leftover_pieces_.end(), row.pieces.begin(), row.pieces.end());
  }
  ctx_.scheduler->stored(rows, ctx_.now());
  ctx_.flushed.notify();
}

rt::Task<void> LeaderStore::write_chunk(std::uint64_t term, Chunk chunk) {
  Commit outcome = Commit::stored;
  if (!chunk.then.empty()) outcome = co_await commit(term, chunk);
  if (ctx_.term != term) co_return;
  --under_way_;
  switch (outcome) {
    case Commit::stored:
      told(chunk.rows);
      ctx_.flush.notify();
      ctx_.kick();  // the end of one job lets others start
      break;
    case Commit::too_large:
      // Not the end of a leadership: every successor would meet the same limit. The rows are divided again.
      apply_limits(ctx_);
      ctx_.scheduler->put_back(chunk.rows, too_large_pause, ctx_.now());
      break;
    case Commit::lost:
      if (chunk.rows.empty()) {
        // Notes are others' keys too: one that was written anew meanwhile says nothing of this leadership.
        const bool ours = co_await holds_lead(term);
        if (ctx_.term != term) co_return;
        if (ours) return_notes(chunk);
        if (ours) break;
      }
      // Another leader, or a lost picture of the keys: both mean starting over from the store.
      step_down("a transaction's conditions failed");
      break;
  }
}

// Transactions under way at the same time touch different rows, so their order does not matter.
rt::Task<void> LeaderStore::write(std::uint64_t term) {
  constexpr Duration pause = seconds(0.2);
  while (ctx_.leads(term)) {
    const bool spare = under_way_ <= 1 && state_.has_spare_writes();
    const bool room = under_way_ < max_under_way;
    std::vector<RowWrite> rows;
    if (room && ctx_.scheduler->has_writes(spare, ctx_.now())) {
      rows = ctx_.scheduler->take_writes(ctx_.limits.txn_ops() / 2, spare, ctx_.now());
    }
    for (auto& chunk : chunks_of(std::move(rows))) {
      ++under_way_;
      rt::spawn(write_chunk(term, std::move(chunk)));
    }
    if (room && spare && !(inbox_done_.empty() && leftover_pieces_.empty())) {
      ++under_way_;
      rt::spawn(write_chunk(term, note_removals()));
    }
    if (!ctx_.leads(term)) co_return;
    if (under_way_ < max_under_way && ctx_.scheduler->has_writes(false, ctx_.now())) continue;
    const Time until = ctx_.now() + pause;
    co_await ctx_.flush.wait(until);
  }
}

rt::Task<std::optional<JobStatus>> LeaderStore::wait_final(JobId id, Duration longest) {
  const auto term = ctx_.term;
  const Time until = ctx_.now() + longest;
  while (ctx_.leads(term)) {
    auto known = ctx_.finals.find(id);
    const bool whole = known && ctx_.scheduler->cascade_stored(id);
    if (whole || ctx_.now() >= until) co_return known;
    co_await ctx_.flushed.wait(until);
  }
  co_return std::nullopt;
}

}  // namespace martenwall::service
