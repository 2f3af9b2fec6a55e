#include "service/cancellation_service.hpp"

#include "service/user_responses.hpp"
#include "wire/user_codec.hpp"

namespace martenwall::service {

namespace {
constexpr Duration forward_timeout = seconds(2);  // a user waits 5 s; after the timeout an inbox entry is written
constexpr Duration result_timeout = seconds(3);   // maximum wait for the final state to be stored
constexpr Duration result_poll_interval = seconds(0.4);  // each poll is a request to the store
}  // namespace

CancellationService::CancellationService(Context& ctx, PeerService& peers, LeaderService& leader_service,
                                         JobRowStore& job_rows, JobReader& reader, InboxWriter& inbox)
    : ctx_(ctx), peers_(peers), leader_service_(leader_service), job_rows_(job_rows), reader_(reader), inbox_(inbox) {}

rt::Task<rt::HttpResponse> CancellationService::cancel(std::string id) {
  if (!wire::valid_job_id(id)) co_return no_such_job();
  const JobId job{id};
  if (const auto finished = ctx_.finished_jobs.find(job)) co_return status_response(200, *finished);
  if (ctx_.has_valid_lease()) co_return co_await cancel_as_leader(job);
  if (ctx_.has_other_leader()) {
    wire::PeerRequest request{wire::PeerVerb::cancel, std::move(id), "", {}};
    const auto reply = co_await peers_.call_leader(std::move(request), forward_timeout);
    if (reply && (reply->status == 200 || reply->status == 404)) co_return response_from(*reply);
  }
  co_return co_await cancel_by_inbox_entry(job);
}

rt::Task<rt::HttpResponse> CancellationService::cancel_as_leader(JobId id) {
  if (ctx_.scheduler->find_job(id) == nullptr) {
    const JobLookup lookup = co_await reader_.read_status(id);
    if (lookup.existence == Existence::absent) co_return no_such_job();
    if (lookup.exists() && is_final(lookup.status.phase)) co_return status_response(200, lookup.status);
  }
  // Checked after the suspension: this node may have lost the leadership.
  if (!ctx_.has_valid_lease() || !ctx_.scheduler->cancel(id, ctx_.now())) co_return retry_later("no leader");
  ctx_.notify_pending_work();
  ctx_.write_committed.notify();  // stop commands need no commit
  const auto stored = co_await leader_service_.wait_for_final_state(id, result_timeout);
  if (!stored) co_return retry_later("not stored yet");
  co_return status_response(200, *stored);
}

// Requests the cancellation by an entry in the leader's inbox in the store, if the leader cannot be reached.
rt::Task<rt::HttpResponse> CancellationService::cancel_by_inbox_entry(JobId id) {
  const Time deadline = ctx_.now() + result_timeout;
  const JobRowStore::Read row = co_await job_rows_.read(id);
  JobLookup final_state;
  if (row.outcome == JobRowOutcome::absent) final_state = co_await reader_.read_final(id);
  if (final_state.existence == Existence::absent) co_return no_such_job();
  if (final_state.exists()) co_return status_response(200, final_state.status);
  if (row.row_exists()) {
    const bool requested = co_await inbox_.request_cancellation(id);
    if (!requested) co_return retry_later("no leader can be reached");
  }
  while (!final_state.exists() && ctx_.now() < deadline) {
    co_await ctx_.loop.sleep(result_poll_interval);
    final_state = co_await reader_.read_final(id);
  }
  if (!final_state.exists()) co_return retry_later("not stored yet");
  co_return status_response(200, final_state.status);
}

}  // namespace martenwall::service
