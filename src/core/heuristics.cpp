#include "core/heuristics.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <numeric>

#include "core/heuristic_table.hpp"

namespace martenwall {

bool type_allows(const JobSpec& spec, const MachineType& type) {
  if (spec.types && std::ranges::find(*spec.types, type.name) == spec.types->end()) return false;
  return spec.need.fits_in(type.room);
}

bool place_allows(const JobSpec& spec, const std::string& zone, bool spot) {
  return (!spec.zone || *spec.zone == zone) && (spec.spot || !spot);
}

std::size_t kind_of(std::vector<MachineKind>& kinds, const MachineType& type, const std::string& zone, bool spot) {
  for (std::size_t k = 0; k < kinds.size(); ++k) {
    if (kinds[k].type == &type && kinds[k].spot == spot && kinds[k].zone == zone) return k;
  }
  kinds.push_back({&type, zone, spot});
  return kinds.size() - 1;
}

std::vector<char> allowed_kinds(const JobSpec& spec, const std::vector<MachineKind>& kinds) {
  std::vector<char> out;
  out.reserve(kinds.size());
  for (const auto& k : kinds) out.push_back(type_allows(spec, *k.type) && place_allows(spec, k.zone, k.spot) ? 1 : 0);
  return out;
}

void Board::add(Column column) {
  column.kind = kind_of(kinds, *column.type, column.machine->zone, column.machine->spot);
  columns.push_back(column);
}

double deadline_curve(const Policy& p, double extime_s, double deadline_s, double nxtime_s) {
  const double start = deadline_s - p.deadline_k * nxtime_s;
  if (extime_s <= start || extime_s > deadline_s || deadline_s <= start) return p.deadline_min;
  const double slope = (p.deadline_max - p.deadline_min) / (deadline_s - start);
  return slope * (extime_s - start) + p.deadline_min;
}

namespace {

template <class F>
void for_allowed(const Board& board, const Matrix& m, std::size_t row, F&& f) {
  for (std::size_t c = 0; c < board.columns.size(); ++c) {
    if (m.allowed(row, c)) f(c);
  }
}

// Adds one value per row, the same on every machine that fits.
template <class F>
void add_per_row(const Board& board, Matrix& m, F&& value) {
  for (std::size_t r = 0; r < board.rows.size(); ++r) {
    const double v = value(board.rows[r]);
    for_allowed(board, m, r, [&](std::size_t c) { m.at(r, c) += v; });
  }
}

double f1_of(const Board& board, const Row& row) {
  const auto& job = *row.job;
  // The curve lets each job wait until it is almost too late: in a shortage all would then be a little late. What is
  // served with the least work comes first instead, so that as many as can be are in time.
  if (row.pressing) {
    return board.policy.deadline_min + *row.pressing * (board.policy.deadline_max - board.policy.deadline_min);
  }
  if (!job.due) return board.policy.deadline_min;
  // Measured from the submission; the benchmark ratio is 1, so Nxtime is the same on every machine.
  const double extime = to_seconds(board.now - job.submitted) + row.estimate_s;
  return deadline_curve(board.policy, extime, to_seconds(*job.due - job.submitted), row.estimate_s);
}

double idle_of(const Board& board, const Machine& m) {
  const double idle_s = std::max(0.0, to_seconds(board.now - m.idle_since));
  return board.idle_grain_s > 0 ? std::floor(idle_s / board.idle_grain_s) * board.idle_grain_s : idle_s;
}

}  // namespace

namespace heuristics {

void minimal_requirements(const Board& board, Matrix& m) {
  for (std::size_t r = 0; r < board.rows.size(); ++r) {
    const auto& job = *board.rows[r].job;
    const auto allowed = allowed_kinds(job.spec, board.kinds);
    for (std::size_t c = 0; c < board.columns.size(); ++c) {
      const auto& col = board.columns[c];
      if (job.rank < col.held_for || !job.spec.need.fits_in(col.free)) continue;
      if (allowed[col.kind] == 0) continue;
      if (board.rows[r].spot_only && !col.machine->spot) continue;
      const bool reserved = col.machine->reserved_for && *col.machine->reserved_for != job.spec.id &&
                            board.now < col.machine->reserved_until;
      // A task is not sent back to where it failed, unless it fails wherever it goes.
      const bool failed_here = !job.suspect && !job.failed_on.empty() && job.failed_on.contains(col.machine->id);
      if (!reserved && !failed_here) m.allow(r, c);
    }
  }
}

void deadline(const Board& board, Matrix& m) {
  for (std::size_t r = 0; r < board.rows.size(); ++r) {
    const double f1 = f1_of(board, board.rows[r]);
    const double inverse = board.policy.deadline_max - f1;
    std::size_t fitting = 0;
    for_allowed(board, m, r, [&](std::size_t) { ++fitting; });
    if (fitting == 0) continue;
    const auto n = static_cast<double>(fitting);
    const double urgency = f1 * n;       // sum of f1 over the fitting machines
    const double divisor = inverse * n;  // sum of Max - f1
    const double share = divisor > 0 ? inverse / divisor : 1.0 / n;
    for_allowed(board, m, r, [&](std::size_t c) { m.at(r, c) += urgency * share; });
  }
}

void wait_minimization(const Board& board, Matrix& m) {
  double longest = 0;
  for (const auto& row : board.rows) longest = std::max(longest, row.estimate_s);
  if (longest <= 0) return;
  add_per_row(board, m, [&](const Row& row) { return board.policy.wait_weight * (1 - row.estimate_s / longest); });
}

void input(const Board& board, Matrix& m) {
  for (std::size_t r = 0; r < board.rows.size(); ++r) {
    const auto& job = *board.rows[r].job;
    for_allowed(board, m, r, [&](std::size_t c) {
      // A copy on its way is worth half of one that is there; the slot is held while it comes.
      const auto state = board.columns[c].machine->image_state(job.image);
      const double worth = job.spec.image_gb <= 0 || state == Machine::ImageState::ready ? 1.0
                           : state == Machine::ImageState::coming                        ? 0.5
                                                                                         : 0.0;
      m.at(r, c) += board.policy.input_weight * worth;
    });
  }
}

void anti_aging(const Board& board, Matrix& m) {
  add_per_row(board, m, [&](const Row& row) {
    const double waited = to_seconds(board.now - row.job->waiting_since);
    return std::min(board.policy.aging_cap, board.policy.aging_weight * std::max(0.0, waited));
  });
}

void rank(const Board& board, Matrix& m) {
  add_per_row(board, m, [&](const Row& row) { return board.policy.rank_weight * static_cast<double>(row.job->rank); });
}

void guarantee(const Board& board, Matrix& m) {
  add_per_row(board, m, [&](const Row& row) { return row.within_guarantee ? board.policy.guarantee_weight : 0.0; });
}

void packing(const Board& board, Matrix& m) {
  std::vector<double> worth;
  worth.reserve(board.columns.size());
  for (const auto& col : board.columns) {
    const double cpu = col.type->room.cpus > 0 ? col.free.cpus / col.type->room.cpus : 0;
    const double gpu = col.type->room.gpus > 0 ? col.free.gpus / col.type->room.gpus : cpu;
    // Of empty machines those that idle shortest: the others are then idle for good and can go back.
    const double recent = col.machine->empty() ? 0.2 / (1 + idle_of(board, *col.machine) / 10) : 0.0;
    worth.push_back(board.policy.packing_weight * (1 - std::min(cpu, gpu) + recent));
  }
  for (std::size_t r = 0; r < board.rows.size(); ++r) {
    for_allowed(board, m, r, [&](std::size_t c) { m.at(r, c) += worth[c]; });
  }
}

// Work that cannot be in time any more leaves the room to work that can, and is done after it.
void shortage(const Board& board, Matrix& m) {
  if (board.policy.shortage_weight <= 0) return;
  add_per_row(board, m, [&](const Row& row) { return -board.policy.shortage_weight * row.deferred; });
}

// However much is wanted, each job begins: its users are told that the largest too begin within four minutes.
void beginning(const Board& board, Matrix& m) {
  if (board.policy.begin_weight <= 0) return;
  add_per_row(board, m, [&](const Row& row) { return row.overdue ? board.policy.begin_weight : 0.0; });
}

// Jobs that fail wherever they go take what the others leave.
void suspicion(const Board& board, Matrix& m) {
  constexpr double last = 1000;
  add_per_row(board, m, [&](const Row& row) { return row.job->suspect ? -last : 0.0; });
}

void spot_preference(const Board& board, Matrix& m) {
  for (std::size_t r = 0; r < board.rows.size(); ++r) {
    for_allowed(board, m, r, [&](std::size_t c) {
      if (board.columns[c].machine->spot) m.at(r, c) += board.policy.spot_weight;
    });
  }
}

}  // namespace heuristics

namespace {

// Columns on which one task of the row fits into what `room` leaves, those with its image first.
std::map<std::string, std::vector<std::size_t>> gatherable(const Board& board, const Row& row,
                                                           const std::vector<Resources>& room) {
  const auto& job = *row.job;
  const auto allowed = allowed_kinds(job.spec, board.kinds);
  std::map<std::string, std::vector<std::size_t>> by_zone;
  std::vector<std::vector<std::size_t>*> group(board.kinds.size(), nullptr);
  for (std::size_t c = 0; c < board.columns.size(); ++c) {
    const auto& col = board.columns[c];
    if (allowed[col.kind] == 0 || !job.spec.need.fits_in(room[c])) continue;
    const auto& m = *col.machine;
    if (m.reserved_for && *m.reserved_for != job.spec.id) continue;
    auto& columns = group[col.kind];
    if (columns == nullptr) columns = &by_zone[job.spec.one_zone ? m.zone : std::string{}];
    columns->push_back(c);
  }
  for (auto& [zone, columns] : by_zone) {
    const auto cold = std::stable_partition(columns.begin(), columns.end(),
                                            [&](auto c) { return board.columns[c].machine->has_image(job.image); });
    if (!row.even) continue;
    const bool enough_cached = cold - columns.begin() >= static_cast<std::ptrdiff_t>(job.spec.tasks);
    enough_cached ? columns.erase(cold, columns.end()) : columns.erase(columns.begin(), cold);
  }
  return by_zone;
}

}  // namespace

void hold_for_gangs(Board& board, Ledger used) {
  std::vector<Resources> room;
  for (const auto& col : board.columns) room.push_back(col.free);
  for (const auto& row : board.rows) {
    const auto& spec = row.job->spec;
    if (spec.shape != Shape::gang || row.job->rank == Rank::best_effort || row.job->suspect) continue;
    if (used.room_for(spec.team, spec.need) < spec.tasks) continue;
    used.add(spec.team, spec.need, spec.tasks);
    const auto by_zone = gatherable(board, row, room);
    const auto most = std::ranges::max_element(
        by_zone, {}, [&](const auto& z) { return std::min<std::size_t>(z.second.size(), spec.tasks); });
    if (most == by_zone.end()) continue;
    for (std::size_t i = 0; i < most->second.size() && i < spec.tasks; ++i) {
      const auto c = most->second[i];
      room[c].add(spec.need, -1);
      board.columns[c].held_for = std::max(board.columns[c].held_for, row.job->rank);
    }
  }
}

namespace {

// What each row is worth on an empty machine, whether one is free now or not.
std::vector<double> worth_of_rows(const Board& board, const std::vector<MachineType>& types) {
  std::deque<Machine> machines;
  Board empty{board.now, board.policy, board.rows, {}};
  for (const auto& type : types) {
    for (const auto& zone : type.zones) {
      machines.emplace_back(MachineId{}).zone = zone;
      empty.add({&machines.back(), &type, type.room, 1, Rank::best_effort});
    }
  }
  const auto matrix = build_matrix(empty);
  std::vector<double> out(board.rows.size(), std::numeric_limits<double>::lowest());
  for (std::size_t r = 0; r < out.size(); ++r) {
    for (std::size_t c = 0; c < empty.columns.size(); ++c) {
      if (matrix.allowed(r, c)) out[r] = std::max(out[r], matrix.at(r, c));
    }
  }
  return out;
}

bool needs_more(const Resources& a, const Resources& b) { return a.cpus > b.cpus || a.gpus > b.gpus; }

bool limit_binds(const Board& board, Ledger used) {
  return std::ranges::any_of(board.rows, [&](const Row& row) {
    const auto& spec = row.job->spec;
    const auto can_start = std::min(row.count, used.room_for(spec.team, spec.need));
    used.add(spec.team, spec.need, can_start);
    return can_start < row.count;
  });
}

}  // namespace

void leave_limits(Board& board, Ledger used, const std::vector<MachineType>& types) {
  if (!limit_binds(board, used)) return;
  const auto worth = worth_of_rows(board, types);
  std::vector<std::size_t> order(board.rows.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::stable_sort(order, [&](auto a, auto b) { return worth[a] > worth[b]; });
  std::map<std::string, const Job*> waits;  // of each team the best row that its limit does not let start whole
  for (const auto r : order) {
    auto& row = board.rows[r];
    const auto& spec = row.job->spec;
    if (row.job->suspect) continue;
    const auto best = waits.find(spec.team);
    if (best != waits.end()) {
      if (needs_more(best->second->spec.need, spec.need)) row.leaves = best->second->spec.need;
      continue;
    }
    const auto can_start = std::min(row.count, used.room_for(spec.team, spec.need));
    used.add(spec.team, spec.need, can_start);
    if (can_start < row.count && spec.shape != Shape::gang) waits.emplace(spec.team, row.job);
  }
}

Matrix build_matrix(const Board& board) {
  Matrix m{board.rows.size(), board.columns.size()};
  for (const auto& h : heuristic_table()) h.add(board, m);
  return m;
}

}  // namespace martenwall
