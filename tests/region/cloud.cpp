#include <algorithm>

#include "region.hpp"

namespace martenwall::region {

using nlohmann::json;

namespace {
rt::HttpResponse reply(int status, const json& body) { return {status, body.dump(), {}, false}; }
}  // namespace

Worker& Region::add_worker(const std::string& zone, bool spot, double boots_in) {
  MachineId id{"i-" + std::to_string(100000 + next_machine_++)};
  workers_.push_back(std::make_unique<Worker>(environment_, std::move(id), zone, spot, now_ + seconds(boots_in)));
  workers_.back()->run();
  return *workers_.back();
}

rt::HttpResponse Region::scale_out(const json& wanted) {
  const auto name = wanted.at("hire").get<std::string>();
  if (const auto known = scale_out_responses_.find(name); known != scale_out_responses_.end())
    return reply(200, known->second);
  json hosts = json::array();
  const auto count = wanted.at("count").get<std::size_t>();
  for (std::size_t i = 0; i < count && workers_.size() < options_.max_machines; ++i) {
    hosts.push_back(add_worker(wanted.at("yard"), wanted.at("loaners"), options_.boot_s).id().value());
  }
  if (hosts.empty()) return reply(503, {{"error", "no capacity"}});
  scale_out_responses_[name] = {{"hosts", hosts}};
  return reply(200, scale_out_responses_[name]);
}

rt::Task<rt::HttpResponse> Region::cloud(rt::HttpMessage request) {
  if (request.target == "/flavors") {
    json big{{"sku", "big"},       {"cpus", 48.0},     {"accelerators", 4.0},
             {"memGb", 288.0},     {"cacheGb", 80.0},  {"pullGbPerS", 1},
             {"hourly", 10.0},     {"spotPrice", 3.0}, {"readyS", options_.boot_s},
             {"yards", {"a", "b"}}};
    co_return reply(200, {{"breeds", json::array({big})}});
  }
  if (request.target == "/machines/release") {
    const json body = json::parse(request.body);
    for (auto& w : workers_) {
      const auto& hosts = body.at("hosts");
      const bool named = std::ranges::any_of(hosts, [&](const json& h) { return h == w->id().value(); });
      if (named && w->busy()) ++released_busy_;
      if (named) w->terminate();
    }
    co_return reply(200, json::object());
  }
  if (request.method == "POST") co_return scale_out(json::parse(request.body));
  const auto after_at = request.target.find("after=");
  const std::string after = after_at == std::string::npos ? "" : request.target.substr(after_at + 6);
  json hosts = json::array();
  for (const auto& w : workers_) {
    if (w->gone() || w->id().value() <= after) continue;
    hosts.push_back({{"ref", w->id().value()},
                     {"endpoint", w->endpoint()},
                     {"breed", "big"},
                     {"yard", w->zone()},
                     {"loaners", w->spot()},
                     {"phase", w->up() ? "running" : "starting"},
                     {"ageS", 10.0}});
  }
  co_return reply(200, {{"hosts", hosts}, {"more", false}});
}

}  // namespace martenwall::region
