// Responses to users, with the statuses and bodies that the protocol defines.
#pragma once
#include <string>

#include "core/messages.hpp"
#include "runtime/http_server.hpp"
#include "wire/peer_codec.hpp"

namespace martenwall::service {

// Returns the job's state. `http_status` is 201 for a submission that this request stored, 200 otherwise.
rt::HttpResponse status_response(int http_status, const JobStatus& status);

// Returns 503 with `Retry-After`: the same request may succeed later. Node::route replaces the delay by a paced one.
rt::HttpResponse retry_later(const std::string& reason);

// Returns a permanent rejection (400 or 422), which the user does not retry.
rt::HttpResponse rejection(int http_status, const std::string& reason);

// Returns 404. Only for ids that cannot belong to a job, and for jobs that a read of the store did not find.
rt::HttpResponse no_such_job();

// Returns the leader's decision on a forwarded request as this node's response.
rt::HttpResponse response_from(const wire::PeerReply& reply);

}  // namespace martenwall::service
