// Changes of the operators' configuration: checked, committed by compare and swap, several together where they come in
// a burst.
#pragma once
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "service/configuration_service.hpp"
#include "service/peer_service.hpp"

namespace martenwall::service {

class ConfigurationChanges {
 public:
  ConfigurationChanges(Context& ctx, StoreClient& state, PeerService& peers, ConfigurationService& configuration)
      : ctx_(ctx), store_(state), peers_(peers), configuration_(configuration), asked_(ctx.loop) {}
  rt::Task<void> run();
  rt::Task<wire::PeerReply> on_peer_request(wire::PeerRequest request);

 private:
  // A change that its operator waits for.
  struct Wanted {
    Wanted(rt::Loop& loop, wire::ConfigurationRequest r) : request(std::move(r)), answered(loop) {}
    wire::ConfigurationRequest request;
    std::optional<wire::PeerReply> reply;
    rt::Event answered;
    std::optional<ConfigurationVersion> version;  // that it gets by the transaction under way
  };
  using Batch = std::vector<std::shared_ptr<Wanted>>;
  struct Transaction {
    std::vector<wire::Condition> when;
    std::vector<wire::StoreOp> then;
    ConfigurationVersion version;  // that it leads to
    std::string mark;
  };
  // What is in the store now.
  struct Stored {
    bool known = false;
    KeyVersion key_version;  // 0: there is no configuration
    wire::ConfigurationRow row;
  };
  rt::Task<wire::PeerReply> apply(wire::ConfigurationRequest request);
  rt::Task<wire::PeerReply> try_out(wire::ConfigurationRequest request);
  rt::Task<wire::PeerReply> history();
  rt::Task<void> commit(Batch batch);
  rt::Task<Stored> read();
  // The conditions under which a first configuration comes to all nodes' knowledge; or why it cannot be made now.
  struct Fence {
    std::vector<wire::Condition> when;
    std::string why_not;
  };
  rt::Task<Fence> fence_first_change();
  // The row with all changes of the batch that are valid; the others are answered.
  std::optional<wire::ConfigurationRow> merge(Batch& batch, const wire::ConfigurationRow& before);
  Transaction transaction_for(const Batch& batch, const Stored& before, wire::ConfigurationRow after);
  enum class Outcome { committed, lost, in_doubt };
  rt::Task<Outcome> carry_out(Transaction transaction, Time deadline);
  rt::Task<std::optional<bool>> was_committed(Transaction transaction);  // nothing: it may still come
  static void answer(Wanted& wanted, wire::PeerReply reply);
  static void answer_rest(Batch& batch, const wire::PeerReply& reply);

  Context& ctx_;
  StoreClient& store_;
  PeerService& peers_;
  ConfigurationService& configuration_;
  std::deque<std::shared_ptr<Wanted>> waiting_;
  rt::Event asked_;
};

}  // namespace martenwall::service
