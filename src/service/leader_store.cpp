#include "service/leader_store.hpp"

#include <algorithm>
#include <chrono>

#include "wire/user_codec.hpp"

namespace martenwall::service {

namespace {
// Enough to keep the cloud busy through slow answers, and no longer than a boot is worth.
constexpr double max_scale_out_backlog_s = 4;
constexpr Duration watch_hold = seconds(2);
constexpr Duration lookup_interval = seconds(0.1);
constexpr Duration lookup_retry_pause = seconds(0.2);
constexpr Duration lookup_retry_interval = seconds(1);  // a job that is to be found at neither key nor among those over
constexpr std::size_t min_range_lookup = 3;  // so many ends are read in runs of neighbours rather than one by one
}  // namespace

std::uint32_t Context::v1_row_size_for(std::size_t value_bytes) {
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
    co_await follow_leader();
    // Those that workers reach go first.
    const Duration delay = ctx_.reachability.campaign_delay(ctx_.now());
    if (delay > Duration{0}) co_await ctx_.loop.sleep(delay);
    const bool acquired = co_await campaign();
    if (!acquired) {
      co_await ctx_.loop.sleep(seconds(0.1));
      continue;
    }
    const auto term = ctx_.term;
    rt::spawn(renew(term));
    const bool loaded = co_await load(term, previous_grace_);
    if (!loaded) {
      if (ctx_.term == term) step_down("the store could not be read");
      co_await ctx_.loop.sleep(seconds(0.2));
      continue;
    }
    rt::spawn(watch_inbox(term));
    rt::spawn(run_writer(term));
    rt::spawn(run_lookups(term));
    ctx_.leader_changed.notify();
    ctx_.notify_pending_work();
    while (ctx_.term == term) {
      const Time until = ctx_.now() + seconds(1);
      co_await ctx_.leader_changed.wait(until);
    }
  }
}

// Returns once no one holds the key.
rt::Task<void> LeaderStore::follow_leader() {
  for (;;) {
    const ReadResult r = co_await store_.get(wire::leader_key, seconds(1));
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
      ctx_.redirected_workers.clear();
    }
    ctx_.leader = row.node;
    Revision after{r.item.version.value()};
    for (;;) {
      const auto w = co_await store_.watch(wire::leader_key, after, watch_hold);
      if (w.outcome != StoreClient::WatchOutcome::events) break;
      after = std::max(after, w.page.revision);
      if (!w.page.items.empty()) break;
    }
  }
}

rt::Task<bool> LeaderStore::campaign() {
  const ReadResult record = co_await store_.get(wire::leadership_record_key, seconds(1));
  if (record.outcome == ReadOutcome::failed) co_return false;
  const bool has_record = record.outcome == ReadOutcome::found;
  const KeyVersion record_version = has_record ? record.item.version : KeyVersion{0};
  // The last leader's own grace counts, not this node's: the settings may have changed since.
  previous_grace_ =
      has_record ? wire::decode_leadership_record(record.item.value).value_or(ctx_.leadership.grace()) : Duration{0};
  const Time sent = ctx_.loop.refresh();
  const auto lease = co_await store_.create_lease(ctx_.policy.lease_ttl);
  if (!lease) co_return false;
  const std::string nonce = std::to_string(ctx_.random());
  std::vector<wire::Condition> when{{wire::leader_key, KeyVersion{0}}, {wire::leadership_record_key, record_version}};
  std::vector<wire::StoreOp> then;
  then.push_back({wire::leader_key, wire::encode_leader({ctx_.settings.node, nonce}), *lease});
  then.push_back({wire::leadership_record_key, wire::encode_leadership_record(ctx_.leadership.grace()), std::nullopt});
  co_await store_.txn(std::move(when), std::move(then), seconds(1));
  // Whatever the answer was, the key itself tells who leads, and its version is the token.
  const ReadResult r = co_await store_.get(wire::leader_key, seconds(1));
  if (r.outcome != ReadOutcome::found || wire::decode_leader(r.item.value).nonce != nonce) {
    co_await store_.end_lease(*lease);
    co_return false;
  }
  lease_ = *lease;
  lease_sent_ = sent;
  versions_.clear();
  processed_inbox_.clear();
  inbox_cancels_.clear();
  obsolete_chunks_.clear();
  in_flight_ = 0;
  ctx_.leadership.acquired(FencingToken{r.item.version.value()}, sent);
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
  if (ctx_.format_version >= wire::current_format_version) parts.push_back({"k/", &rows.jobs});
  parts.push_back({"m/", &rows.machines});
  parts.push_back({"p/", &rows.v1_tasks});
  if (ctx_.format_version >= wire::current_format_version) parts.push_back({"q/", &rows.task_ranges});
  parts.push_back({"i/", &rows.notes});
  for (const auto& part : parts) {
    auto page = co_await store_.list(part.prefix);
    if (!page || ctx_.term != term) co_return false;
    rows.notes_revision = page->revision;
    for (auto& item : page->items) {
      versions_[item.key] = item.version;
      part.into->push_back(std::move(item));
    }
  }
  co_return true;
}

