#include "service/final_state_reader.hpp"

#include <map>
#include <string>
#include <utility>

namespace martenwall::service {

namespace {
constexpr std::size_t min_range_read = 3;  // jobs; as many or more are read as a range of keys, fewer one by one
}  // namespace

FinalState FinalStateReader::decode(const JobId& id, const wire::json& row) {
  auto job = wire::decode_final(id, row);
  if (!job) {
    if (logged_unreadable_.insert(id).second) ctx_.log->error("final state unreadable job={}", id.value());
    return {id, FinalState::Outcome::unreadable, std::nullopt};
  }
  ctx_.finished_jobs.add({id, job->phase, job->done, 0});
  return {id, FinalState::Outcome::found, std::move(job)};
}

rt::Task<FinalState> FinalStateReader::read(JobId id, Duration timeout) {
  const ReadResult row = co_await store_.get(wire::final_key(id), timeout);
  if (row.outcome == ReadOutcome::failed) co_return FinalState{id, FinalState::Outcome::failed, std::nullopt};
  if (row.outcome == ReadOutcome::absent) co_return FinalState{id, FinalState::Outcome::absent, std::nullopt};
  co_return decode(id, row.item.value);
}

// Pages are ordered by key, so a page answers for each job between its first and its last key.
rt::Task<std::vector<FinalState>> FinalStateReader::read_first(std::vector<JobId> ids, Duration timeout) {
  std::vector<FinalState> states;
  if (ids.size() < min_range_read) {
    FinalState state = co_await read(ids.front(), timeout);
    if (state.outcome != FinalState::Outcome::failed) states.push_back(std::move(state));
    co_return states;
  }
  const auto page = co_await store_.page(wire::final_prefix, wire::final_key_cursor_before(ids.front()));
  if (!page) co_return states;
  std::map<std::string, const wire::json*> rows;
  for (const auto& item : page->items) rows.emplace(item.key, &item.value);
  const auto is_covered = [&](const std::string& key) {
    return !page->more || rows.empty() || key <= rows.rbegin()->first;
  };
  for (const auto& id : ids) {
    const std::string key = wire::final_key(id);
    if (!is_covered(key)) break;
    const auto row = rows.find(key);
    states.push_back(row == rows.end() ? FinalState{id, FinalState::Outcome::absent, std::nullopt}
                                       : decode(id, *row->second));
  }
  co_return states;
}

}  // namespace martenwall::service
