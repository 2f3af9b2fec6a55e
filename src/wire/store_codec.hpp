// The state service's protocol and the rows that the service keeps there.
//   j/<job>         an unfinished job, as submitted     f/<job>  a finished or cancelled one, kept for good
//   k/<job>         the same of a job that awaits others, with their names
//   c/<job>/<n>/<k> further pieces of a job's own row that is too long for one value
//   q/<job>/<first> some of its tasks: done, or maybe on a machine    m/<n>  what is worth knowing of some machines
//   p/<job>/<part>  the same, as versions of level 1 write it: by number, of a size that follows from the settings
//   i/<job>         accepted, or asked to be cancelled, at a node other than the leader
//   lead     the leader, under a lease          reign    the last leader's grace
//   v/<node> the level of the version that it runs          level    what all nodes have reached (docs/upgrade.md)
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "core/messages.hpp"
#include "wire/json_fields.hpp"

namespace martenwall::wire {

// A key and its value as read, or as a watch tells of it; `removed`: the key is gone, and `value` is null.
struct StoreItem {
  std::string key;
  json value;
  KeyVersion version;
  bool removed = false;
};
// Items in the order of their keys, or changes in their order; `more`: the store has further ones; `revision`: as of
// which.
struct StorePage {
  std::vector<StoreItem> items;
  bool more = false;
  Revision revision;
};
// Holds where the key stands at this version; version 0: where it is absent.
struct Condition {
  std::string key;
  KeyVersion version;
};
// Sets or removes a key; a key that is set under a lease goes when the lease ends.
struct StoreOp {
  std::string key;
  std::optional<json> value;  // empty: remove
  std::optional<LeaseId> lease;
};

// Targets of the store's requests.
constexpr const char* transaction_target = "/multi";
constexpr const char* create_lease_target = "/leases";
// The item at one key.
std::string item_target(const std::string& key);
// The items whose keys begin with `prefix`, in their order, up to a page of them; from `after` on, which is left out.
std::string page_target(const std::string& prefix, const std::string& after);
// The changes of keys that begin with `prefix` after the revision `after`; answered after `hold` where there are none.
std::string watch_target(const std::string& prefix, Revision after, Duration hold);
// A lease, to end it.
std::string lease_target(LeaseId lease);
// A lease, to renew it.
std::string renew_lease_target(LeaseId lease);

// Bodies of the store's answers; nothing where the form is another.
std::optional<StoreItem> parse_item(const std::string& body);
// A page of items.
std::optional<StorePage> parse_page(const std::string& body);
// The changes that a watch tells of.
std::optional<StorePage> parse_events(const std::string& body);
// The body of a compare-and-swap transaction.
std::string encode_txn(const std::vector<Condition>& conditions, const std::vector<StoreOp>& ops);
// The revision that a transaction was committed at.
std::optional<Revision> parse_revision(const std::string& body);
// The body that asks for a lease.
std::string encode_lease(Duration ttl);
// The lease that was created.
std::optional<LeaseId> parse_lease(const std::string& body);

// The first part of each kind of key; what follows is said at the head of this file.
constexpr const char* job_prefix = "j/";
constexpr const char* dependent_job_prefix = "k/";
constexpr const char* final_prefix = "f/";
constexpr const char* chunk_prefix = "c/";
constexpr const char* tasks_prefix = "q/";
constexpr const char* v1_tasks_prefix = "p/";
constexpr const char* machines_prefix = "m/";
constexpr const char* inbox_prefix = "i/";
constexpr const char* node_format_version_prefix = "v/";

// The own row of a job that has not ended; `dependent`: it has dependencies.
std::string job_key(const JobId& id, bool dependent = false);
// The job of a job's own key, of its end or of its inbox entry.
JobId job_of_key(const std::string& key);
// The end of a job.
std::string final_key(const JobId& id);
// The inbox entry about a job.
std::string inbox_key(const JobId& id);
// A text that sorts before the job's key and after every other job's key that does; to list from there on.
std::string final_key_cursor_before(const JobId& id);
// The records of a group of machines.
std::string machines_key(std::uint32_t group);
// The range of tasks that begins at index `first`.
std::string tasks_key(const JobId& id, std::uint32_t first);
// The same in format version 1: the row with this number.
std::string v1_tasks_key(const JobId& id, std::uint32_t number);
// The version that a node states.
std::string node_format_version_key(const std::string& node);
// Piece `n` of a job's own row; `nonce` tells apart pieces of repeated submissions.
std::string chunk_key(const JobId& id, const std::string& nonce, std::size_t n);
constexpr const char* format_version_key = "level";
// The key of a row that the scheduler writes.
std::string key_of(const RowKey& row);
constexpr const char* leader_key = "lead";
constexpr const char* leadership_record_key = "reign";
constexpr const char* types_key = "types";

// The leader key's value; the nonce tells a node whether it was its own campaign that won.
struct LeaderRow {
  std::string node, nonce;
};
// The value of the leader key.
json encode_leader(const LeaderRow& row);
// Empty texts where a field is missing.
LeaderRow decode_leader(const json& value);
// How long the last leader may go on answering workers after its lease expired.
json encode_leadership_record(Duration grace);
// Nothing where the form is another.
std::optional<Duration> decode_leadership_record(const json& value);

// `now` and `wall_ms` are the same moment on both clocks: the store keeps times of day.
json encode_job_row(const Job& job);
// Nothing where the form is another.
std::optional<Job> decode_job_row(const json& value, Time now, std::int64_t wall_ms);
// A row that is too long for one value: what stands at its key names the pieces, which stand at keys of their own.
// Neither has a field `spec`, so that a version of level 1 leaves such a row alone.
struct ChunkManifest {
  std::string nonce;
  std::size_t count = 0;
};
// What stands at the job's own key.
json encode_chunk_manifest(const ChunkManifest& names);
// Nothing where the row stands whole at its key.
std::optional<ChunkManifest> decode_chunk_manifest(const json& value);
// The row in pieces of at most `max_bytes` each, in their order.
std::vector<json> encode_chunks(const json& row, std::size_t max_bytes);
json join_chunks(const std::vector<json>& chunks);  // null where they do not make a row

// What a node's version reads and writes, and what all nodes are known to. It never falls.
constexpr std::uint64_t current_format_version = 2;
// The format version that all nodes have reached.
struct FormatVersionRow {
  std::uint64_t format_version = 1;
  std::uint32_t v1_row_size = 0;  // indices in a row by number, as long as there may be any
};
// The value of the format version's key.
json encode_format_version(const FormatVersionRow& row);
// Nothing where the form is another.
std::optional<FormatVersionRow> decode_format_version(const json& value);
// What a node states: its program version and its format version.
json encode_node_format_version(const std::string& version);
// The end of a job.
json encode_final(const FinalJob& job);
// Nothing where the form is another.
std::optional<FinalJob> decode_final(const JobId& id, const json& value);
// A range of tasks.
json encode_tasks(const TaskRow& row);
// Nothing where the form is another.
std::optional<TaskRow> decode_tasks(const std::string& key, const json& value);
// The same of a row in format version 1, which holds `v1_row_size` indices.
std::optional<TaskRow> decode_v1_tasks(const std::string& key, const json& value, std::uint32_t v1_row_size);
// The records of a group of machines.
json encode_machines(const std::vector<MachineRecord>& facts);
std::vector<MachineRecord> decode_machines(const std::string& key, const json& value);  // what can be read of it
// An inbox entry: which node left it, and whether the job is to be cancelled.
json encode_inbox_entry(const std::string& node, bool cancel);
// Whether an inbox entry asks for the job to be cancelled.
bool requests_cancellation(const json& note);
// A node that does not reach the leader tells it so how many workers it cannot hand over to it.
std::string stranded_workers_key(const std::string& node);
// Whether an inbox key is a node's, not a job's.
bool is_stranded_workers_key(const std::string& key);
std::string node_of_stranded_workers_key(const std::string& key);  // of a key that is one
// The number of workers that a node cannot hand over.
json encode_stranded_workers(std::size_t stranded);
// Nothing where the form is another.
std::optional<std::size_t> decode_stranded_workers(const json& note);

// Every value that the leader writes carries the id of its transaction in this field.
constexpr const char* transaction_id_field = "by";
std::string transaction_id_of(const json& value);  // empty where it carries none

// The keys whose conditions failed, of the answer to a transaction that met a conflict. Nothing where the form is
// another: such an answer tells nothing of any key.
std::optional<std::vector<std::string>> parse_failed_keys(const std::string& body);

}  // namespace martenwall::wire