Scheduler::Options LeaderStore::scheduler_options(Duration previous_grace, Time acquired) const {
  Scheduler::Options options;
  options.policy = ctx_.policy;
  options.terms = ctx_.settings.workers;
  options.teams = ctx_.configuration.teams;
  options.limits_change = ctx_.configuration.version > ConfigurationVersion{0};
  for (const auto& o : ctx_.settings.objectives) {
    if (o.kind == "wait") options.aims.by_class[o.job_class].push_back(o.within_s);
    if (o.kind == "deadline") options.aims.deadlines_by_class[o.job_class].push_back(o.times);
    if (o.kind == "guarantee") options.aims.guarantee_s = o.within_s;
  }
  options.token = ctx_.leadership.token();
  // The old key is gone, so its holder's last renewal is over; it may have gone on answering
  // workers for its grace from then.
  options.old_leader_until = previous_grace.count() > 0 ? acquired + previous_grace + ctx_.policy.margin : acquired;
  options.range_rows = ctx_.format_version >= wire::current_format_version;
  options.v1_row_size = ctx_.v1_row_size;
  options.log_tasks = ctx_.log->should_log(spdlog::level::debug);
  options.max_pending_scale_outs =
      static_cast<std::size_t>(std::max(4.0, ctx_.settings.cloud_rps * max_scale_out_backlog_s));
  return options;
}

