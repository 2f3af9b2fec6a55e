#include "service/leader_service.hpp"

#include <utility>

namespace martenwall::service {

namespace {
constexpr Duration lost_campaign_pause = seconds(0.1);
constexpr Duration failed_recovery_pause = seconds(0.2);
constexpr Duration term_check_interval = seconds(1);
}  // namespace

LeaderService::LeaderService(Context& ctx, StoreClient& store, JobRowStore& job_rows,
                             FormatVersionService& format_versions, ConfigurationService& configuration)
    : ctx_(ctx),
      adopter_(ctx, versions_),
      election_(ctx, store),
      recovery_(ctx, store, format_versions, configuration, versions_, cleanup_),
      inbox_(ctx, store, job_rows, adopter_, versions_, cleanup_),
      lookups_(ctx, store, job_rows, adopter_),
      writer_(ctx, store, versions_, cleanup_, election_) {}

rt::Task<void> LeaderService::run() {
  for (;;) {
    co_await election_.follow_leader();
    // Delays the campaign of a node that workers do not reach, so that nodes that they reach campaign first.
    const Duration delay = ctx_.reachability.campaign_delay(ctx_.now());
    if (delay > Duration{0}) co_await ctx_.loop.sleep(delay);
    const auto previous_grace = co_await election_.campaign();
    if (previous_grace) {
      co_await serve_term(ctx_.term, *previous_grace);
    } else {
      co_await ctx_.loop.sleep(lost_campaign_pause);
    }
  }
}

// The coroutines spawned here return when the term ends.
rt::Task<void> LeaderService::serve_term(std::uint64_t term, Duration previous_grace) {
  reset_term_state();
  rt::spawn(election_.renew_lease(term));
  const auto inbox_revision = co_await recovery_.run(term, previous_grace);
  if (!inbox_revision) {
    const Error& error = inbox_revision.error();
    // An unreadable row needs an operator; an outage or a change of leader is temporary.
    if (error.code == ErrorCode::unreadable) ctx_.log->error("recovery failed: {}", error.message);
    if (ctx_.term == term) step_down(StepDownReason::recovery_failed);
    co_await ctx_.loop.sleep(failed_recovery_pause);
    co_return;
  }
  rt::spawn(inbox_.run(term, *inbox_revision));
  rt::spawn(writer_.run(term));
  rt::spawn(lookups_.run(term));
  ctx_.leader_changed.notify();
  ctx_.notify_pending_work();
  while (ctx_.term == term) {
    const Time until = ctx_.now() + term_check_interval;
    co_await ctx_.leader_changed.wait(until);
  }
}

void LeaderService::reset_term_state() {
  versions_.clear();
  cleanup_.clear();
  writer_.begin_term();
}

void LeaderService::adopt_job(std::uint64_t term, Job job, KeyVersion version) {
  adopter_.adopt(term, std::move(job), version);
}

rt::Task<std::optional<JobStatus>> LeaderService::wait_for_final_state(JobId id, Duration timeout) {
  const auto term = ctx_.term;
  const Time until = ctx_.now() + timeout;
  while (ctx_.leads(term)) {
    auto known = ctx_.finished_jobs.find(id);
    const bool complete = known && ctx_.scheduler->is_cascade_stored(id);
    if (complete || ctx_.now() >= until) co_return known;
    co_await ctx_.write_committed.wait(until);
  }
  co_return std::nullopt;
}

}  // namespace martenwall::service
