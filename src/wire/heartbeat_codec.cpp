#include "wire/heartbeat_codec.hpp"

#include <cmath>
#include <msgpack.hpp>
#include <tuple>

namespace martenwall::wire {

namespace {

constexpr std::size_t max_tasks = 8000;  // of one machine; a report of 64 KiB tells of fewer than a thousand
constexpr std::size_t max_bytes = 256 * 1024;
constexpr std::size_t heartbeat_overhead_bytes = 64;  // framing of what is not text
constexpr std::size_t task_overhead_bytes = 32;
constexpr std::size_t command_overhead_bytes = 40;

using NodeTuple = std::tuple<std::string, std::uint64_t, std::uint64_t>;
using TaskTuple = std::tuple<std::string, std::uint32_t, std::uint64_t, std::uint8_t, std::uint8_t, bool>;
// `notice_s` below 0: none.
using HeartbeatTuple = std::tuple<std::string, std::string, std::string, std::string, bool, std::uint64_t,
                                  std::uint64_t, std::uint64_t, double, std::vector<TaskTuple>>;
using BatchTuple = std::tuple<NodeTuple, std::vector<HeartbeatTuple>>;
using CommandTuple = std::tuple<std::uint8_t, std::string, std::uint32_t, std::uint64_t, double>;
using HeartbeatResponseTuple = std::tuple<std::uint8_t, std::vector<CommandTuple>>;
using ResponsesTuple = std::tuple<std::uint64_t, std::vector<HeartbeatResponseTuple>, std::vector<NodeTuple>>;

NodeTuple to_tuple(const NodeCapacity& n) { return {n.node, n.workers, n.capacity}; }
NodeCapacity from_tuple(NodeTuple t) { return {std::move(std::get<0>(t)), std::get<1>(t), std::get<2>(t)}; }

HeartbeatTuple to_tuple(const Heartbeat& r) {
  std::vector<TaskTuple> tasks;
  tasks.reserve(r.tasks.size());
  for (const auto& t : r.tasks) {
    tasks.emplace_back(t.task.job.value(), t.task.index, t.attempt.value(), static_cast<std::uint8_t>(t.state),
                       static_cast<std::uint8_t>(t.cause), t.saved);
  }
  return {r.machine.value(),
          r.addr,
          r.type,
          r.zone,
          r.spot,
          r.incarnation.value(),
          r.sequence.value(),
          r.token.value(),
          r.preemption_notice_s.value_or(-1),
          std::move(tasks)};
}

// Takes the texts out of it.
std::optional<Heartbeat> from_tuple(HeartbeatTuple& t) {
  auto& [machine, addr, type, zone, spot, incarnation, sequence, token, preemption_notice_s, tasks] = t;
  if (machine.empty() || machine.size() > 150 || !std::isfinite(preemption_notice_s)) return std::nullopt;
  Heartbeat r;
  r.machine = MachineId{std::move(machine)};
  r.addr = std::move(addr);
  r.type = std::move(type);
  r.zone = std::move(zone);
  r.spot = spot;
  r.incarnation = Incarnation{incarnation};
  r.sequence = HeartbeatSequence{sequence};
  r.token = FencingToken{token};
  if (preemption_notice_s >= 0) r.preemption_notice_s = preemption_notice_s;
  r.tasks.reserve(tasks.size());
  for (auto& [job, index, attempt, state, cause, saved] : tasks) {
    // What no worker reports, a start that has not arrived, must not come in by this way either.
    if (state < static_cast<std::uint8_t>(TaskState::fetching)) return std::nullopt;
    if (state > static_cast<std::uint8_t>(TaskState::ended)) return std::nullopt;
    if (cause > static_cast<std::uint8_t>(ExitCause::unknown)) return std::nullopt;
    r.tasks.push_back({TaskId{JobId{std::move(job)}, index}, Attempt{attempt}, static_cast<TaskState>(state),
                       static_cast<ExitCause>(cause), saved});
  }
  return r;
}

HeartbeatResponseTuple to_tuple(const HeartbeatResponse& a) {
  std::vector<CommandTuple> commands;
  commands.reserve(a.commands.size());
  for (const auto& o : a.commands) {
    commands.emplace_back(static_cast<std::uint8_t>(o.verb), o.task.job.value(), o.task.index, o.attempt.value(),
                          o.grace_s);
  }
  return {static_cast<std::uint8_t>(a.kind), std::move(commands)};
}

std::optional<HeartbeatResponse> from_tuple(HeartbeatResponseTuple& t) {
  auto& [kind, commands] = t;
  if (kind > static_cast<std::uint8_t>(HeartbeatResponse::Kind::deferred)) return std::nullopt;
  HeartbeatResponse a{static_cast<HeartbeatResponse::Kind>(kind), {}};
  for (auto& [verb, job, index, attempt, grace_s] : commands) {
    if (verb > static_cast<std::uint8_t>(Command::Verb::forget)) return std::nullopt;
    a.commands.push_back(
        {static_cast<Command::Verb>(verb), TaskId{JobId{std::move(job)}, index}, Attempt{attempt}, grace_s});
  }
  return a;
}

template <class Tuple>
std::optional<Tuple> unpack(std::string_view bytes) {
  if (bytes.size() > max_bytes) return std::nullopt;
  const msgpack::unpack_limit limits{max_tasks, 0, max_bytes, 0, 0, 6};
  try {
    std::size_t end = 0;
    const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, limits);
    if (end != bytes.size()) return std::nullopt;
    return handle.get().as<Tuple>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

template <class Tuple>
std::string pack(const Tuple& t) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, t);
  return {buffer.data(), buffer.size()};
}

}  // namespace

