#include "wire/cloud_codec.hpp"

#include "wire/json_fields.hpp"

namespace martenwall::wire {

std::optional<std::vector<MachineType>> parse_types(const std::string& body) {
  const auto object = parse(body);
  if (field(object, "breeds") == nullptr) return std::nullopt;
  std::vector<MachineType> out;
  for (const auto& breed : list(object, "breeds")) {
    const auto name = text(breed, "sku");
    const auto cpus = number(breed, "cpus");
    if (!name || !cpus) return std::nullopt;
    MachineType type;
    type.name = *name;
    type.capacity = {*cpus, number(breed, "accelerators").value_or(0), number(breed, "memGb").value_or(0)};
    type.cache_gb = number(breed, "cacheGb").value_or(0);
    type.fetch_gb_per_s = number(breed, "pullGbPerS").value_or(0);
    type.price = number(breed, "hourly").value_or(0);
    type.spot_price = number(breed, "spotPrice").value_or(type.price);
    type.boot_s = number(breed, "readyS").value_or(60);
    for (const auto& zone : list(breed, "yards")) {
      if (zone.is_string()) type.zones.push_back(zone.get<std::string>());
    }
    out.push_back(std::move(type));
  }
  if (out.empty()) return std::nullopt;
  return out;
}

std::string encode_types(const std::vector<MachineType>& types) {
  auto rows = json::array();
  for (const auto& type : types) {
    rows.push_back({{"sku", type.name},
                    {"cpus", type.capacity.cpus},
                    {"accelerators", type.capacity.gpus},
                    {"memGb", type.capacity.memory_gb},
                    {"cacheGb", type.cache_gb},
                    {"pullGbPerS", type.fetch_gb_per_s},
                    {"hourly", type.price},
                    {"spotPrice", type.spot_price},
                    {"readyS", type.boot_s},
                    {"yards", type.zones}});
  }
  return json{{"breeds", std::move(rows)}}.dump();
}

std::string encode_scale_out(const ScaleOutRequest& request) {
  return json{{"hire", request.name},
              {"breed", request.type},
              {"yard", request.zone},
              {"loaners", request.spot},
              {"count", request.count}}
      .dump();
}

std::optional<std::vector<MachineId>> parse_scale_out_response(const std::string& body) {
  const auto object = parse(body);
  if (field(object, "hosts") == nullptr) return std::nullopt;
  std::vector<MachineId> out;
  for (const auto& host : list(object, "hosts")) {
    if (host.is_string()) out.emplace_back(host.get<std::string>());
  }
  return out;
}

std::string encode_release(const std::vector<MachineId>& ids) {
  auto names = json::array();
  for (const auto& id : ids) names.push_back(id.value());
  return json{{"hosts", std::move(names)}}.dump();
}

std::optional<MachinePage> parse_machines(const std::string& body) {
  const auto object = parse(body);
  if (field(object, "hosts") == nullptr) return std::nullopt;
  MachinePage page;
  page.more = flag(object, "more").value_or(false);
  for (const auto& host : list(object, "hosts")) {
    const auto id = text(host, "ref");
    const auto phase = text(host, "phase");
    if (!id || !phase) continue;
    ListedMachine machine;
    machine.id = MachineId{*id};
    machine.addr = text(host, "endpoint").value_or("");
    machine.type = text(host, "breed").value_or("");
    machine.zone = text(host, "yard").value_or("");
    machine.spot = flag(host, "loaners").value_or(false);
    machine.age_s = number(host, "ageS").value_or(0);
    machine.phase = *phase == "failed"     ? ListedMachine::Phase::failed
                    : *phase == "starting" ? ListedMachine::Phase::booting
                                           : ListedMachine::Phase::running;
    page.machines.push_back(std::move(machine));
  }
  return page;
}

}  // namespace martenwall::wire
