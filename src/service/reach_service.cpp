#include "service/reach_service.hpp"

#include <array>
#include <charconv>

namespace martenwall::service {

namespace {
constexpr Duration look_every = seconds(0.5);
constexpr std::array<double, 3> parts_told{0.5, 0.9, 0.99};  // some of the machines are dead at any time
constexpr Duration return_watched = seconds(90);
constexpr Duration tell_limit = seconds(0.5);
constexpr Duration note_every = seconds(2);  // each is a change of the store
}  // namespace

rt::Task<void> ReachService::run() {
  for (;;) {
    co_await ctx_.loop.sleep(look_every);
    if (ctx_.scheduler != nullptr) {
      judge();
      continue;
    }
    const std::size_t stranded = ctx_.has_other_leader() ? ctx_.turned_away.stranded(ctx_.now()) : 0;
    if (stranded == 0) {
      told_ = false;
      continue;
    }
    if (!std::exchange(told_, true)) {
      ctx_.log->info("{} workers report here and are sent to {}", stranded, ctx_.leader);
    }
    co_await tell_leader(stranded);
  }
}

// Over the peer link, or by a note where the leader cannot be reached.
rt::Task<void> ReachService::tell_leader(std::size_t stranded) {
  wire::PeerRequest request{wire::PeerVerb::stranded, ctx_.settings.node, std::to_string(stranded), {}};
  const auto reply = co_await peers_.ask_leader(std::move(request), tell_limit);
  if (reply || ctx_.now() < next_note_) co_return;
  next_note_ = ctx_.now() + note_every;
  std::vector<wire::StoreOp> then;
  then.push_back({wire::reach_key(ctx_.settings.node), wire::encode_reach(stranded), std::nullopt});
  co_await state_.txn({}, std::move(then), seconds(1));
}

wire::PeerReply ReachService::on_claim(const wire::PeerRequest& request) {
  if (ctx_.scheduler == nullptr) return {421, "{}", {}};
  std::size_t stranded = 0;
  const auto& text = request.body;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), stranded);
  if (error != std::errc{} || end != text.data() + text.size()) return {400, "{}", {}};
  ctx_.hearing.claim(request.job, stranded, ctx_.now());
  return {200, "{}", {}};
}

void ReachService::follow_return(std::size_t heard) {
  if (return_.term != ctx_.term) {
    return_ = {ctx_.term, ctx_.now(), 0, 0};
    for (const auto& [id, m] : ctx_.scheduler->machines()) {
      if (m.phase() == MachinePhase::up) ++return_.machines;
    }
  }
  if (ctx_.now() - return_.began > return_watched) return;
  while (return_.machines > 0 && return_.next < parts_told.size() &&
         static_cast<double>(heard) >= parts_told.at(return_.next) * static_cast<double>(return_.machines)) {
    ctx_.log->info("take-over: {} of {} machines have reported, {:.1f} s after it", heard, return_.machines,
                   to_seconds(ctx_.now() - return_.began));
    ++return_.next;
  }
}

void ReachService::judge() {
  const auto heard = ctx_.scheduler->heard_since(ctx_.now() - ctx_.hearing.window());
  follow_return(heard);
  const auto before = ctx_.hearing.state();
  const bool give_up = ctx_.hearing.judge(heard, ctx_.now());
  if (ctx_.hearing.state() != before) {
    ctx_.log->info("{} workers report here, {} are stranded at another node: {}", heard,
                   ctx_.hearing.claimed(ctx_.now()), name_of(ctx_.hearing.state()));
  }
  if (give_up) store_.step_down("workers reach another node, not this one");
}

}  // namespace martenwall::service
