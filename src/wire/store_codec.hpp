// Protocol of the state service, and the rows that the scheduler stores there.
//   j/<job>         unfinished job, as submitted
//   k/<job>         unfinished job with dependencies, including their job ids
//   c/<job>/<n>/<k> chunk of a job row that is too long for one value
//   f/<job>         finished or cancelled job; never deleted
//   q/<job>/<first> range of a job's tasks: which are done, and which may be on a machine
//   p/<job>/<part>  range of a job's tasks in format version 1: numbered, with a size that follows from the settings
//   m/<n>           records of a group of machines
//   i/<job>         inbox entry: a node other than the leader accepted the job or received its cancellation
//   lead            current leader, held under a lease
//   reign           grace period of the last leader
//   v/<node>        format version of the program that the node runs
//   level           format version that all nodes have reached (docs/upgrade.md)
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/messages.hpp"
#include "wire/json_fields.hpp"

namespace martenwall::wire {

// A key and its value, as read or as reported by a watch. If `removed` is set, the key was deleted and `value` is null.
struct StoreItem {
  std::string key;
  json value;
  KeyVersion version;
  bool removed = false;
};
// Items in key order, or changes in commit order, as of `revision`. `more` is set if the store has further ones.
struct StorePage {
  std::vector<StoreItem> items;
  bool more = false;
  Revision revision;
};
// Precondition of a transaction: the key has this version. Version 0 requires the key to be absent.
struct Condition {
  std::string key;
  KeyVersion version;
};
// Sets or removes a key. A key that is set under a lease is removed when the lease ends.
struct StoreOp {
  std::string key;
  std::optional<json> value;  // no value: remove the key
  std::optional<LeaseId> lease;
};

// Request targets of the store.
constexpr const char* transaction_target = "/multi";
constexpr const char* create_lease_target = "/leases";
// Returns the target of the item at one key.
std::string item_target(const std::string& key);
// Returns the target of one page of the items whose keys begin with `prefix`, in key order, starting after the key
// `after`.
std::string page_target(const std::string& prefix, const std::string& after);
// Returns the target of a watch for changes after the revision `after` to keys that begin with `prefix`. The store
// responds without changes if there are none within `hold`.
std::string watch_target(const std::string& prefix, Revision after, Duration hold);
// Returns the target that ends a lease.
std::string lease_target(LeaseId lease);
// Returns the target that renews a lease.
std::string renew_lease_target(LeaseId lease);

// The parsers of the store's response bodies return no value if the body has an unexpected form.

// Parses the item at one key.
std::optional<StoreItem> parse_item(const std::string& body);
// Parses a page of items.
std::optional<StorePage> parse_page(const std::string& body);
// Parses the changes that a watch reports.
std::optional<StorePage> parse_events(const std::string& body);
// Returns the body of a compare-and-swap transaction.
std::string encode_txn(const std::vector<Condition>& conditions, const std::vector<StoreOp>& ops);
// Parses the revision at which a transaction was committed.
std::optional<Revision> parse_revision(const std::string& body);
// Returns the body of a request for a lease.
std::string encode_lease(Duration ttl);
// Parses the id of a created lease.
std::optional<LeaseId> parse_lease(const std::string& body);

// Prefixes of the keys; the head of this file lists the formats.
constexpr const char* job_prefix = "j/";
constexpr const char* dependent_job_prefix = "k/";
constexpr const char* final_prefix = "f/";
constexpr const char* chunk_prefix = "c/";
constexpr const char* tasks_prefix = "q/";
constexpr const char* v1_tasks_prefix = "p/";
constexpr const char* machines_prefix = "m/";
constexpr const char* inbox_prefix = "i/";
constexpr const char* node_format_version_prefix = "v/";

// Returns the key of an unfinished job; `dependent` is set if the job has dependencies.
std::string job_key(const JobId& id, bool dependent = false);
// Returns the job id in the key of an unfinished job, of a finished job or of an inbox entry.
JobId job_of_key(const std::string& key);
// Returns the key of a finished or cancelled job.
std::string final_key(const JobId& id);
// Returns the key of a job's inbox entry.
std::string inbox_key(const JobId& id);
// Returns a listing cursor directly before the final key of the job: it sorts before that key and after the final keys
// of all jobs that sort earlier.
std::string final_key_cursor_before(const JobId& id);
// Returns the key of the records of a group of machines.
std::string machines_key(std::uint32_t group);
// Returns the key of the range of tasks that begins at index `first`.
std::string tasks_key(const JobId& id, std::uint32_t first);
// Returns the key of a range of tasks in format version 1, where ranges are numbered.
std::string v1_tasks_key(const JobId& id, std::uint32_t number);
// Returns the key of the format version that a node reports.
std::string node_format_version_key(const std::string& node);
// Returns the prefix of the keys of all chunks of a job row. `nonce` separates the chunks of repeated submissions.
std::string chunk_key_prefix(const JobId& id, const std::string& nonce);
// Returns the key of chunk `n` of a job row.
std::string chunk_key(const JobId& id, const std::string& nonce, std::size_t n);
constexpr const char* format_version_key = "level";
// Returns the key of a row that the scheduler writes.
std::string key_of(const RowKey& row);
constexpr const char* leader_key = "lead";
constexpr const char* leadership_record_key = "reign";
constexpr const char* types_key = "types";

// Value of the leader key. The nonce lets a node recognize whether its own election attempt won.
struct LeaderRow {
  std::string node, nonce;
};
// Encodes the value of the leader key.
json encode_leader(const LeaderRow& row);
// Decodes the value of the leader key; missing fields become empty strings.
LeaderRow decode_leader(const json& value);
// Encodes the grace period: how long the last leader may respond to workers after its lease expired.
json encode_leadership_record(Duration grace);
// The decoders of rows return no value if the row has an unexpected form.

// Decodes the grace period.
std::optional<Duration> decode_leadership_record(const json& value);

// Encodes the row of an unfinished job.
json encode_job_row(const Job& job);
// Decodes the row of an unfinished job. `now` and `wall_ms` are the same instant on the monotonic clock and on the wall
// clock: the row holds the submission as wall-clock time.
std::optional<Job> decode_job_row(const json& value, Time now, std::int64_t wall_ms);
// Value at the key of a job row that is too long for one value: refers to the chunks, which have keys of their own.
// Neither the manifest nor the chunks have a field `spec`, so that programs of format version 1 ignore such a row.
struct ChunkManifest {
  std::string nonce;
  std::size_t count = 0;
};
// Encodes the value at the job's key.
json encode_chunk_manifest(const ChunkManifest& names);
// Decodes a manifest; returns no value if the row is stored whole.
std::optional<ChunkManifest> decode_chunk_manifest(const json& value);
// Splits the row into chunks of at most `max_bytes` each, in order.
std::vector<json> encode_chunks(const json& row, std::size_t max_bytes);
// Joins the chunks of a row; returns null if they do not form a valid row.
json join_chunks(const std::vector<json>& chunks);

// Format version that this program reads and writes. The format version of a cluster never decreases.
constexpr std::uint64_t current_format_version = 2;
// Format version that all nodes have reached.
struct FormatVersionRow {
  std::uint64_t format_version = 1;
  std::uint32_t v1_row_size = 0;  // task indices per numbered row, needed while rows of format version 1 may exist
};
// Encodes the value of the format version's key.
json encode_format_version(const FormatVersionRow& row);
// Decodes the value of the format version's key.
std::optional<FormatVersionRow> decode_format_version(const json& value);
// Encodes what a node reports: its program version and the format version that it supports.
json encode_node_format_version(const std::string& version);
// Encodes a finished or cancelled job.
json encode_final(const FinalJob& job);
// Decodes a finished or cancelled job.
std::optional<FinalJob> decode_final(const JobId& id, const json& value);
// Encodes a range of tasks.
json encode_tasks(const TaskRow& row);
// Decodes a range of tasks.
std::optional<TaskRow> decode_tasks(const std::string& key, const json& value);
// Decodes a range of tasks in format version 1, which holds `v1_row_size` indices.
std::optional<TaskRow> decode_v1_tasks(const std::string& key, const json& value, std::uint32_t v1_row_size);
// Encodes the records of a group of machines.
json encode_machines(const std::vector<MachineRecord>& records);
// Decodes the records of a group of machines; skips unreadable records.
std::vector<MachineRecord> decode_machines(const std::string& key, const json& value);
// Encodes an inbox entry: the node that wrote it, and whether the job is to be cancelled.
json encode_inbox_entry(const std::string& node, bool cancel);
// Returns whether an inbox entry requests the cancellation of the job.
bool requests_cancellation(const json& entry);
// Returns the inbox key under which a node that does not reach the leader reports how many of its workers it cannot
// redirect to the leader.
std::string stranded_workers_key(const std::string& node);
// Returns whether an inbox key belongs to a node and not to a job.
bool is_stranded_workers_key(const std::string& key);
// Returns the node in the inbox key of a node.
std::string node_of_stranded_workers_key(const std::string& key);
// Encodes the number of workers that a node cannot redirect to the leader.
json encode_stranded_workers(std::size_t stranded);
// Decodes the number of workers that a node cannot redirect to the leader.
std::optional<std::size_t> decode_stranded_workers(const json& entry);

// Field with the id of the writing transaction; every value that the leader writes has it.
constexpr const char* transaction_id_field = "by";
// Returns the id of the transaction that wrote the value; empty if the value has none.
std::string transaction_id_of(const json& value);

// Parses the keys whose conditions failed from the response to a transaction with a conflict. Without a value, nothing
// is known about any key.
std::optional<std::vector<std::string>> parse_failed_keys(const std::string& body);

}  // namespace martenwall::wire
