#include "service/job_row_store.hpp"

namespace martenwall::service {

namespace {
constexpr std::size_t max_txn_bytes = 48 * 1024;  // of the 64 KiB
}  // namespace

rt::Task<std::optional<Job>> JobRowStore::decode(JobId id, wire::json row) {
  const auto manifest = wire::decode_chunk_manifest(row);
  std::vector<std::string> keys;
  if (manifest) {
    std::vector<wire::json> chunks;
    for (std::size_t i = 0; i < manifest->count; ++i) {
      keys.push_back(wire::chunk_key(id, manifest->nonce, i));
      const ReadResult chunk = co_await store_.get(keys.back(), seconds(1));
      if (chunk.outcome != ReadOutcome::found) co_return std::nullopt;
      chunks.push_back(chunk.item.value);
    }
    row = wire::join_chunks(chunks);
  }
  auto job = wire::decode_job_row(row, ctx_.now(), Context::wall_ms());
  if (job) job->chunk_keys = std::move(keys);
  co_return job;
}

rt::Task<JobRowStore::Read> JobRowStore::read_at(JobId id, bool dependent) {
  Read result;
  ReadResult r = co_await store_.get(wire::job_key(id, dependent), seconds(0.7));
  result.outcome = r.outcome;
  result.version = r.item.version;
  if (r.outcome != ReadOutcome::found) co_return result;
  result.job = co_await decode(id, std::move(r.item.value));
  if (result.job) result.job->dependent = dependent;
  co_return result;
}

rt::Task<JobRowStore::Read> JobRowStore::read(JobId id) {
  Read independent = co_await read_at(id, false);
  // Whatever level this node knows of: one that has just begun, or was cut off while the level rose, would else call a
  // job that awaits others never accepted.
  if (independent.outcome != ReadOutcome::absent) co_return independent;
  co_return co_await read_at(id, true);
}

rt::Task<bool> JobRowStore::store_chunks(Job& job, wire::json& row) {
  const auto chunks = wire::encode_chunks(row, ctx_.limits.value_bytes());
  const wire::ChunkManifest manifest{std::to_string(ctx_.random()), chunks.size()};
  job.chunk_keys.clear();
  for (std::size_t i = 0; i < chunks.size();) {
    // While the job is not there: a repeated submission must not add to one that was accepted.
    // Nor, carried out late, to one that is over: no one would ever remove it.
    std::vector<wire::Condition> conditions{{wire::job_key(job.spec.id, false), KeyVersion{0}},
                                            {wire::job_key(job.spec.id, true), KeyVersion{0}},
                                            {wire::final_key(job.spec.id), KeyVersion{0}}};
    std::vector<wire::StoreOp> operations;
    std::size_t bytes = 0;
    for (; i < chunks.size() && operations.size() < ctx_.limits.txn_ops(); ++i) {
      const auto size = chunks[i].dump().size() + 300;
      if (!operations.empty() && bytes + size > max_txn_bytes) break;
      bytes += size;
      job.chunk_keys.push_back(wire::chunk_key(job.spec.id, manifest.nonce, i));
      operations.push_back({job.chunk_keys.back(), chunks[i], std::nullopt});
    }
    const TxnResult r = co_await store_.txn(std::move(conditions), std::move(operations), seconds(1.5));
    if (r.outcome != TxnOutcome::committed) co_return false;
  }
  row = wire::encode_chunk_manifest(manifest);
  co_return true;
}

rt::Task<TxnResult> JobRowStore::store_new_job(Job& job, std::string announcing_node) {
  const auto& id = job.spec.id;
  job.dependent = !job.spec.dependencies.empty();
  wire::json row = wire::encode_job_row(job);
  if (row.dump().size() > ctx_.limits.value_bytes()) {
    // A version of level 1 would leave a row in pieces alone for good.
    if (ctx_.format_version < wire::current_format_version) co_return TxnResult{};
    const bool stored = co_await store_chunks(job, row);
    if (!stored) co_return TxnResult{};
  }
  // All three: tried at another node meanwhile, the same job may have come to await nothing any more.
  std::vector<wire::Condition> conditions{{wire::job_key(id, false), KeyVersion{0}},
                                          {wire::job_key(id, true), KeyVersion{0}},
                                          {wire::final_key(id), KeyVersion{0}}};
  std::vector<wire::StoreOp> operations;
  operations.push_back({wire::job_key(id, job.dependent), std::move(row), std::nullopt});
  if (!announcing_node.empty())
    operations.push_back({wire::inbox_key(id), wire::encode_inbox_entry(announcing_node, false), std::nullopt});
  co_return co_await store_.txn(std::move(conditions), std::move(operations), seconds(1.5));
}

}  // namespace martenwall::service
