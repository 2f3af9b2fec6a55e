#include "service/format_version_service.hpp"

#include <algorithm>

namespace martenwall::service {

namespace {
constexpr Duration look_every = seconds(0.5);
// What a task takes in a row, its index, attempt and machine; where names are longer, rows are divided as they are
// measured.
constexpr std::size_t bytes_per_task = 24;
constexpr std::size_t row_overhead = 300;
constexpr std::size_t most_tasks = 400;
constexpr std::size_t bytes_per_machine = 190;
constexpr std::size_t machine_row_overhead = 400;
constexpr std::size_t most_machines = 60;

std::size_t fitting(std::size_t value, std::size_t overhead, std::size_t each, std::size_t most) {
  return std::clamp<std::size_t>((value - std::min(value, overhead)) / each, 1, most);
}
}  // namespace

void apply_row_size_limits(Context& ctx) {
  if (ctx.scheduler == nullptr) return;
  const auto value = ctx.limits.value_bytes();
  ctx.scheduler->set_row_sizes(static_cast<std::uint32_t>(fitting(value, row_overhead, bytes_per_task, most_tasks)),
                               fitting(value, machine_row_overhead, bytes_per_machine, most_machines));
}

rt::Task<void> FormatVersionService::run() {
  for (;;) {
    const bool stated = co_await state_own();
    if (stated) break;
    co_await ctx_.loop.sleep(look_every);
  }
  ctx_.version_stated = true;
  ctx_.log->info("node version stated version={} format_version={}", MARTENWALL_VERSION, wire::current_format_version);
  while (ctx_.format_version < wire::current_format_version) {
    co_await read();
    if (ctx_.format_version < wire::current_format_version && ctx_.has_valid_lease()) co_await raise();
    if (ctx_.format_version < wire::current_format_version) co_await ctx_.loop.sleep(look_every);
  }
}

rt::Task<bool> FormatVersionService::state_own() {
  std::vector<wire::StoreOp> then;
  then.push_back({wire::node_format_version_key(ctx_.settings.node),
                  wire::encode_node_format_version(MARTENWALL_VERSION), std::nullopt});
  const TxnResult r = co_await store_.txn({}, std::move(then), seconds(1));
  co_return r.outcome == TxnOutcome::committed;
}

rt::Task<bool> FormatVersionService::read() {
  if (ctx_.format_version >= wire::current_format_version) co_return true;
  const ReadResult r = co_await store_.get(wire::format_version_key, seconds(1));
  if (r.outcome == ReadOutcome::failed) co_return false;
  if (r.outcome == ReadOutcome::absent) co_return true;
  const auto row = wire::decode_format_version(r.item.value);
  if (!row) {
    ctx_.log->error("format version unreadable key={}", wire::format_version_key);
    co_return false;
  }
  ctx_.v1_row_size = row->v1_row_size;
  if (row->format_version < wire::current_format_version) co_return true;
  ctx_.format_version = row->format_version;
  ctx_.limits.all_nodes_read_any_size();
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

std::set<std::string> FormatVersionService::nodes() const {
  std::set<std::string> out{ctx_.settings.node};
  for (const auto& p : ctx_.settings.peers) out.insert(p.node);
  return out;
}

// By the leader of this moment only; whether it came to pass is read from the store, like anyone's.
rt::Task<void> FormatVersionService::raise() {
  const auto token = ctx_.leadership.token();
  auto left = nodes();
  const auto stated = co_await store_.list(wire::node_format_version_prefix);
  if (!stated) co_return;
  for (const auto& item : stated->items) {
    const auto format_version = wire::count(item.value, "level");
    if (format_version && *format_version >= wire::current_format_version) left.erase(item.key.substr(2));
  }
  if (!left.empty()) {
    std::string missing;
    for (const auto& node : left) missing += (missing.empty() ? "" : ",") + node;
    if (missing != missing_) {
      ctx_.log->info("format version waits version={} nodes={}", wire::current_format_version, missing);
    }
    missing_ = missing;
    co_return;
  }
  std::vector<wire::Condition> when{{wire::leader_key, KeyVersion{token.value()}},
                                    {wire::format_version_key, KeyVersion{0}}};
  std::vector<wire::StoreOp> then;
  then.push_back({wire::format_version_key,
                  wire::encode_format_version({wire::current_format_version, ctx_.v1_row_size}), std::nullopt});
  co_await store_.txn(std::move(when), std::move(then), seconds(1));
  co_await read();
}

}  // namespace martenwall::service
