#include "service/submission_service.hpp"

#include <algorithm>

#include "service/job_validation.hpp"
#include "service/user_responses.hpp"
#include "wire/user_codec.hpp"

namespace martenwall::service {

namespace {
constexpr Duration forward_timeout = seconds(0.6);  // then the job is written to the store directly

// Returns whether the leader decided: accepted, already known, or rejected permanently.
bool is_decision(const wire::PeerReply& reply) {
  return reply.status == 200 || reply.status == 201 || reply.status == 422;
}

wire::PeerRequest forwarded(const JobSpec& spec, std::string body) {
  const auto verb = spec.dependencies.empty() ? wire::PeerVerb::submit : wire::PeerVerb::submit_dependent;
  return {verb, spec.id.value(), std::move(body), {}};
}
}  // namespace

SubmissionService::SubmissionService(Context& ctx, const Collaborators& collaborators)
    : ctx_(ctx),
      peers_(collaborators.peers),
      leader_service_(collaborators.leader_service),
      job_rows_(collaborators.job_rows),
      reader_(collaborators.reader),
      dependencies_(collaborators.dependencies),
      inbox_(collaborators.inbox) {}

rt::Task<rt::HttpResponse> SubmissionService::submit(std::string body) {
  auto parsed = wire::parse_job(body);
  if (!parsed) co_return rejection(400, parsed.error().message);
  JobSpec spec = std::move(parsed).value();
  if (const auto finished = ctx_.finished_jobs.find(spec.id)) co_return status_response(200, *finished);
  if (!ctx_.may_decide()) co_return co_await submit_without_configuration(std::move(spec), std::move(body));
  if (auto error = find_rejection(spec, ctx_.configuration.teams, ctx_.types)) {
    co_return co_await reject(spec.id, std::move(*error));
  }
  if (!format_version_allows(spec)) co_return retry_later("not all nodes take jobs that await others yet");
  if (!ctx_.has_valid_lease() && ctx_.has_other_leader()) {
    wire::PeerRequest request = forwarded(spec, std::move(body));
    const auto reply = co_await peers_.call_leader(std::move(request), forward_timeout);
    if (reply && is_decision(*reply)) co_return response_from(*reply);
  }
  // Checked again: this node may have become the leader during the wait.
  co_return co_await accept(std::move(spec), ctx_.has_valid_lease());
}

// A node of the earlier format version would start a dependent job before its dependencies are done.
bool SubmissionService::format_version_allows(const JobSpec& spec) const {
  return spec.dependencies.empty() || ctx_.format_version >= wire::current_format_version;
}

// Handles a submission while this node cannot tell which configuration is in force. The leader knows it and validates
// the job against it. The leader need not be known here: the other nodes refuse the request. A job that fails
// validation by the configuration that this node knows is not forwarded, since a leader of an earlier version does not
// validate it again.
rt::Task<rt::HttpResponse> SubmissionService::submit_without_configuration(JobSpec spec, std::string body) {
  const bool may_fit = !find_rejection(spec, ctx_.configuration.teams, ctx_.types);
  if (may_fit && format_version_allows(spec) && ctx_.scheduler == nullptr) {
    wire::PeerRequest request = forwarded(spec, std::move(body));
    const auto reply = co_await peers_.call_any_other(std::move(request), forward_timeout);
    if (reply && is_decision(*reply)) co_return response_from(*reply);
  }
  // An accepted job stays accepted.
  co_return co_await answer_if_stored(spec.id, "the configuration in force is not known now");
}

rt::Task<rt::HttpResponse> SubmissionService::accept_as_leader(JobSpec spec) {
  if (!ctx_.may_decide()) co_return co_await answer_if_stored(spec.id, "the configuration in force is not known now");
  if (auto error = find_rejection(spec, ctx_.configuration.teams, ctx_.types)) {
    co_return co_await reject(spec.id, std::move(*error));
  }
  co_return co_await accept(std::move(spec), true);
}

// Returns the job's state if the store has the job; otherwise 503 with the given reason.
rt::Task<rt::HttpResponse> SubmissionService::answer_if_stored(JobId id, std::string retry_reason) {
  const JobLookup lookup = co_await reader_.read_status(id);
  announce_if_unfinished(id, lookup);
  if (lookup.exists()) co_return status_response(200, lookup.status);
  co_return retry_later(retry_reason);
}

// Rejects the job permanently only if the store has no such job: a job that was accepted under other settings stays
// accepted.
rt::Task<rt::HttpResponse> SubmissionService::reject(JobId id, Error error) {
  if (error.code == ErrorCode::unavailable) co_return retry_later(error.message);
  const JobLookup lookup = co_await reader_.read_status(id);
  if (lookup.exists()) co_return status_response(200, lookup.status);
  if (lookup.existence == Existence::unknown) co_return retry_later("the state service does not answer");
  co_return rejection(422, error.message);
}

rt::Task<rt::HttpResponse> SubmissionService::accept(JobSpec spec, bool as_leader) {
  if (!spec.dependencies.empty()) co_return co_await accept_dependent(std::move(spec), as_leader);
  co_return co_await store_job(std::move(spec), as_leader);
}

rt::Task<rt::HttpResponse> SubmissionService::accept_dependent(JobSpec spec, bool as_leader) {
  using Outcome = DependencyCheck::Outcome;
  const JobId id = spec.id;
  if (as_leader) {
    if (const auto status = ctx_.scheduler->status(id)) co_return status_response(200, *status);
  }
  const auto term = ctx_.term;
  DependencyCheck check = co_await dependencies_.check(spec, as_leader);
  if (check.outcome == Outcome::already_stored) {
    co_return co_await answer_if_stored(id, "the job's state cannot be read now");
  }
  const bool depends_on_itself = std::ranges::find(spec.dependencies, id) != spec.dependencies.end();
  if (depends_on_itself || check.outcome == Outcome::never_accepted) {
    co_return rejection(422, "awaits a job that was never accepted");
  }
  if (check.outcome != Outcome::known) co_return retry_later("the jobs that it awaits cannot be read now");
  // A dependency that is done stays done, so the job waits for the remaining ones only, under any leader.
  spec.dependencies = std::move(check.open_dependencies);
  const bool still_leads = as_leader && ctx_.leads(term) && ctx_.has_valid_lease();
  co_return co_await store_job(std::move(spec), still_leads);
}

// Stores the job. Its dependencies, if any, are known to be accepted. If `as_leader` is set, the caller has not
// suspended since it checked that this node leads.
rt::Task<rt::HttpResponse> SubmissionService::store_job(JobSpec spec, bool as_leader) {
  const auto term = ctx_.term;
  const JobId id = spec.id;
  if (as_leader) {
    if (const auto status = ctx_.scheduler->status(id)) co_return status_response(200, *status);
  }
  Job job;
  job.spec = std::move(spec);
  job.submitted = ctx_.now();
  job.submitted_wall_ms = Context::wall_ms();
  JobRowStore::Writer writer;
  if (as_leader) writer.leader_token = ctx_.leadership.token();
  if (!as_leader) writer.announcing_node = ctx_.settings.node;
  const TxnResult stored = co_await job_rows_.store_new_job(job, std::move(writer));
  if (stored.outcome == TxnOutcome::refused) co_return retry_later("the state service does not answer");
  // The job is already known, or its write got no answer: a read of the store decides.
  if (stored.outcome != TxnOutcome::committed) co_return co_await answer_if_stored(id, "not known to be stored");
  if (as_leader) leader_service_.adopt_job(term, job, KeyVersion{stored.revision.value()});
  co_return co_await answer_accepted(std::move(job));
}

// Answers 201 with the state of a job that this node has just stored. A job before it may have been cancelled long ago,
// so that its state is read as for a poll. If it cannot be told now, the user repeats the submission.
rt::Task<rt::HttpResponse> SubmissionService::answer_accepted(Job job) {
  const JobId id = job.spec.id;
  const auto dependencies = job.spec.dependencies.size();
  const JobLookup lookup = co_await reader_.read_accepted(std::move(job));
  if (dependencies > 0) log_dependent_accepted(id, dependencies, lookup);
  if (!lookup.exists()) co_return retry_later("the job is accepted, its state cannot be told now");
  co_return status_response(201, lookup.status);
}

void SubmissionService::log_dependent_accepted(const JobId& id, std::size_t dependencies,
                                               const JobLookup& lookup) const {
  const auto phase = lookup.exists() ? name_of(lookup.status.phase) : name_of(lookup.existence);
  ctx_.log->info("dependent accepted job={} open_dependencies={} answered={} token={}", id.value(), dependencies, phase,
                 ctx_.has_valid_lease() ? ctx_.leadership.token().value() : 0);
}

// Announces a stored job, unless this node leads. The row may stem from a leader's write that was applied late: it has
// no inbox entry then, and no leader may know it.
void SubmissionService::announce_if_unfinished(const JobId& id, const JobLookup& lookup) {
  if (!ctx_.has_valid_lease() && lookup.is_unfinished()) inbox_.announce_job(id);
}

}  // namespace martenwall::service
