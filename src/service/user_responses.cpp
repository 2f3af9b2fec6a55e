#include "service/user_responses.hpp"

#include "wire/user_codec.hpp"

namespace martenwall::service {

rt::HttpResponse status_response(int http_status, const JobStatus& status) {
  return {http_status, wire::encode_status(status), {}, false};
}

rt::HttpResponse retry_later(const std::string& reason) { return {503, wire::encode_error(reason), 1, false}; }

rt::HttpResponse rejection(int http_status, const std::string& reason) {
  return {http_status, wire::encode_error(reason), {}, false};
}

rt::HttpResponse no_such_job() { return rejection(404, "no such job"); }

rt::HttpResponse response_from(const wire::PeerReply& reply) { return {reply.status, reply.body, {}, false}; }

}  // namespace martenwall::service
