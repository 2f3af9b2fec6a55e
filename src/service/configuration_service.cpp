#include "service/configuration_service.hpp"

#include <utility>

#include "config/configuration_document.hpp"

namespace martenwall::service {

namespace {
constexpr Duration read_interval = seconds(1.5);  // a change reaches all nodes within 2 s
constexpr Duration read_retry_delay = seconds(0.3);
constexpr Duration read_timeout = seconds(1);
constexpr Duration version_check_interval = seconds(0.05);
constexpr Duration idle_interval = seconds(60);
}  // namespace

rt::Task<void> ConfigurationService::run() {
  // The order matters: the node that creates the first configuration requires that no node has published its version
  // since.
  while (!ctx_.version_published) co_await ctx_.loop.sleep(version_check_interval);
  for (;;) {
    const bool known = co_await read(true);
    if (known) break;
    co_await ctx_.loop.sleep(read_retry_delay);
  }
  for (;;) {
    if (!ctx_.validity.is_following()) {
      const Time deadline = ctx_.now() + idle_interval;
      co_await follow_requested_.wait(deadline);
      continue;
    }
    const bool known = co_await read(false);
    co_await ctx_.loop.sleep(known ? read_interval : read_retry_delay);
  }
}

rt::Task<bool> ConfigurationService::read(bool creation_needs_this_node) {
  const Time sent = ctx_.loop.update_time();
  const ReadResult result = co_await store_.get_unthrottled(wire::configuration_key, read_timeout);
  if (result.outcome == ReadOutcome::failed) co_return false;
  const bool known = ctx_.configuration.version > ConfigurationVersion{0};
  if (result.outcome == ReadOutcome::absent) {
    if (known) log_rejection("it is gone from the state service");
    if (!known) ctx_.validity.on_none_found(sent, creation_needs_this_node);
    co_return !known;
  }
  const auto row = wire::decode_configuration(result.item.value);
  if (!row) log_rejection("its row cannot be read");
  if (!row || (row->version > ctx_.configuration.version && !adopt(*row))) {
    // This node cannot apply the stored configuration and makes no decisions until it can.
    ctx_.validity.start_following();
    co_return false;
  }
  ctx_.validity.on_version_confirmed(sent);
  co_return true;
}

rt::Task<bool> ConfigurationService::follow() {
  ctx_.validity.start_following();
  follow_requested_.notify();
  co_return co_await read(false);
}

Configuration ConfigurationService::resolve_document(ConfigurationVersion version,
                                                     const nlohmann::json& document) const {
  return config::resolve_configuration(version, document, ctx_.settings, file_policy_);
}

void ConfigurationService::require_valid(const nlohmann::json& document) const {
  static_cast<void>(resolve_document(ctx_.configuration.version, document));
}

bool ConfigurationService::adopt(const wire::ConfigurationRow& row) {
  try {
    ctx_.configuration = resolve_document(row.version, row.document);
  } catch (const config::SettingsError& e) {
    log_rejection(e.what());
    return false;
  }
  ctx_.policy = ctx_.configuration.policy;
  logged_rejection_.clear();
  ctx_.log->info("configuration in force version={} teams={}", row.version.value(), ctx_.configuration.teams.size());
  if (ctx_.scheduler != nullptr) {
    ctx_.scheduler->configure(ctx_.configuration.teams, ctx_.configuration.policy);
    ctx_.cycle_due.notify();
  }
  return true;
}

void ConfigurationService::log_rejection(const std::string& reason) {
  if (reason != std::exchange(logged_rejection_, reason)) ctx_.log->error("configuration not adopted: {}", reason);
}

rt::Task<wire::PeerReply> ConfigurationService::report() {
  const ReadResult result = co_await store_.get(wire::configuration_key, read_timeout);
  const auto row = result.outcome == ReadOutcome::found ? wire::decode_configuration(result.item.value) : std::nullopt;
  nlohmann::json body{{"inForce", ctx_.configuration.version.value()},
                      {"decides", ctx_.may_decide()},
                      {"state", name_of(ctx_.validity.state())},
                      {"document", row ? row->document : nlohmann::json::object()},
                      {"teams", config::teams_document(ctx_.configuration.teams)}};
  // A row that cannot be decoded has an unknown version, as one that could not be read.
  if (row || result.outcome == ReadOutcome::absent) body["version"] = row ? row->version.value() : 0;
  co_return wire::PeerReply{200, body.dump(), {}};
}

}  // namespace martenwall::service
