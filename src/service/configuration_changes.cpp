#include "service/configuration_changes.hpp"

#include <algorithm>

#include "config/configuration_document.hpp"

namespace martenwall::service {

namespace {

using nlohmann::json;

constexpr Duration commit_interval = seconds(0.5);  // between commits: changes that arrive meanwhile share the next one
constexpr Duration commit_timeout = seconds(8);
constexpr Duration answer_timeout = seconds(9.5);
constexpr Duration store_timeout = seconds(1);
constexpr Duration retry_pause = seconds(0.2);
constexpr std::size_t max_queued_changes = 1000;
constexpr std::size_t max_batch_size = 16;
constexpr std::size_t max_change_rows = 32;  // older rows are deleted
constexpr std::size_t max_history_bytes = 48 * 1024;
constexpr std::size_t max_author_bytes = 80;

wire::PeerReply failure(int status, const std::string& reason) { return {status, json{{"error", reason}}.dump(), {}}; }

wire::PeerReply applied(ConfigurationVersion version, bool changed) {
  return {200, json{{"version", version.value()}, {"changed", changed}}.dump(), {}};
}

wire::PeerReply version_conflict(ConfigurationVersion version) {
  return {409, json{{"error", "the version is another"}, {"version", version.value()}}.dump(), {}};
}

wire::PeerReply outcome_unknown() { return failure(504, "not known whether it was applied: ask for the history"); }

}  // namespace

rt::Task<wire::PeerReply> ConfigurationChanges::on_peer_request(wire::PeerRequest request) {
  auto command = wire::decode_configuration_request(request.body);
  if (!command) co_return failure(400, "not a request about the configuration");
  using Action = wire::ConfigurationRequest::Action;
  if (command->action == Action::get) co_return co_await configuration_.report();
  if (command->action == Action::history) co_return co_await history();
  if (command->action == Action::follow) {
    const bool follows = co_await configuration_.follow();
    co_return follows ? wire::PeerReply{200, "{}", {}} : failure(503, "the state service does not answer");
  }
  command->author = command->author.substr(0, max_author_bytes);
  if (command->dry_run) co_return co_await dry_run(std::move(*command));
  co_return co_await apply(std::move(*command));
}

rt::Task<wire::PeerReply> ConfigurationChanges::apply(wire::ConfigurationRequest request) {
  if (queue_.size() >= max_queued_changes) co_return failure(503, "too many changes wait");
  auto change = std::make_shared<PendingChange>(ctx_.loop, std::move(request));
  queue_.push_back(change);
  change_queued_.notify();
  const Time deadline = ctx_.now() + answer_timeout;
  while (!change->reply && ctx_.now() < deadline) co_await change->answered.wait(deadline);
  if (change->reply) co_return *change->reply;
  if (std::erase(queue_, change) > 0) co_return failure(503, "not begun in time");
  co_return outcome_unknown();
}

rt::Task<void> ConfigurationChanges::run() {
  for (;;) {
    if (queue_.empty()) {
      const Time deadline = ctx_.now() + seconds(60);
      co_await change_queued_.wait(deadline);
      continue;
    }
    const auto n = static_cast<std::ptrdiff_t>(std::min(queue_.size(), max_batch_size));
    Batch batch{queue_.begin(), queue_.begin() + n};
    queue_.erase(queue_.begin(), queue_.begin() + n);
    co_await commit(std::move(batch));
    co_await ctx_.loop.sleep(commit_interval);
  }
}

void ConfigurationChanges::answer(PendingChange& change, wire::PeerReply reply) {
  if (change.reply) return;
  change.reply = std::move(reply);
  change.answered.notify();
}

void ConfigurationChanges::answer_rest(Batch& batch, const wire::PeerReply& reply) {
  for (auto& change : batch) answer(*change, reply);
}

rt::Task<ConfigurationChanges::Snapshot> ConfigurationChanges::read() {
  Snapshot out;
  const ReadResult result = co_await store_.get(wire::configuration_key, store_timeout);
  out.known = result.outcome == ReadOutcome::absent;
  if (result.outcome != ReadOutcome::found) co_return out;
  auto row = wire::decode_configuration(result.item.value);
  out.known = row.has_value();
  out.key_version = result.item.version;
  if (row) out.row = std::move(*row);
  co_return out;
}

// ---- merging changes ----

std::optional<wire::ConfigurationRow> ConfigurationChanges::merge(Batch& batch, const wire::ConfigurationRow& before) {
  wire::ConfigurationRow row = before;
  for (auto& change : batch) {
    change->version.reset();
    if (change->reply) continue;
    if (change->request.expected && *change->request.expected != row.version) {
      answer(*change, version_conflict(row.version));
      continue;
    }
    json document = config::apply_patch(row.document, change->request.patch, ctx_.settings);
    if (document == row.document) {
      answer(*change, applied(row.version, false));
      continue;
    }
    const ConfigurationVersion next{row.version.value() + 1};
    try {
      configuration_.require_valid(document);
    } catch (const config::SettingsError& e) {
      answer(*change, failure(400, e.what()));
      continue;
    }
    const std::size_t size = document.dump().size();
    if (size + max_author_bytes * max_change_rows > ctx_.limits.value_bytes()) {
      answer(*change, failure(400, "the document would have " + std::to_string(size) +
                                       " bytes: too many for the state service"));
      continue;
    }
    row.document = std::move(document);
    row.version = next;
    change->version = next;
  }
  return row.version == before.version ? std::nullopt : std::optional{std::move(row)};
}

rt::Task<wire::PeerReply> ConfigurationChanges::dry_run(wire::ConfigurationRequest request) {
  const Snapshot stored = co_await read();
  if (!stored.known) co_return failure(503, "the state service does not answer");
  Batch batch{std::make_shared<PendingChange>(ctx_.loop, std::move(request))};
  const auto row = merge(batch, stored.row);
  if (!row) co_return *batch.front()->reply;
  const json body{{"version", stored.row.version.value()}, {"before", stored.row.document}, {"after", row->document}};
  co_return wire::PeerReply{200, body.dump(), {}};
}

// ---- committing ----

// Returns the conditions for creating the first configuration. Nodes do not poll the configuration until one exists, so
// the node that creates the first one obtains every node's consent to poll from then on. The conditions fail if a node
// has been replaced by a new process, or has begun to lead, since it was queried.
rt::Task<ConfigurationChanges::FirstChangeConditions> ConfigurationChanges::first_change_conditions() {
  FirstChangeConditions out;
  if (ctx_.format_version < wire::current_format_version) {
    out.refusal = "not all nodes run this version yet";
    co_return out;
  }
  const auto stated = co_await store_.list(wire::node_format_version_prefix);
  const ReadResult lead = co_await store_.get(wire::leader_key, store_timeout);
  if (!stated || lead.outcome != ReadOutcome::found) {
    out.refusal = "the state service does not answer, or no node leads";
    co_return out;
  }
  for (const auto& item : stated->items) out.conditions.push_back({item.key, item.version});
  out.conditions.push_back({wire::leader_key, lead.item.version});
  wire::ConfigurationRequest follow;
  follow.action = wire::ConfigurationRequest::Action::follow;
  for (const auto& peer : ctx_.settings.peers) {
    const bool version_published = std::ranges::any_of(
        stated->items, [&](const wire::StoreItem& i) { return i.key == wire::node_format_version_key(peer.node); });
    wire::PeerRequest request{wire::PeerVerb::configuration, "", wire::encode_configuration_request(follow), {}};
    const auto reply = co_await peers_.call_node(peer.node, std::move(request), store_timeout);
    if (version_published && reply && reply->status == 200) continue;
    out.refusal = "the first change needs the word of all nodes: " + peer.node + " does not answer, or cannot follow";
    co_return out;
  }
  const bool follows = co_await configuration_.follow();
  if (!follows) out.refusal = "the state service does not answer";
  co_return out;
}

ConfigurationChanges::Transaction ConfigurationChanges::transaction_for(const Batch& batch, const Snapshot& before,
                                                                        wire::ConfigurationRow after) {
  Transaction transaction;
  transaction.version = after.version;
  transaction.id = ctx_.settings.node + "-" + std::to_string(ctx_.random());
  wire::ChangesRow changes{transaction.id, {}};
  for (const auto& change : batch) {
    if (change->version)
      changes.changes.push_back({*change->version, Context::wall_ms(), change->request.author, change->request.patch});
  }
  after.transaction_id = transaction.id;
  after.recorded.push_back(after.version);
  if (after.recorded.size() > max_change_rows) {
    transaction.operations.push_back({wire::changes_key(after.recorded.front()), std::nullopt, std::nullopt});
    after.recorded.erase(after.recorded.begin());
  }
  transaction.conditions.push_back({wire::configuration_key, before.key_version});
  transaction.operations.push_back({wire::configuration_key, wire::encode_configuration(after), std::nullopt});
  transaction.operations.push_back({wire::changes_key(after.version), wire::encode_changes(changes), std::nullopt});
  return transaction;
}

rt::Task<ConfigurationChanges::TransactionState> ConfigurationChanges::read_transaction_state(Transaction transaction) {
  const Snapshot current = co_await read();
  if (!current.known) co_return TransactionState::unreadable;
  if (current.key_version == transaction.conditions.front().version) co_return TransactionState::pending;
  if (current.row.transaction_id == transaction.id) co_return TransactionState::committed;
  // Another transaction was committed after this one or before it: this version's row of changes shows which.
  const ReadResult result = co_await store_.get(wire::changes_key(transaction.version), store_timeout);
  if (result.outcome == ReadOutcome::failed) co_return TransactionState::unreadable;
  if (result.outcome == ReadOutcome::absent) co_return TransactionState::not_committed;
  const auto changes = wire::decode_changes(result.item.value);
  if (!changes) co_return TransactionState::unreadable;
  co_return changes->transaction_id == transaction.id ? TransactionState::committed : TransactionState::not_committed;
}

// Repeats the same transaction until its outcome is known: its conditions let at most one attempt succeed.
rt::Task<ConfigurationChanges::Outcome> ConfigurationChanges::commit_transaction(Transaction transaction,
                                                                                 Time deadline) {
  bool uncertain = false;
  while (ctx_.now() < deadline) {
    auto conditions = transaction.conditions;
    auto operations = transaction.operations;
    const TxnResult result = co_await store_.txn(std::move(conditions), std::move(operations), store_timeout);
    if (result.outcome == TxnOutcome::committed) co_return Outcome::committed;
    if (result.outcome == TxnOutcome::conflict && !uncertain) co_return Outcome::not_committed;
    if (result.outcome == TxnOutcome::too_large && !uncertain) co_return Outcome::not_committed;
    uncertain = uncertain || result.outcome == TxnOutcome::unknown;
    if (uncertain) {
      const TransactionState state = co_await read_transaction_state(transaction);
      if (state == TransactionState::committed) co_return Outcome::committed;
      if (state == TransactionState::not_committed) co_return Outcome::not_committed;
      // The first condition still holds but another one does not, so no further attempt can succeed. If the state
      // could not be read, the conflict may be with an earlier attempt of this transaction.
      if (state == TransactionState::pending && result.outcome == TxnOutcome::conflict)
        co_return Outcome::not_committed;
    }
    co_await ctx_.loop.sleep(retry_pause);
  }
  co_return uncertain ? Outcome::uncertain : Outcome::not_committed;
}

rt::Task<void> ConfigurationChanges::commit(Batch batch) {
  const Time deadline = ctx_.now() + commit_timeout;
  while (ctx_.now() < deadline) {
    const Snapshot before = co_await read();
    if (!before.known) {
      co_await ctx_.loop.sleep(retry_pause);
      continue;
    }
    auto after = merge(batch, before.row);
    if (!after) co_return;
    FirstChangeConditions first_change;
    if (before.key_version == KeyVersion{0}) first_change = co_await first_change_conditions();
    if (!first_change.refusal.empty()) {
      answer_rest(batch, failure(503, first_change.refusal));
      co_return;
    }
    Transaction transaction = transaction_for(batch, before, std::move(*after));
    transaction.conditions.insert(transaction.conditions.end(), first_change.conditions.begin(),
                                  first_change.conditions.end());
    const Outcome outcome = co_await commit_transaction(std::move(transaction), deadline);
    if (outcome == Outcome::committed) {
      for (auto& change : batch) {
        if (change->version) answer(*change, applied(*change->version, true));
      }
      co_await configuration_.read(false);
      co_return;
    }
    if (outcome == Outcome::uncertain) {
      answer_rest(batch, outcome_unknown());
      co_return;
    }
  }
  answer_rest(batch, failure(503, "not committed in time: nothing was applied"));
}

// ---- history ----

rt::Task<wire::PeerReply> ConfigurationChanges::history() {
  const auto rows = co_await store_.list(wire::changes_prefix);
  if (!rows) co_return failure(503, "the state service does not answer");
  std::vector<wire::ConfigurationChange> changes;
  for (const auto& item : rows->items) {
    const auto row = wire::decode_changes(item.value);
    if (row) changes.insert(changes.end(), row->changes.begin(), row->changes.end());
  }
  std::ranges::reverse(changes);  // newest first
  json entries = json::array();
  std::size_t bytes = 0;
  for (const auto& change : changes) {
    json entry{
        {"version", change.version.value()}, {"atMs", change.at_ms}, {"by", change.author}, {"patch", change.patch}};
    bytes += entry.dump().size();
    if (bytes > max_history_bytes) break;
    entries.push_back(std::move(entry));
  }
  co_return wire::PeerReply{200, json{{"changes", entries}}.dump(), {}};
}

}  // namespace martenwall::service
