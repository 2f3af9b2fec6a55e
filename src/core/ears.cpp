#include "core/ears.hpp"

#include <array>

namespace martenwall {

namespace {
// One answer may be lost, two in a row seldom; an order is repeated in each answer.
constexpr int telling_misses = 3;
constexpr Duration probe_every = seconds(4);
}  // namespace

std::string_view name_of(EarState s) {
  static constexpr std::array<std::string_view, 3> names{"hears", "doubted", "deaf"};
  return names.at(static_cast<std::size_t>(s));
}

void Ears::enter(EarState next, Time now) {
  if (next == state_) return;
  state_ = next;
  since_ = now;
}

void Ears::reported(Session session, Duration lease, Time now) {
  if (session != session_) {
    session_ = session;
    proof_from_ = now;
    return;
  }
  // Without an answer since then the session would be over: the worker's lease counts from an answered report.
  if (now - proof_from_ > lease) heard(now);
}

void Ears::heard(Time now) {
  missed_ = 0;
  proof_from_ = now;
  enter(EarState::hears, now);
}

void Ears::missed(Time now) {
  ++missed_;
  proof_from_ = now;
  enter(missed_ >= telling_misses ? EarState::deaf : EarState::doubted, now);
}

bool Ears::takes_probe(Time now) {
  if (hears() || now - last_probe_ < probe_every) return false;
  last_probe_ = now;
  return true;
}

}  // namespace martenwall
