#include "service/user_service.hpp"

#include <algorithm>
#include <set>

#include "wire/user_codec.hpp"

namespace martenwall::service {

namespace {

rt::HttpResponse retry_later(const char* why) { return {503, wire::encode_error(why), 1, false}; }

rt::HttpResponse answer(int status, const JobStatus& s) { return {status, wire::encode_status(s), {}, false}; }

rt::HttpResponse no_such_job() { return {404, wire::encode_error("no such job"), {}, false}; }

constexpr Duration poll_limit = seconds(1.5);        // a user waits 2 s; an older answer could be an outdated one
constexpr Duration gather = seconds(0.015);          // how long polls wait for each other
constexpr Duration gather_for_store = seconds(0.2);  // the same where the leader cannot be asked: requests are few
constexpr Duration forward_limit = seconds(0.6);     // the store is the other way
constexpr std::size_t max_batches = 4;
constexpr std::size_t max_asked = 2000;
constexpr std::size_t keys_per_query = 3;
constexpr Duration renotify_after = seconds(20);
constexpr std::size_t max_notified = 200;
constexpr std::size_t conditions_per_op = 4;  // of a transaction, by PROTOCOL

}  // namespace

bool UserService::healthy() const {
  if (ctx_.types.empty()) return false;
  const Duration fresh = seconds(4);
  if (ctx_.now() - ctx_.store_answered_at < fresh || ctx_.now() - ctx_.leader_answered_at < fresh) return true;
  // In an outage that all nodes share none is better than this one: were all taken out, users would find no
  // node for some time after its end too. A node that is cut off alone must go.
  return peers_ != nullptr && peers_->others() == PeerService::Others::equally_cut_off;
}

UserService::Fit UserService::can_run(const JobSpec& spec, std::string& why) const {
  const Team* team = nullptr;
  for (const auto& t : ctx_.configuration.teams) {
    if (t.name == spec.team) team = &t;
  }
  why = "unknown team";
  if (team == nullptr) return Fit::never;
  const auto need = spec.need.times(spec.kind == JobKind::array ? 1 : spec.tasks);
  why = "needs more than the team's limit";
  const auto over = [](double limit, double n) { return limit > 0 && n > limit + 1e-6; };
  if (over(team->limit.cpus, need.cpus) || over(team->limit.gpus, need.gpus)) return Fit::never;
  why = "machine types are not known yet";
  if (ctx_.types.empty()) return Fit::unknown;
  why = "a task fits no allowed machine type, in an allowed zone";
  std::set<std::string> zones;
  for (const auto& type : ctx_.types) {
    if (type_allows(spec, type)) zones.insert(type.zones.begin(), type.zones.end());
  }
  if (spec.zone) std::erase_if(zones, [&](const std::string& z) { return z != *spec.zone; });
  if (zones.empty()) return Fit::never;
  why = "all tasks at a time cannot be spread over one zone";
  const bool one_zone = spec.one_zone || zones.size() == 1;
  const bool at_a_time = spec.kind != JobKind::array && spec.tasks > 1;
  return spec.spread && one_zone && at_a_time ? Fit::never : Fit::ok;
}

rt::Task<rt::HttpResponse> UserService::forward(wire::PeerVerb verb, std::string id, std::string body,
                                                Duration timeout) {
  wire::PeerRequest request{verb, std::move(id), std::move(body), {}};
  const auto reply = co_await peers_->ask_leader(std::move(request), timeout);
  if (!reply) co_return rt::HttpResponse{0, "", {}, false};
  const bool retry = reply->status == 503;
  co_return rt::HttpResponse{reply->status, reply->body, retry ? std::optional{1} : std::nullopt, false};
}

rt::Task<rt::HttpResponse> UserService::submit(std::string body) {
  auto parsed = wire::parse_job(body);
  if (const auto* bad = std::get_if<wire::BadJob>(&parsed)) {
    co_return rt::HttpResponse{400, wire::encode_error(bad->why), {}, false};
  }
  JobSpec spec = std::get<JobSpec>(std::move(parsed));
  if (const auto over = ctx_.finished_jobs.find(spec.id)) co_return answer(200, *over);
  if (!ctx_.may_decide()) {
    // By which limits it is judged is not known now; one that was accepted stays so.
    const Finding known = co_await read_status(spec.id);
    if (known.known == Known::yes) co_return answer(200, known.status);
    co_return retry_later("the configuration in force is not known now");
  }
  std::string why;
  const auto fit = can_run(spec, why);
  if (fit == Fit::unknown) co_return retry_later(why.c_str());
  if (fit == Fit::never) {
    // A job accepted under other settings stays accepted.
    const Finding known = co_await read_status(spec.id);
    if (known.known == Known::yes) co_return answer(200, known.status);
    if (known.known == Known::unsure) co_return retry_later("the state service does not answer");
    co_return rt::HttpResponse{422, wire::encode_error(why), {}, false};
  }
  const bool dependent = !spec.dependencies.empty();
  // A node of the other version would start the job early.
  if (dependent && ctx_.format_version < wire::current_format_version)
    co_return retry_later("not all nodes take jobs that await others yet");
  if (!ctx_.has_valid_lease() && ctx_.has_other_leader()) {
    const auto verb = dependent ? wire::PeerVerb::submit_dependent : wire::PeerVerb::submit;
    rt::HttpResponse r = co_await forward(verb, spec.id.value(), std::move(body), forward_limit);
    if (r.status == 200 || r.status == 201 || r.status == 422) co_return r;
  }
  if (dependent) co_return co_await accept_dependent(std::move(spec), ctx_.has_valid_lease());
  co_return co_await accept(std::move(spec), ctx_.has_valid_lease());
}

// ---- jobs that await others ----

// Which of the keys exist; as many at a time as a transaction may name.
rt::Task<std::optional<std::set<std::string>>> UserService::find_existing(std::vector<std::string> keys) {
  std::set<std::string> all;
  const std::size_t at_once = ctx_.limits.txn_ops() * conditions_per_op;
  for (std::size_t i = 0; i < keys.size(); i += at_once) {
    const auto first = keys.begin() + static_cast<std::ptrdiff_t>(i);
    const auto n = std::min(at_once, keys.size() - i);
    std::vector<std::string> some{first, first + static_cast<std::ptrdiff_t>(n)};
    auto there = co_await store_.find_existing(std::move(some), seconds(1));
    if (!there) co_return std::nullopt;
    all.merge(*there);
  }
  co_return all;
}

rt::Task<UserService::DependencyCheck> UserService::check_dependencies(JobSpec spec, bool as_leader) {
  using Outcome = DependencyCheck::Outcome;
  const auto add_keys = [](std::vector<std::string>& keys, const JobId& id) {
    keys.push_back(wire::job_key(id, false));
    keys.push_back(wire::job_key(id, true));
    keys.push_back(wire::final_key(id));
  };
  DependencyCheck out;
  std::vector<JobId> asked;
  std::vector<std::string> keys;
  add_keys(keys, spec.id);
  for (const auto& id : spec.dependencies) {
    const auto over = ctx_.finished_jobs.find(id);
    if (over && over->phase == JobPhase::done) continue;
    const bool known = over || (as_leader && ctx_.scheduler->find_job(id) != nullptr);
    if (known) {
      out.open_dependencies.push_back(id);
    } else {
      asked.push_back(id);
      add_keys(keys, id);
    }
  }
  // The keys of one job stand together, but a transaction may end between them: a job that moves from the first to
  // the last meanwhile is then found at neither. So what is not there is asked for once more before it counts.
  const auto there = co_await find_existing(std::move(keys));
  if (!there) co_return out;
  const auto active = [&](const JobId& id) {
    return there->contains(wire::job_key(id, false)) || there->contains(wire::job_key(id, true));
  };
  if (active(spec.id) || there->contains(wire::final_key(spec.id))) {
    out.outcome = Outcome::job_is_there;
    co_return out;
  }
  for (const auto& id : asked) {
    if (active(id)) {
      out.open_dependencies.push_back(id);
      continue;
    }
    Finding end = co_await read_final(id);
    if (end.known == Known::unsure) co_return out;
    if (end.known == Known::no) {
      const JobRowStore::Read row = co_await job_rows_.read(id);
      if (row.outcome == ReadOutcome::absent) end = co_await read_final(id);
      if (row.outcome == ReadOutcome::failed || end.known == Known::unsure) co_return out;
      if (row.outcome == ReadOutcome::absent && end.known == Known::no) {
        out.outcome = Outcome::never_accepted;
        co_return out;
      }
    }
    if (end.known == Known::no || end.status.phase != JobPhase::done) out.open_dependencies.push_back(id);
  }
  out.outcome = Outcome::known;
  co_return out;
}

rt::Task<rt::HttpResponse> UserService::accept_dependent(JobSpec spec, bool as_leader) {
  const JobId id = spec.id;
  if (as_leader) {
    const auto known = ctx_.scheduler->status(id);
    if (known) co_return answer(200, *known);
  }
  const auto term = ctx_.term;
  DependencyCheck dependencies = co_await check_dependencies(spec, as_leader);
  if (dependencies.outcome == DependencyCheck::Outcome::job_is_there) {
    const Finding known = co_await read_status(id);
    co_return known.known == Known::yes ? answer(200, known.status) : retry_later("the job's state cannot be read now");
  }
  const bool itself = std::ranges::find(spec.dependencies, id) != spec.dependencies.end();
  if (itself || dependencies.outcome == DependencyCheck::Outcome::never_accepted) {
    co_return rt::HttpResponse{422, wire::encode_error("awaits a job that was never accepted"), {}, false};
  }
  if (dependencies.outcome != DependencyCheck::Outcome::known)
    co_return retry_later("the jobs that it awaits cannot be read now");
  // What is done stays done: the rest is what it waits for, whoever leads.
  spec.dependencies = std::move(dependencies.open_dependencies);
  co_return co_await accept(std::move(spec), as_leader && ctx_.leads(term) && ctx_.has_valid_lease());
}

// Without a leader's word: a cancellation takes all with it that need the job, and may not have come so far yet.
rt::Task<bool> UserService::may_call_active(Job job) {
  constexpr int most_reads = 12;
  const ReadResult released = co_await store_.get(wire::tasks_key(job.spec.id, 0), seconds(0.5));
  if (released.outcome != ReadOutcome::absent) co_return released.outcome == ReadOutcome::found;
  std::vector<JobId> left = job.spec.dependencies;
  std::set<JobId> seen;
  for (int reads = 0; !left.empty(); reads += 2) {
    const JobId id = left.back();
    left.pop_back();
    if (!seen.insert(id).second) continue;
    const auto over = ctx_.finished_jobs.find(id);
    if (over && over->phase == JobPhase::done) continue;
    if (over || reads >= most_reads) co_return false;
    const JobRowStore::Read row = co_await job_rows_.read_at(id, true);
    if (row.outcome == ReadOutcome::failed || (row.outcome == ReadOutcome::found && !row.job)) co_return false;
    if (row.outcome == ReadOutcome::found) {
      left.insert(left.end(), row.job->spec.dependencies.begin(), row.job->spec.dependencies.end());
      continue;
    }
    const Finding end = co_await read_final(id);
    if (end.known == Known::unsure || (end.known == Known::yes && end.status.phase != JobPhase::done)) co_return false;
  }
  co_return true;
}

rt::Task<rt::HttpResponse> UserService::accept(JobSpec spec, bool as_leader) {
  const auto term = ctx_.term;
  const JobId id = spec.id;
  if (as_leader) {
    const auto known = ctx_.scheduler->status(id);
    if (known) co_return answer(200, *known);
  }
  Job job;
  job.spec = std::move(spec);
  job.submitted = ctx_.now();
  job.submitted_wall_ms = Context::wall_ms();
  std::string note = as_leader ? "" : ctx_.settings.node;
  const TxnResult r = co_await job_rows_.store_new(job, std::move(note));
  if (r.outcome == TxnOutcome::committed) {
    if (as_leader) leader_service_.adopt_job(term, std::move(job), KeyVersion{r.revision.value()});
    // A leader that lost its office meanwhile has written without an inbox key; its successor
    // may have loaded before: the job would wait for the next load.
    if (as_leader && !ctx_.leads(term)) co_await write_inbox_note(id);
    co_return answer(201, JobStatus{id, JobPhase::pending, 0, 0});
  }
  if (r.outcome == TxnOutcome::refused) co_return retry_later("the state service does not answer");
  // Known already, or the answer was lost: the store tells.
  const Finding known = co_await read_status(id);
  if (known.known != Known::yes) co_return retry_later("not known to be stored");
  // What made it known may have been a leader's own write that came late, which no note goes with.
  if (!ctx_.has_valid_lease() && !is_final(known.status.phase)) notify_leader(id);
  co_return answer(200, known.status);
}

std::optional<UserService::Finding> UserService::from_memory(const JobId& id) const {
  if (const auto over = ctx_.finished_jobs.find(id)) return Finding{Known::yes, *over};
  if (!ctx_.has_valid_lease()) return std::nullopt;
  if (const auto s = ctx_.scheduler->status(id)) return Finding{Known::yes, *s};
  return std::nullopt;
}

// 404 follows only from this: both rows were read and neither is there.
rt::Task<UserService::Finding> UserService::read_status(JobId id) {
  const auto term = ctx_.term;
  const Time began = ctx_.loop.refresh();
  // In this order: a job moves from one of its first keys to the last and never back.
  JobRowStore::Read active = co_await job_rows_.read(id);
  if (active.outcome == ReadOutcome::failed) co_return Finding{};
  // What was read under an earlier leadership, or before the job's end, may be out of date by now.
  if (const auto known = from_memory(id)) co_return *known;
  if (active.outcome == ReadOutcome::found) {
    if (ctx_.term != term || ctx_.loop.refresh() - began > poll_limit) co_return Finding{};
    if (!active.job) co_return Finding{};
    // Written by this leader while it was busy, or by another node: either way it is to run.
    const Job job = *active.job;
    if (ctx_.has_valid_lease()) {
      leader_service_.adopt_job(term, std::move(*active.job), active.version);
      if (const auto known = from_memory(id)) co_return *known;
    }
    if (job.dependent) {
      const bool sure = co_await may_call_active(job);
      if (const auto known = from_memory(id)) co_return *known;
      if (!sure || ctx_.term != term || ctx_.loop.refresh() - began > poll_limit) co_return Finding{};
    }
    co_return Finding{Known::yes, {id, JobPhase::pending, 0, 0}};
  }
  co_return co_await read_final(id);
}

rt::Task<UserService::Finding> UserService::read_final(JobId id) {
  const ReadResult ended = co_await store_.get(wire::final_key(id), seconds(0.7));
  if (ended.outcome == ReadOutcome::failed) co_return Finding{};
  if (ended.outcome == ReadOutcome::absent) co_return Finding{Known::no, {}};
  const auto f = wire::decode_final(id, ended.item.value);
  if (!f) co_return Finding{};
  const JobStatus s{id, f->phase, f->done, 0};
  ctx_.finished_jobs.add(s);
  co_return Finding{Known::yes, s};
}

rt::Task<rt::HttpResponse> UserService::status(std::string id) {
  if (!wire::valid_job_id(id)) co_return no_such_job();
  JobId job{id};
  const auto known = from_memory(job);
  if (known) co_return answer(200, known->status);
  const Finding found = co_await find_status(job);
  if (found.known == Known::no) co_return no_such_job();
  if (found.known == Known::unsure) co_return retry_later("the job's state cannot be read now");
  co_return answer(200, found.status);
}

// ---- polls, answered many at a time ----

rt::Task<UserService::Finding> UserService::find_status(JobId id) {
  // One question a job waits to be asked, however many ask for it. One that was asked already is not shared: its
  // answer may be older than this poll, whose user may have been told of the job's end in between.
  const auto queued = queued_.find(id);
  if (queued == queued_.end() && asked_.size() >= max_asked) co_return Finding{};
  auto query = queued == queued_.end() ? std::make_shared<StatusQuery>(ctx_.loop, id) : queued->second;
  if (queued == queued_.end()) {
    queued_.emplace(id, query);
    asked_.push_back(query);
    wake_.notify();
  }
  const Time until = ctx_.now() + poll_limit;
  while (!query->finding && ctx_.now() < until) co_await query->answered.wait(until);
  // Meanwhile this node may have come to know the job's end: nothing older may be told then.
  if (const auto known = from_memory(id)) co_return *known;
  // Nor what was found before this process stood still: the job may have ended, and its user been told, meanwhile.
  if (ctx_.loop.refresh() > until + seconds(0.2)) co_return Finding{};
  co_return query->finding.value_or(Finding{});
}

void UserService::resolve(StatusQuery& query, Finding finding) {
  if (finding.known == Known::yes) ctx_.finished_jobs.add(finding.status);
  query.finding = std::move(finding);
  query.answered.notify();
}

rt::Task<void> UserService::run_status_queries() {
  for (;;) {
    if (asked_.empty() || batches_ >= max_batches) {
      const Time until = ctx_.now() + seconds(0.5);
      co_await wake_.wait(until);
      continue;
    }
    co_await ctx_.loop.sleep(peers_->leader_unreachable() ? gather_for_store : gather);
    const auto n = std::min(asked_.size(), wire::max_peer_jobs);
    StatusQueries batch{asked_.begin(), asked_.begin() + static_cast<std::ptrdiff_t>(n)};
    asked_.erase(asked_.begin(), asked_.begin() + static_cast<std::ptrdiff_t>(n));
    for (const auto& q : batch) queued_.erase(q->id);
    ++batches_;
    rt::spawn(answer_queries(std::move(batch)));
  }
}

rt::Task<void> UserService::answer_queries(StatusQueries queries) {
  if (!ctx_.has_valid_lease() && ctx_.has_other_leader()) co_await ask_leader_for(queries);
  const std::size_t at_once = std::max<std::size_t>(1, ctx_.limits.txn_ops() * conditions_per_op / keys_per_query - 1);
  for (std::size_t i = 0; i < queries.size(); i += at_once) {
    const auto first = queries.begin() + static_cast<std::ptrdiff_t>(i);
    const auto n = std::min(at_once, queries.size() - i);
    StatusQueries some{first, first + static_cast<std::ptrdiff_t>(n)};
    co_await ask_store_for(std::move(some));
  }
  --batches_;
  wake_.notify();
}

// Leaves the questions that the leader did not answer.
rt::Task<void> UserService::ask_leader_for(StatusQueries& queries) {
  wire::PeerRequest request{wire::PeerVerb::statuses, "", "", {}};
  for (const auto& q : queries) request.jobs.push_back(q->id.value());
  const auto reply = co_await peers_->ask_leader(std::move(request), forward_limit);
  if (!reply || reply->statuses.size() != queries.size()) co_return;
  auto reasons = wire::parse_reasons(reply->body);
  StatusQueries left;
  for (std::size_t i = 0; i < queries.size(); ++i) {
    const auto& s = reply->statuses[i];
    queries[i]->unknown_to_leader = !s.known;
    if (s.known) {
      const JobId& id = queries[i]->id;
      resolve(*queries[i], {Known::yes, {id, static_cast<JobPhase>(s.phase), s.done, s.running, reasons[id]}});
    } else {
      left.push_back(queries[i]);
    }
  }
  queries = std::move(left);
}

std::string UserService::tasks_key_of(const JobId& id) const {
  return ctx_.format_version >= wire::current_format_version ? wire::tasks_key(id, 0) : wire::v1_tasks_key(id, 0);
}

// One transaction that only compares tells which of the jobs are active, placed, or over. One that awaits others is
// found by itself: what it awaits must be looked at too.
rt::Task<void> UserService::ask_store_for(StatusQueries queries) {
  const auto term = ctx_.term;
  std::vector<std::string> keys;
  for (const auto& q : queries) {
    keys.push_back(wire::job_key(q->id));
    keys.push_back(wire::final_key(q->id));
    keys.push_back(tasks_key_of(q->id));
  }
  const auto there = co_await store_.find_existing(std::move(keys), seconds(0.6));
  for (const auto& q : queries) {
    if (q->finding) continue;
    co_await answer_from_store(*q, there, term);
    const bool active = q->finding->known == Known::yes && !is_final(q->finding->status.phase);
    if (active && q->unknown_to_leader) notify_leader(q->id);
  }
}

rt::Task<void> UserService::answer_from_store(StatusQuery& q, const std::optional<std::set<std::string>>& there,
                                              std::uint64_t term) {
  if (const auto known = from_memory(q.id)) {
    resolve(q, *known);
  } else if (!there || ctx_.term != term) {
    resolve(q, {});
  } else if (there->contains(wire::job_key(q.id)) && !ctx_.has_valid_lease()) {
    const bool placed = there->contains(tasks_key_of(q.id));
    resolve(q, {Known::yes, {q.id, placed ? JobPhase::running : JobPhase::pending, 0, 0}});
  } else if (there->contains(wire::final_key(q.id))) {
    Finding found = co_await read_final(q.id);
    resolve(q, std::move(found));
  } else {
    Finding found = co_await read_status(q.id);
    resolve(q, std::move(found));
  }
}

// A job that is in the store and that the leader knows nothing of would wait for the next leader: stored by a write of
// its own that came late, after it had given it up, or just as another took over. A note tells it, now and then.
void UserService::notify_leader(const JobId& id) {
  std::erase_if(notified_at_, [&](const auto& r) { return ctx_.now() - r.second > renotify_after; });
  if (notified_at_.size() >= max_notified || !notified_at_.emplace(id, ctx_.now()).second) return;
  rt::spawn(write_inbox_note(id));
}

rt::Task<void> UserService::write_inbox_note(JobId id) {
  std::vector<wire::StoreOp> then;
  then.push_back({wire::inbox_key(id), wire::encode_note(ctx_.settings.node, false), std::nullopt});
  // Not over one that asks for more.
  std::vector<wire::Condition> when{{wire::inbox_key(id), KeyVersion{0}}};
  co_await store_.txn(std::move(when), std::move(then), seconds(1.5));
}

// ---- cancellations ----

rt::Task<rt::HttpResponse> UserService::cancel_here(JobId id) {
  if (ctx_.scheduler->find_job(id) == nullptr) {
    const Finding known = co_await read_status(id);
    if (known.known == Known::no) co_return no_such_job();
    if (known.known == Known::yes && is_final(known.status.phase)) co_return answer(200, known.status);
  }
  if (!ctx_.has_valid_lease() || !ctx_.scheduler->cancel(id, ctx_.now())) co_return retry_later("no leader");
  ctx_.notify_pending_work();
  ctx_.write_committed.notify();
  const auto stored = co_await leader_service_.wait_final(id, seconds(3));
  if (!stored) co_return retry_later("not stored yet");
  co_return answer(200, *stored);
}

// Where the leader cannot be reached, it is told by way of the store.
rt::Task<rt::HttpResponse> UserService::cancel_by_note(JobId id) {
  const Time until = ctx_.now() + seconds(3);
  const JobRowStore::Read row = co_await job_rows_.read(id);
  Finding known;
  if (row.outcome == ReadOutcome::absent) known = co_await read_final(id);
  if (known.known == Known::no) co_return no_such_job();
  if (known.known == Known::yes) co_return answer(200, known.status);
  if (row.outcome == ReadOutcome::found) {
    std::vector<wire::StoreOp> then;
    then.push_back({wire::inbox_key(id), wire::encode_note(ctx_.settings.node, true), std::nullopt});
    const TxnResult r = co_await store_.txn({}, std::move(then), seconds(1));
    if (r.outcome != TxnOutcome::committed) co_return retry_later("no leader can be reached");
  }
  while (known.known != Known::yes && ctx_.now() < until) {
    co_await ctx_.loop.sleep(seconds(0.4));
    known = co_await read_final(id);
  }
  co_return known.known == Known::yes ? answer(200, known.status) : retry_later("not stored yet");
}

rt::Task<rt::HttpResponse> UserService::cancel(std::string id) {
  if (!wire::valid_job_id(id)) co_return no_such_job();
  JobId job{id};
  if (const auto over = ctx_.finished_jobs.find(job)) co_return answer(200, *over);
  if (ctx_.has_valid_lease()) co_return co_await cancel_here(job);
  if (ctx_.has_other_leader()) {
    rt::HttpResponse r = co_await forward(wire::PeerVerb::cancel, id, "", seconds(2));
    if (r.status == 200 || r.status == 404) co_return r;
  }
  co_return co_await cancel_by_note(job);
}

// ---- asked by other nodes ----

rt::Task<wire::PeerReply> UserService::on_peer_request(wire::PeerRequest request) {
  if (request.verb == wire::PeerVerb::ping) {
    const bool leads = ctx_.leadership.state() != LeaderState::follower;
    wire::PeerReply reply{ctx_.reaches_store() ? 200 : 503, std::string{wire::forwards_heartbeats}, {}};
    if (leads) reply.body = wire::accepts_heartbeats;
    co_return reply;
  }
  if (!ctx_.has_valid_lease()) co_return wire::PeerReply{421, "{}", {}};
  if (request.verb == wire::PeerVerb::statuses) {
    wire::PeerReply reply{200, "", {}};
    std::map<JobId, std::string> reasons;
    for (const auto& id : request.jobs) {
      const auto known = from_memory(JobId{id});
      const auto s = known ? known->status : JobStatus{};
      if (!s.pending_reason.empty()) reasons.emplace(id, s.pending_reason);
      reply.statuses.push_back({known.has_value(), static_cast<std::uint8_t>(s.phase), s.done, s.running});
    }
    reply.body = wire::encode_reasons(reasons);
    co_return reply;
  }
  if (!wire::valid_job_id(request.job)) co_return wire::PeerReply{404, "{}", {}};
  rt::HttpResponse r;
  JobId id{request.job};
  if (request.verb == wire::PeerVerb::cancel) {
    r = co_await cancel_here(id);
  } else {
    auto parsed = wire::parse_job(request.body);
    auto* spec = std::get_if<JobSpec>(&parsed);
    if (spec == nullptr) co_return wire::PeerReply{400, "{}", {}};
    JobSpec wanted = std::move(*spec);
    const bool dependent = !wanted.dependencies.empty();
    if (dependent && ctx_.format_version < wire::current_format_version) co_return wire::PeerReply{503, "{}", {}};
    if (dependent) {
      r = co_await accept_dependent(std::move(wanted), true);
    } else {
      r = co_await accept(std::move(wanted), true);
    }
  }
  co_return wire::PeerReply{r.status, r.body, {}};
}

}  // namespace martenwall::service
