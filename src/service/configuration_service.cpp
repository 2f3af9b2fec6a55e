#include "service/configuration_service.hpp"

#include <utility>

#include "config/configuration_document.hpp"

namespace martenwall::service {

namespace {
constexpr Duration read_every = seconds(1.5);  // a change is known everywhere within 2 s
constexpr Duration read_again = seconds(0.3);
constexpr Duration read_limit = seconds(1);
constexpr Duration look_every = seconds(0.05);
constexpr Duration idle = seconds(60);
}  // namespace

rt::Task<void> ConfigurationService::run() {
  // In this order: whoever makes the first change demands that no node has stated its version meanwhile.
  while (!ctx_.version_stated) co_await ctx_.loop.sleep(look_every);
  for (;;) {
    const bool known = co_await read(true);
    if (known) break;
    co_await ctx_.loop.sleep(read_again);
  }
  for (;;) {
    if (!ctx_.validity.follows()) {
      const Time until = ctx_.now() + idle;
      co_await woken_.wait(until);
      continue;
    }
    const bool known = co_await read(false);
    co_await ctx_.loop.sleep(known ? read_every : read_again);
  }
}

rt::Task<bool> ConfigurationService::read(bool none_can_come) {
  const Time sent = ctx_.loop.refresh();
  const ReadResult r = co_await store_.get_unthrottled(wire::configuration_key, read_limit);
  if (r.outcome == ReadOutcome::failed) co_return false;
  const bool known = ctx_.configuration.version > ConfigurationVersion{0};
  if (r.outcome == ReadOutcome::absent) {
    if (known) complain("it is gone from the state service");
    if (!known) ctx_.validity.found_none(sent, none_can_come);
    co_return !known;
  }
  const auto row = wire::decode_configuration(r.item.value);
  if (!row) complain("its row cannot be read");
  if (!row || (row->version > ctx_.configuration.version && !adopt(*row))) {
    // There is one that this node cannot follow: it decides nothing until it can.
    ctx_.validity.follow();
    co_return false;
  }
  ctx_.validity.found(sent);
  co_return true;
}

rt::Task<bool> ConfigurationService::follow() {
  ctx_.validity.follow();
  woken_.notify();
  co_return co_await read(false);
}

Configuration ConfigurationService::meaning_of(ConfigurationVersion version, const nlohmann::json& document) const {
  return config::configuration_of(version, document, ctx_.settings, files_);
}

void ConfigurationService::require_valid(const nlohmann::json& document) const {
  static_cast<void>(meaning_of(ctx_.configuration.version, document));
}

bool ConfigurationService::adopt(const wire::ConfigurationRow& row) {
  try {
    ctx_.configuration = meaning_of(row.version, row.document);
  } catch (const config::SettingsError& e) {
    complain(e.what());
    return false;
  }
  ctx_.policy = ctx_.configuration.policy;
  complaint_.clear();
  ctx_.log->info("configuration in force version={} teams={}", row.version.value(), ctx_.configuration.teams.size());
  if (ctx_.scheduler != nullptr) {
    ctx_.scheduler->configure(ctx_.configuration.teams, ctx_.configuration.policy);
    ctx_.cycle_due.notify();
  }
  return true;
}

void ConfigurationService::complain(const std::string& why) {
  if (why != std::exchange(complaint_, why)) ctx_.log->error("configuration not adopted: {}", why);
}

rt::Task<wire::PeerReply> ConfigurationService::tell() {
  const ReadResult r = co_await store_.get(wire::configuration_key, read_limit);
  const auto row = r.outcome == ReadOutcome::found ? wire::decode_configuration(r.item.value) : std::nullopt;
  nlohmann::json body{{"inForce", ctx_.configuration.version.value()},
                      {"decides", ctx_.may_decide()},
                      {"state", name_of(ctx_.validity.state())},
                      {"document", row ? row->document : nlohmann::json::object()},
                      {"teams", config::teams_document(ctx_.configuration.teams)}};
  if (r.outcome != ReadOutcome::failed) body["version"] = row ? row->version.value() : 0;
  co_return wire::PeerReply{200, body.dump(), {}};
}

}  // namespace martenwall::service
