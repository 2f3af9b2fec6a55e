#include "service/configuration_command.hpp"

#include <fstream>
#include <memory>
#include <ostream>

#include "service/peer_link.hpp"

namespace martenwall::service {

namespace {

using nlohmann::json;

constexpr Duration answer_timeout = seconds(12);

std::optional<json> read_patch(const std::string& path, std::ostream& err) {
  std::ifstream in{path};
  if (!in) {
    err << "config: cannot read '" << path << "'\n";
    return std::nullopt;
  }
  json patch = json::parse(in, nullptr, false);
  if (!patch.is_object()) {
    err << "config: '" << path << "' must hold a JSON object\n";
    return std::nullopt;
  }
  return patch;
}

struct Exchange {
  std::optional<wire::PeerReply> reply;
  bool finished = false;
};

rt::Task<void> send_request(rt::Loop& loop, rt::Endpoint endpoint, std::string frame,
                            std::shared_ptr<Exchange> exchange) {
  const Time deadline = loop.now() + answer_timeout;
  exchange->reply = co_await call_once(loop, std::move(endpoint), std::move(frame), deadline);
  exchange->finished = true;
}

void print_change(const json& body, std::ostream& out) {
  out << "version " << body.at("version") << " would change:\n";
  for (const auto& step : json::diff(body.at("before"), body.at("after"))) {
    out << "  " << step.at("op").get<std::string>() << " " << step.at("path").get<std::string>();
    if (step.contains("value")) out << " " << step.at("value").dump();
    out << "\n";
  }
}

void print(const wire::ConfigurationRequest& request, const json& body, std::ostream& out) {
  using Action = wire::ConfigurationRequest::Action;
  if (request.action != Action::apply || !body.contains("version")) {
    out << body.dump(2) << "\n";
  } else if (body.contains("after")) {
    print_change(body, out);
  } else {
    const bool changed = body.value("changed", false);
    out << (changed ? "applied: version " : "nothing to change: version ") << body.at("version") << "\n";
  }
}

}  // namespace

CommandExit run_command(ConfigurationCommand command, std::ostream& out, std::ostream& err) {
  auto& request = command.request;
  if (request.action == wire::ConfigurationRequest::Action::apply) {
    auto patch = read_patch(command.file, err);
    if (!patch) return CommandExit::bad_input;
    request.patch = std::move(*patch);
  }
  auto endpoint = rt::Endpoint::parse(command.node);
  if (!endpoint) {
    err << "config: '" << command.node << "' is not an IPv4 address and a port\n";
    return CommandExit::bad_input;
  }
  const wire::PeerRequest frame{wire::PeerVerb::configuration, "", wire::encode_configuration_request(request), {}};
  std::string bytes = wire::encode_frame(frame);
  if (bytes.size() > wire::max_peer_frame) {
    err << "config: '" << command.file << "' is too large\n";
    return CommandExit::bad_input;
  }
  rt::Loop loop;
  const auto exchange = std::make_shared<Exchange>();
  rt::spawn(send_request(loop, std::move(*endpoint), std::move(bytes), exchange));
  while (!exchange->finished) loop.step();
  const auto& reply = exchange->reply;
  const json body = reply ? wire::parse(reply->body) : json{};
  if (!reply || !body.is_object()) {
    err << "config: no answer from " << command.node << " (not reached, or of an older version)\n";
    return CommandExit::uncertain;
  }
  if (reply->status == 200) {
    print(request, body, out);
    return CommandExit::done;
  }
  err << "config: " << body.value("error", "refused");
  if (body.contains("version")) err << " (it is " << body.at("version") << ")";
  err << "\n";
  constexpr int unknown_outcome = 504;
  return reply->status == unknown_outcome ? CommandExit::uncertain : CommandExit::refused;
}

}  // namespace martenwall::service
