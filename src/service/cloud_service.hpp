// The cloud: machine types, renting, returning, the lagging list.
#pragma once
#include "service/context.hpp"
#include "service/peer_service.hpp"
#include "service/store_client.hpp"
#include "service/token_bucket.hpp"

namespace martenwall::service {

class CloudService {
 public:
  CloudService(Context& ctx, StoreClient& state);
  rt::Task<void> run_types();
  rt::Task<void> run_list();
  rt::Task<void> run_fleet();
  // A leader that does not reach the cloud asks this node to pass a request on.
  rt::Task<wire::PeerReply> on_peer_request(wire::PeerRequest request);
  void set_peers(PeerService& peers) { peers_ = &peers; }

 private:
  // For the leadership `term` alone, or for any node.
  rt::Task<rt::HttpResult> call(std::string method, std::string target, std::string body, Duration timeout,
                                std::uint64_t term);
  rt::Task<rt::HttpResult> pass_on(const std::string& method, std::string target, std::string body);
  rt::Task<void> admit();
  rt::Task<bool> fetch_types();
  rt::Task<void> store_types();
  rt::Task<void> list_once(std::uint64_t term);
  rt::Task<void> hire(std::uint64_t term, ScaleOutRequest request);
  rt::Task<void> release(std::uint64_t term, std::vector<MachineId> ids);

  Context& ctx_;
  StoreClient& store_;
  rt::HttpClient http_;
  TokenBucket rate_;
  PeerService* peers_ = nullptr;
  Time by_others_until_{};  // the cloud did not answer this node: others are asked first
  Time passed_on_at_{};     // for a leader that does not reach the cloud
  bool types_stored_ = false;
  bool releasing_ = false;
};

}  // namespace martenwall::service
