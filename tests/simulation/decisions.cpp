#include "simulation.hpp"

namespace martenwall::sim {

namespace {
// Returns the row's content as numbers and ids only.
std::string content_of(const RowWrite& row) {
  std::string out;
  const auto add = [&](const std::string& field) { out += " " + field; };
  if (row.final_job) {
    add(std::to_string(static_cast<int>(row.final_job->phase)));
    add(std::to_string(row.final_job->tasks));
    add(std::to_string(row.final_job->done));
  }
  if (row.tasks) {
    add(std::to_string(row.tasks->first));
    add(std::to_string(row.tasks->size));
    add(std::to_string(static_cast<int>(row.tasks->priority)));
    add(std::to_string(row.tasks->next_attempt));
    add(std::to_string(row.tasks->failed_machines));
    for (const auto& [first, last] : row.tasks->done) add(std::to_string(first) + "-" + std::to_string(last));
    for (const auto& h : row.tasks->placed) {
      add(std::to_string(h.index) + "#" + std::to_string(h.attempt.value()) + "@" + h.machine.value() + h.zone);
    }
  }
  for (const auto& f : row.machines) add(f.id.value() + "~" + std::to_string(f.incarnation.value()));
  return out;
}
}  // namespace

void World::record_decision(Decision what, const std::string& content) const {
  if (!on_decision) return;
  on_decision(std::to_string(now_.time_since_epoch().count()) + " " + std::to_string(static_cast<int>(what)) + " " +
              content);
}

void World::record_decision(const RowWrite& row) const {
  record_decision(Decision::row, std::to_string(static_cast<int>(row.key.kind)) + " " + row.key.id + " " +
                                     std::to_string(row.key.part) + " " + std::to_string(size_of(row)) +
                                     content_of(row));
}

void World::record_decision(Decision what, const MachineId& to, const std::vector<Command>& commands) const {
  if (!on_decision) return;
  std::string out = to.value();
  for (const auto& command : commands) {
    out.append(" ").append(std::to_string(static_cast<int>(command.verb)));
    out.append(":").append(command.task.job.value());
    out.append("/").append(std::to_string(command.task.index));
    out.append("#").append(std::to_string(command.attempt.value()));
    out.append("~").append(std::to_string(command.grace_s));
  }
  record_decision(what, out);
}

}  // namespace martenwall::sim
