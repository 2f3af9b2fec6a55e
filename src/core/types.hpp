// Distinct types for ids, versions and times.
#pragma once
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace martenwall {

// Wraps a value in a distinct type, so that ids of different kinds cannot be mixed up.
template <class Tag, class Rep>
class StrongType {
 public:
  StrongType() = default;
  explicit StrongType(Rep value) : value_(std::move(value)) {}
  [[nodiscard]] const Rep& value() const { return value_; }
  auto operator<=>(const StrongType&) const = default;

 private:
  Rep value_{};
};

using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;
using KeyVersion = StrongType<struct KeyVersionTag, std::uint64_t>;
using Revision = StrongType<struct RevisionTag, std::uint64_t>;
using LeaseId = StrongType<struct LeaseTag, std::uint64_t>;
using Attempt = StrongType<struct AttemptTag, std::uint64_t>;
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
using HeartbeatSequence = StrongType<struct HeartbeatSequenceTag, std::uint64_t>;
using Generation = StrongType<struct GenerationTag, std::uint64_t>;
using JobId = StrongType<struct JobTag, std::string>;
using MachineId = StrongType<struct MachineTag, std::string>;
using ImageId = StrongType<struct ImageTag, std::uint32_t>;  // index of an image name; valid in this process only

// The core's clock: time points are passed in by the caller; the core never reads a clock.
struct CoreClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock, duration>;
  static constexpr bool is_steady = true;
};
using Duration = CoreClock::duration;
using Time = CoreClock::time_point;

constexpr Duration seconds(double s) { return Duration{static_cast<Duration::rep>(s * 1e6)}; }
constexpr double to_seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }

// Identifies a task by its job and its index in the job.
struct TaskId {
  JobId job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};
inline std::string to_string(const TaskId& t) { return t.job.value() + "/" + std::to_string(t.index); }

}  // namespace martenwall

template <class Tag, class Rep>
struct std::hash<martenwall::StrongType<Tag, Rep>> {
  std::size_t operator()(const martenwall::StrongType<Tag, Rep>& s) const noexcept {
    return std::hash<Rep>{}(s.value());
  }
};
