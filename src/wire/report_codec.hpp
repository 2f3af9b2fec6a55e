// Workers' reports between controller nodes: many in one message (msgpack), and their answers.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/messages.hpp"

namespace martenwall::wire {

// How many workers a node holds, and would hold.
struct NodeRoom {
  std::string node;
  std::uint64_t workers = 0, room = 0;
};

struct ReportBatch {
  NodeRoom sender;
  std::vector<WorkerReport> reports;
};

struct ReportAnswers {
  Token token;
  std::vector<ReportAnswer> answers;  // in the order of the reports
  std::vector<NodeRoom> nodes;        // that the leader heard lately, itself included
};

constexpr std::size_t max_batch_reports = 64;
constexpr std::size_t max_batch_bytes = 60 * 1024;   // of reports; the rest of a frame is its framing
constexpr std::size_t max_answer_bytes = 60 * 1024;  // of orders; what is beyond is left for the next report

// An upper bound of what it takes in a batch, bytes.
std::size_t encoded_size(const WorkerReport& report);
std::size_t encoded_size(const ReportAnswer& answer);
std::string encode_batch(const ReportBatch& batch);
std::string encode_answers(const ReportAnswers& answers);
// Nothing where it cannot be read whole: a task that is left out would be taken for absent.
std::optional<ReportBatch> decode_batch(std::string_view bytes);
std::optional<ReportAnswers> decode_answers(std::string_view bytes);

}  // namespace martenwall::wire
