// The cloud: machine types, scaling out and in, and the lagging list of machines.
#pragma once
#include <string>
#include <vector>

#include "service/context.hpp"
#include "service/peer_service.hpp"
#include "service/store_client.hpp"
#include "service/token_bucket.hpp"

namespace martenwall::service {

// All requests to the cloud. Any node may read; only the leader scales out and in. Where the cloud does not answer this
// node, requests go through another node that reaches it: all of them can be repeated.
class CloudService {
 public:
  // What it is given belongs to the node and outlives it.
  CloudService(Context& ctx, StoreClient& store, PeerService& peers);

  // Keeps the machine types up to date, in the store too; runs as long as the node.
  rt::Task<void> run_types();

  // Gives the leader's scheduler the list of machines; runs as long as the node.
  rt::Task<void> run_list();

  // Carries out what the leader's scheduler wants of the fleet; runs as long as the node.
  rt::Task<void> run_scaling();

  // Passes a request of another node on, which does not reach the cloud. `status_no_response` where the cloud does not
  // answer this node either.
  rt::Task<wire::PeerReply> on_peer_request(wire::PeerRequest request);

 private:
  // Sends the request directly or through another node. One that changes the fleet is only sent while this node leads
  // in `term`; for any other the term is `any_term`. `not_sent` where that does not hold any more.
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
  Time direct_retry_at_{};          // the cloud did not answer this node: until then other nodes are asked first
  Time forwarded_for_leader_at_{};  // the leader does not reach the cloud and had a request sent by this node
  bool types_stored_ = false;
  bool scale_in_in_flight_ = false;
};

}  // namespace martenwall::service
