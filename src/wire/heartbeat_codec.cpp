#include "wire/heartbeat_codec.hpp"

#include <cmath>
#include <msgpack.hpp>
#include <tuple>

namespace martenwall::wire {

namespace {

constexpr std::size_t max_tasks = 8000;  // per machine; a heartbeat of 64 KiB lists fewer than a thousand
constexpr std::size_t max_bytes = 256 * 1024;
constexpr std::size_t heartbeat_overhead_bytes = 64;  // everything except the strings
constexpr std::size_t task_overhead_bytes = 32;
constexpr std::size_t command_overhead_bytes = 40;

using NodeTuple = std::tuple<std::string, std::uint64_t, std::uint64_t>;
using TaskTuple = std::tuple<std::string, std::uint32_t, std::uint64_t, std::uint8_t, std::uint8_t, bool>;
// A negative preemption notice means that there is none.
using HeartbeatTuple = std::tuple<std::string, std::string, std::string, std::string, bool, std::uint64_t,
                                  std::uint64_t, std::uint64_t, double, std::vector<TaskTuple>>;
using BatchTuple = std::tuple<NodeTuple, std::vector<HeartbeatTuple>>;
using CommandTuple = std::tuple<std::uint8_t, std::string, std::uint32_t, std::uint64_t, double>;
using HeartbeatResponseTuple = std::tuple<std::uint8_t, std::vector<CommandTuple>>;
using ResponsesTuple = std::tuple<std::uint64_t, std::vector<HeartbeatResponseTuple>, std::vector<NodeTuple>>;

NodeTuple to_tuple(const NodeCapacity& node) { return {node.node, node.workers, node.capacity}; }
NodeCapacity from_tuple(NodeTuple tuple) {
  return {std::move(std::get<0>(tuple)), std::get<1>(tuple), std::get<2>(tuple)};
}

HeartbeatTuple to_tuple(const Heartbeat& heartbeat) {
  std::vector<TaskTuple> tasks;
  tasks.reserve(heartbeat.tasks.size());
  for (const auto& status : heartbeat.tasks) {
    tasks.emplace_back(status.task.job.value(), status.task.index, status.attempt.value(),
                       static_cast<std::uint8_t>(status.state), static_cast<std::uint8_t>(status.cause), status.saved);
  }
  return {heartbeat.machine.value(),
          heartbeat.addr,
          heartbeat.type,
          heartbeat.zone,
          heartbeat.spot,
          heartbeat.incarnation.value(),
          heartbeat.sequence.value(),
          heartbeat.token.value(),
          heartbeat.preemption_notice_s.value_or(-1),
          std::move(tasks)};
}

// Moves the strings out of the tuple.
std::optional<Heartbeat> from_tuple(HeartbeatTuple& tuple) {
  auto& [machine, addr, type, zone, spot, incarnation, sequence, token, preemption_notice_s, tasks] = tuple;
  if (machine.empty() || machine.size() > 150 || !std::isfinite(preemption_notice_s)) return std::nullopt;
  Heartbeat heartbeat;
  heartbeat.machine = MachineId{std::move(machine)};
  heartbeat.addr = std::move(addr);
  heartbeat.type = std::move(type);
  heartbeat.zone = std::move(zone);
  heartbeat.spot = spot;
  heartbeat.incarnation = Incarnation{incarnation};
  heartbeat.sequence = HeartbeatSequence{sequence};
  heartbeat.token = FencingToken{token};
  if (preemption_notice_s >= 0) heartbeat.preemption_notice_s = preemption_notice_s;
  heartbeat.tasks.reserve(tasks.size());
  for (auto& [job, index, attempt, state, cause, saved] : tasks) {
    // Workers never report a task whose start command has not arrived, so a forwarded heartbeat must not either.
    if (state < static_cast<std::uint8_t>(TaskState::fetching)) return std::nullopt;
    if (state > static_cast<std::uint8_t>(TaskState::ended)) return std::nullopt;
    if (cause > static_cast<std::uint8_t>(ExitCause::unknown)) return std::nullopt;
    heartbeat.tasks.push_back({TaskId{JobId{std::move(job)}, index}, Attempt{attempt}, static_cast<TaskState>(state),
                               static_cast<ExitCause>(cause), saved});
  }
  return heartbeat;
}

HeartbeatResponseTuple to_tuple(const HeartbeatResponse& response) {
  std::vector<CommandTuple> commands;
  commands.reserve(response.commands.size());
  for (const auto& command : response.commands) {
    commands.emplace_back(static_cast<std::uint8_t>(command.verb), command.task.job.value(), command.task.index,
                          command.attempt.value(), command.grace_s);
  }
  return {static_cast<std::uint8_t>(response.kind), std::move(commands)};
}

std::optional<HeartbeatResponse> from_tuple(HeartbeatResponseTuple& tuple) {
  auto& [kind, commands] = tuple;
  if (kind > static_cast<std::uint8_t>(HeartbeatResponse::Kind::deferred)) return std::nullopt;
  HeartbeatResponse response{static_cast<HeartbeatResponse::Kind>(kind), {}};
  for (auto& [verb, job, index, attempt, grace_s] : commands) {
    if (verb > static_cast<std::uint8_t>(Command::Verb::forget)) return std::nullopt;
    response.commands.push_back(
        {static_cast<Command::Verb>(verb), TaskId{JobId{std::move(job)}, index}, Attempt{attempt}, grace_s});
  }
  return response;
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
std::string pack(const Tuple& tuple) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, tuple);
  return {buffer.data(), buffer.size()};
}

}  // namespace

