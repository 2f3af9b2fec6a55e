#include "scale/cloud.hpp"

#include <algorithm>

namespace martenwall::scale {

namespace {

using nlohmann::json;

constexpr std::size_t first_name = 100'000;
constexpr std::size_t most_listed = 500;

std::string argument(const std::string& target, const std::string& name) {
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

HollowWorker& Cloud::add(const MachineType& type, const std::string& zone, bool spot, Time boots) {
  stand_ins::MachineTraits traits;
  traits.id = MachineId{"i-" + std::to_string(first_name + workers_.size())};
  traits.type = type.name;
  traits.zone = zone;
  traits.spot = spot;
  traits.room = type.capacity;
  traits.cache_gb = type.cache_gb;
  workers_.push_back(std::make_unique<HollowWorker>(fleet_, std::move(traits), boots));
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
      // Their first reports spread over an interval, as those of machines that have been up for long.
      const Time boots = now + seconds(fleet_.roll() * plan_.timings.heartbeat_interval_s);
      add(*type, plan_.zones.at(i % plan_.zones.size()), false, boots);
    }
  }
}

rt::HttpResponse Cloud::scale_out(const json& wanted) {
  const auto name = wanted.at("hire").get<std::string>();
  if (const auto known = scale_out_responses_.find(name); known != scale_out_responses_.end())
    return {200, known->second, {}, false};
  const auto type = std::ranges::find(plan_.types, wanted.at("breed").get<std::string>(), &MachineType::name);
  if (type == plan_.types.end()) return {400, "{}", {}, false};
  auto& spare = spare_[type->name];
  json hosts = json::array();
  const auto count = wanted.at("count").get<std::size_t>();
  for (; spare > 0 && hosts.size() < count; --spare) {
    const Time boots = loop_.now() + seconds(type->boot_s * (0.6 + 0.9 * fleet_.roll()));
    hosts.push_back(add(*type, wanted.at("yard"), wanted.at("loaners"), boots).model().traits().id.value());
  }
  if (hosts.empty()) return {503, R"({"error":"no capacity"})", {}, false};
  scale_out_responses_[name] = json{{"hosts", hosts}}.dump();
  return {200, scale_out_responses_[name], {}, false};
}

rt::HttpResponse Cloud::release(const json& wanted) {
  for (const auto& host : wanted.at("hosts")) {
    const auto name = host.get<std::string>();
    const auto by_name = [](const auto& w) -> const std::string& { return w->model().traits().id.value(); };
    const auto it = std::ranges::lower_bound(workers_, name, {}, by_name);
    const bool there = it != workers_.end() && by_name(*it) == name && !(*it)->model().gone();
    if (!there) continue;
    (*it)->model().take_away();
    ++spare_[(*it)->model().traits().type];
  }
  return {200, "{}", {}, false};
}

rt::HttpResponse Cloud::list(const std::string& target) const {
  const std::string after = argument(target, "after");
  json hosts = json::array();
  bool more = false;
  for (const auto& w : workers_) {
    const auto& t = w->model().traits();
    if (w->model().gone() || t.id.value() <= after) continue;
    more = hosts.size() >= most_listed;
    if (more) break;
    hosts.push_back({{"ref", t.id.value()},
                     {"endpoint", t.endpoint},
                     {"breed", t.type},
                     {"yard", t.zone},
                     {"loaners", t.spot},
                     {"phase", w->model().up(loop_.now()) ? "running" : "starting"},
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
