#include "service/store_limits.hpp"

#include <algorithm>

namespace martenwall::service {

namespace {
constexpr std::size_t signature = 64;  // who wrote a value, and when: added last
constexpr std::size_t least_value = 1024;
constexpr std::size_t least_ops = 4;
constexpr std::size_t telling_refusals = 3;  // one can come of a burst that several nodes share
constexpr Duration refusal_window = seconds(10);
}  // namespace

StoreLimits::StoreLimits(const config::Settings& s)
    : sizes_now_{s.state_value_bytes, s.state_txn_ops},
      sizes_next_(sizes_now_),
      rates_now_{s.state_rps, s.state_write_rps},
      rates_next_(rates_now_) {
  if (!s.state_next) return;
  announced_ = true;
  const auto& n = *s.state_next;
  sizes_next_ = {std::min(sizes_now_.value_bytes, n.value_bytes.value_or(sizes_now_.value_bytes)),
                 std::min(sizes_now_.txn_ops, n.txn_ops.value_or(sizes_now_.txn_ops))};
  rates_next_ = {std::min(rates_now_.rps, n.rps.value_or(rates_now_.rps)),
                 std::min(rates_now_.write_rps, n.write_rps.value_or(rates_now_.write_rps))};
}

void StoreLimits::all_nodes_read_any_size() {
  if (stage_ == Stage::present) enter(Stage::ahead);
}

bool StoreLimits::refused_size() {
  if (announced_ && stage_ != Stage::lowered) {
    enter(Stage::lowered);
    return true;
  }
  // Not announced, or lower than announced: found out by halves.
  const Sizes before = sizes_next_;
  sizes_next_ = {std::max(least_value, before.value_bytes / 2), std::max(least_ops, before.txn_ops / 2)};
  enter(Stage::lowered);
  return sizes_next_.value_bytes < before.value_bytes || sizes_next_.txn_ops < before.txn_ops;
}

bool StoreLimits::refused_rate(Time now) {
  refusals_.push_back(now);
  while (now - refusals_.front() > refusal_window) refusals_.pop_front();
  if (!announced_ || stage_ == Stage::lowered || refusals_.size() < telling_refusals) return false;
  enter(Stage::lowered);
  return true;
}

std::size_t StoreLimits::value_bytes() const {
  const auto bytes = stage_ == Stage::present ? sizes_now_.value_bytes : sizes_next_.value_bytes;
  return bytes - std::min(bytes / 2, signature);
}
std::size_t StoreLimits::txn_ops() const { return stage_ == Stage::present ? sizes_now_.txn_ops : sizes_next_.txn_ops; }
double StoreLimits::rps() const { return stage_ == Stage::lowered ? rates_next_.rps : rates_now_.rps; }
double StoreLimits::write_rps() const {
  return stage_ == Stage::lowered ? rates_next_.write_rps : rates_now_.write_rps;
}

}  // namespace martenwall::service
