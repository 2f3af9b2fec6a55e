#include "wire/cloud_codec.hpp"

#include "wire/json_fields.hpp"

namespace martenwall::wire {

std::optional<std::vector<MachineType>> parse_types(const std::string& body) {
  const auto o = parse(body);
  if (field(o, "breeds") == nullptr) return std::nullopt;
  std::vector<MachineType> out;
  for (const auto& b : list(o, "breeds")) {
    const auto name = text(b, "sku");
    const auto cpus = number(b, "cpus");
    if (!name || !cpus) return std::nullopt;
    MachineType t;
    t.name = *name;
    t.capacity = {*cpus, number(b, "accelerators").value_or(0), number(b, "memGb").value_or(0)};
    t.cache_gb = number(b, "cacheGb").value_or(0);
    t.fetch_gb_per_s = number(b, "pullGbPerS").value_or(0);
    t.price = number(b, "hourly").value_or(0);
    t.spot_price = number(b, "spotPrice").value_or(t.price);
    t.boot_s = number(b, "readyS").value_or(60);
    for (const auto& z : list(b, "yards")) {
      if (z.is_string()) t.zones.push_back(z.get<std::string>());
    }
    out.push_back(std::move(t));
  }
  if (out.empty()) return std::nullopt;
  return out;
}

std::string encode_types(const std::vector<MachineType>& types) {
  auto rows = json::array();
  for (const auto& t : types) {
    rows.push_back({{"sku", t.name},
                    {"cpus", t.capacity.cpus},
                    {"accelerators", t.capacity.gpus},
                    {"memGb", t.capacity.memory_gb},
                    {"cacheGb", t.cache_gb},
                    {"pullGbPerS", t.fetch_gb_per_s},
                    {"hourly", t.price},
                    {"spotPrice", t.spot_price},
                    {"readyS", t.boot_s},
                    {"yards", t.zones}});
  }
  return json{{"breeds", std::move(rows)}}.dump();
}

std::string encode_scale_out(const ScaleOutRequest& r) {
  return json{{"hire", r.name}, {"breed", r.type}, {"yard", r.zone}, {"loaners", r.spot}, {"count", r.count}}.dump();
}

std::optional<std::vector<MachineId>> parse_scale_out_response(const std::string& body) {
  const auto o = parse(body);
  if (field(o, "hosts") == nullptr) return std::nullopt;
  std::vector<MachineId> out;
  for (const auto& h : list(o, "hosts")) {
    if (h.is_string()) out.emplace_back(h.get<std::string>());
  }
  return out;
}

std::string encode_release(const std::vector<MachineId>& ids) {
  auto names = json::array();
  for (const auto& id : ids) names.push_back(id.value());
  return json{{"hosts", std::move(names)}}.dump();
}

std::optional<MachinePage> parse_machines(const std::string& body) {
  const auto o = parse(body);
  if (field(o, "hosts") == nullptr) return std::nullopt;
  MachinePage page;
  page.more = flag(o, "more").value_or(false);
  for (const auto& h : list(o, "hosts")) {
    const auto id = text(h, "ref");
    const auto phase = text(h, "phase");
    if (!id || !phase) continue;
    ListedMachine m;
    m.id = MachineId{*id};
    m.addr = text(h, "endpoint").value_or("");
    m.type = text(h, "breed").value_or("");
    m.zone = text(h, "yard").value_or("");
    m.spot = flag(h, "loaners").value_or(false);
    m.age_s = number(h, "ageS").value_or(0);
    m.phase = *phase == "failed"     ? ListedMachine::Phase::failed
              : *phase == "starting" ? ListedMachine::Phase::booting
                                     : ListedMachine::Phase::running;
    page.machines.push_back(std::move(m));
  }
  return page;
}

}  // namespace martenwall::wire
