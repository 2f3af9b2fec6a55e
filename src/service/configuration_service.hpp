// Follows the operators' configuration in the state service, and tells what this node decides by. Nothing of it is
// asked for until there is a configuration or another node wants to make the first (docs/safety.md, "Configuration").
#pragma once
#include "service/context.hpp"
#include "service/store_client.hpp"
#include "wire/configuration_codec.hpp"
#include "wire/peer_codec.hpp"

namespace martenwall::service {

// Keeps `Context::configuration`, `policy` and `validity`; a leader's scheduler is told of each new version.
class ConfigurationService {
 public:
  ConfigurationService(Context& ctx, StoreClient& store)
      : ctx_(ctx), store_(store), file_policy_(ctx.policy), follow_requested_(ctx.loop) {}
  // Reads the configuration again and again. Never returns; started once by the node.
  rt::Task<void> run();
  // Reads the newest version; false where that cannot be known now. `creation_excluded`: where there is none, none can
  // come without this node's word.
  rt::Task<bool> read(bool creation_excluded);
  // From now on this node reads it again and again; answered once it has.
  rt::Task<bool> follow();
  rt::Task<wire::PeerReply> report();  // `get`
  // Throws config::SettingsError where this node could not follow it.
  void require_valid(const nlohmann::json& document) const;

 private:
  [[nodiscard]] Configuration resolve_document(ConfigurationVersion version, const nlohmann::json& document) const;
  bool adopt(const wire::ConfigurationRow& row);
  void log_rejection(const std::string& reason);

  Context& ctx_;
  StoreClient& store_;
  const Policy file_policy_;  // as the properties file has it
  rt::Event follow_requested_;
  std::string logged_rejection_;  // as last logged
};

}  // namespace martenwall::service
