// Worker communication: heartbeat responses, scheduling cycles, and direct commands.
#pragma once
#include <memory>
#include <vector>

#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/leader_service.hpp"

namespace martenwall::service {

// Runs the scheduler while this node leads, and sends its commands to the workers. A command is sent only under the
// leadership that decided on it; commands that arrive later are fenced by the worker (fencing token, agent epoch).
class WorkerService {
 public:
  // All references belong to the node and outlive this service.
  WorkerService(Context& ctx, LeaderService& leader_service);

  // Waits, up to some seconds, while this node's role is being determined. The caller must call `answer` without
  // suspending in between, since the role may change during a suspension.
  rt::Task<void> wait_for_role();

  // Returns the response to one heartbeat that arrived here or at another node; `misdirected` if this node does not
  // lead. The caller must send it without suspending in between. A process stall between this call and the sending is
  // harmless (docs/safety.md).
  HeartbeatResponse answer(const Heartbeat& heartbeat);

  // Encodes the answer as an HTTP response; `token` is that of the leader that gave it.
  [[nodiscard]] rt::HttpResponse response_to(const HeartbeatResponse& answer, FencingToken token) const;

  // Returns 421 with the name of the leader if this node knows another leader.
  [[nodiscard]] rt::HttpResponse not_leader_response() const;

  // Runs scheduling cycles while this node leads; runs as long as the node.
  rt::Task<void> run_cycles();

  // Sends direct commands after each commit, and announces the new token after a failover; runs as long as the node.
  rt::Task<void> run_command_sender();

 private:
  rt::Task<void> send(std::uint64_t term, CommandBatch batch);
  void announce_all(std::uint64_t term);
  rt::Task<void> announce_remaining(std::uint64_t term, std::shared_ptr<std::vector<CommandBatch>> remaining);
  rt::Task<void> announce(std::uint64_t term, CommandBatch batch);

  Context& ctx_;
  LeaderService& leader_service_;
  rt::HttpClient http_;
};

}  // namespace martenwall::service
