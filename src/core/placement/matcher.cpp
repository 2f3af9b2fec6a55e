#include "core/placement/matcher.hpp"

#include <algorithm>
#include <queue>
#include <set>

namespace martenwall {

ZoneCounts count_tasks_by_zone(const Job& job, const std::map<MachineId, Machine>& machines) {
  ZoneCounts counts;
  for (const auto& [index, id] : job.placed) {
    const auto it = machines.find(id);
    if (it != machines.end()) ++counts[it->second.zone];
  }
  return counts;
}

bool zone_allows(const JobSpec& spec, const ZoneCounts& counts, const std::string& zone) {
  if (spec.one_zone && !counts.empty() && !counts.contains(zone)) return false;
  if (spec.one_zone && counts.size() > 1) return false;
  if (!spec.spread) return true;
  const auto it = counts.find(zone);
  return (it == counts.end() ? 0 : it->second) < (spec.tasks + 1) / 2;
}

Matcher::Matcher(PlacementProblem& problem, ScoreMatrix& matrix, QuotaUsage& quota_usage,
                 const std::map<MachineId, Machine>& machines)
    : problem_(problem), matrix_(matrix), quota_usage_(quota_usage), machines_(machines), zones_(problem.jobs.size()) {
  for (std::size_t r = 0; r < problem_.jobs.size(); ++r) {
    const auto& spec = problem_.jobs[r].job->spec;
    if (spec.one_zone || spec.spread) zones_[r] = count_tasks_by_zone(*problem_.jobs[r].job, machines_);
  }
}

namespace {

// A row's best entry that has not been tried. Ties are broken by the lower row, then the lower column.
struct RowHead {
  double value;
  std::size_t row, column;
  bool operator<(const RowHead& other) const {
    if (value != other.value) return value < other.value;
    return row != other.row ? row > other.row : column > other.column;
  }
};

}  // namespace

// Repeatedly picks the highest entry of the matrix. Scores do not change within a cycle, so it suffices to visit each
// row's entries in descending order and always to continue with the row whose next entry is highest. A row is sorted
// only after its best entry was tried: most rows are complete or out of capacity long before their last entry.
std::vector<Match> Matcher::run() {
  std::priority_queue<RowHead> heads;
  std::vector<std::vector<std::size_t>> order(problem_.jobs.size());
  std::vector<std::size_t> next(problem_.jobs.size(), 0);
  for (std::size_t r = 0; r < problem_.jobs.size(); ++r) {
    const auto best = best_column(r);
    if (best) heads.push({matrix_.at(r, *best), r, *best});
  }
  while (!heads.empty()) {
    const RowHead head = heads.top();
    heads.pop();
    if (problem_.jobs[head.row].job->spec.kind == JobKind::gang) {
      place_gang(head.row);
      continue;
    }
    while (place_one(head.row, head.column)) {
    }
    if (problem_.jobs[head.row].count == 0) continue;
    auto& columns = order[head.row];
    if (columns.empty()) columns = columns_by_score(head.row);
    // Free capacity, slots, limits and zones only shrink within a cycle: a column that cannot take a task stays so.
    auto& index = next[head.row];
    ++index;
    while (index < columns.size() && !can_place(head.row, columns[index])) ++index;
    if (index < columns.size()) heads.push({matrix_.at(head.row, columns[index]), head.row, columns[index]});
  }
  return std::move(matches_);
}

std::optional<std::size_t> Matcher::best_column(std::size_t row) const {
  std::optional<std::size_t> best;
  for (std::size_t c = 0; c < problem_.machines.size(); ++c) {
    if (matrix_.allowed(row, c) && (!best || matrix_.at(row, c) > matrix_.at(row, *best))) best = c;
  }
  return best;
}

std::vector<std::size_t> Matcher::allowed_columns(std::size_t row, const std::string* only_zone) const {
  std::vector<char> in_zone;
  for (const auto& kind : problem_.kinds) in_zone.push_back(only_zone == nullptr || kind.zone == *only_zone ? 1 : 0);
  std::vector<std::size_t> out;
  for (std::size_t c = 0; c < problem_.machines.size(); ++c) {
    if (matrix_.allowed(row, c) && in_zone[problem_.machines[c].kind] != 0) out.push_back(c);
  }
  return out;
}

std::vector<std::size_t> Matcher::columns_by_score(std::size_t row) const {
  auto out = allowed_columns(row, nullptr);
  std::ranges::stable_sort(out, [&](auto a, auto b) { return matrix_.at(row, a) > matrix_.at(row, b); });
  return out;
}

void Matcher::reserve(std::size_t row, std::size_t column) {
  auto& pending = problem_.jobs[row];
  auto& candidate = problem_.machines[column];
  candidate.free.add(pending.job->spec.need, -1);
  --candidate.slots;
  quota_usage_.add(pending.job->spec.team, pending.job->spec.need);
  ++zones_[row][candidate.machine->zone];
  --pending.count;
}

bool Matcher::can_place(std::size_t row, std::size_t column) const {
  const auto& pending = problem_.jobs[row];
  const auto& spec = pending.job->spec;
  const auto& candidate = problem_.machines[column];
  // Checks the machine's capacity, the team's limit and the zone constraints.
  return pending.count > 0 && candidate.slots > 0 && spec.need.fits_in(candidate.free) &&
         quota_usage_.max_additional_tasks(spec.team, spec.need, pending.reserved_headroom) > 0 &&
         zone_allows(spec, zones_[row], candidate.machine->zone);
}

bool Matcher::place_one(std::size_t row, std::size_t column) {
  if (!can_place(row, column)) return false;
  reserve(row, column);
  matches_.push_back({row, {column}});
  return true;
}

bool Matcher::pick_gang_columns(std::size_t row, const std::string* only_zone, std::vector<std::size_t>& out) {
  if (!problem_.jobs[row].uniform_image) return pick_gang_columns(row, only_zone, std::nullopt, out);
  if (pick_gang_columns(row, only_zone, true, out)) return true;
  out.clear();
  return pick_gang_columns(row, only_zone, false, out);
}

// Picks columns for the tasks of the gang in row `row`. `cached`: considers only machines that have the image (true) or
// only those that lack it (false).
bool Matcher::pick_gang_columns(std::size_t row, const std::string* only_zone, std::optional<bool> cached,
                                std::vector<std::size_t>& out) {
  const auto& job = *problem_.jobs[row].job;
  const auto& spec = job.spec;
  ZoneCounts counts;
  // A gang takes few of many columns: popping them from a heap yields the same order as sorting.
  auto heap = allowed_columns(row, only_zone);
  const auto lower_score = [&](std::size_t a, std::size_t b) {
    const double score_a = matrix_.at(row, a);
    const double score_b = matrix_.at(row, b);
    return score_a != score_b ? score_a < score_b : a > b;
  };
  std::ranges::make_heap(heap, lower_score);
  while (!heap.empty() && out.size() < spec.tasks) {
    std::ranges::pop_heap(heap, lower_score);
    const auto column = heap.back();
    heap.pop_back();
    if (cached && problem_.machines[column].machine->has_image(job.image) != *cached) continue;
    auto free = problem_.machines[column].free;
    const auto& zone = problem_.machines[column].machine->zone;
    auto slots = problem_.machines[column].slots;
    while (out.size() < spec.tasks && slots-- > 0 && spec.need.fits_in(free) && zone_allows(spec, counts, zone)) {
      out.push_back(column);
      free.add(spec.need, -1);
      ++counts[zone];
    }
  }
  return out.size() == spec.tasks;
}

bool Matcher::place_gang(std::size_t row) {
  const auto& spec = problem_.jobs[row].job->spec;
  if (quota_usage_.max_additional_tasks(spec.team, spec.need, problem_.jobs[row].reserved_headroom) < spec.tasks)
    return false;
  std::vector<std::size_t> best;
  if (!spec.one_zone) {
    if (!pick_gang_columns(row, nullptr, best)) return false;
  } else {
    std::set<std::string> zones;
    for (const auto& kind : problem_.kinds) zones.insert(kind.zone);
    double best_value = 0;
    for (const auto& zone : zones) {
      std::vector<std::size_t> columns;
      if (!pick_gang_columns(row, &zone, columns)) continue;
      double value = 0;
      for (const auto c : columns) value += matrix_.at(row, c);
      if (best.empty() || value > best_value) {
        best = std::move(columns);
        best_value = value;
      }
    }
    if (best.empty()) return false;
  }
  for (const auto c : best) reserve(row, c);
  matches_.push_back({row, std::move(best)});
  return true;
}

}  // namespace martenwall