std::size_t encoded_size(const Heartbeat& r) {
  std::size_t n = heartbeat_overhead_bytes + r.machine.value().size() + r.addr.size() + r.type.size() + r.zone.size();
  for (const auto& t : r.tasks) n += task_overhead_bytes + t.task.job.value().size();
  return n;
}

std::size_t encoded_size(const HeartbeatResponse& a) {
  std::size_t n = 8;
  for (const auto& o : a.commands) n += command_overhead_bytes + o.task.job.value().size();
  return n;
}

std::string encode_batch(const HeartbeatBatch& batch) {
  std::vector<HeartbeatTuple> heartbeats;
  heartbeats.reserve(batch.heartbeats.size());
  for (const auto& r : batch.heartbeats) heartbeats.push_back(to_tuple(r));
  return pack(BatchTuple{to_tuple(batch.sender), std::move(heartbeats)});
}

std::string encode_responses(const HeartbeatResponses& responses) {
  std::vector<HeartbeatResponseTuple> list;
  for (const auto& a : responses.responses) list.push_back(to_tuple(a));
  std::vector<NodeTuple> nodes;
  for (const auto& n : responses.nodes) nodes.push_back(to_tuple(n));
  return pack(ResponsesTuple{responses.token.value(), std::move(list), std::move(nodes)});
}

std::optional<HeartbeatBatch> decode_batch(std::string_view bytes) {
  auto t = unpack<BatchTuple>(bytes);
  if (!t) return std::nullopt;
  HeartbeatBatch out{from_tuple(std::move(std::get<0>(*t))), {}};
  for (auto& r : std::get<1>(*t)) {
    auto heartbeat = from_tuple(r);
    if (!heartbeat) return std::nullopt;
    out.heartbeats.push_back(std::move(*heartbeat));
  }
  return out;
}

std::optional<HeartbeatResponses> decode_responses(std::string_view bytes) {
  auto t = unpack<ResponsesTuple>(bytes);
  if (!t) return std::nullopt;
  HeartbeatResponses out{FencingToken{std::get<0>(*t)}, {}, {}};
  for (auto& a : std::get<1>(*t)) {
    auto answer = from_tuple(a);
    if (!answer) return std::nullopt;
    out.responses.push_back(std::move(*answer));
  }
  for (auto& n : std::get<2>(*t)) out.nodes.push_back(from_tuple(std::move(n)));
  return out;
}

}  // namespace martenwall::wire
