// Follows the operators' configuration in the state service and reports the version in force at this node. The
// configuration is not polled until it exists or another node wants to create the first version (docs/safety.md,
// "Configuration").
#pragma once
#include "service/context.hpp"
#include "service/store_client.hpp"
#include "wire/configuration_codec.hpp"
#include "wire/peer_codec.hpp"

namespace martenwall::service {

// Maintains `Context::configuration`, `policy` and `validity`, and passes each new version to a leader's scheduler.
class ConfigurationService {
 public:
  ConfigurationService(Context& ctx, StoreClient& store)
      : ctx_(ctx), store_(store), file_policy_(ctx.policy), follow_requested_(ctx.loop) {}
  // Polls the configuration. Never returns; started once by the node.
  rt::Task<void> run();
  // Reads the newest version; false if it is unknown after this read. `creation_needs_this_node`: if there is no
  // configuration, none can be created without this node's consent.
  rt::Task<bool> read(bool creation_needs_this_node);
  // Starts polling the configuration; true if the first read succeeded.
  rt::Task<bool> follow();
  rt::Task<wire::PeerReply> report();  // Answers the request `get`.
  // Throws config::SettingsError if this node could not apply the document.
  void require_valid(const nlohmann::json& document) const;

 private:
  [[nodiscard]] Configuration resolve_document(ConfigurationVersion version, const nlohmann::json& document) const;
  bool adopt(const wire::ConfigurationRow& row);
  void log_rejection(const std::string& reason);

  Context& ctx_;
  StoreClient& store_;
  const Policy file_policy_;  // from the properties file
  rt::Event follow_requested_;
  std::string logged_rejection_;  // last logged reason
};

}  // namespace martenwall::service
