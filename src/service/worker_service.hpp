// Workers: reports and their answers, direct commands, rounds.
#pragma once
#include <memory>
#include <vector>

#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/leader_service.hpp"

namespace martenwall::service {

class WorkerService {
 public:
  // Commands go to many machines and to each one seldom: their connections are not kept, since with one to
  // each worker, beside the workers' own, a large fleet would use up the sockets.
  WorkerService(Context& ctx, LeaderService& store)
      : ctx_(ctx), leader_service_(store), http_(ctx.loop, ctx.settings.max_connections / 10, 256 * 1024, 0) {}
  // Waits while this node is about to know whether it leads; what `answer` says then binds at that moment.
  rt::Task<void> settled();
  // To one report, at once: no wait may come between this and its sending. A stop there is harmless (docs/safety.md).
  HeartbeatResponse answer(const Heartbeat& heartbeat);
  [[nodiscard]] rt::HttpResponse response_to(const HeartbeatResponse& answer, FencingToken token) const;
  [[nodiscard]] rt::HttpResponse misdirected() const;
  rt::Task<void> run();        // rounds, while this node leads
  rt::Task<void> send_loop();  // direct commands after each commit

 private:
  rt::Task<void> send(std::uint64_t term, CommandBatch batch);
  rt::Task<void> announce_all(std::uint64_t term);
  rt::Task<void> announce_some(std::uint64_t term, std::shared_ptr<std::vector<CommandBatch>> left);
  rt::Task<void> announce(std::uint64_t term, CommandBatch batch);

  Context& ctx_;
  LeaderService& leader_service_;
  rt::HttpClient http_;
};

}  // namespace martenwall::service
