#include "service/job_rows.hpp"

namespace martenwall::service {

namespace {
constexpr std::size_t max_txn_bytes = 48 * 1024;  // of the 64 KiB
}  // namespace

rt::Task<std::optional<Job>> JobRows::decode(JobId id, wire::json row) {
  const auto names = wire::decode_piece_names(row);
  std::vector<std::string> keys;
  if (names) {
    std::vector<wire::json> pieces;
    for (std::size_t i = 0; i < names->count; ++i) {
      keys.push_back(wire::piece_key(id, names->nonce, i));
      const ReadResult piece = co_await state_.get(keys.back(), seconds(1));
      if (piece.outcome != ReadOutcome::found) co_return std::nullopt;
      pieces.push_back(piece.item.value);
    }
    row = wire::join_pieces(pieces);
  }
  auto job = wire::decode_job_row(row, ctx_.now(), Context::wall_ms());
  if (job) job->pieces = std::move(keys);
  co_return job;
}

rt::Task<JobRows::Read> JobRows::read_at(JobId id, bool chained) {
  Read out;
  ReadResult r = co_await state_.get(wire::job_key(id, chained), seconds(0.7));
  out.outcome = r.outcome;
  out.version = r.item.version;
  if (r.outcome != ReadOutcome::found) co_return out;
  out.job = co_await decode(id, std::move(r.item.value));
  if (out.job) out.job->chained = chained;
  co_return out;
}

rt::Task<JobRows::Read> JobRows::read(JobId id) {
  Read plain = co_await read_at(id, false);
  // Whatever level this node knows of: one that has just begun, or was cut off while the level rose, would else call a
  // job that awaits others never accepted.
  if (plain.outcome != ReadOutcome::absent) co_return plain;
  co_return co_await read_at(id, true);
}

rt::Task<bool> JobRows::store_pieces(Job& job, wire::json& row) {
  const auto pieces = wire::encode_pieces(row, ctx_.limits.value_bytes());
  const wire::PieceNames names{std::to_string(ctx_.random()), pieces.size()};
  job.pieces.clear();
  for (std::size_t i = 0; i < pieces.size();) {
    // While the job is not there: a repeated submission must not add to one that was accepted.
    // Nor, carried out late, to one that is over: no one would ever remove it.
    std::vector<wire::Condition> when{{wire::job_key(job.spec.id, false), Stamp{0}},
                                      {wire::job_key(job.spec.id, true), Stamp{0}},
                                      {wire::final_key(job.spec.id), Stamp{0}}};
    std::vector<wire::StoreOp> then;
    std::size_t bytes = 0;
    for (; i < pieces.size() && then.size() < ctx_.limits.txn_ops(); ++i) {
      const auto size = pieces[i].dump().size() + 300;
      if (!then.empty() && bytes + size > max_txn_bytes) break;
      bytes += size;
      job.pieces.push_back(wire::piece_key(job.spec.id, names.nonce, i));
      then.push_back({job.pieces.back(), pieces[i], std::nullopt});
    }
    const TxnResult r = co_await state_.txn(std::move(when), std::move(then), seconds(1.5));
    if (r.outcome != TxnOutcome::committed) co_return false;
  }
  row = wire::encode_piece_names(names);
  co_return true;
}

rt::Task<TxnResult> JobRows::store_new(Job& job, std::string note) {
  const auto& id = job.spec.id;
  job.chained = !job.spec.awaits.empty();
  wire::json row = wire::encode_job_row(job);
  if (row.dump().size() > ctx_.limits.value_bytes()) {
    // A version of level 1 would leave a row in pieces alone for good.
    if (ctx_.level < wire::this_level) co_return TxnResult{};
    const bool stored = co_await store_pieces(job, row);
    if (!stored) co_return TxnResult{};
  }
  // All three: tried at another node meanwhile, the same job may have come to await nothing any more.
  std::vector<wire::Condition> when{
      {wire::job_key(id, false), Stamp{0}}, {wire::job_key(id, true), Stamp{0}}, {wire::final_key(id), Stamp{0}}};
  std::vector<wire::StoreOp> then;
  then.push_back({wire::job_key(id, job.chained), std::move(row), std::nullopt});
  if (!note.empty()) then.push_back({wire::inbox_key(id), wire::encode_note(note, false), std::nullopt});
  co_return co_await state_.txn(std::move(when), std::move(then), seconds(1.5));
}

}  // namespace martenwall::service
