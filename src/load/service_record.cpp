#include "load/service_record.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace martenwall::load {

Served& ServiceRecord::at(const std::string& job_class, const std::string& team) {
  Pair key{job_class, team};
  if (!pairs_.contains(key) && pairs_.size() >= most_pairs) key = {"other", "other"};
  auto& s = pairs_[key];
  s.job_class = key.first;
  s.team = key.second;
  return s;
}

void ServiceRecord::started(const std::string& job_class, const std::string& team, double wait_s) {
  auto& s = at(job_class, team);
  ++s.started;
  s.wait_s += wait_s;
}

void ServiceRecord::done(const std::string& job_class, const std::string& team, bool in_time) {
  auto& s = at(job_class, team);
  ++s.done;
  if (in_time) ++s.in_time;
}

std::vector<Served> ServiceRecord::all() const {
  std::vector<Served> out;
  out.reserve(pairs_.size());
  for (const auto& [key, s] : pairs_) out.push_back(s);
  return out;
}

std::string ServiceRecord::minute_line(std::size_t most) {
  std::vector<Served> minute;
  for (const auto& [key, s] : pairs_) {
    const auto& before = told_[key];
    Served d = s;
    d.submitted -= before.submitted;
    d.started -= before.started;
    d.done -= before.done;
    d.in_time -= before.in_time;
    d.late -= before.late;
    d.wait_s -= before.wait_s;
    if (d.submitted + d.started + d.done + d.late > 0) minute.push_back(std::move(d));
  }
  told_ = pairs_;
  std::ranges::stable_sort(minute, {}, &Served::share);
  std::ostringstream out;
  out << std::fixed;
  for (std::size_t i = 0; i < minute.size() && i < most; ++i) {
    const auto& s = minute[i];
    const double wait_s = s.started == 0 ? 0 : s.wait_s / static_cast<double>(s.started);
    out << (i > 0 ? "; " : "") << s.job_class << "/" << s.team << " " << s.submitted << " taken, " << s.started
        << " started after " << std::setprecision(0) << wait_s << " s, " << s.done << " done, " << std::setprecision(2)
        << s.share() << " in time";
  }
  if (minute.size() > most) out << "; " << minute.size() - most << " more served better";
  return out.str();
}

}  // namespace martenwall::load
