#include "scale/cloud.hpp"

#include <algorithm>

namespace martenwall::scale {

namespace {

using nlohmann::json;

constexpr std::size_t first_machine_number = 100'000;
constexpr std::size_t list_page_size = 500;

std::string query_parameter(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) return {};
  const auto from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

}  // namespace

Cloud::Cloud(rt::Loop& loop, const CellPlan& plan, WorkerFleet& fleet)
    : loop_(loop),
      plan_(plan),
      fleet_(fleet),
      server_(loop, *rt::Endpoint::parse(plan.cloud_listen), {},
              [this](rt::HttpMessage m) { return handle(std::move(m)); }) {}

HollowWorker& Cloud::add(const MachineType& type, const std::string& zone, bool spot, Time boot_time) {
  stand_ins::MachineTraits traits;
  traits.id = MachineId{"i-" + std::to_string(first_machine_number + workers_.size())};
  traits.type = type.name;
  traits.zone = zone;
  traits.spot = spot;
  traits.capacity = type.capacity;
  traits.cache_gb = type.cache_gb;
  workers_.push_back(std::make_unique<HollowWorker>(fleet_, std::move(traits), boot_time));
  workers_.back()->run();
  return *workers_.back();
}

void Cloud::run() {
  rt::spawn(server_.serve());
  const Time now = loop_.update_time();
  for (const auto& group : plan_.machines) {
    spare_[group.type] = group.spare;
    const auto type = std::ranges::find(plan_.types, group.type, &MachineType::name);
    for (std::size_t i = 0; i < group.count; ++i) {
      // Spreads the first heartbeats over an interval, as those of machines that have been up for a long time.
      const Time boot_time = now + seconds(fleet_.uniform() * plan_.timings.heartbeat_interval_s);
      add(*type, plan_.zones.at(i % plan_.zones.size()), false, boot_time);
    }
  }
}

rt::HttpResponse Cloud::scale_out(const json& body) {
  const auto name = body.at("hire").get<std::string>();
  if (const auto known = scale_out_responses_.find(name); known != scale_out_responses_.end())
    return {200, known->second, {}, false};
  const auto type = std::ranges::find(plan_.types, body.at("breed").get<std::string>(), &MachineType::name);
  if (type == plan_.types.end()) return {400, "{}", {}, false};
  auto& spare = spare_[type->name];
  json hosts = json::array();
  const auto count = body.at("count").get<std::size_t>();
  for (; spare > 0 && hosts.size() < count; --spare) {
    const Time boot_time = loop_.now() + seconds(type->boot_s * (0.6 + 0.9 * fleet_.uniform()));
    hosts.push_back(add(*type, body.at("yard"), body.at("loaners"), boot_time).model().traits().id.value());
  }
  if (hosts.empty()) return {503, R"({"error":"no capacity"})", {}, false};
  scale_out_responses_[name] = json{{"hosts", hosts}}.dump();
  return {200, scale_out_responses_[name], {}, false};
}

rt::HttpResponse Cloud::release(const json& body) {
  for (const auto& host : body.at("hosts")) {
    const auto name = host.get<std::string>();
    const auto by_name = [](const auto& w) -> const std::string& { return w->model().traits().id.value(); };
    const auto it = std::ranges::lower_bound(workers_, name, {}, by_name);
    const bool exists = it != workers_.end() && by_name(*it) == name && !(*it)->model().gone();
    if (!exists) continue;
    (*it)->model().terminate();
    ++spare_[(*it)->model().traits().type];
  }
  return {200, "{}", {}, false};
}

rt::HttpResponse Cloud::list(const std::string& target) const {
  const std::string after = query_parameter(target, "after");
  json hosts = json::array();
  bool more = false;
  for (const auto& worker : workers_) {
    const auto& traits = worker->model().traits();
    if (worker->model().gone() || traits.id.value() <= after) continue;
    more = hosts.size() >= list_page_size;
    if (more) break;
    hosts.push_back({{"ref", traits.id.value()},
                     {"endpoint", traits.endpoint},
                     {"breed", traits.type},
                     {"yard", traits.zone},
                     {"loaners", traits.spot},
                     {"phase", worker->model().up(loop_.now()) ? "running" : "starting"},
                     {"ageS", 10.0}});
  }
  return {200, json{{"hosts", hosts}, {"more", more}}.dump(), {}, false};
}

rt::Task<rt::HttpResponse> Cloud::handle(rt::HttpMessage request) {
  ++calls_;
  loop_.update_time();
  if (request.target == "/flavors") co_return rt::HttpResponse{200, plan_.flavors, {}, false};
  if (request.target == "/machines/release") co_return release(json::parse(request.body));
  if (request.method == "POST") co_return scale_out(json::parse(request.body));
  co_return list(request.target);
}

}  // namespace martenwall::scale
