#include "service/status_query_service.hpp"

#include <algorithm>

#include "service/user_responses.hpp"
#include "wire/user_codec.hpp"

namespace martenwall::service {

using Source = metrics::LookupSource;

namespace {
constexpr Duration batching_delay = seconds(0.015);      // how long polls wait for others to share their batch
constexpr Duration store_batching_delay = seconds(0.2);  // without a leader: the store's request rate is scarce
constexpr Duration leader_timeout = seconds(0.6);        // leaves part of the lookup's 1.5 s for the store
constexpr Duration compare_timeout = seconds(0.6);       // for the transaction that compares the keys of many jobs
constexpr Duration stall_tolerance = seconds(0.2);       // a wait that ends later than this indicates a process stall
constexpr Duration idle_check_interval = seconds(0.5);   // `run` checks the queue at least this often
constexpr std::size_t max_batches_in_flight = 4;
constexpr std::size_t max_queued_queries = 2000;  // more could not be answered within a user's timeout
constexpr std::size_t keys_per_query = 3;         // active, placed, final
}  // namespace

StatusQueryService::StatusQueryService(Context& ctx, StoreClient& store, PeerService& peers, JobReader& reader,
                                       InboxWriter& inbox)
    : ctx_(ctx), store_(store), peers_(peers), reader_(reader), inbox_(inbox), queue_changed_(ctx.loop) {}

rt::Task<rt::HttpResponse> StatusQueryService::status(std::string id) {
  if (!wire::valid_job_id(id)) co_return no_such_job();
  const JobId job{std::move(id)};
  if (const auto known = reader_.from_memory(job)) {
    count(Source::memory);
    co_return status_response(200, known->status);
  }
  const JobLookup lookup = co_await query(job);
  if (lookup.existence == Existence::absent) co_return no_such_job();
  if (lookup.existence == Existence::unknown) co_return retry_later("the job's state cannot be read now");
  co_return status_response(200, lookup.status);
}

rt::Task<JobLookup> StatusQueryService::query(JobId id) {
  const auto pending_query = enqueue(id);
  if (pending_query == nullptr) {
    count(Source::unanswered);
    co_return JobLookup{};
  }
  const Time deadline = ctx_.now() + lookup_timeout;
  while (!pending_query->lookup && ctx_.now() < deadline) co_await pending_query->answered.wait(deadline);
  // This node may have learned of the job's end during the wait: an older state must not be reported then.
  if (const auto known = reader_.from_memory(id)) co_return *known;
  // A result from before a process stall must not be reported either: the job may have ended meanwhile, and its user
  // may have been notified.
  if (ctx_.loop.update_time() > deadline + stall_tolerance) co_return JobLookup{};
  co_return pending_query->lookup.value_or(JobLookup{});
}

// Adds the job's query to the queue. All polls of one job share the query that is waiting to be sent. A query that was
// already sent is not shared: its answer may be older than this poll, whose user may have been notified of the job's
// end in the meantime. Returns null if the queue is full.
std::shared_ptr<StatusQueryService::StatusQuery> StatusQueryService::enqueue(const JobId& id) {
  if (const auto queued = queued_by_job_.find(id); queued != queued_by_job_.end()) return queued->second;
  if (queue_.size() >= max_queued_queries) return nullptr;
  auto pending_query = std::make_shared<StatusQuery>(ctx_.loop, id);
  queued_by_job_.emplace(id, pending_query);
  queue_.push_back(pending_query);
  queue_changed_.notify();
  return pending_query;
}

void StatusQueryService::resolve(StatusQuery& query, JobLookup lookup, Source source) {
  if (lookup.existence == Existence::unknown) source = Source::unanswered;
  count(source);
  ctx_.log->debug("status query answered job={} source={}", query.id.value(), name_of(source));
  if (lookup.exists()) ctx_.finished_jobs.add(lookup.status);
  query.lookup = std::move(lookup);
  query.answered.notify();
}

rt::Task<void> StatusQueryService::run() {
  for (;;) {
    if (queue_.empty() || batches_in_flight_ >= max_batches_in_flight) {
      const Time deadline = ctx_.now() + idle_check_interval;
      co_await queue_changed_.wait(deadline);
      continue;
    }
    co_await ctx_.loop.sleep(peers_.leader_unreachable() ? store_batching_delay : batching_delay);
    ++batches_in_flight_;
    rt::spawn(answer_batch(dequeue_batch()));  // detached: owns its queries and ends once its reads time out
  }
}

StatusQueryService::StatusQueries StatusQueryService::dequeue_batch() {
  const auto size = std::min(queue_.size(), wire::max_peer_jobs);
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(size);
  StatusQueries batch{queue_.begin(), end};
  queue_.erase(queue_.begin(), end);
  for (const auto& query : batch) queued_by_job_.erase(query->id);
  return batch;
}

rt::Task<void> StatusQueryService::answer_batch(StatusQueries batch) {
  if (!ctx_.has_valid_lease() && ctx_.has_other_leader()) batch = co_await answer_from_leader(std::move(batch));
  co_await answer_from_store(std::move(batch));
  --batches_in_flight_;
  queue_changed_.notify();
}

// Returns the queries that the leader did not answer.
rt::Task<StatusQueryService::StatusQueries> StatusQueryService::answer_from_leader(StatusQueries batch) {
  wire::PeerRequest request{wire::PeerVerb::statuses, "", "", {}};
  for (const auto& query : batch) request.jobs.push_back(query->id.value());
  const auto reply = co_await peers_.call_leader(std::move(request), leader_timeout);
  if (!reply || reply->statuses.size() != batch.size()) co_return batch;
  auto reasons = wire::parse_reasons(reply->body);
  StatusQueries unanswered;
  for (std::size_t i = 0; i < batch.size(); ++i) {
    const auto& status = reply->statuses[i];
    StatusQuery& query = *batch[i];
    query.unknown_to_leader = !status.known;
    if (status.known) {
      const auto phase = static_cast<JobPhase>(status.phase);
      resolve(query, {Existence::exists, {query.id, phase, status.done, status.running, reasons[query.id]}},
              Source::leader);
    } else {
      unanswered.push_back(batch[i]);
    }
  }
  co_return unanswered;
}

// Returns the key that exists once a task of the job has been placed.
std::string StatusQueryService::placement_key(const JobId& id) const {
  return ctx_.format_version >= wire::current_format_version ? wire::tasks_key(id, 0) : wire::v1_tasks_key(id, 0);
}

std::size_t StatusQueryService::jobs_per_comparison() const {
  return std::max<std::size_t>(1, max_compared_keys(ctx_.limits) / keys_per_query - 1);
}

// Resolves the queries in chunks of as many jobs as one comparison may name. That limit may shrink between chunks.
rt::Task<void> StatusQueryService::answer_from_store(StatusQueries batch) {
  auto next = batch.cbegin();
  while (next != batch.cend()) {
    const auto remaining = static_cast<std::size_t>(batch.cend() - next);
    const auto end = next + static_cast<std::ptrdiff_t>(std::min(jobs_per_comparison(), remaining));
    const auto term = ctx_.term;
    StatusQueries chunk{next, end};
    KeyComparison compared = co_await compare(chunk);
    if (compared.outcome == KeyComparison::Outcome::too_many_keys) continue;
    // A comparison made under an earlier leadership is not valid in a later one.
    if (ctx_.term != term) compared = KeyComparison{};
    co_await answer_from_comparison(std::move(chunk), std::move(compared));
    next = end;
  }
}

// Finds out with one compare-only transaction which jobs are active, placed, or finished. A dependent job is looked up
// separately, because its dependencies must be checked too.
rt::Task<KeyComparison> StatusQueryService::compare(StatusQueries batch) {
  std::vector<std::string> keys;
  for (const auto& query : batch) {
    keys.push_back(wire::job_key(query->id));
    keys.push_back(wire::final_key(query->id));
    keys.push_back(placement_key(query->id));
  }
  co_return co_await store_.find_existing(std::move(keys), compare_timeout);
}

// Jobs that the comparison shows to be active are answered first, before any further wait, so that only this node's
// memory is read after the comparison. The remaining jobs are read row by row, which takes time.
rt::Task<void> StatusQueryService::answer_from_comparison(StatusQueries batch, KeyComparison compared) {
  StatusQueries remaining;
  for (const auto& query : batch) {
    if (query->lookup || resolve_from_memory(*query) || resolve_active(*query, compared)) continue;
    remaining.push_back(query);
  }
  for (const auto& query : remaining) {
    if (compared.outcome == KeyComparison::Outcome::unanswered) {
      resolve(*query, {}, Source::unanswered);
    } else {
      const bool ended = compared.contains(wire::final_key(query->id));
      co_await answer_from_rows(*query, ended);
    }
  }
  for (const auto& query : batch) announce_if_unknown_to_leader(*query);
}

bool StatusQueryService::resolve_from_memory(StatusQuery& query) {
  const auto known = reader_.from_memory(query.id);
  if (known) resolve(query, *known, Source::memory);
  return known.has_value();
}

// Resolves the query if the comparison shows an active job. The key of an unfinished job without dependencies exists
// from its acceptance until the transaction that stores its end, so the job was active at the moment of the comparison
// (docs/safety.md, "Status by compared keys"). A leader does not use this result: it must know such a job, and reads
// its row to adopt it.
bool StatusQueryService::resolve_active(StatusQuery& query, const KeyComparison& compared) {
  const bool active = compared.contains(wire::job_key(query.id)) && !compared.contains(wire::final_key(query.id));
  if (!active || ctx_.has_valid_lease()) return false;
  const bool placed = compared.contains(placement_key(query.id));
  const JobPhase phase = placed ? JobPhase::running : JobPhase::pending;
  resolve(query, {Existence::exists, {query.id, phase, 0, 0}}, Source::compared_active);
  return true;
}

rt::Task<void> StatusQueryService::answer_from_rows(StatusQuery& query, bool ended) {
  if (resolve_from_memory(query)) co_return;
  if (!ended) {
    JobLookup lookup = co_await reader_.read_status(query.id);
    resolve(query, std::move(lookup), Source::single_reads);
    co_return;
  }
  JobLookup lookup = co_await reader_.read_final(query.id);
  // A final state is never removed. Its absence contradicts the comparison and proves nothing.
  if (lookup.existence == Existence::absent) lookup = JobLookup{};
  resolve(query, std::move(lookup), Source::compared_final);
}

// Announces a job that is in the store and not finished, but that the leader did not know. This node may be unable to
// report the job's state, for example because a dependency was cancelled: the leader must know the job all the same.
void StatusQueryService::announce_if_unknown_to_leader(const StatusQuery& query) {
  if (!query.unknown_to_leader) return;
  const bool unfinished = query.lookup->is_unfinished();
  ctx_.log->debug("job unknown to the leader job={} existence={} announced={}", query.id.value(),
                  name_of(query.lookup->existence), unfinished);
  if (unfinished) inbox_.announce_job(query.id);
}

}  // namespace martenwall::service
