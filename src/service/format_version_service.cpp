#include "service/format_version_service.hpp"

#include <algorithm>

namespace martenwall::service {

namespace {
constexpr Duration poll_interval = seconds(0.5);
// Estimated size of a task in a row: its index, attempt and machine. Rows that exceed the limit because names are
// longer are split when their size is measured.
constexpr std::size_t bytes_per_task = 24;
constexpr std::size_t row_overhead_bytes = 300;
constexpr std::size_t max_tasks = 400;
constexpr std::size_t bytes_per_machine = 190;
constexpr std::size_t machine_row_overhead_bytes = 400;
constexpr std::size_t max_machines = 60;

std::size_t records_per_row(std::size_t value_bytes, std::size_t overhead_bytes, std::size_t bytes_per_record,
                            std::size_t max_records) {
  return std::clamp<std::size_t>((value_bytes - std::min(value_bytes, overhead_bytes)) / bytes_per_record, 1,
                                 max_records);
}
}  // namespace

void apply_row_size_limits(Context& ctx) {
  if (ctx.scheduler == nullptr) return;
  const auto value_bytes = ctx.limits.value_bytes();
  ctx.scheduler->set_row_sizes(
      static_cast<std::uint32_t>(records_per_row(value_bytes, row_overhead_bytes, bytes_per_task, max_tasks)),
      records_per_row(value_bytes, machine_row_overhead_bytes, bytes_per_machine, max_machines));
}

rt::Task<void> FormatVersionService::run() {
  for (;;) {
    const bool published = co_await publish_node_version();
    if (published) break;
    co_await ctx_.loop.sleep(poll_interval);
  }
  ctx_.version_published = true;
  ctx_.log->info("node version stated version={} format_version={}", MARTENWALL_VERSION, wire::current_format_version);
  while (ctx_.format_version < wire::current_format_version) {
    co_await read();
    if (ctx_.format_version < wire::current_format_version && ctx_.has_valid_lease()) co_await raise_format_version();
    if (ctx_.format_version < wire::current_format_version) co_await ctx_.loop.sleep(poll_interval);
  }
}

rt::Task<bool> FormatVersionService::publish_node_version() {
  std::vector<wire::StoreOp> operations;
  operations.push_back({wire::node_format_version_key(ctx_.settings.node),
                        wire::encode_node_format_version(MARTENWALL_VERSION), std::nullopt});
  const TxnResult written = co_await store_.txn({}, std::move(operations), seconds(1));
  co_return written.outcome == TxnOutcome::committed;
}

rt::Task<bool> FormatVersionService::read() {
  if (ctx_.format_version >= wire::current_format_version) co_return true;
  const ReadResult read = co_await store_.get(wire::format_version_key, seconds(1));
  if (read.outcome == ReadOutcome::failed) co_return false;
  if (read.outcome == ReadOutcome::absent) co_return true;
  const auto row = wire::decode_format_version(read.item.value);
  if (!row) {
    ctx_.log->error("format version unreadable key={}", wire::format_version_key);
    co_return false;
  }
  ctx_.v1_row_size = row->v1_row_size;
  if (row->format_version < wire::current_format_version) co_return true;
  ctx_.format_version = row->format_version;
  ctx_.limits.use_announced_sizes();
  ctx_.log->info("format version raised version={} value_bytes={} txn_operations={}", row->format_version,
                 ctx_.limits.value_bytes(), ctx_.limits.txn_ops());
  if (ctx_.scheduler != nullptr) {
    apply_row_size_limits(ctx_);
    ctx_.scheduler->use_range_rows(ctx_.now());
    ctx_.log->info("v1 rows to convert rows={}", ctx_.scheduler->v1_row_count());
    ctx_.notify_pending_work();
  }
  co_return true;
}

std::set<std::string> FormatVersionService::node_names() const {
  std::set<std::string> names{ctx_.settings.node};
  for (const auto& peer : ctx_.settings.peers) names.insert(peer.node);
  return names;
}

// Commits only if this node is still the leader. The outcome is read from the store, as on every other node.
rt::Task<void> FormatVersionService::raise_format_version() {
  const auto token = ctx_.leadership.token();
  auto outdated_nodes = node_names();
  const auto published = co_await store_.list(wire::node_format_version_prefix);
  if (!published) co_return;
  for (const auto& item : published->items) {
    const auto format_version = wire::count(item.value, "level");
    if (format_version && *format_version >= wire::current_format_version) outdated_nodes.erase(item.key.substr(2));
  }
  if (!outdated_nodes.empty()) {
    std::string node_list;
    for (const auto& node : outdated_nodes) node_list += (node_list.empty() ? "" : ",") + node;
    if (node_list != last_logged_nodes_) {
      ctx_.log->info("format version waits version={} nodes={}", wire::current_format_version, node_list);
    }
    last_logged_nodes_ = node_list;
    co_return;
  }
  std::vector<wire::Condition> conditions{{wire::leader_key, KeyVersion{token.value()}},
                                          {wire::format_version_key, KeyVersion{0}}};
  std::vector<wire::StoreOp> operations;
  operations.push_back({wire::format_version_key,
                        wire::encode_format_version({wire::current_format_version, ctx_.v1_row_size}), std::nullopt});
  co_await store_.txn(std::move(conditions), std::move(operations), seconds(1));
  co_await read();
}

}  // namespace martenwall::service