std::size_t encoded_size(const Heartbeat& heartbeat) {
  std::size_t size = heartbeat_overhead_bytes + heartbeat.machine.value().size() + heartbeat.addr.size() +
                     heartbeat.type.size() + heartbeat.zone.size();
  for (const auto& status : heartbeat.tasks) size += task_overhead_bytes + status.task.job.value().size();
  return size;
}

std::size_t encoded_size(const HeartbeatResponse& response) {
  std::size_t size = 8;
  for (const auto& command : response.commands) size += command_overhead_bytes + command.task.job.value().size();
  return size;
}

std::string encode_batch(const HeartbeatBatch& batch) {
  std::vector<HeartbeatTuple> heartbeats;
  heartbeats.reserve(batch.heartbeats.size());
  for (const auto& heartbeat : batch.heartbeats) heartbeats.push_back(to_tuple(heartbeat));
  return pack(BatchTuple{to_tuple(batch.sender), std::move(heartbeats)});
}

std::string encode_responses(const HeartbeatResponses& responses) {
  std::vector<HeartbeatResponseTuple> response_tuples;
  for (const auto& response : responses.responses) response_tuples.push_back(to_tuple(response));
  std::vector<NodeTuple> nodes;
  for (const auto& node : responses.nodes) nodes.push_back(to_tuple(node));
  return pack(ResponsesTuple{responses.token.value(), std::move(response_tuples), std::move(nodes)});
}

std::optional<HeartbeatBatch> decode_batch(std::string_view bytes) {
  auto fields = unpack<BatchTuple>(bytes);
  if (!fields) return std::nullopt;
  HeartbeatBatch out{from_tuple(std::move(std::get<0>(*fields))), {}};
  for (auto& tuple : std::get<1>(*fields)) {
    auto heartbeat = from_tuple(tuple);
    if (!heartbeat) return std::nullopt;
    out.heartbeats.push_back(std::move(*heartbeat));
  }
  return out;
}

std::optional<HeartbeatResponses> decode_responses(std::string_view bytes) {
  auto fields = unpack<ResponsesTuple>(bytes);
  if (!fields) return std::nullopt;
  HeartbeatResponses out{FencingToken{std::get<0>(*fields)}, {}, {}};
  for (auto& tuple : std::get<1>(*fields)) {
    auto response = from_tuple(tuple);
    if (!response) return std::nullopt;
    out.responses.push_back(std::move(*response));
  }
  for (auto& node : std::get<2>(*fields)) out.nodes.push_back(from_tuple(std::move(node)));
  return out;
}

}  // namespace martenwall::wire
