#include "wire/worker_codec.hpp"

#include <array>
#include <charconv>
#include <string_view>

#include "wire/json_fields.hpp"

namespace martenwall::wire {

namespace {

std::optional<TaskState> state_of(const std::string& text) {
  static constexpr std::array<std::pair<std::string_view, TaskState>, 5> names{{{"fetching", TaskState::fetching},
                                                                                {"gathering", TaskState::waiting},
                                                                                {"running", TaskState::running},
                                                                                {"saving", TaskState::saving},
                                                                                {"ended", TaskState::ended}}};
  for (const auto& [name, state] : names) {
    if (name == text) return state;
  }
  return std::nullopt;
}

ExitCause cause_of(const std::string& text) {
  static constexpr std::array<std::pair<std::string_view, ExitCause>, 8> names{{{"done", ExitCause::done},
                                                                                {"stopped", ExitCause::stopped},
                                                                                {"peers", ExitCause::peer_lost},
                                                                                {"alone", ExitCause::gang_incomplete},
                                                                                {"error", ExitCause::error},
                                                                                {"full", ExitCause::no_capacity},
                                                                                {"busy", ExitCause::busy},
                                                                                {"no_such", ExitCause::unknown}}};
  for (const auto& [name, cause] : names) {
    if (name == text) return cause;
  }
  return ExitCause::error;
}

std::optional<TaskStatus> parse_task(const json& object) {
  const auto id = text(object, "shard");
  const auto task = id ? parse_task_id(*id) : std::nullopt;
  const auto attempt = count(object, "try");
  const auto phase = text(object, "phase");
  const auto state = phase ? state_of(*phase) : std::nullopt;
  if (!task || !attempt || !state) return std::nullopt;
  TaskStatus status{*task, Attempt{*attempt}, *state, ExitCause::none, flag(object, "saved").value_or(false)};
  if (status.state == TaskState::ended) status.cause = cause_of(text(object, "cause").value_or(""));
  return status;
}

json commands_json(const std::vector<Command>& commands) {
  static constexpr std::array<const char*, 3> verbs{"run", "stop", "reap"};
  auto out = json::array();
  for (const auto& command : commands) {
    json object{{"verb", verbs.at(static_cast<std::size_t>(command.verb))},
                {"shard", to_string(command.task)},
                {"try", command.attempt.value()}};
    if (command.verb == Command::Verb::stop) object["leewayS"] = command.grace_s;
    out.push_back(std::move(object));
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
  const auto [parsed_end, error] = std::from_chars(begin, end, id.index);
  if (begin == end || error != std::errc{} || parsed_end != end) return std::nullopt;
  return id;
}

std::optional<Heartbeat> parse_heartbeat(const std::string& body) {
  const auto object = parse(body);
  const auto host = text(object, "host");
  const auto incarnation = count(object, "tenure");
  const auto sequence = count(object, "tick");
  const auto type = text(object, "breed");
  const auto zone = text(object, "yard");
  if (!host || host->empty() || host->size() > 150 || !incarnation || !sequence || !type || !zone) return std::nullopt;
  Heartbeat heartbeat;
  heartbeat.machine = MachineId{*host};
  heartbeat.addr = text(object, "endpoint").value_or("");
  heartbeat.type = *type;
  heartbeat.zone = *zone;
  heartbeat.spot = flag(object, "loaners").value_or(false);
  heartbeat.incarnation = Incarnation{*incarnation};
  heartbeat.sequence = HeartbeatSequence{*sequence};
  heartbeat.token = FencingToken{count(object, "baton").value_or(0)};
  heartbeat.preemption_notice_s = number(object, "recallS");
  for (const auto& item : list(object, "shards")) {
    auto task = parse_task(item);
    // An unreadable task may be on the machine, so the heartbeat does not show which tasks are absent.
    if (!task) return std::nullopt;
    heartbeat.tasks.push_back(std::move(*task));
  }
  return heartbeat;
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
