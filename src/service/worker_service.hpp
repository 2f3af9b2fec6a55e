// Workers: answers to heartbeats, scheduling cycles, direct commands.
#pragma once
#include <memory>
#include <vector>

#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/leader_service.hpp"

namespace martenwall::service {

// Runs the scheduler while this node leads, and carries its commands to the workers. A command is sent only under the
// leadership that decided on it; what arrives later is fenced by the worker itself (fencing token, agent epoch).
class WorkerService {
 public:
  // What it is given belongs to the node and outlives it.
  WorkerService(Context& ctx, LeaderService& leader_service);

  // Waits, up to some seconds, while this node is about to know whether it leads. `answer` must follow without a wait
  // between, or else the role may have changed again.
  rt::Task<void> wait_for_role();

  // The answer to one heartbeat, by any node's request; `misdirected` where this node does not lead. No wait may come
  // between this call and the sending of its answer. A stall of the process there is harmless (docs/safety.md).
  HeartbeatResponse answer(const Heartbeat& heartbeat);

  // The answer as an HTTP response; `token` is that of the leader that gave it.
  [[nodiscard]] rt::HttpResponse response_to(const HeartbeatResponse& answer, FencingToken token) const;

  // 421, which names the leader where this node knows another one.
  [[nodiscard]] rt::HttpResponse not_leader_response() const;

  // Scheduling cycles while this node leads; runs as long as the node.
  rt::Task<void> run_cycles();

  // Direct commands after each commit, and the token's announcement after a failover; runs as long as the node.
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
