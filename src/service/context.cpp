#include "service/context.hpp"

#include <algorithm>
#include <chrono>

namespace martenwall::service {

std::uint32_t Context::v1_row_size_for(std::size_t value_bytes) {
  constexpr std::size_t bytes_per_task = 60;
  constexpr std::size_t row_overhead_bytes = 1200;
  const auto usable_bytes = std::max(value_bytes, 2 * row_overhead_bytes);
  return static_cast<std::uint32_t>(std::min<std::size_t>(400, (usable_bytes - row_overhead_bytes) / bytes_per_task));
}

std::int64_t Context::wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace martenwall::service
