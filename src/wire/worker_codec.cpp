#include "wire/worker_codec.hpp"

#include <array>
#include <charconv>
#include <string_view>

#include "wire/json_fields.hpp"

namespace martenwall::wire {

namespace {

std::optional<TaskState> state_of(const std::string& s) {
  static constexpr std::array<std::pair<std::string_view, TaskState>, 5> names{{{"fetching", TaskState::fetching},
                                                                                {"gathering", TaskState::waiting},
                                                                                {"running", TaskState::running},
                                                                                {"saving", TaskState::saving},
                                                                                {"ended", TaskState::ended}}};
  for (const auto& [name, state] : names) {
    if (name == s) return state;
  }
  return std::nullopt;
}

ExitCause cause_of(const std::string& s) {
  static constexpr std::array<std::pair<std::string_view, ExitCause>, 8> names{{{"done", ExitCause::done},
                                                                                {"stopped", ExitCause::stopped},
                                                                                {"peers", ExitCause::peer_lost},
                                                                                {"alone", ExitCause::gang_incomplete},
                                                                                {"error", ExitCause::error},
                                                                                {"full", ExitCause::no_capacity},
                                                                                {"busy", ExitCause::busy},
                                                                                {"no_such", ExitCause::unknown}}};
  for (const auto& [name, cause] : names) {
    if (name == s) return cause;
  }
  return ExitCause::error;
}

std::optional<TaskStatus> parse_task(const json& o) {
  const auto id = text(o, "shard");
  const auto task = id ? parse_task_id(*id) : std::nullopt;
  const auto attempt = count(o, "try");
  const auto phase = text(o, "phase");
  const auto state = phase ? state_of(*phase) : std::nullopt;
  if (!task || !attempt || !state) return std::nullopt;
  TaskStatus t{*task, Attempt{*attempt}, *state, ExitCause::none, flag(o, "saved").value_or(false)};
  if (t.state == TaskState::ended) t.cause = cause_of(text(o, "cause").value_or(""));
  return t;
}

json commands_json(const std::vector<Command>& commands) {
  static constexpr std::array<const char*, 3> verbs{"run", "stop", "reap"};
  auto out = json::array();
  for (const auto& o : commands) {
    json j{
        {"verb", verbs.at(static_cast<std::size_t>(o.verb))}, {"shard", to_string(o.task)}, {"try", o.attempt.value()}};
    if (o.verb == Command::Verb::stop) j["leewayS"] = o.grace_s;
    out.push_back(std::move(j));
  }
  return out;
}

}  // namespace

std::optional<TaskId> parse_task_id(const std::string& text) {
  const auto slash = text.rfind('/');
  if (slash == std::string::npos || slash == 0) return std::nullopt;
  TaskId id{JobId{text.substr(0, slash)}, 0};
  const auto* begin = text.data() + slash + 1;
  const auto* end = text.data() + text.size();
  const auto [p, err] = std::from_chars(begin, end, id.index);
  if (begin == end || err != std::errc{} || p != end) return std::nullopt;
  return id;
}

std::optional<Heartbeat> parse_heartbeat(const std::string& body) {
  const auto o = parse(body);
  const auto host = text(o, "host");
  const auto incarnation = count(o, "tenure");
  const auto sequence = count(o, "tick");
  const auto type = text(o, "breed");
  const auto zone = text(o, "yard");
  if (!host || host->empty() || host->size() > 150 || !incarnation || !sequence || !type || !zone) return std::nullopt;
  Heartbeat r;
  r.machine = MachineId{*host};
  r.addr = text(o, "endpoint").value_or("");
  r.type = *type;
  r.zone = *zone;
  r.spot = flag(o, "loaners").value_or(false);
  r.incarnation = Incarnation{*incarnation};
  r.sequence = HeartbeatSequence{*sequence};
  r.token = FencingToken{count(o, "baton").value_or(0)};
  r.preemption_notice_s = number(o, "recallS");
  for (const auto& t : list(o, "shards")) {
    auto task = parse_task(t);
    // A task that can't be read might be on the machine: such a report proves nothing.
    if (!task) return std::nullopt;
    r.tasks.push_back(std::move(*task));
  }
  return r;
}

std::string encode_heartbeat_response(FencingToken token, const std::vector<Command>& commands) {
  return json{{"baton", token.value()}, {"orders", commands_json(commands)}}.dump();
}

std::string encode_command_batch(FencingToken token, Incarnation incarnation, const std::vector<Command>& commands) {
  return json{{"baton", token.value()}, {"tenure", incarnation.value()}, {"orders", commands_json(commands)}}.dump();
}

std::string encode_redirect(const std::string& leader) {
  return leader.empty() ? "{}" : json{{"steward", leader}}.dump();
}

}  // namespace martenwall::wire
