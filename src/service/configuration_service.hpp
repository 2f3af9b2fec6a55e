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
  ConfigurationService(Context& ctx, StoreClient& state)
      : ctx_(ctx), store_(state), files_(ctx.policy), woken_(ctx.loop) {}
  // Reads the configuration again and again. Never returns; started once by the node.
  rt::Task<void> run();
  // Reads the newest version; false where that cannot be known now. `none_can_come`: where there is none, none can come
  // without this node's word.
  rt::Task<bool> read(bool none_can_come);
  // From now on this node reads it again and again; answered once it has.
  rt::Task<bool> follow();
  rt::Task<wire::PeerReply> tell();  // `get`
  // Throws config::SettingsError where this node could not follow it.
  void require_valid(const nlohmann::json& document) const;

 private:
  [[nodiscard]] Configuration meaning_of(ConfigurationVersion version, const nlohmann::json& document) const;
  bool adopt(const wire::ConfigurationRow& row);
  void complain(const std::string& why);

  Context& ctx_;
  StoreClient& store_;
  const Policy files_;  // as the properties file has it
  rt::Event woken_;
  std::string complaint_;  // as last logged
};

}  // namespace martenwall::service
