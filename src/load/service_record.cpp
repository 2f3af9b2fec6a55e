#include "load/service_record.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace martenwall::load {

ServiceCounts& ServiceRecord::counts_for(const std::string& job_class, const std::string& team) {
  ClassAndTeam key{job_class, team};
  if (!counts_.contains(key) && counts_.size() >= max_pairs) key = {"other", "other"};
  auto& counts = counts_[key];
  counts.job_class = key.first;
  counts.team = key.second;
  return counts;
}

void ServiceRecord::started(const std::string& job_class, const std::string& team, double wait_s) {
  auto& counts = counts_for(job_class, team);
  ++counts.started;
  counts.wait_s += wait_s;
}

void ServiceRecord::done(const std::string& job_class, const std::string& team, bool in_time) {
  auto& counts = counts_for(job_class, team);
  ++counts.done;
  if (in_time) ++counts.in_time;
}

std::vector<ServiceCounts> ServiceRecord::all() const {
  std::vector<ServiceCounts> out;
  out.reserve(counts_.size());
  for (const auto& [key, counts] : counts_) out.push_back(counts);
  return out;
}

std::string ServiceRecord::minute_line(std::size_t max_entries) {
  std::vector<ServiceCounts> changes;
  for (const auto& [key, counts] : counts_) {
    const auto& before = last_reported_[key];
    ServiceCounts delta = counts;
    delta.submitted -= before.submitted;
    delta.started -= before.started;
    delta.done -= before.done;
    delta.in_time -= before.in_time;
    delta.late -= before.late;
    delta.wait_s -= before.wait_s;
    if (delta.submitted + delta.started + delta.done + delta.late > 0) changes.push_back(std::move(delta));
  }
  last_reported_ = counts_;
  std::ranges::stable_sort(changes, {}, &ServiceCounts::share);
  std::ostringstream out;
  out << std::fixed;
  for (std::size_t i = 0; i < changes.size() && i < max_entries; ++i) {
    const auto& entry = changes[i];
    const double wait_s = entry.started == 0 ? 0 : entry.wait_s / static_cast<double>(entry.started);
    out << (i > 0 ? "; " : "") << entry.job_class << "/" << entry.team << " " << entry.submitted << " taken, "
        << entry.started << " started after " << std::setprecision(0) << wait_s << " s, " << entry.done << " done, "
        << std::setprecision(2) << entry.share() << " in time";
  }
  if (changes.size() > max_entries) out << "; " << changes.size() - max_entries << " more served better";
  return out.str();
}

}  // namespace martenwall::load
