#include "service/job_row_store.hpp"

namespace martenwall::service {

namespace {
constexpr std::size_t max_txn_bytes = 48 * 1024;  // of 64 KiB; the rest is for conditions and framing
constexpr Duration row_timeout = seconds(0.7);
}  // namespace

bool is_chunked(const wire::json& row) { return wire::decode_chunk_manifest(row).has_value(); }

std::optional<Job> decode_job(const JobId& id, const wire::json& row, const JobRowChunks& chunks, Time now) {
  const auto manifest = wire::decode_chunk_manifest(row);
  if (!manifest) return wire::decode_job_row(row, now, Context::wall_ms());
  std::vector<std::string> keys;
  std::vector<wire::json> values;
  for (std::size_t i = 0; i < manifest->count; ++i) {
    const auto chunk = chunks.find(wire::chunk_key(id, manifest->nonce, i));
    if (chunk == chunks.end()) return std::nullopt;
    keys.push_back(chunk->first);
    values.push_back(chunk->second);
  }
  auto job = wire::decode_job_row(wire::join_chunks(values), now, Context::wall_ms());
  if (job) job->chunk_keys = std::move(keys);
  return job;
}

// Reads the chunks of a row, if it has any.
rt::Task<JobRowOutcome> JobRowStore::read_chunks(JobId id, wire::json row, JobRowChunks& chunks) {
  const auto manifest = wire::decode_chunk_manifest(row);
  if (!manifest) co_return JobRowOutcome::found;
  auto page = co_await store_.list(wire::chunk_key_prefix(id, manifest->nonce));
  if (!page) co_return JobRowOutcome::failed;
  for (auto& item : page->items) chunks.emplace(std::move(item.key), std::move(item.value));
  co_return JobRowOutcome::found;
}

// Tells a row that cannot be decoded from one whose job ended during the read: the chunks of an ended job are removed
// after its row.
rt::Task<JobRowOutcome> JobRowStore::confirm_unreadable(std::string key, KeyVersion version) {
  const ReadResult again = co_await store_.get(key, row_timeout);
  if (again.outcome == ReadOutcome::absent) co_return JobRowOutcome::absent;
  if (again.outcome == ReadOutcome::failed || again.item.version != version) co_return JobRowOutcome::failed;
  if (logged_unreadable_.insert(key).second) ctx_.log->error("job row unreadable, left as it is key={}", key);
  co_return JobRowOutcome::unreadable;
}

rt::Task<JobRowStore::Read> JobRowStore::read_at(JobId id, bool dependent) {
  Read result;
  result.dependent = dependent;
  std::string key = wire::job_key(id, dependent);
  const ReadResult row = co_await store_.get(key, row_timeout);
  result.version = row.item.version;
  if (row.outcome == ReadOutcome::absent) result.outcome = JobRowOutcome::absent;
  if (row.outcome != ReadOutcome::found) co_return result;
  JobRowChunks chunks;
  result.outcome = co_await read_chunks(id, row.item.value, chunks);
  if (result.outcome != JobRowOutcome::found) co_return result;
  result.job = decode_job(id, row.item.value, chunks, ctx_.now());
  if (result.job) {
    result.job->dependent = dependent;
  } else {
    result.outcome = co_await confirm_unreadable(std::move(key), row.item.version);
  }
  co_return result;
}

rt::Task<JobRowStore::Read> JobRowStore::read(JobId id) {
  Read independent = co_await read_at(id, false);
  // Reads the second key regardless of the format version known to this node. Otherwise a node that has just started,
  // or that was partitioned while the version was raised, would report a dependent job as never accepted.
  if (independent.outcome != JobRowOutcome::absent) co_return independent;
  co_return co_await read_at(id, true);
}

rt::Task<bool> JobRowStore::store_chunks(Job& job, wire::json& row) {
  const auto chunks = wire::encode_chunks(row, ctx_.limits.value_bytes());
  const wire::ChunkManifest manifest{std::to_string(ctx_.random()), chunks.size()};
  job.chunk_keys.clear();
  for (std::size_t i = 0; i < chunks.size();) {
    // Requires that the job does not exist: a repeated submission must not add chunks to an accepted job. A transaction
    // that is executed late must not add chunks to a finished job either, since they would never be removed.
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
    const TxnResult written = co_await store_.txn(std::move(conditions), std::move(operations), seconds(1.5));
    if (written.outcome != TxnOutcome::committed) co_return false;
  }
  row = wire::encode_chunk_manifest(manifest);
  co_return true;
}

rt::Task<TxnResult> JobRowStore::store_new_job(Job& job, Writer writer) {
  const auto& id = job.spec.id;
  job.dependent = !job.spec.dependencies.empty();
  wire::json row = wire::encode_job_row(job);
  if (row.dump().size() > ctx_.limits.value_bytes()) {
    // Releases with format version 1 would never process a row that is split into chunks.
    if (ctx_.format_version < wire::current_format_version) co_return TxnResult{};
    const bool stored = co_await store_chunks(job, row);
    if (!stored) co_return TxnResult{};
  }
  // Checks all three keys: the same job may have been submitted at another node in the meantime and stored as an
  // independent job, because its dependencies had ended.
  std::vector<wire::Condition> conditions{{wire::job_key(id, false), KeyVersion{0}},
                                          {wire::job_key(id, true), KeyVersion{0}},
                                          {wire::final_key(id), KeyVersion{0}}};
  std::vector<wire::StoreOp> operations;
  operations.push_back({wire::job_key(id, job.dependent), std::move(row), std::nullopt});
  if (writer.leader_token) {
    conditions.push_back({wire::leader_key, KeyVersion{writer.leader_token->value()}});
  } else {
    operations.push_back({wire::inbox_key(id), wire::encode_inbox_entry(writer.announcing_node, false), std::nullopt});
  }
  co_return co_await store_.txn(std::move(conditions), std::move(operations), seconds(1.5));
}

}  // namespace martenwall::service
