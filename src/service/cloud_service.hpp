// The cloud API: machine types, scaling out and in, and the machine list, which may be out of date.
#pragma once
#include <string>
#include <vector>

#include "service/context.hpp"
#include "service/peer_service.hpp"
#include "service/store_client.hpp"
#include "service/token_bucket.hpp"

namespace martenwall::service {

// Sends all requests to the cloud. Any node may read; only the leader scales out and in. If the cloud does not answer
// this node, requests go through another node that reaches it: all of them can be repeated.
class CloudService {
 public:
  // All references belong to the node and outlive this service.
  CloudService(Context& ctx, StoreClient& store, PeerService& peers);

  // Keeps the machine types up to date, also in the store; runs as long as the node.
  rt::Task<void> run_types();

  // Passes the machine list to the leader's scheduler; runs as long as the node.
  rt::Task<void> run_list();

  // Executes the scaling requests of the leader's scheduler; runs as long as the node.
  rt::Task<void> run_scaling();

  // Forwards a request to the cloud for another node that does not reach it. Returns `status_no_response` if the cloud
  // does not answer this node either.
  rt::Task<wire::PeerReply> on_peer_request(wire::PeerRequest request);

 private:
  // Sends the request directly or through another node. A request that changes the fleet is sent only while this node
  // leads in `term`; any other request passes `any_term`. Returns `not_sent` if the leadership ended before sending.
  rt::Task<rt::HttpResult> request(std::string method, std::string target, std::string body, Duration timeout,
                                   std::uint64_t term);
  rt::Task<rt::HttpResult> request_through_peer(const std::string& method, std::string target, std::string body);
  rt::Task<void> wait_for_rate();
  rt::Task<bool> fetch_types();
  rt::Task<void> store_types();
  rt::Task<void> fetch_list(std::uint64_t term);
  rt::Task<void> scale_out(std::uint64_t term, ScaleOutRequest scale_request);
  rt::Task<void> scale_in(std::uint64_t term, std::vector<MachineId> machines);

  Context& ctx_;
  StoreClient& store_;
  PeerService& peers_;
  rt::HttpClient http_;
  TokenBucket rate_;
  Time direct_retry_at_{};          // the cloud did not answer this node: other nodes are tried first until then
  Time forwarded_for_leader_at_{};  // last request forwarded for a leader that does not reach the cloud
  bool types_stored_ = false;
  bool scale_in_in_flight_ = false;
};

}  // namespace martenwall::service
