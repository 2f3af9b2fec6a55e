// Between controller nodes: followers hand users' requests to the leader.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "service/context.hpp"
#include "wire/peer_codec.hpp"

namespace martenwall::service {

class PeerService {
 public:
  using Handler = std::function<rt::Task<wire::PeerReply>(wire::PeerRequest)>;
  PeerService(Context& ctx, Handler handler);
  rt::Task<void> serve();
  // Nothing where the leader is unknown, unreachable or does not lead any more.
  rt::Task<std::optional<wire::PeerReply>> ask_leader(wire::PeerRequest request, Duration timeout);

 private:
  rt::Task<void> connection(rt::Socket socket);
  rt::Task<std::optional<std::string>> read_frame(rt::Socket& socket, std::string& spare, Time deadline);
  rt::Task<std::optional<wire::PeerReply>> ask(std::string addr, std::string frame, Time deadline);

  Context& ctx_;
  Handler handler_;
  rt::Listener listener_;
  std::size_t open_ = 0;
  std::string link_down_to_;  // the leader that could not be reached lately
  Time link_down_until_{};
  std::map<std::string, std::vector<rt::Socket>> idle_;
};

}  // namespace martenwall::service
