#include "service/peer_request_handler.hpp"

#include <map>

#include "wire/user_codec.hpp"

namespace martenwall::service {

namespace {
// Returns a reply that consists of its status only.
wire::PeerReply empty_reply(int status) { return {status, "{}", {}}; }
}  // namespace

PeerRequestHandler::PeerRequestHandler(Context& ctx, JobReader& reader, SubmissionService& submissions,
                                       CancellationService& cancellations)
    : ctx_(ctx), reader_(reader), submissions_(submissions), cancellations_(cancellations) {}

rt::Task<wire::PeerReply> PeerRequestHandler::handle(wire::PeerRequest request) {
  if (request.verb == wire::PeerVerb::ping) co_return answer_ping();
  if (!ctx_.has_valid_lease()) co_return empty_reply(421);
  if (request.verb == wire::PeerVerb::statuses) co_return answer_statuses(request);
  if (!wire::valid_job_id(request.job)) co_return empty_reply(404);
  if (request.verb != wire::PeerVerb::cancel) co_return co_await submit(std::move(request));
  JobId id{request.job};
  const rt::HttpResponse response = co_await cancellations_.cancel_as_leader(std::move(id));
  co_return wire::PeerReply{response.status, response.body, {}};
}

// Reports whether this node reaches the store, and how it treats forwarded heartbeats.
wire::PeerReply PeerRequestHandler::answer_ping() const {
  const bool leads = ctx_.leadership.state() != LeaderState::follower;
  const auto role = leads ? wire::accepts_heartbeats : wire::forwards_heartbeats;
  return {ctx_.reaches_store() ? 200 : 503, std::string{role}, {}};
}

wire::PeerReply PeerRequestHandler::answer_statuses(const wire::PeerRequest& request) const {
  wire::PeerReply reply{200, "", {}};
  std::map<JobId, std::string> reasons;
  for (const auto& id : request.jobs) {
    const auto known = reader_.from_memory(JobId{id});
    const JobStatus status = known ? known->status : JobStatus{};
    if (!status.pending_reason.empty()) reasons.emplace(id, status.pending_reason);
    reply.statuses.push_back({known.has_value(), static_cast<std::uint8_t>(status.phase), status.done, status.running});
  }
  reply.body = wire::encode_reasons(reasons);
  return reply;
}

rt::Task<wire::PeerReply> PeerRequestHandler::submit(wire::PeerRequest request) {
  auto parsed = wire::parse_job(request.body);
  if (!parsed) co_return empty_reply(400);
  JobSpec spec = std::move(parsed).value();
  if (!spec.dependencies.empty() && ctx_.format_version < wire::current_format_version) co_return empty_reply(503);
  const rt::HttpResponse response = co_await submissions_.accept_as_leader(std::move(spec));
  co_return wire::PeerReply{response.status, response.body, {}};
}

}  // namespace martenwall::service
