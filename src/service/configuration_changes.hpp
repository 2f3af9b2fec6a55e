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

// Serves on every node: the store decides between nodes that change the configuration at the same time.
class ConfigurationChanges {
 public:
  ConfigurationChanges(Context& ctx, StoreClient& store, PeerService& peers, ConfigurationService& configuration)
      : ctx_(ctx), store_(store), peers_(peers), configuration_(configuration), change_queued_(ctx.loop) {}
  // Commits queued changes, a batch at a time. Never returns; started once by the node.
  rt::Task<void> run();
  // Answers an operator's command or another node. A change is answered once its outcome is known, within 9.5 s:
  // status 200 applied (or nothing to change), 400 invalid, 409 expected another version, 503 not applied, 504 not
  // known whether it was.
  rt::Task<wire::PeerReply> on_peer_request(wire::PeerRequest request);

 private:
  // A change that its operator waits for.
  struct PendingChange {
    PendingChange(rt::Loop& loop, wire::ConfigurationRequest r) : request(std::move(r)), answered(loop) {}
    wire::ConfigurationRequest request;
    std::optional<wire::PeerReply> reply;
    rt::Event answered;
    std::optional<ConfigurationVersion> version;  // that it gets by the transaction in flight
  };
  using Batch = std::vector<std::shared_ptr<PendingChange>>;
  struct Transaction {
    std::vector<wire::Condition> conditions;
    std::vector<wire::StoreOp> operations;
    ConfigurationVersion version;  // that it leads to
    std::string id;                // by which it is recognised where its answer was lost
  };
  // What is in the store now.
  struct Snapshot {
    bool known = false;      // false: no answer, or a row that cannot be read
    KeyVersion key_version;  // 0: there is no configuration
    wire::ConfigurationRow row;
  };
  // The conditions under which a first configuration comes to all nodes' knowledge; or why it cannot be made now.
  struct FirstChangeConditions {
    std::vector<wire::Condition> conditions;
    std::string refusal;  // empty: it can be made
  };
  enum class Outcome { committed, not_committed, uncertain };
  // What the store shows of a transaction whose answer was lost.
  enum class TransactionState {
    committed,
    not_committed,  // it was not carried out and never will be
    pending,        // it was not carried out, and may be yet
    unreadable,     // no answer that tells
  };

  rt::Task<wire::PeerReply> apply(wire::ConfigurationRequest request);
  rt::Task<wire::PeerReply> dry_run(wire::ConfigurationRequest request);
  rt::Task<wire::PeerReply> history();
  rt::Task<void> commit(Batch batch);
  rt::Task<Snapshot> read();
  rt::Task<FirstChangeConditions> first_change_conditions();
  // The row with all changes of the batch that are valid; the others are answered.
  std::optional<wire::ConfigurationRow> merge(Batch& batch, const wire::ConfigurationRow& before);
  Transaction transaction_for(const Batch& batch, const Snapshot& before, wire::ConfigurationRow after);
  rt::Task<Outcome> commit_transaction(Transaction transaction, Time deadline);
  rt::Task<TransactionState> read_transaction_state(Transaction transaction);
  static void answer(PendingChange& change, wire::PeerReply reply);
  static void answer_rest(Batch& batch, const wire::PeerReply& reply);

  Context& ctx_;
  StoreClient& store_;
  PeerService& peers_;
  ConfigurationService& configuration_;
  std::deque<std::shared_ptr<PendingChange>> queue_;
  rt::Event change_queued_;
};

}  // namespace martenwall::service