rt::Task<bool> LeaderStore::load_jobs(std::uint64_t term, Scheduler& scheduler,
                                      const std::vector<wire::StoreItem>& items) {
  for (const auto& item : items) {
    JobId id{item.key.substr(2)};
    auto job = co_await job_rows_.decode(std::move(id), item.value);
    if (ctx_.term != term) co_return false;
    if (job) {
      job->dependent = item.key.starts_with("k/");
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
  for (const auto& item : rows.task_ranges) {
    if (!take(item, wire::decode_tasks(item.key, item.value))) return false;
  }
  // Of overlapping runs the one that begins last counts: it comes first.
  std::ranges::stable_sort(
      tasks, [](const TaskRow& a, const TaskRow& b) { return a.job != b.job ? a.job < b.job : a.first > b.first; });
  for (const auto& item : rows.v1_tasks) {
    if (!take(item, wire::decode_v1_tasks(item.key, item.value, ctx_.v1_row_size))) return false;
  }
  for (const auto& row : tasks) scheduler.load_tasks(row, ctx_.now());
  return true;
}

rt::Task<bool> LeaderStore::load(std::uint64_t term, Duration previous_grace) {
  const Time acquired = ctx_.now();
  // First: it tells where rows are, and only the leader raises it.
  const bool version_known = co_await format_versions_.read();
  if (!version_known || ctx_.term != term) co_return false;
  // A first configuration is made only while the one leads whom its maker saw leading: none can come from here on
  // without this node's word.
  const bool configured = co_await configuration_.read(true);
  if (!configured || ctx_.term != term) co_return false;
  Rows rows;
  const bool read = co_await read_rows(term, rows);
  if (!read) co_return false;
  auto log = ctx_.log;
  auto scheduler = std::make_unique<Scheduler>(scheduler_options(previous_grace, acquired),
                                               [log](const std::string& line) { log->info(line); });
  const bool jobs_loaded = co_await load_jobs(term, *scheduler, rows.jobs);
  if (!jobs_loaded) co_return false;
  for (const auto& item : rows.machines) {
    for (const auto& facts : wire::decode_machines(item.key, item.value)) scheduler->load_machine(facts, ctx_.now());
  }
  if (!load_tasks(*scheduler, rows)) co_return false;
  for (const auto& item : rows.notes) {
    if (wire::is_reach_key(item.key)) continue;  // meant for an earlier leader
    processed_inbox_.emplace_back(item.key.substr(2));
    if (wire::asks_to_cancel(item.value)) inbox_cancels_.emplace_back(item.key.substr(2));
  }
  inbox_after_ = rows.notes_revision;
  ctx_.scheduler = std::move(scheduler);
  // It may have changed while the rows were read.
  if (ctx_.validity.follows()) ctx_.scheduler->configure(ctx_.configuration.teams, ctx_.policy);
  apply_row_size_limits(ctx_);
  ctx_.scheduler->finish_load(ctx_.now());
  for (const auto& id : std::exchange(inbox_cancels_, {})) ctx_.scheduler->cancel(id, ctx_.now());
  ctx_.scheduler->set_types(ctx_.types);
  ctx_.leadership.loaded(ctx_.now());
  ctx_.reachability.on_leadership_began(ctx_.now());
  ctx_.metrics.count_takeover();
  ctx_.log->info("loaded {} jobs and {} machines in {} s, level {}; {} rows by number are to be divided",
                 rows.jobs.size(), rows.machines.size(), to_seconds(ctx_.now() - acquired), ctx_.format_version,
                 ctx_.format_version >= wire::current_format_version ? ctx_.scheduler->v1_row_count() : 0);
  co_return true;
}

void LeaderStore::step_down(const char* why) {
  if (ctx_.leadership.state() == LeaderState::follower) return;
  ctx_.log->info("this node leads no more: {}", why);
  ctx_.leadership.lost();
  ++ctx_.term;
  ctx_.scheduler.reset();
  if (ctx_.leader == ctx_.settings.node) ctx_.leader.clear();
  rt::spawn(store_.end_lease(lease_));
  ctx_.leader_changed.notify();
  ctx_.write_committed.notify();
  ctx_.writes_due.notify();
  ctx_.cycle_due.notify();
}

rt::Task<void> LeaderStore::renew(std::uint64_t term) {
  while (ctx_.term == term) {
    const Time sent = ctx_.loop.refresh();
    const auto renewal = co_await store_.renew_lease(lease_, seconds(1));
    if (ctx_.term != term) co_return;
    ctx_.lease_checked_at = sent;
    if (renewal == StoreClient::LeaseRenewal::ended) {
      step_down("its lease ended");
      co_return;
    }
    const bool was_lease_valid = ctx_.leadership.has_valid_lease(ctx_.now());
    if (renewal == StoreClient::LeaseRenewal::renewed) ctx_.leadership.renewed(sent, ctx_.now());
    ctx_.leadership.tick(ctx_.now());
    const bool lease_valid = ctx_.leadership.has_valid_lease(ctx_.now());
    if (lease_valid != was_lease_valid) {
      ctx_.log->info(lease_valid ? "leadership is proven again" : "leadership cannot be proven: nothing is placed");
      ctx_.notify_pending_work();
    }
    const Duration pause = renewal == StoreClient::LeaseRenewal::renewed ? ctx_.policy.renew_every : seconds(0.2);
    const Duration spent = ctx_.now() - sent;
    co_await ctx_.loop.sleep(std::max(Duration{20000}, pause - spent));
  }
}

// ---- jobs accepted by other nodes ----

void LeaderStore::adopt_job(std::uint64_t term, Job job, KeyVersion version) {
  if (!ctx_.leads(term)) return;
  const auto id = job.spec.id;
  // A row that was read before its job became final must not start it again: users were told.
  if (ctx_.scheduler->find_job(id) != nullptr || ctx_.scheduler->was_finished(id) || ctx_.finished_jobs.find(id))
    return;
  versions_[wire::job_key(id, job.dependent)] = version;
  ctx_.scheduler->add_job(std::move(job), ctx_.now());
  ctx_.notify_pending_work();
}

// Read until the store tells: a note comes once, and its job was accepted.
rt::Task<void> LeaderStore::process_inbox_entry(std::uint64_t term, JobId id, bool cancel) {
  while (ctx_.scheduler->find_job(id) == nullptr) {
    JobRowStore::Read r = co_await job_rows_.read(id);
    if (!ctx_.leads(term)) co_return;
    if (r.job) adopt_job(term, std::move(*r.job), r.version);
    if (r.outcome != ReadOutcome::failed) break;
    co_await ctx_.loop.sleep(read_again);
    if (!ctx_.leads(term)) co_return;
  }
  if (cancel) {
    ctx_.scheduler->cancel(id, ctx_.now());
    ctx_.notify_pending_work();
  }
  processed_inbox_.push_back(id);
}

rt::Task<void> LeaderStore::watch_inbox(std::uint64_t term) {
  while (ctx_.leads(term)) {
    const auto w = co_await store_.watch("i/", inbox_after_, seconds(10));
    if (!ctx_.leads(term)) co_return;
    std::vector<wire::StoreItem> items = w.page.items;
    if (w.outcome == StoreClient::WatchOutcome::too_old) {
      auto all = co_await store_.list("i/");
      if (!ctx_.leads(term)) co_return;
      if (all) items = std::move(all->items);
      if (all) inbox_after_ = all->revision;
    } else if (w.outcome == StoreClient::WatchOutcome::events) {
      inbox_after_ = std::max(inbox_after_, w.page.revision);
    } else {
      co_await ctx_.loop.sleep(seconds(0.3));
    }
    for (const auto& item : items) {
      if (item.removed) continue;
      ctx_.peers_wrote_at = ctx_.now();
      versions_[item.key] = item.version;
      if (wire::is_reach_key(item.key)) {
        const auto stranded = wire::decode_reach(item.value);
        if (stranded) ctx_.reachability.on_stranded_report(item.key.substr(3), *stranded, ctx_.now());
        continue;
      }
      JobId id{item.key.substr(2)};
      co_await process_inbox_entry(term, std::move(id), wire::asks_to_cancel(item.value));
      if (!ctx_.leads(term)) co_return;
    }
  }
}

// ---- ends of awaited jobs ----

// The job is not over: accepted at another node a moment ago, or its end comes between the two looks.
rt::Task<void> LeaderStore::find_active(std::uint64_t term, JobId id) {
  JobRowStore::Read r = co_await job_rows_.read(id);
  if (!ctx_.leads(term)) co_return;
  if (r.job) adopt_job(term, std::move(*r.job), r.version);
  if (ctx_.scheduler->find_job(id) == nullptr) co_await ctx_.loop.sleep(lookup_retry_interval);
  if (ctx_.leads(term)) ctx_.scheduler->retry_lookup(id);
}

rt::Task<void> LeaderStore::look_up_one(std::uint64_t term, JobId id) {
  const ReadResult r = co_await store_.get(wire::final_key(id), seconds(1));
  if (!ctx_.leads(term)) co_return;
  const auto end = r.outcome == ReadOutcome::found ? wire::decode_final(id, r.item.value) : std::nullopt;
  if (end) {
    ctx_.finished_jobs.add({id, end->phase, end->done, 0});
    ctx_.scheduler->on_end_looked_up(id, end->phase, ctx_.now());
    ctx_.notify_pending_work();
  } else if (r.outcome == ReadOutcome::absent) {
    rt::spawn(find_active(term, id));
  } else {
    ctx_.scheduler->retry_lookup(id);
    co_await ctx_.loop.sleep(lookup_retry_pause);  // an outage, or no request to spare
  }
}

// Ends lie in the order of their keys: a page tells of all that are asked for between its first and its last.
rt::Task<void> LeaderStore::look_up_range(std::uint64_t term, std::vector<JobId> ids) {
  for (std::size_t i = 0; i < ids.size();) {
    if (ids.size() - i < min_range_lookup) {
      co_await look_up_one(term, ids[i++]);
      if (!ctx_.leads(term)) co_return;
      continue;
    }
    const auto page = co_await store_.page("f/", wire::just_before_final(ids[i]));
    if (!ctx_.leads(term)) co_return;
    if (!page) {
      for (; i < ids.size(); ++i) ctx_.scheduler->retry_lookup(ids[i]);
      co_await ctx_.loop.sleep(lookup_retry_pause);
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
        ctx_.finished_jobs.add({ids[i], end->phase, end->done, 0});
        ctx_.scheduler->on_end_looked_up(ids[i], end->phase, ctx_.now());
      } else {
        rt::spawn(find_active(term, ids[i]));
      }
    }
    ctx_.notify_pending_work();
  }
}

rt::Task<void> LeaderStore::run_lookups(std::uint64_t term) {
  while (ctx_.leads(term)) {
    std::vector<JobId> ids = ctx_.scheduler->take_lookups();
    const auto began = ctx_.now();
    const auto asked = ids.size();
    std::erase_if(ids, [&](const JobId& id) {
      const auto over = ctx_.finished_jobs.find(id);
      if (over) ctx_.scheduler->on_end_looked_up(id, over->phase, ctx_.now());
      return over.has_value();
    });
    if (asked > 0) ctx_.notify_pending_work();
    if (!ids.empty()) {
      const auto read = ids.size();
      co_await look_up_range(term, std::move(ids));
      ctx_.log->info("ends of {} awaited jobs looked up, {} of them in the store, in {} s", asked, read,
                     to_seconds(ctx_.now() - began));
      continue;
    }
    co_await ctx_.loop.sleep(lookup_interval);
  }
}

}  // namespace martenwall::service
