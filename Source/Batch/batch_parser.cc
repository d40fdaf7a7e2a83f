#include "Batch/batch_parser.h"

#include <algorithm>
#include <utility>

#include "Batch/batch_keys.h"

namespace cowslip {

namespace {

constexpr size_t kWholeText = static_cast<size_t>(-1);

bool IsBlank(std::string_view line) {
  return line.find_first_not_of(" \t\r") == std::string_view::npos;
}

}  // namespace

BatchParser::BatchParser(std::string_view text, BatchLimits limits)
    : m_limits(limits), m_remaining(text) {
  if (text.size() > m_limits.max_bytes) {
    m_too_large = true;
    m_remaining = {};
    m_error_text = "The job has " + std::to_string(text.size()) +
                   " bytes; split it into jobs of at most " +
                   std::to_string(m_limits.max_bytes) + " bytes.";
  }
}

bool BatchParser::ParseChunk(size_t bytes) {
  size_t parsed = 0;
  while (!m_remaining.empty() && parsed < bytes) {
    const size_t end = m_remaining.find('\n');
    const std::string_view line = m_remaining.substr(0, end);
    m_remaining.remove_prefix(std::min(m_remaining.size(), line.size() + 1));
    parsed += line.size() + 1;
    ++m_line_number;
    // This discards the remaining text when the job has too many items.
    if (!IsBlank(line)) {
      ParseLine(line);
    }
  }
  return !m_remaining.empty();
}

void BatchParser::ParseLine(std::string_view line) {
  if (m_input.items == m_limits.max_items) {
    m_too_large = true;
    m_remaining = {};
    m_error_text = "The job has more than " +
                   std::to_string(m_limits.max_items) +
                   " items; split it into smaller jobs.";
    return;
  }
  ++m_input.items;
  const auto item = ParseBatchLine(line, m_limits);
  if (!item.has_value()) {
    m_too_large = m_too_large || item.error().kind() == ErrorKind::kTooLarge;
    AddError(item.error().message);
    return;
  }
  const BatchItem& parsed = item.value();
  if (!m_custom_ids.insert(parsed.custom_id.value()).second) {
    AddError("the custom_id \"" + parsed.custom_id.value() +
             "\" stands on an earlier line; give each item its own");
    return;
  }
  m_targets.insert(parsed.target);
  if (m_targets.size() > m_limits.max_targets) {
    AddError("use at most " + std::to_string(m_limits.max_targets) +
             " different routes and urls in a job");
    m_targets.erase(parsed.target);
    return;
  }
  AppendToSegment(line);
}

void BatchParser::AddError(std::string message) {
  ++m_error_count;
  if (m_error_count <= m_limits.max_reported_lines) {
    m_error_text += "Line " + std::to_string(m_line_number) + ": " +
                    std::move(message) + ". ";
  }
  m_input.segments.clear();
}

void BatchParser::AppendToSegment(std::string_view line) {
  if (m_error_count > 0) {
    return;
  }
  auto& segments = m_input.segments;
  const bool full = segments.empty() ||
                    segments.back().size() + 1 + line.size() > kMaxSegmentBytes;
  if (full) {
    segments.emplace_back(line);
    m_input.segment_starts.push_back(m_input.items - 1);
    return;
  }
  segments.back() += '\n';
  segments.back() += line;
}

Result<BatchInput> BatchParser::Finish() {
  while (ParseChunk(kWholeText)) {
  }
  if (m_error_count > m_limits.max_reported_lines) {
    m_error_text +=
        "And " + std::to_string(m_error_count - m_limits.max_reported_lines) +
        " further lines. ";
  }
  if (!m_error_text.empty()) {
    return Error(
        m_too_large ? ErrorKind::kTooLarge : ErrorKind::kInvalidArgument,
        m_error_text + "Nothing of the job was kept.");
  }
  if (m_input.items == 0) {
    return Error(ErrorKind::kInvalidArgument,
                 "The job has no items. Send one JSON object a line.");
  }
  m_input.targets.assign(m_targets.begin(), m_targets.end());
  return std::move(m_input);
}

Result<BatchInput> ParseBatch(std::string_view text,
                              const BatchLimits& limits) {
  return BatchParser(text, limits).Finish();
}

}  // namespace cowslip
