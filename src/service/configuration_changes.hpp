// Changes of the operators' configuration: validated, committed by compare-and-swap, and batched during bursts.
#pragma once
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "service/configuration_service.hpp"
#include "service/peer_service.hpp"

namespace martenwall::service {

// Runs on every node: the store arbitrates between nodes that change the configuration at the same time.
class ConfigurationChanges {
 public:
  ConfigurationChanges(Context& ctx, StoreClient& store, PeerService& peers, ConfigurationService& configuration)
      : ctx_(ctx), store_(store), peers_(peers), configuration_(configuration), change_queued_(ctx.loop) {}
  // Commits queued changes batch by batch. Never returns; started once by the node.
  rt::Task<void> run();
  // Answers an operator's command or another node. A change is answered once its outcome is known, within 9.5 s: status
  // 200 applied (or nothing to change), 400 invalid, 409 not the expected version, 503 not applied, 504 unknown whether
  // it was applied.
  rt::Task<wire::PeerReply> on_peer_request(wire::PeerRequest request);

 private:
  // A change whose operator waits for the answer.
  struct PendingChange {
    PendingChange(rt::Loop& loop, wire::ConfigurationRequest r) : request(std::move(r)), answered(loop) {}
    wire::ConfigurationRequest request;
    std::optional<wire::PeerReply> reply;
    rt::Event answered;
    std::optional<ConfigurationVersion> version;  // assigned by the transaction in flight
  };
  using Batch = std::vector<std::shared_ptr<PendingChange>>;
  struct Transaction {
    std::vector<wire::Condition> conditions;
    std::vector<wire::StoreOp> operations;
    ConfigurationVersion version;  // created by the transaction
    std::string id;                // identifies the transaction if its answer is lost
  };
  // The configuration as read from the store.
  struct Snapshot {
    bool known = false;      // false: no answer, or the row cannot be decoded
    KeyVersion key_version;  // 0: there is no configuration
    wire::ConfigurationRow row;
  };
  // The conditions that guarantee that all nodes learn of a first configuration, or the reason why none can be created
  // at the moment.
  struct FirstChangeConditions {
    std::vector<wire::Condition> conditions;
    std::string refusal;  // empty: it can be created
  };
  enum class Outcome { committed, not_committed, uncertain };
  // What the store shows about a transaction whose answer was lost.
  enum class TransactionState {
    committed,
    not_committed,  // not executed, and never will be
    pending,        // not executed, but may still be
    unreadable,     // no usable answer from the store
  };

  rt::Task<wire::PeerReply> apply(wire::ConfigurationRequest request);
  rt::Task<wire::PeerReply> dry_run(wire::ConfigurationRequest request);
  rt::Task<wire::PeerReply> history();
  rt::Task<void> commit(Batch batch);
  rt::Task<Snapshot> read();
  rt::Task<FirstChangeConditions> first_change_conditions();
  // Returns the row with all valid changes of the batch and answers the other changes; nothing if no change remains.
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
