#include "core/reach.hpp"

#include <algorithm>
#include <array>

namespace martenwall {

namespace {
// Its visit counts for so long. Whether the leader kept it is not waited for: a worker that meets two silent nodes
// needs ten seconds to come back, half its lease. The leader compares with those that it hears itself.
constexpr Duration visit_counts = seconds(6);
constexpr Duration claim_valid = seconds(3);
constexpr Duration doubt_for = seconds(1.5);
constexpr Duration settling = seconds(7);  // of a new leadership: workers with a silent leader need 5 s to leave it
constexpr double clearly_more = 1.25;      // others must hear so many times more, or two nodes would change places
constexpr Duration deaf_delay = seconds(4);
constexpr Duration unheard_delay = seconds(0.3);
constexpr Duration beat_valid = seconds(6);
}  // namespace

std::string_view name_of(HearingState s) {
  static constexpr std::array<std::string_view, 3> names{"hearing", "doubted", "deaf"};
  return names.at(static_cast<std::size_t>(s));
}

void TurnedAway::note(const MachineId& worker, Time now) { visits_[worker] = now; }

std::size_t TurnedAway::stranded(Time now) {
  std::erase_if(visits_, [&](const auto& v) { return now - v.second > visit_counts; });
  return visits_.size();
}

// Within this time each worker that is well has reported once.
Hearing::Hearing(const WorkerTerms& terms) : window_(seconds(terms.report_s * 1.25 + 0.5)) {}

void Hearing::enter(HearingState next, Time now) {
  state_ = next;
  since_ = now;
}

void Hearing::began(Time now) {
  claims_.clear();
  quiet_until_ = now + settling;
  enter(HearingState::hearing, now);
}

void Hearing::claim(const std::string& node, std::size_t stranded, Time now) { claims_[node] = {stranded, now}; }

std::size_t Hearing::claimed(Time now) const { return claimed_since(now - claim_valid); }

std::size_t Hearing::claimed_since(Time since) const {
  std::size_t most = 0;
  for (const auto& [node, c] : claims_) {
    if (c.at >= since) most = std::max(most, c.stranded);
  }
  return most;
}

bool Hearing::judge(std::size_t heard, Time now) {
  const bool outdone =
      now >= quiet_until_ && static_cast<double>(claimed(now)) > clearly_more * static_cast<double>(heard);
  if (!outdone) {
    if (state_ == HearingState::doubted) enter(HearingState::hearing, now);
    return false;
  }
  if (state_ == HearingState::hearing) enter(HearingState::doubted, now);
  if (now - since_ < doubt_for) return false;
  // One note may have come late, carried out by the store long after it was written: another must have followed.
  if (static_cast<double>(claimed_since(since_ + Duration{1})) <= clearly_more * static_cast<double>(heard))
    return false;
  enter(HearingState::deaf, now);
  return true;
}

void Hearing::beat(Time now) {
  last_beat_ = now;
  if (state_ == HearingState::deaf) enter(HearingState::hearing, now);
}

Duration Hearing::campaign_delay(Time now) const {
  if (state_ == HearingState::deaf) return deaf_delay;
  const bool reached = last_beat_ != Time{} && now - last_beat_ <= beat_valid;
  return reached ? Duration{0} : unheard_delay;
}

}  // namespace martenwall
