#include "core/model/model.hpp"

#include <algorithm>

namespace martenwall {

std::string_view name_of(TaskState s) {
  static constexpr std::array<std::string_view, 7> names{"planned", "sent",   "fetching", "waiting",
                                                         "running", "saving", "ended"};
  return names.at(static_cast<std::size_t>(s));
}

std::string_view name_of(ExitCause c) {
  static constexpr std::array<std::string_view, 9> names{"none",  "done",    "stopped", "peers",  "alone",
                                                         "error", "no_room", "busy",    "unknown"};
  return names.at(static_cast<std::size_t>(c));
}

std::string_view name_of(MachinePhase p) {
  static constexpr std::array<std::string_view, 5> names{"booting", "up", "draining", "releasing", "lost"};
  return names.at(static_cast<std::size_t>(p));
}

std::string_view name_of(JobPhase p) {
  static constexpr std::array<std::string_view, 5> names{"pending", "running", "done", "cancelled", "waiting"};
  return names.at(static_cast<std::size_t>(p));
}

void Job::reset_urgency() {
  priority = spec.priority;
  effective_deadline.reset();
  if (spec.deadline_s) effective_deadline = submitted + seconds(*spec.deadline_s);
}

bool Job::transition_to(JobPhase next) {
  if (is_final(phase)) return next == phase;
  phase = next;
  return true;
}

bool Placement::transition_to(TaskState next, Time now) {
  // A task only moves forward; a worker may skip states between two reports.
  if (next < state_ || state_ == TaskState::ended) return next == state_;
  if (next == state_) return true;
  state_ = next;
  state_since = now;
  if (next == TaskState::running) running_since = now;
  return true;
}

bool Machine::transition_to(MachinePhase next, Time now) {
  if (next == phase_) return true;
  // A machine whose release was requested never serves again: the request may take effect late.
  if (phase_ == MachinePhase::releasing) return false;
  phase_ = next;
  phase_since = now;
  return true;
}

Placement* Machine::find(const TaskId& task, Attempt attempt) {
  const auto it =
      std::ranges::find_if(placements, [&](const Placement& p) { return p.attempt == attempt && p.task == task; });
  return it == placements.end() ? nullptr : &*it;
}

std::size_t Machine::kept_attempts(Time now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      placements, [&](const Placement& placement) { return placement.is_kept_for_late_copies(now); }));
}

Machine::ImageState Machine::image_state(ImageId image) const {
  const auto it = std::ranges::find(images, image, &Image::id);
  if (it == images.end()) return ImageState::absent;
  return it->ready ? ImageState::ready : ImageState::fetching;
}

void Machine::touch_image(ImageId image, double gb, double cache_gb, bool ready) {
  ready = ready || has_image(image);
  std::erase_if(images, [&](const Image& cached) { return cached.id == image; });
  images.insert(images.begin(), {image, gb, ready});
  double total = 0;
  std::erase_if(images, [&](const Image& cached) {
    total += cached.gb;
    return total > cache_gb && cached.id != image;
  });
}

void Machine::drop_fetch(ImageId image) {
  std::erase_if(images, [&](const Image& cached) { return cached.id == image && !cached.ready; });
}

std::uint32_t Job::pending_tasks() const {
  if (is_final(phase) || phase == JobPhase::blocked) return 0;
  const auto never_started = spec.tasks - std::min(spec.tasks, next_unstarted);
  return never_started + static_cast<std::uint32_t>(requeued.size());
}

std::optional<std::uint32_t> Job::next_pending() const {
  if (!requeued.empty()) return *requeued.begin();
  if (next_unstarted < spec.tasks) return next_unstarted;
  return std::nullopt;
}

void Job::assign(std::uint32_t index, const MachineId& machine) {
  requeued.erase(index);
  for (; next_unstarted <= index; ++next_unstarted) {
    if (next_unstarted < index && !done.contains(next_unstarted) && !placed.contains(next_unstarted)) {
      requeued.insert(next_unstarted);
    }
  }
  placed[index] = machine;
}

void Job::record_placement(std::uint32_t index, const MachineId& machine) {
  const auto current = placed.find(index);
  if (current == placed.end()) {
    assign(index, machine);
  } else if (current->second != machine) {
    orphans.emplace(index, machine);
  }
}

void Job::complete(std::uint32_t index) {
  done.insert(index);
  requeued.erase(index);
  if (next_unstarted > index) return;
  for (; next_unstarted < index; ++next_unstarted) {
    if (!done.contains(next_unstarted) && !placed.contains(next_unstarted)) requeued.insert(next_unstarted);
  }
  next_unstarted = index + 1;
}

void Job::return_to_pending(std::uint32_t index) {
  placed.erase(index);
  if (!done.contains(index) && !is_final(phase)) requeued.insert(index);
}

}  // namespace martenwall
