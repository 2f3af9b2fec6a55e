#include "wire/report_codec.hpp"

#include <cmath>
#include <msgpack.hpp>
#include <tuple>

namespace martenwall::wire {

namespace {

constexpr std::size_t most_tasks = 8000;  // of one machine; a report of 64 KiB tells of fewer than a thousand
constexpr std::size_t most_bytes = 256 * 1024;
constexpr std::size_t per_report = 64;  // framing of what is not text
constexpr std::size_t per_task = 32;
constexpr std::size_t per_order = 40;

using NodeTuple = std::tuple<std::string, std::uint64_t, std::uint64_t>;
using TaskTuple = std::tuple<std::string, std::uint32_t, std::uint64_t, std::uint8_t, std::uint8_t, bool>;
// `notice_s` below 0: none.
using ReportTuple = std::tuple<std::string, std::string, std::string, std::string, bool, std::uint64_t, std::uint64_t,
                               std::uint64_t, double, std::vector<TaskTuple>>;
using BatchTuple = std::tuple<NodeTuple, std::vector<ReportTuple>>;
using OrderTuple = std::tuple<std::uint8_t, std::string, std::uint32_t, std::uint64_t, double>;
using AnswerTuple = std::tuple<std::uint8_t, std::vector<OrderTuple>>;
using AnswersTuple = std::tuple<std::uint64_t, std::vector<AnswerTuple>, std::vector<NodeTuple>>;

NodeTuple to_tuple(const NodeRoom& n) { return {n.node, n.workers, n.room}; }
NodeRoom from_tuple(NodeTuple t) { return {std::move(std::get<0>(t)), std::get<1>(t), std::get<2>(t)}; }

ReportTuple to_tuple(const WorkerReport& r) {
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
          r.session.value(),
          r.tick.value(),
          r.token.value(),
          r.notice_s.value_or(-1),
          std::move(tasks)};
}

// Takes the texts out of it.
std::optional<WorkerReport> from_tuple(ReportTuple& t) {
  auto& [machine, addr, type, zone, spot, session, tick, token, notice_s, tasks] = t;
  if (machine.empty() || machine.size() > 150 || !std::isfinite(notice_s)) return std::nullopt;
  WorkerReport r;
  r.machine = MachineId{std::move(machine)};
  r.addr = std::move(addr);
  r.type = std::move(type);
  r.zone = std::move(zone);
  r.spot = spot;
  r.session = Session{session};
  r.tick = Tick{tick};
  r.token = Token{token};
  if (notice_s >= 0) r.notice_s = notice_s;
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

AnswerTuple to_tuple(const ReportAnswer& a) {
  std::vector<OrderTuple> orders;
  orders.reserve(a.orders.size());
  for (const auto& o : a.orders) {
    orders.emplace_back(static_cast<std::uint8_t>(o.verb), o.task.job.value(), o.task.index, o.attempt.value(),
                        o.grace_s);
  }
  return {static_cast<std::uint8_t>(a.kind), std::move(orders)};
}

std::optional<ReportAnswer> from_tuple(AnswerTuple& t) {
  auto& [kind, orders] = t;
  if (kind > static_cast<std::uint8_t>(ReportAnswer::Kind::later)) return std::nullopt;
  ReportAnswer a{static_cast<ReportAnswer::Kind>(kind), {}};
  for (auto& [verb, job, index, attempt, grace_s] : orders) {
    if (verb > static_cast<std::uint8_t>(Order::Verb::forget)) return std::nullopt;
    a.orders.push_back(
        {static_cast<Order::Verb>(verb), TaskId{JobId{std::move(job)}, index}, Attempt{attempt}, grace_s});
  }
  return a;
}

template <class Tuple>
std::optional<Tuple> unpack(std::string_view bytes) {
  if (bytes.size() > most_bytes) return std::nullopt;
  const msgpack::unpack_limit limits{most_tasks, 0, most_bytes, 0, 0, 6};
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

std::size_t encoded_size(const WorkerReport& r) {
  std::size_t n = per_report + r.machine.value().size() + r.addr.size() + r.type.size() + r.zone.size();
  for (const auto& t : r.tasks) n += per_task + t.task.job.value().size();
  return n;
}

std::size_t encoded_size(const ReportAnswer& a) {
  std::size_t n = 8;
  for (const auto& o : a.orders) n += per_order + o.task.job.value().size();
  return n;
}

std::string encode_batch(const ReportBatch& batch) {
  std::vector<ReportTuple> reports;
  reports.reserve(batch.reports.size());
  for (const auto& r : batch.reports) reports.push_back(to_tuple(r));
  return pack(BatchTuple{to_tuple(batch.sender), std::move(reports)});
}

std::string encode_answers(const ReportAnswers& answers) {
  std::vector<AnswerTuple> list;
  for (const auto& a : answers.answers) list.push_back(to_tuple(a));
  std::vector<NodeTuple> nodes;
  for (const auto& n : answers.nodes) nodes.push_back(to_tuple(n));
  return pack(AnswersTuple{answers.token.value(), std::move(list), std::move(nodes)});
}

std::optional<ReportBatch> decode_batch(std::string_view bytes) {
  auto t = unpack<BatchTuple>(bytes);
  if (!t) return std::nullopt;
  ReportBatch out{from_tuple(std::move(std::get<0>(*t))), {}};
  for (auto& r : std::get<1>(*t)) {
    auto report = from_tuple(r);
    if (!report) return std::nullopt;
    out.reports.push_back(std::move(*report));
  }
  return out;
}

std::optional<ReportAnswers> decode_answers(std::string_view bytes) {
  auto t = unpack<AnswersTuple>(bytes);
  if (!t) return std::nullopt;
  ReportAnswers out{Token{std::get<0>(*t)}, {}, {}};
  for (auto& a : std::get<1>(*t)) {
    auto answer = from_tuple(a);
    if (!answer) return std::nullopt;
    out.answers.push_back(std::move(*answer));
  }
  for (auto& n : std::get<2>(*t)) out.nodes.push_back(from_tuple(std::move(n)));
  return out;
}

}  // namespace martenwall::wire
