// Workers' reports, whichever node they reach: answered here by a leader, passed on to it by the others.
#pragma once
#include <deque>
#include <memory>
#include <set>

#include "relay/leader_link.hpp"
#include "relay/worker_share.hpp"
#include "runtime/http_server.hpp"
#include "service/context.hpp"
#include "service/peer_service.hpp"
#include "service/worker_service.hpp"
#include "wire/report_codec.hpp"

namespace martenwall::service {

class RelayService {
 public:
  RelayService(Context& ctx, PeerService& peers, WorkerService& workers);
  // Connections of workers here, and as many as there is room for.
  void count_by(std::function<relay::NodeLoad()> load) { load_ = std::move(load); }
  rt::Task<rt::HttpResponse> report(std::string body);
  rt::Task<void> run();  // keeps the way to the leader probed
  // Leader's side: a batch of another node.
  rt::Task<wire::PeerReply> on_reports(wire::PeerRequest request);

 private:
  // A report that waits to be passed on, or for its answer. Kept until its batch is over, whether or not its worker's
  // connection still waits for it.
  struct Waiting {
    explicit Waiting(rt::Loop& loop, WorkerReport r) : report(std::move(r)), over(loop) {}
    WorkerReport report;
    std::optional<ReportAnswer> answer;  // nothing where no node that leads has given one
    Token token;
    rt::Event over;
    bool abandoned = false;
    bool finished = false;
  };
  using Batch = std::vector<std::shared_ptr<Waiting>>;
  rt::Task<rt::HttpResponse> answered_somewhere(WorkerReport report);
  rt::HttpResponse answered_here(const ReportAnswer& answer);
  rt::HttpResponse refused(const WorkerReport& report);
  rt::Task<std::optional<rt::HttpResponse>> pass_on(const WorkerReport& report, Time until);
  rt::Task<void> send_soon();
  rt::Task<void> send(Batch batch);
  Batch take_batch();
  bool take_answers(const Batch& batch, const std::optional<wire::PeerReply>& reply);
  rt::Task<void> probe();
  rt::Task<void> tell_load();
  void hear(const wire::NodeRoom& node);
  void hear_leader();
  [[nodiscard]] wire::NodeRoom own_room() const;
  [[nodiscard]] std::vector<wire::NodeRoom> rooms() const;
  void log_link();

  Context& ctx_;
  PeerService& peers_;
  WorkerService& workers_;
  relay::LeaderLink link_;
  relay::WorkerShare share_;
  std::function<relay::NodeLoad()> load_;
  std::deque<std::shared_ptr<Waiting>> queue_;  // no longer than workers' connections: each has one report in flight
  bool gathering_ = false;
  bool probing_ = false;
  std::size_t under_way_ = 0;
  Time told_{};  // when the leader last heard of this node's load
  rt::Event usable_;
  relay::LinkState logged_ = relay::LinkState::none;
};

}  // namespace martenwall::service
