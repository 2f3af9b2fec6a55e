#include "service/store_limits.hpp"

#include <algorithm>

namespace martenwall::service {

namespace {
constexpr std::size_t value_overhead_bytes = 64;  // the writer's transaction ID, which is added after the size check
constexpr std::size_t min_value_bytes = 1024;
constexpr std::size_t min_txn_ops = 4;
constexpr std::size_t min_refusals = 3;  // a single one may result from a burst of several nodes
constexpr Duration refusal_window = seconds(10);
}  // namespace

StoreLimits::StoreLimits(const config::Settings& settings)
    : current_sizes_{settings.state_value_bytes, settings.state_txn_ops},
      lowered_sizes_(current_sizes_),
      current_rates_{settings.state_rps, settings.state_write_rps},
      lowered_rates_(current_rates_) {
  if (!settings.upcoming_state_limits) return;
  announced_ = true;
  const auto& announced = *settings.upcoming_state_limits;
  lowered_sizes_ = {std::min(current_sizes_.value_bytes, announced.value_bytes.value_or(current_sizes_.value_bytes)),
                    std::min(current_sizes_.txn_ops, announced.txn_ops.value_or(current_sizes_.txn_ops))};
  lowered_rates_ = {std::min(current_rates_.rps, announced.rps.value_or(current_rates_.rps)),
                    std::min(current_rates_.write_rps, announced.write_rps.value_or(current_rates_.write_rps))};
}

void StoreLimits::use_announced_sizes() {
  if (stage_ == Stage::current_limits) transition_to(Stage::lowered_sizes);
}

bool StoreLimits::on_size_refused() {
  if (announced_ && stage_ != Stage::lowered_limits) {
    transition_to(Stage::lowered_limits);
    return true;
  }
  // The limits are unannounced or lower than announced: halves the sizes until the store accepts them.
  const Sizes before = lowered_sizes_;
  lowered_sizes_ = {std::max(min_value_bytes, before.value_bytes / 2), std::max(min_txn_ops, before.txn_ops / 2)};
  transition_to(Stage::lowered_limits);
  return lowered_sizes_.value_bytes < before.value_bytes || lowered_sizes_.txn_ops < before.txn_ops;
}

bool StoreLimits::on_rate_refused(Time now) {
  refusals_.push_back(now);
  while (now - refusals_.front() > refusal_window) refusals_.pop_front();
  if (!announced_ || stage_ == Stage::lowered_limits || refusals_.size() < min_refusals) return false;
  transition_to(Stage::lowered_limits);
  return true;
}

std::size_t StoreLimits::value_bytes() const {
  const auto bytes = stage_ == Stage::current_limits ? current_sizes_.value_bytes : lowered_sizes_.value_bytes;
  return bytes - std::min(bytes / 2, value_overhead_bytes);
}
std::size_t StoreLimits::txn_ops() const {
  return stage_ == Stage::current_limits ? current_sizes_.txn_ops : lowered_sizes_.txn_ops;
}
double StoreLimits::rps() const { return stage_ == Stage::lowered_limits ? lowered_rates_.rps : current_rates_.rps; }
double StoreLimits::write_rps() const {
  return stage_ == Stage::lowered_limits ? lowered_rates_.write_rps : current_rates_.write_rps;
}

}  // namespace martenwall::service
