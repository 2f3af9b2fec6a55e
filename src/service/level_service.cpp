#include "service/level_service.hpp"

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
constexpr std::size_t facts_overhead = 400;
constexpr std::size_t most_machines = 60;

std::size_t fitting(std::size_t value, std::size_t overhead, std::size_t each, std::size_t most) {
  return std::clamp<std::size_t>((value - std::min(value, overhead)) / each, 1, most);
}
}  // namespace

void apply_limits(Context& ctx) {
  if (ctx.scheduler == nullptr) return;
  const auto value = ctx.limits.value_bytes();
  ctx.scheduler->set_row_sizes(static_cast<std::uint32_t>(fitting(value, row_overhead, bytes_per_task, most_tasks)),
                               fitting(value, facts_overhead, bytes_per_machine, most_machines));
}

rt::Task<void> LevelService::run() {
  for (;;) {
    const bool stated = co_await state_own();
    if (stated) break;
    co_await ctx_.loop.sleep(look_every);
  }
  ctx_.version_stated = true;
  ctx_.log->info("this node runs version {}, level {}", MARTENWALL_VERSION, wire::this_level);
  while (ctx_.level < wire::this_level) {
    co_await read();
    if (ctx_.level < wire::this_level && ctx_.proven()) co_await raise();
    if (ctx_.level < wire::this_level) co_await ctx_.loop.sleep(look_every);
  }
}

rt::Task<bool> LevelService::state_own() {
  std::vector<wire::StoreOp> then;
  then.push_back({wire::node_level_key(ctx_.settings.node), wire::encode_node_level(MARTENWALL_VERSION), std::nullopt});
  const TxnResult r = co_await state_.txn({}, std::move(then), seconds(1));
  co_return r.outcome == TxnOutcome::committed;
}

rt::Task<bool> LevelService::read() {
  if (ctx_.level >= wire::this_level) co_return true;
  const ReadResult r = co_await state_.get(wire::level_key, seconds(1));
  if (r.outcome == ReadOutcome::failed) co_return false;
  if (r.outcome == ReadOutcome::absent) co_return true;
  const auto row = wire::decode_level(r.item.value);
  if (!row) {
    ctx_.log->error("the level of all nodes cannot be read");
    co_return false;
  }
  ctx_.legacy_size = row->legacy_size;
  if (row->level < wire::this_level) co_return true;
  ctx_.level = row->level;
  ctx_.limits.all_nodes_read_any_size();
  ctx_.log->info("all nodes have reached level {}; values of {} bytes and {} changes a transaction from now on",
                 row->level, ctx_.limits.value_bytes(), ctx_.limits.txn_ops());
  if (ctx_.scheduler != nullptr) {
    apply_limits(ctx_);
    ctx_.scheduler->use_spans(ctx_.now());
    ctx_.log->info("{} rows by number are to be divided", ctx_.scheduler->legacy_rows());
    ctx_.kick();
  }
  co_return true;
}

std::set<std::string> LevelService::nodes() const {
  std::set<std::string> out{ctx_.settings.node};
  for (const auto& p : ctx_.settings.peers) out.insert(p.node);
  return out;
}

// By the leader of this moment only; whether it came to pass is read from the store, like anyone's.
rt::Task<void> LevelService::raise() {
  const auto token = ctx_.leadership.token();
  auto left = nodes();
  const auto stated = co_await state_.list("v/");
  if (!stated) co_return;
  for (const auto& item : stated->items) {
    const auto level = wire::count(item.value, "level");
    if (level && *level >= wire::this_level) left.erase(item.key.substr(2));
  }
  if (!left.empty()) {
    std::string missing;
    for (const auto& n : left) missing += " " + n;
    if (missing != missing_) ctx_.log->info("level {} waits for:{}", wire::this_level, missing);
    missing_ = missing;
    co_return;
  }
  std::vector<wire::Condition> when{{wire::leader_key, Stamp{token.value()}}, {wire::level_key, Stamp{0}}};
  std::vector<wire::StoreOp> then;
  then.push_back({wire::level_key, wire::encode_level({wire::this_level, ctx_.legacy_size}), std::nullopt});
  co_await state_.txn(std::move(when), std::move(then), seconds(1));
  co_await read();
}

}  // namespace martenwall::service
