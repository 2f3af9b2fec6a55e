// Responses to users with the statuses and bodies that the protocol gives them.
#pragma once
#include <string>

#include "core/messages.hpp"
#include "runtime/http_server.hpp"
#include "wire/peer_codec.hpp"

namespace martenwall::service {

// The job's state. `http_status` is 201 for a submission that this request stored, 200 otherwise.
rt::HttpResponse status_response(int http_status, const JobStatus& status);

// 503 with `Retry-After`: the same request may succeed later. Node::route replaces the pause by a paced one.
rt::HttpResponse retry_later(const std::string& reason);

// A final refusal (400 or 422), which the user does not retry.
rt::HttpResponse rejection(int http_status, const std::string& reason);

// 404. Only for ids that cannot be a job's, and for jobs that the store was read for and does not have.
rt::HttpResponse no_such_job();

// A final answer of the leader to a forwarded request, as this node's own response.
rt::HttpResponse response_from(const wire::PeerReply& reply);

}  // namespace martenwall::service
